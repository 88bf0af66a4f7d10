#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the routers. Their stand-ins for the store, the engines and
# the clients are programs in review/kit-2 that need no build; they are only checked here.
set -e
cd "$(dirname "$0")/.."
for file in review/kit-2/*.mjs; do
  node --check "$file"
done
