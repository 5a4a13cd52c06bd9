#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, without a network.
set -e
cd "$(dirname "$0")/standin-2"
cargo build --release --offline --locked
