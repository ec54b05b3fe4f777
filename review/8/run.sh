#!/bin/sh
# All machines are leaving at once, and each holds a tenant's whole quota. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand ] || { echo "build it with review/build-2.sh"; exit 2; }
exec target/review-2/stand quota-holders review/8
