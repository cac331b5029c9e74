#!/bin/sh
# The stand-ins of the cases are plain programs for Node.js 20 under review/support, which need no build and no package.
cd "$(dirname "$0")" || exit 2
for file in support/*.mjs */case.mjs; do
  node --check "$file" || exit 1
done
