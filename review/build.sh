#!/bin/bash
# Builds the stand-ins of the review's scripts, without a network, from crates that the repository's lock file names.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
