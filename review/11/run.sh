#!/bin/sh
# One tenant sends many times its usual, so that engines are full for seconds; a few of their streams end with their channel.
# TROUBLE=0: the tenant sends its usual.
cd "$(dirname "$0")" && exec node main.mjs
