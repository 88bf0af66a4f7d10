#!/usr/bin/env bash
# Builds every stand-in that a script starts. They are plain modules of Node.js without dependencies, so that checking
# that each can be parsed is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
