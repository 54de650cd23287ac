#!/bin/sh
# The stand-ins of this review are plain JavaScript and need no build; this checks
# that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs */play.mjs; do
  node --check "$file"
done
