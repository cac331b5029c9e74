#!/bin/sh
# The scripts of review/6 to review/10 start only the deployed program, which the build of the deploy file makes, and
# stand-ins of review/support-2, which run as they are. This checks that each of them can be read.
cd "$(dirname "$0")" || exit 1
for file in support-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
