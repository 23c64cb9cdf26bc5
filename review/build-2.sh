#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler alone; they use no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = harness ] && continue
    rustc --edition 2021 -O "$source" -o "target/review-2/$name"
done
