# Daily commands.

# All checks, as CI runs them.
test:
    ./scripts/test.sh

# The whole path once, on processes.
quickstart:
    ./scripts/quickstart.sh

# Format and lint.
lint:
    cargo fmt --all
    cargo clippy --workspace --all-targets -- -D warnings

# The proofs with a check switched off: they must fail.
check-checkers:
    ./scripts/check-checkers.sh

# Faults against real processes.
faults seed="1":
    cargo build --workspace
    target/debug/bamboo-load faults --seed {{seed}} --seconds 40

# The fault soak of the gateway, from a first seed on.
soak first="1" count="10":
    cargo build --release -p bamboo-platform -p bamboo-soak
    target/release/bamboo-soak --first {{first}} --count {{count}} --callers 40 --logs target/soak

# Writes the fault matrix anew.
fault-matrix:
    UPDATE_FAULT_MATRIX=1 cargo test -p bamboo-host --test fault_matrix
