//! Finds the server at which a run of a streaming request begins.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::EventOrder;
use bamboo_fleet::RouteKind;
use bamboo_slots::RequestTerms;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use http::Response;

use crate::gateway::Gateway;
use crate::gateway::Rejection;
use crate::response_body::ResponseBody;
use crate::slot_requests::Slot;
use crate::slot_requests::SlotError;
use crate::slot_requests::acquire_slot;
use crate::traffic::engine_run::EngineRequest;
use crate::traffic::request::CallerRequest;
use crate::traffic::response::STOPPING_RETRY_AFTER;
use crate::traffic::serve::STOPPING;

/// Gap between events after which a resumable stream is resumed at another server, and pause before the next search for one.
/// Doubles with each. Events arrive every 20 to 30 ms, and the shortest gap that callers count as late is 250 ms.
pub(super) const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(130);
/// `Retry-After` of a response if no slot was granted in time. The coordinator replies within this time.
const GRANT_TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(60);
/// `Retry-After` of a response if no server of the service is available.
pub(super) const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason in the log of a request that is rejected because no server of its version is left.
pub(super) const VERSION_GONE: &str = "version_gone";

/// Reason in the log of a request that is rejected because its workspace is over its rate.
pub(super) const RATE_EXCEEDED: &str = "rate_exceeded";

/// Why no run delivers events.
pub(super) enum RunError {
    /// The server's own response, usually an error.
    Answered(Response<ResponseBody>),
    /// Nothing ran: the time after which to retry, and the reason for the log.
    Refused(Duration, &'static str),
    /// Nothing ran, since the request crashes servers.
    Rejected(Rejection),
    /// The request may have run: why it is not sent again, for the log.
    Unknown(&'static str),
    /// The deadline has passed.
    TimedOut,
}

impl RunError {
    /// The error for the log.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            RunError::Answered(_) => "server_failure",
            RunError::Refused(_, reason) | RunError::Unknown(reason) => reason,
            RunError::Rejected(rejection) => rejection.reason,
            RunError::TimedOut => "timed_out",
        }
    }
}

/// A request whose runs are begun.
#[derive(Clone, Copy)]
pub(super) struct StreamRequest<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) caller: &'a CallerRequest,
    pub(super) engine: &'a EngineRequest,
}

/// Whether another server can resume the stream of a request.
pub(super) fn is_resumable(request: &CallerRequest) -> bool {
    matches!(
        request.route.kind,
        RouteKind::Streaming {
            is_resumable: true,
            ..
        }
    )
}

/// Where a response goes on.
#[derive(Clone, Copy)]
pub(super) enum StartPoint<'a> {
    /// At its beginning.
    Begin {
        /// Event after which the caller wants to go on.
        last_event: Option<u64>,
        /// When it must have begun to be on time.
        start_by: Duration,
    },
    /// After what the caller has got of it.
    Resume {
        order: &'a EventOrder,
        /// Longest pause between two events that is on time.
        gap_target: Duration,
        /// When the caller got the last event; `None` if it has got none.
        heard_at: Option<Duration>,
    },
}

impl StartPoint<'_> {
    pub(super) fn last_event(&self) -> Option<u64> {
        match self {
            StartPoint::Begin { last_event, .. } => *last_event,
            StartPoint::Resume { order, .. } => order.last_id(),
        }
    }
}

/// When the caller leaves unless an event has arrived. Callers leave a stream after a time without an event, before the first
/// one as well as in a pause. A caller that comes back after more than that time has shown that it waits longer; its time
/// counts from its return.
fn begin_by(caller: &CallerRequest, start: StartPoint<'_>) -> Option<Duration> {
    let event_wait_max = caller.route.event_wait_max()?;
    let silent_since = match start {
        StartPoint::Begin { .. } if caller.waited >= event_wait_max => caller.arrived_at,
        StartPoint::Begin { .. } => caller.arrived_at.saturating_sub(caller.waited),
        StartPoint::Resume { heard_at, .. } => heard_at?,
    };
    Some(caller.deadline.min(silent_since + event_wait_max))
}

