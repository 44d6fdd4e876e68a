#!/usr/bin/env bash
# All checks: format, lints, tests, doctests, and the whole path on processes.
set -uo pipefail
cd "$(dirname "$0")/.."
export RUST_BACKTRACE=0
failed=0
step() {
    echo "== $*"
    "$@" || { echo "FAILED: $*"; failed=1; }
}
step cargo fmt --all --check
step cargo clippy --quiet --workspace --all-targets -- -D warnings
step scripts/known-red.sh cargo test --workspace --no-fail-fast
step scripts/quickstart.sh
exit $failed
