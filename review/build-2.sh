#!/bin/sh
# Builds the stand-ins of the second review's scripts: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
