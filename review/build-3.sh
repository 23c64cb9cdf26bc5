#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 from the project's own crates, with the versions of the
# project's Cargo.lock and without a network.
set -eu
cd "$(dirname "$0")/.."
# Cargo leaves out of the copy what the stand-ins don't need.
cp Cargo.lock review/stand_ins_3/Cargo.lock
cargo build --release --offline --manifest-path review/stand_ins_3/Cargo.toml --target-dir target/review-3
