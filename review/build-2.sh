#!/bin/sh
# Builds the stand-ins of cases 4 to 8, each with its case, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -A dead_code -o "target/review-2/case-$number" "$case"
done
