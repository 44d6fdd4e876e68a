//! Runs of a streaming request. One whose server is silent goes on while another one is begun, until either delivers an event.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::EventCheck;
use bamboo_fleet::EventOrder;
use bamboo_fleet::RouteKind;
use bamboo_slots::RunOutcome;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Response;
use http::response;

use crate::gateway::Gateway;
use crate::gateway::Rejection;
use crate::response_body::ResponseBody;
use crate::slot_requests::Slot;
use crate::slot_requests::SlotError;
use crate::slot_requests::acquire_slot;
use crate::traffic::engine_run::EngineRequest;
use crate::traffic::engine_run::EngineStream;
use crate::traffic::engine_run::OpenError;
use crate::traffic::engine_run::Patience;
use crate::traffic::engine_run::SilenceNotice;
use crate::traffic::engine_run::open_stream;
use crate::traffic::overlap::OPEN_RUNS_MAX;
use crate::traffic::overlap::first_of;
use crate::traffic::overlap::or_pending;
use crate::traffic::request::CallerRequest;
use crate::traffic::request::end_to_end_headers;
use crate::traffic::response::STOPPING_RETRY_AFTER;
use crate::traffic::response::run_outcome;
use crate::traffic::serve::STOPPING;
use crate::traffic::serve::StreamProgress;

/// Time without a first event after which a resumable request is sent to another server, too. The first event takes 35 ms
/// on a free slot, and the target is 300 ms.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(140);
/// Gap between events after which a resumable stream is resumed at another server, and pause before the next search for one.
/// Doubles with each. Events arrive every 20 to 30 ms, and the shortest gap that callers count as late is 250 ms.
pub(super) const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(130);
/// Time for which two servers may work on a request. The users' rules allow 400 ms, in which the end of a connection arrives.
const OVERLAP_MAX: Duration = Duration::from_millis(350);
/// Number of servers that may reject a request before the caller gets a rejection.
const REFUSALS_MAX: u32 = 6;
/// `Retry-After` of a response if no slot was granted in time. The coordinator replies within this time.
const GRANT_TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(60);
/// `Retry-After` of a response if no server of the service is available.
pub(super) const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason in the log of a request that too many servers rejected.
const SERVERS_REFUSE: &str = "servers_refuse";
/// Reason in the log of a request that is rejected because no server of its version is left.
pub(super) const VERSION_GONE: &str = "version_gone";

/// A run that has begun to deliver events, with its slot.
pub(super) struct Run {
    pub(super) slot: Rc<Slot>,
    pub(super) stream: EngineStream,
}

/// Attempts of a request so far.
pub(super) struct Attempts {
    pub(super) count: u32,
    pub(super) refusals: u32,
    pub(super) excluded: Vec<BackendServerId>,
    pub(super) may_have_run: bool,
    /// Identifier of the request that began the stream.
    pub(super) stream: String,
    /// Version that began the stream, at which alone it goes on; `None` before its first event.
    pub(super) version: Option<SoftwareVersion>,
    /// When the first one began.
    pub(super) began_at: Option<Duration>,
    /// What the caller has got.
    pub(super) progress: Rc<StreamProgress>,
}

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

impl StreamRequest<'_> {
    /// Whether another server can resume the stream.
    pub(super) fn is_resumable(&self) -> bool {
        is_resumable(self.caller)
    }
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
    },
}

impl StartPoint<'_> {
    fn last_event(&self) -> Option<u64> {
        match self {
            StartPoint::Begin { last_event, .. } => *last_event,
            StartPoint::Resume { order, .. } => order.last_id(),
        }
    }
}

/// A run that delivers events.
pub(super) struct Started {
    pub(super) run: Box<Run>,
    /// Whether it is the silent one, which goes on.
    pub(super) is_silent_one: bool,
}

/// Acquires slots and sends the request until a server delivers an event. A stream that has begun goes on only at servers of
/// its version. A silent run of the same stream goes on meanwhile; if none is better, it is waited for until the deadline.
///
/// # Errors
/// Fails if no run delivers an event.
pub(super) async fn start_run<'a>(
    request: StreamRequest<'a>,
    attempts: &'a mut Attempts,
    start: StartPoint<'a>,
    silent: Option<Box<Run>>,
) -> Result<Started, RunError> {
    let mut runs = OpenRuns {
        request,
        attempts,
        start,
        open: Vec::new(),
        search: None,
        search_at: None,
        search_pause: EVENT_GAP_TIMEOUT,
        spoken: None,
        answer: None,
    };
    if let Some(run) = silent {
        runs.keep_silent(run);
    }
    let mut step = runs.search_or_end();
    loop {
        match step {
            Step::Wait => {}
            Step::End(ended) => return *ended,
        }
        let event = runs.next_event().await;
        step = runs.handle(event);
    }
}

