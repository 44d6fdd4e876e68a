#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and up start: one program, by the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O review/harness-2/main.rs -o target/review-2/harness
