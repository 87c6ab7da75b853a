#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases. Everything that it makes is put under target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
