#!/bin/sh
# Some engines spoil a few of their answers: a wrong byte in the name of the header that is their proof.
# TROUBLE=0: no answer is spoiled.
cd "$(dirname "$0")" && exec node main.mjs
