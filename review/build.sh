#!/usr/bin/env bash
# Builds the stand-ins of the cases. They have no dependencies, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/Cargo.toml --target-dir target/review
