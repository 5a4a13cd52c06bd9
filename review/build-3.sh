#!/bin/bash
# Builds the stand-ins that the scripts of this review start. Needs no network: the crates are those of the lock file.
set -eu
cd "$(dirname "$0")/standin-3"
cargo build --release --offline --locked
