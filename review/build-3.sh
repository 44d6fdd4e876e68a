#!/bin/sh
# Builds the stand-ins and clients of the third review. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/harness-3/main.rs
