//! Which requests a host that shuts down takes, and what it waits for.

use std::time::Duration;

/// Share of the grace period during which new connections are still accepted. The external load balancer takes a host out
/// of rotation after two failed readiness checks, one a second.
const KEEP_OPEN_SHARE: f64 = 0.4;
/// Time after which only requests are taken that are certain to end in time. By then, the load balancer sends new
/// connections elsewhere.
const LAST_UNCERTAIN: Duration = Duration::from_millis(2500);
/// Share of the grace period after which the host no longer waits until its shards are released. Their membership
/// lapses on its own.
const RELEASE_SHARE: f64 = 0.6;
/// Share of the grace period after which no run begins whose duration is unknown.
const LAST_START_SHARE: f64 = 0.6;
/// Share of the grace period after which the open requests are ended.
const END_REQUESTS_SHARE: f64 = 0.9;
/// Share of the grace period after which the process exits even if responses are still being sent.
const EXIT_SHARE: f64 = 0.95;
/// Part of the run time of earlier requests by which a run may take longer than they did.
const RUN_TIME_MARGIN: f64 = 0.125;

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
    /// Keep accepting connections.
    KeepOpen,
    /// Accept no more connections, and wait for the open requests and the release of the shards.
    Close,
    /// Answer the open requests, break off their runs, and wait until the answers are sent.
    EndRequests,
    /// Exit.
    Exit,
}

/// A request that arrives at a host that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivingRequest {
    /// Time since the shutdown began.
    pub elapsed: Duration,
    /// Time between the begin of the shutdown and the kill.
    pub grace: Duration,
    /// Time until its response is due. It ends then at the latest.
    pub time_limit: Duration,
    /// Longest run time of the latest requests like it, if there were any.
    pub run_time: Option<Duration>,
}

/// Whether a host that shuts down takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Serve the request.
    Serve,
    /// Reject the request, so that its caller goes to another host.
    Reject,
}

/// Time since the begin of a shutdown at which the open requests are ended.
///
/// ```
/// use std::time::Duration;
/// let grace = Duration::from_secs(8);
/// assert!(bamboo_coordination::requests_end_at(grace) < grace);
/// ```
pub fn requests_end_at(grace: Duration) -> Duration {
    grace.mul_f64(END_REQUESTS_SHARE)
}

/// Time since the begin of a shutdown after which no run begins that may take until the open requests are ended. A request
/// that still waits then is to be rejected, so that its caller goes to another host. `run_time` is the longest one of the
/// latest requests like it, if there were any.
///
/// ```
/// use std::time::Duration;
/// let grace = Duration::from_secs(8);
/// let last_start = bamboo_coordination::last_run_start(grace, Some(Duration::from_secs(4)));
/// assert!(last_start < Duration::from_secs(4));
/// ```
pub fn last_run_start(grace: Duration, run_time: Option<Duration>) -> Duration {
    match run_time {
        Some(run_time) => requests_end_at(grace).saturating_sub(with_margin(run_time)),
        None => grace.mul_f64(LAST_START_SHARE),
    }
}

/// Time that a run may take if earlier ones took `run_time`.
fn with_margin(run_time: Duration) -> Duration {
    run_time.mul_f64(1.0 + RUN_TIME_MARGIN)
}

/// Chooses whether a host that shuts down takes a request: always if it ends in time whatever its run takes, and if its run is
/// likely to end in time as long as the load balancer sends new connections. Later, earlier runs are no reason to take it: its
/// own may be longer than all of them.
///
/// ```
/// use std::time::Duration;
/// use bamboo_coordination::{Admission, ArrivingRequest, admit_request};
/// let request = ArrivingRequest {
///     elapsed: Duration::from_secs(1),
///     grace: Duration::from_secs(8),
///     time_limit: Duration::from_secs(30),
///     run_time: Some(Duration::from_secs(2)),
/// };
/// assert_eq!(admit_request(&request), Admission::Serve);
/// let late = ArrivingRequest { elapsed: Duration::from_secs(6), ..request };
/// assert_eq!(admit_request(&late), Admission::Reject);
/// ```
pub fn admit_request(request: &ArrivingRequest) -> Admission {
    let time_left = requests_end_at(request.grace).saturating_sub(request.elapsed);
    let is_certain = request.time_limit <= time_left;
    let is_likely = match request.run_time {
        Some(run_time) => with_margin(run_time) <= time_left,
        None => request.elapsed <= last_run_start(request.grace, None),
    };
    let last_uncertain = request.grace.mul_f64(KEEP_OPEN_SHARE).min(LAST_UNCERTAIN);
    let is_early = request.elapsed <= last_uncertain;
    match is_certain || is_likely && is_early {
        true => Admission::Serve,
        false => Admission::Reject,
    }
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
    match is_drained || is_past(EXIT_SHARE) {
        true => ShutdownStep::Exit,
        false if is_past(END_REQUESTS_SHARE) => ShutdownStep::EndRequests,
        false => ShutdownStep::Close,
    }
}
