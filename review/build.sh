#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