/// What to do next.
enum Step {
    Wait,
    End(Box<Result<Started, RunError>>),
}

impl Step {
    fn fail(error: RunError) -> Self {
        Step::End(Box::new(Err(error)))
    }
}

/// Something that happened to the runs.
enum RunEvent {
    /// The run at this index delivered an event or failed.
    Ended(usize, RunEnd),
    /// The search for a server ended.
    Found(Result<Slot, RunError>),
    /// The server of the newest run is silent.
    Silent,
    /// Another search is due.
    SearchDue,
    /// Two servers have worked on the request for as long as they may.
    OverlapOver,
    /// The newest run has not delivered an event in time, and the silent one has.
    SpokenDue,
}

/// How waiting for the first event of a run ended.
enum RunEnd {
    Speaks(Box<Run>),
    Failed(OpenError),
}

/// A run that has delivered no event, or none lately.
struct OpenRun<'a> {
    slot: Rc<Slot>,
    notice: Rc<SilenceNotice>,
    /// When it was sent; `None` for the silent one that was there before.
    sent_at: Option<Duration>,
    end: LocalBoxFuture<'a, RunEnd>,
}

/// The runs of a request, oldest first, and the search for the next server.
struct OpenRuns<'a> {
    request: StreamRequest<'a>,
    attempts: &'a mut Attempts,
    start: StartPoint<'a>,
    open: Vec<OpenRun<'a>>,
    search: Option<LocalBoxFuture<'a, Result<Slot, RunError>>>,
    search_at: Option<Duration>,
    search_pause: Duration,
    /// The silent run once it speaks again, while a newer one may still deliver an event in time.
    spoken: Option<Box<Run>>,
    /// Error response of a server, for the caller if no run delivers events.
    answer: Option<(Box<response::Parts>, Bytes)>,
}

impl<'a> OpenRuns<'a> {
    fn keep_silent(&mut self, run: Box<Run>) {
        let (gateway, deadline) = (self.request.gateway, self.request.caller.deadline);
        let Run { slot, mut stream } = *run;
        let kept = Rc::clone(&slot);
        let end = async move {
            match stream.outwait_silence(gateway, deadline).await {
                Ok(()) => RunEnd::Speaks(Box::new(Run { slot, stream })),
                Err(outcome) => RunEnd::Failed(OpenError::Failed(outcome)),
            }
        };
        self.open.push(OpenRun {
            slot: kept,
            notice: Rc::new(SilenceNotice::new(Duration::MAX)),
            sent_at: None,
            end: end.boxed_local(),
        });
    }

    /// Whether the request may be sent once more.
    fn may_send(&self) -> bool {
        let attempts = &self.attempts;
        let may_repeat = attempts.count == 0 || self.request.is_resumable();
        may_repeat
            && attempts.count < self.request.caller.route.attempts_max.max(1)
            && attempts.refusals < REFUSALS_MAX
    }

    /// Goes on with the silent run, if it speaks again.
    fn go_on_with_spoken(&mut self) -> Option<Step> {
        let run = self.spoken.take()?;
        let is_silent_one = true;
        Some(Step::End(Box::new(Ok(Started { run, is_silent_one }))))
    }

    /// Looks for another server, or ends without a run if there is nothing to wait for.
    fn search_or_end(&mut self) -> Step {
        if self.spoken.is_some() {
            return match self.open.is_empty() {
                true => self.go_on_with_spoken().unwrap_or(Step::Wait),
                false => Step::Wait,
            };
        }
        if self.search.is_some() {
            return Step::Wait;
        }
        if self.may_send() {
            self.begin_search();
            return Step::Wait;
        }
        match self.open.is_empty() {
            true => Step::fail(self.last_error("attempts_failed")),
            false => Step::Wait,
        }
    }

    fn begin_search(&mut self) {
        let attempts = &self.attempts;
        let search = SlotSearch {
            excluded: attempts.excluded.clone(),
            running_at: self
                .open
                .iter()
                .map(|run| run.slot.server.id.clone())
                .collect(),
            version: attempts.version.clone(),
            may_have_run: attempts.may_have_run || !self.open.is_empty(),
        };
        self.search_at = None;
        self.search = Some(find_slot(self.request, self.start, search).boxed_local());
    }

