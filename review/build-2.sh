#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. It needs no network: their libraries are those of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
