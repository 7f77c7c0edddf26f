#!/bin/bash
# Builds the stand-ins and drivers of the cases 6 to 10, after `build` of the deploy file and without a network.
# They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -e "review/$number/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case-$number" "review/$number/case.rs"
    fi
done