    async fn next_event(&mut self) -> RunEvent {
        let clock = &self.request.gateway.clock;
        let newest = self.open.last().map(|run| Rc::clone(&run.notice));
        let overlap_over_at = self.overlap_over_at();
        let spoken_due_at = self.spoken_due_at();
        let search_at = self.search_at;
        let (open, search) = (&mut self.open, &mut self.search);
        let at = |time: Duration| tokio::time::sleep_until(clock.instant(time));
        let noticed = |notice: Rc<SilenceNotice>| async move { notice.noticed().await };
        tokio::select! {
            biased;
            (index, end) = first_of(open.iter_mut().map(|run| &mut run.end)) => RunEvent::Ended(index, end),
            found = or_pending(search.as_mut()) => RunEvent::Found(found),
            () = or_pending(newest.map(noticed)) => RunEvent::Silent,
            () = or_pending(overlap_over_at.map(at)) => RunEvent::OverlapOver,
            () = or_pending(spoken_due_at.map(at)) => RunEvent::SpokenDue,
            () = or_pending(search_at.map(at)) => RunEvent::SearchDue,
        }
    }

    /// When the oldest run must end because a newer one has begun.
    fn overlap_over_at(&self) -> Option<Duration> {
        let newer = self.open.get(1)?;
        Some(newer.sent_at? + OVERLAP_MAX)
    }

    /// When the silent run that speaks again is preferred to the newest one. That server is slow: another one is better for the
    /// rest of the stream, if it is there soon.
    fn spoken_due_at(&self) -> Option<Duration> {
        self.spoken.as_ref()?;
        let newest = self.open.last()?;
        Some(newest.sent_at? + FIRST_EVENT_TIMEOUT)
    }

    fn handle(&mut self, event: RunEvent) -> Step {
        match event {
            RunEvent::Ended(index, end) => self.run_ended(index, end),
            RunEvent::Found(found) => {
                self.search = None;
                match found {
                    Ok(slot) => self.send(slot),
                    Err(error) => return self.found_no_slot(error),
                }
                Step::Wait
            }
            RunEvent::Silent => {
                self.newest_is_silent();
                self.search_or_end()
            }
            RunEvent::SearchDue => {
                self.search_at = None;
                self.search_or_end()
            }
            RunEvent::OverlapOver => {
                self.end_oldest();
                Step::Wait
            }
            RunEvent::SpokenDue => self.go_on_with_spoken().unwrap_or(Step::Wait),
        }
    }

    fn found_no_slot(&mut self, error: RunError) -> Step {
        if self.open.is_empty() {
            return Step::fail(match self.answer.take() {
                Some(answer) => answered(answer),
                None => error,
            });
        }
        let now = self.request.gateway.clock.now();
        self.search_at = Some(now + self.search_pause);
        self.search_pause *= 2;
        Step::Wait
    }

    /// Sends the request to a server.
    fn send(&mut self, slot: Slot) {
        if self.open.len() >= OPEN_RUNS_MAX {
            self.end_oldest();
        }
        let (request, attempts) = (self.request, &mut *self.attempts);
        let sent_at = request.gateway.clock.now();
        attempts.count += 1;
        attempts.began_at.get_or_insert(sent_at);
        attempts.excluded.push(slot.server.id.clone());
        request.caller.progress.begin_attempt();
        let may_repeat = self.may_send();
        let notice = Rc::new(SilenceNotice::new(match may_repeat {
            true => FIRST_EVENT_TIMEOUT,
            false => Duration::MAX,
        }));
        let slot = Rc::new(slot);
        let last_event = self.start.last_event();
        let end = run(request, Rc::clone(&slot), Rc::clone(&notice), last_event);
        self.open.push(OpenRun {
            slot,
            notice,
            sent_at: Some(sent_at),
            end: end.boxed_local(),
        });
    }

    fn newest_is_silent(&mut self) {
        let Some(run) = self.open.last().filter(|run| run.sent_at.is_some()) else {
            return;
        };
        run.slot.set_outcome(RunOutcome::Silent);
        self.attempts.may_have_run = true;
        self.log_failed_run(run, RunOutcome::Silent);
    }

    fn end_oldest(&mut self) {
        let run = self.open.remove(0);
        log::info!(
            event = "silent_run_ended", request = self.request.caller.id.as_str(), server = run.slot.server.id.as_str();
            "a silent run is ended because another server works on the request"
        );
    }

    fn run_ended(&mut self, index: usize, end: RunEnd) -> Step {
        let ended = self.open.remove(index);
        let run = match end {
            RunEnd::Speaks(run) => run,
            RunEnd::Failed(failure) => return self.run_failed(&ended, failure),
        };
        let is_silent_one = ended.sent_at.is_none();
        if is_silent_one && !self.open.is_empty() {
            self.search = None;
            self.search_at = None;
            self.spoken = Some(run);
            return Step::Wait;
        }
        let has_other = !self.open.is_empty() || self.spoken.is_some();
        if !is_silent_one && has_other && !self.goes_on(&run.stream) {
            return self.run_failed(&ended, OpenError::Failed(RunOutcome::Broken));
        }
        Step::End(Box::new(Ok(Started { run, is_silent_one })))
    }

