#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/release/redwingdrift ] && [ -x target/review/junk ] || exit 2
RECORD="$here/record.txt" exec target/review/junk
