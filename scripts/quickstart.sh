#!/usr/bin/env bash
# Builds everything and runs the whole path once on free loopback ports. Ends all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace
exec "${CARGO_TARGET_DIR:-target}/debug/bamboo-load" quickstart "$@"
