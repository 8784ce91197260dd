#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
