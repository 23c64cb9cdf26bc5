#!/bin/sh
# Builds the stand-ins of the cases that are scripts. They use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-cases review/stand_ins/main.rs
