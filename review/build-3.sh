#!/bin/bash
# Builds the stand-ins of the cases 11 to 15, without dependencies; needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/case_*.rs; do
    rustc --edition 2024 -O -o "target/review-3/$(basename "$source" .rs)" "$source"
done