    /// Whether a response has what comes next in the stream.
    fn goes_on(&self, stream: &EngineStream) -> bool {
        let StartPoint::Resume { order, .. } = self.start else {
            return true;
        };
        let mut order = order.clone();
        order.resume();
        let first = stream.received_event();
        first.is_some_and(|event| order.check(event) != EventCheck::Foreign)
    }

    fn run_failed(&mut self, run: &OpenRun<'a>, failure: OpenError) -> Step {
        let metrics = &self.request.gateway.metrics;
        match failure {
            OpenError::NotRun(outcome) => {
                metrics.count_run("not_run");
                self.request.caller.progress.attempt_did_not_run();
                run.slot.set_outcome(outcome);
                self.attempts.count -= 1;
                self.attempts.refusals += 1;
                let is_alone = self.open.is_empty() && self.spoken.is_none();
                if self.attempts.refusals >= REFUSALS_MAX && is_alone {
                    return Step::fail(self.last_error(SERVERS_REFUSE));
                }
            }
            OpenError::Failed(outcome) => {
                metrics.count_run("failed");
                run.slot.set_outcome(outcome);
                self.attempts.may_have_run = true;
                self.log_failed_run(run, outcome);
            }
            OpenError::Answered(head, bytes) => {
                metrics.count_run("answered");
                run.slot.set_outcome(run_outcome(head.status));
                let is_final = !head.status.is_server_error()
                    || (self.open.is_empty() && self.search.is_none() && !self.may_send());
                let answer = (head, bytes);
                if is_final && matches!(self.start, StartPoint::Begin { .. }) {
                    return Step::fail(answered(answer));
                }
                self.attempts.may_have_run = true;
                self.answer = Some(answer);
            }
        }
        self.search_or_end()
    }

    fn log_failed_run(&self, run: &OpenRun<'a>, outcome: RunOutcome) {
        log::info!(
            event = "run_failed", request = self.request.caller.id.as_str(), server = run.slot.server.id.as_str(),
            outcome:? = outcome, attempt = self.attempts.count, may_retry = self.may_send(); "the server delivered no event"
        );
    }

    /// Why there is no run, if none is left to wait for.
    fn last_error(&mut self, reason: &'static str) -> RunError {
        if let Some(answer) = self.answer.take() {
            return answered(answer);
        }
        let is_past_deadline = self.request.gateway.clock.now() >= self.request.caller.deadline;
        match self.attempts.may_have_run {
            true if is_past_deadline => RunError::TimedOut,
            true => RunError::Unknown(reason),
            false => RunError::Refused(NO_SERVER_RETRY_AFTER, reason),
        }
    }
}

/// Sends the request and waits for the first event.
async fn run(
    request: StreamRequest<'_>,
    slot: Rc<Slot>,
    notice: Rc<SilenceNotice>,
    last_event: Option<u64>,
) -> RunEnd {
    let StreamRequest {
        gateway,
        caller,
        engine,
    } = request;
    let remaining = caller.deadline.saturating_sub(gateway.clock.now());
    let patience = Patience {
        timeout: remaining,
        notice: Some(&notice),
    };
    let server = &slot.server;
    let opened = open_stream(
        gateway,
        server,
        engine,
        last_event,
        Some(remaining),
        patience,
    )
    .await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(failure) => return RunEnd::Failed(failure),
    };
    let first_event = stream.wait_for_first_event(gateway, &notice, caller.deadline);
    match first_event.await {
        Ok(()) => RunEnd::Speaks(Box::new(Run { slot, stream })),
        Err(outcome) => RunEnd::Failed(OpenError::Failed(outcome)),
    }
}

/// What to find a slot for.
struct SlotSearch {
    excluded: Vec<BackendServerId>,
    /// Servers that work on the request already.
    running_at: Vec<BackendServerId>,
    version: Option<SoftwareVersion>,
    may_have_run: bool,
}

/// Acquires a slot of a server that does not work on the request yet.
async fn find_slot(
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
    let acquired = acquire_slot(gateway, &caller.service, work, search.excluded, version).await;
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

/// A server's own response with an error status.
fn answered((head, bytes): (Box<response::Parts>, Bytes)) -> RunError {
    let mut response = Response::new(ResponseBody::full(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    RunError::Answered(response)
}
