//! Runs of a streaming request. One whose server is silent goes on while another one is begun, until either delivers an event.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::EventCheck;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::response;

use crate::response_body::ResponseBody;
use crate::slot_requests::Slot;
use crate::traffic::engine_run::EngineStream;
use crate::traffic::engine_run::OpenError;
use crate::traffic::engine_run::ResponseWait;
use crate::traffic::engine_run::SilenceNotice;
use crate::traffic::engine_run::open_stream;
use crate::traffic::overlap::OPEN_RUNS_MAX;
use crate::traffic::overlap::first_of;
use crate::traffic::overlap::or_pending;
use crate::traffic::response::UNFOUNDED_REFUSAL;
use crate::traffic::response::is_unfounded_refusal;
use crate::traffic::response::pass_on;
use crate::traffic::response::run_outcome;
use crate::traffic::serve::StreamProgress;
use crate::traffic::slot_search::EVENT_GAP_TIMEOUT;
use crate::traffic::slot_search::NO_SERVER_RETRY_AFTER;
use crate::traffic::slot_search::RunError;
use crate::traffic::slot_search::SlotSearch;
use crate::traffic::slot_search::StartPoint;
use crate::traffic::slot_search::StreamRequest;
use crate::traffic::slot_search::find_slot;
use crate::traffic::slot_search::is_resumable;

/// Time without a first event after which a resumable request is sent to another server, too. The first event takes 35 ms
/// on a free slot, and the target is 300 ms.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(140);
/// Time for which two servers may work on a request. The end of a connection still has to reach the first one.
const OVERLAP_MAX: Duration = Duration::from_millis(350);
/// Number of servers that may reject a request before the caller gets a rejection.
const REFUSALS_MAX: u32 = 6;

/// Reason in the log of a request that too many servers rejected.
const SERVERS_REFUSE: &str = "servers_refuse";

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

/// A run that delivers events.
pub(super) struct Started {
    pub(super) run: Box<Run>,
    /// Whether it is the silent one, which goes on.
    pub(super) is_same_run: bool,
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
        recovered: None,
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
    /// Wait for the next event.
    Wait,
    /// The runs are over: one delivers events, or none does.
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
    RecoveredDue,
}

/// How waiting for the first event of a run ended.
enum RunEnd {
    /// An event with data, or the end of the response, has arrived.
    Delivers(Box<Run>),
    /// The run delivers nothing.
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
    /// The silent run once it delivers events again, while a newer one may still deliver an event in time.
    recovered: Option<Box<Run>>,
    /// Error response of a server, for the caller if no run delivers events.
    answer: Option<(Box<response::Parts>, Bytes)>,
}

impl<'a> OpenRuns<'a> {
    fn keep_silent(&mut self, run: Box<Run>) {
        let (gateway, deadline) = (self.request.gateway, self.request.caller.deadline);
        let Run { slot, mut stream } = *run;
        let kept = Rc::clone(&slot);
        let end = async move {
            match stream.wait_past_silence(gateway, deadline).await {
                Ok(()) => RunEnd::Delivers(Box::new(Run { slot, stream })),
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
        let may_repeat = attempts.count == 0 || is_resumable(self.request.caller);
        may_repeat
            && attempts.count < self.request.caller.route.attempts_max.max(1)
            && attempts.refusals < REFUSALS_MAX
    }

    /// Goes on with the silent run, if it delivers events again.
    fn go_on_with_recovered(&mut self) -> Option<Step> {
        let run = self.recovered.take()?;
        let is_same_run = true;
        Some(Step::End(Box::new(Ok(Started { run, is_same_run }))))
    }

    /// Looks for another server, or ends without a run if there is nothing to wait for.
    fn search_or_end(&mut self) -> Step {
        if self.recovered.is_some() {
            return match self.open.is_empty() {
                true => self.go_on_with_recovered().unwrap_or(Step::Wait),
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
            is_first: attempts.count == 0 && attempts.refusals == 0,
        };
        self.search_at = None;
        self.search = Some(find_slot(self.request, self.start, search).boxed_local());
    }

    async fn next_event(&mut self) -> RunEvent {
        let clock = &self.request.gateway.clock;
        let newest = self.open.last().map(|run| Rc::clone(&run.notice));
        let overlap_over_at = self.overlap_over_at();
        let recovered_due_at = self.recovered_due_at();
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
            () = or_pending(recovered_due_at.map(at)) => RunEvent::RecoveredDue,
            () = or_pending(search_at.map(at)) => RunEvent::SearchDue,
        }
    }

    /// When the oldest run must end because a newer one has begun.
    fn overlap_over_at(&self) -> Option<Duration> {
        let newer = self.open.get(1)?;
        Some(newer.sent_at? + OVERLAP_MAX)
    }

    /// When the silent run that delivers events again is preferred to the newest one. That server is slow: another one is better for the
    /// rest of the stream, if it is there soon.
    fn recovered_due_at(&self) -> Option<Duration> {
        self.recovered.as_ref()?;
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
            RunEvent::RecoveredDue => self.go_on_with_recovered().unwrap_or(Step::Wait),
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
            RunEnd::Delivers(run) => run,
            RunEnd::Failed(failure) => return self.run_failed(&ended, failure),
        };
        let is_same_run = ended.sent_at.is_none();
        if is_same_run && !self.open.is_empty() {
            self.search = None;
            self.search_at = None;
            self.recovered = Some(run);
            return Step::Wait;
        }
        let has_other = !self.open.is_empty() || self.recovered.is_some();
        if !is_same_run && has_other && !self.goes_on(&run.stream) {
            return self.run_failed(&ended, OpenError::Failed(RunOutcome::Broken));
        }
        Step::End(Box::new(Ok(Started { run, is_same_run })))
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
                let is_alone = self.open.is_empty() && self.recovered.is_none();
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
                let StreamRequest {
                    gateway, caller, ..
                } = self.request;
                let (id, server, may_repeat) =
                    (&caller.id, &run.slot.server.id, is_resumable(caller));
                if is_unfounded_refusal(gateway, id, server, head.status, may_repeat) {
                    self.attempts.may_have_run = true;
                    return Step::fail(RunError::Unknown(UNFOUNDED_REFUSAL));
                }
                let is_final = !head.status.is_server_error();
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
    let wait = ResponseWait {
        timeout: remaining,
        notice: Some(&notice),
    };
    let server = &slot.server;
    let opened = open_stream(gateway, server, engine, last_event, Some(remaining), wait).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(failure) => return RunEnd::Failed(failure),
    };
    let first_event = stream.wait_for_first_event(gateway, &notice, caller.deadline);
    match first_event.await {
        Ok(()) => RunEnd::Delivers(Box::new(Run { slot, stream })),
        Err(outcome) => RunEnd::Failed(OpenError::Failed(outcome)),
    }
}

/// A server's own response with an error status.
fn answered((head, bytes): (Box<response::Parts>, Bytes)) -> RunError {
    RunError::Answered(pass_on(&head, ResponseBody::full(bytes)))
}
