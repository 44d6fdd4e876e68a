//! What a host that shuts down waits for.

use std::time::Duration;

/// Share of the grace period during which new connections and requests are still accepted. The external load balancer
/// takes a host out of rotation after two failed readiness checks, one a second.
const KEEP_OPEN_SHARE: f64 = 0.4;
/// Share of the grace period after which the host no longer waits until its shards are released. Their membership
/// lapses on its own.
const RELEASE_SHARE: f64 = 0.6;
/// Share of the grace period after which no run begins, since it might not be complete before the process exits.
const LAST_START_SHARE: f64 = 0.6;
/// Share of the grace period after which the process exits even if requests are still open.
const DRAIN_SHARE: f64 = 0.85;

/// State of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownState {
    /// Time since the shutdown began.
    pub elapsed: Duration,
    /// Time between the begin of the shutdown and the kill.
    pub grace: Duration,
    /// Number of open requests of callers.
    pub open_requests: usize,
    /// Whether the shards of the host are released in the store.
    pub is_released: bool,
}

/// What to do next in a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Keep accepting requests.
    KeepOpen,
    /// Accept no more requests, and wait for the open ones and the release of the shards.
    Close,
    /// Exit.
    Exit,
}

/// Time since the begin of a shutdown after which no run of a caller's request begins. A request that still waits then is to
/// be rejected, so that its caller goes to another host.
///
/// ```
/// use std::time::Duration;
/// let grace = Duration::from_secs(8);
/// assert!(bamboo_coordination::last_run_start(grace) < Duration::from_secs(5));
/// ```
pub fn last_run_start(grace: Duration) -> Duration {
    grace.mul_f64(LAST_START_SHARE)
}

/// Chooses the next step of a shutdown.
///
/// ```
/// use std::time::Duration;
/// use bamboo_coordination::{ShutdownState, ShutdownStep, next_shutdown_step};
/// let state = ShutdownState {
///     elapsed: Duration::from_secs(4),
///     grace: Duration::from_secs(8),
///     open_requests: 0,
///     is_released: true,
/// };
/// assert_eq!(next_shutdown_step(&state), ShutdownStep::Exit);
/// ```
pub fn next_shutdown_step(state: &ShutdownState) -> ShutdownStep {
    let is_past = |share: f64| state.elapsed > state.grace.mul_f64(share);
    if !is_past(KEEP_OPEN_SHARE) {
        return ShutdownStep::KeepOpen;
    }
    let is_drained = state.open_requests == 0 && (state.is_released || is_past(RELEASE_SHARE));
    match is_drained || is_past(DRAIN_SHARE) {
        true => ShutdownStep::Exit,
        false => ShutdownStep::Close,
    }
}
