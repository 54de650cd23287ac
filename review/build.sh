#!/bin/bash
# Checks the stand-ins. They are plain modules of Node.js, so nothing is compiled;
# the node itself is built by the `build` line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs seen/*.mjs; do
  node --check "$file"
done
test -f ../target/oleanderdeck_sidecar.mjs
