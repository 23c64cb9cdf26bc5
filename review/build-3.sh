#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 from the project's own crates, with the versions of the
# project's Cargo.lock and without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand_ins_3/Cargo.toml --target-dir target/review-3
