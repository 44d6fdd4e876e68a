//! Requests that reach a host before its first read of the configuration and the servers.

use std::time::Duration;

/// Age of a process up to which requests wait for its first reads. They take a few tens of milliseconds, or some hundred
/// after a common start of a large fleet.
const STARTUP_TIME: Duration = Duration::from_millis(600);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartupStep {
    /// Go on, and refuse the request if the host still lacks what it needs.
    Proceed,
    /// Wait for the first reads, for this time at most.
    Wait(Duration),
}

/// Decides whether a request waits for the host's first reads. After the startup time the store or the other hosts are
/// out of reach, and callers are better served elsewhere.
///
/// ```
/// use std::time::Duration;
/// use bamboo_coordination::{StartupStep, next_startup_step};
/// let age = Duration::from_millis(100);
/// assert_eq!(next_startup_step(false, age), StartupStep::Wait(Duration::from_millis(500)));
/// assert_eq!(next_startup_step(true, age), StartupStep::Proceed);
/// ```
pub fn next_startup_step(knows_servers: bool, age: Duration) -> StartupStep {
    match STARTUP_TIME.checked_sub(age) {
        Some(remaining) if !knows_servers && !remaining.is_zero() => StartupStep::Wait(remaining),
        _ => StartupStep::Proceed,
    }
}