/// What to find a slot for.
pub(super) struct SlotSearch {
    pub(super) excluded: Vec<BackendServerId>,
    /// Servers that work on the request already.
    pub(super) running_at: Vec<BackendServerId>,
    pub(super) version: Option<SoftwareVersion>,
    pub(super) may_have_run: bool,
    /// Whether it is the first one for the request.
    pub(super) is_first: bool,
}

/// Acquires a slot of a server that does not work on the request yet.
pub(super) async fn find_slot(
    request: StreamRequest<'_>,
    start: StartPoint<'_>,
    search: SlotSearch,
) -> Result<Slot, RunError> {
    let StreamRequest {
        gateway,
        caller,
        engine,
    } = request;
    match start {
        StartPoint::Begin { .. } if !search.may_have_run => {}
        StartPoint::Begin { .. } => gateway.wait_for_verdicts(caller.deadline).await,
        StartPoint::Resume { gap_target, .. } => {
            // A pause beyond the target is as bad for the caller as the end of the stream.
            let due_at = caller.deadline.min(gateway.clock.now() + gap_target);
            gateway.wait_for_verdicts(due_at).await;
        }
    }
    let may_have_run = search.may_have_run;
    let rejection = || quarantine_error(gateway, engine, may_have_run);
    if let Some(error) = rejection() {
        return Err(error);
    }
    let now = gateway.clock.now();
    if now >= caller.deadline {
        return Err(RunError::TimedOut);
    }
    let until = gateway
        .run_begins_until(&caller.route.name, caller.deadline)
        .unwrap_or(Duration::MAX);
    if now >= until {
        return Err(match may_have_run {
            true => RunError::Unknown(STOPPING),
            false => RunError::Refused(STOPPING_RETRY_AFTER, STOPPING),
        });
    }
    let start_by = match start {
        StartPoint::Begin { start_by, .. } => start_by,
        StartPoint::Resume { gap_target, .. } => now + gap_target.saturating_sub(EVENT_GAP_TIMEOUT),
    };
    let work = Work::Online {
        start_by,
        expires_at: caller.deadline.min(until),
    };
    let version = search.version.as_ref();
    let terms = RequestTerms {
        is_counted: search.is_first,
        begin_by: begin_by(caller, start),
        ..caller.terms()
    };
    let acquired = acquire_slot(
        gateway,
        &caller.service,
        work,
        search.excluded,
        version,
        terms,
    );
    let acquired = acquired.await;
    let slot = match acquired {
        Ok(slot) => slot,
        Err(error) => return Err(slot_error(error, version.is_some(), may_have_run)),
    };
    if search.running_at.contains(&slot.server.id) {
        return Err(RunError::Unknown("no_other_server"));
    }
    if let Some(error) = rejection() {
        return Err(error);
    }
    let waited = gateway.clock.now().saturating_sub(now);
    gateway.metrics.slot_wait_s.observe(waited.as_secs_f64());
    Ok(slot)
}

/// Why a request gets no slot.
fn slot_error(error: SlotError, has_version: bool, may_have_run: bool) -> RunError {
    let (retry_after, reason) = match error {
        SlotError::Refused(retry_after) => (retry_after, "coordinator_full"),
        SlotError::RateExceeded(retry_after) => (retry_after, RATE_EXCEEDED),
        SlotError::TimedOut => (GRANT_TIMEOUT_RETRY_AFTER, "not_dealt_in_time"),
        SlotError::NoServer if has_version => (NO_SERVER_RETRY_AFTER, VERSION_GONE),
        SlotError::NoServer => (NO_SERVER_RETRY_AFTER, "no_server"),
    };
    match may_have_run {
        true => RunError::Unknown(reason),
        false => RunError::Refused(retry_after, reason),
    }
}

/// Why a request must not be sent, if it crashes servers. It is to be retried after the quarantine, unless it may have run.
fn quarantine_error(
    gateway: &Gateway,
    request: &EngineRequest,
    may_have_run: bool,
) -> Option<RunError> {
    let rejection = gateway.rejection(&request.suspects)?;
    Some(match may_have_run {
        true => RunError::Unknown(rejection.reason),
        false => RunError::Rejected(rejection),
    })
}
