#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in twice endless junk; do
    rustc --edition 2024 -O -A warnings "review/stand/$name.rs" -o "target/review/$name"
done
