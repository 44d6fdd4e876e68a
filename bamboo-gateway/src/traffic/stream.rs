//! Requests whose responses are event streams.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::EventCheck;
use bamboo_fleet::EventOrder;
use bamboo_fleet::RouteKind;
use bamboo_quarantine::SuspectId;
use bamboo_slots::RunOutcome;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use bamboo_types::StreamOrigin;
use http::Response;
use http::StatusCode;

use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::gateway::Rejection;
use crate::response_body::ChunkQueue;
use crate::response_body::QueueError;
use crate::response_body::ResponseBody;
use crate::slot_requests::Slot;
use crate::slot_requests::SlotError;
use crate::slot_requests::acquire_slot;
use crate::traffic::engine_run::EngineRequest;
use crate::traffic::engine_run::EngineStream;
use crate::traffic::engine_run::OpenError;
use crate::traffic::engine_run::StreamRead;
use crate::traffic::engine_run::open_stream;
use crate::traffic::request::CallerRequest;
use crate::traffic::request::end_to_end_headers;
use crate::traffic::response::STOPPING_RETRY_AFTER;
use crate::traffic::response::not_run;
use crate::traffic::response::run_outcome;
use crate::traffic::response::text_response;
use crate::traffic::serve::CALLER_LEFT;
use crate::traffic::serve::COMPLETE;
use crate::traffic::serve::RequestRecorder;
use crate::traffic::serve::SERVER_FAILURE;
use crate::traffic::serve::STOPPED;
use crate::traffic::serve::STOPPING;
use crate::traffic::serve::StreamProgress;
use crate::traffic::take_up::TakeUp;
use crate::traffic::take_up::find_take_up;

/// Time without a first event after which a resumable request is retried at another server. The first event takes 35 ms
/// on a free slot, and the target is 300 ms.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(140);
/// Gap between events after which a resumable stream is resumed at another server. Events arrive every 20 to 30 ms, and
/// the shortest gap that callers count as late is 250 ms.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(130);
/// Number of servers that may reject a request before the caller gets a rejection.
const REFUSALS_MAX: u32 = 6;
/// `Retry-After` of a response if no slot was granted in time. The coordinator replies within this time.
const GRANT_TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(60);
/// `Retry-After` of a response if no server of the service is available.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A run that has begun to deliver events, with its slot.
struct Run {
    slot: Slot,
    stream: EngineStream,
}

/// Reason in the log of a request that too many servers rejected.
const SERVERS_REFUSE: &str = "servers_refuse";
/// Reason in the log of a request that is rejected because no server of its version is left.
const VERSION_GONE: &str = "version_gone";
/// Outcome in the log of a stream that no other server goes on with.
const NOT_RESUMED: &str = "not_resumed";
/// Reason in the log of a request that is rejected because it is not known where its stream began.
const ORIGIN_UNKNOWN: &str = "origin_unknown";

/// Attempts of a request so far.
struct Attempts {
    count: u32,
    refusals: u32,
    excluded: Vec<BackendServerId>,
    may_have_run: bool,
    /// Identifier of the request that began the stream.
    stream: String,
    /// Version that began the stream, at which alone it goes on; `None` before its first event.
    version: Option<SoftwareVersion>,
    /// When the first one began.
    began_at: Option<Duration>,
    /// What the caller has got.
    progress: Rc<StreamProgress>,
}

/// Why no run delivers events.
enum RunError {
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
    fn reason(&self) -> &'static str {
        match self {
            RunError::Answered(_) => "server_failure",
            RunError::Refused(_, reason) | RunError::Unknown(reason) => reason,
            RunError::Rejected(rejection) => rejection.reason,
            RunError::TimedOut => "timed_out",
        }
    }
}

/// Serves a streaming request.
pub(crate) async fn serve_stream(
    gateway: Rc<Gateway>,
    mut request: CallerRequest,
) -> Response<ResponseBody> {
    let mut recorder = RequestRecorder::begin(&gateway, &request);
    let mut attempts = Attempts {
        count: 0,
        refusals: 0,
        excluded: Vec::new(),
        may_have_run: false,
        stream: request.id.clone(),
        version: None,
        began_at: None,
        progress: Rc::clone(&recorder.stream),
    };
    let take_up = match is_resumable(&request) {
        true => find_take_up(&gateway, &request).await,
        false => TakeUp::NewStream,
    };
    let is_take_up = !matches!(take_up, TakeUp::NewStream);
    match take_up {
        TakeUp::NewStream => {}
        TakeUp::GoesOn { stream, origin } => {
            attempts.stream = stream;
            attempts.version = Some(origin.version);
            request.service = origin.service;
        }
        TakeUp::OriginUnknown => {
            gateway.metrics.count_take_up(ORIGIN_UNKNOWN);
            recorder.reason = ORIGIN_UNKNOWN;
            let response = not_run("the stream is not known\n", NO_SERVER_RETRY_AFTER);
            return recorder.finish(response, "refused");
        }
    }
    let start_by =
        (request.arrived_at + request.route.target_latency).saturating_sub(request.waited);
    let last_event = request
        .headers
        .get(&gateway.dialect.headers.last_event_id)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let engine_request = EngineRequest {
        id: request.id.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        is_retryable: is_resumable(&request),
        suspects: Rc::clone(&request.suspects),
        content: Some(request.content()),
    };
    let started = start_run(
        &gateway,
        &request,
        &engine_request,
        &mut attempts,
        start_by,
        last_event,
    )
    .await;
    recorder.attempts = attempts.count;
    recorder.run_began_at = attempts.began_at;
    let run = match started {
        Ok(run) => run,
        Err(RunError::Answered(response)) => return recorder.finish(response, SERVER_FAILURE),
        Err(RunError::Refused(retry_after, reason)) => {
            let text = match reason {
                VERSION_GONE => {
                    gateway.metrics.count_take_up(VERSION_GONE);
                    "no server of the stream's version\n"
                }
                _ => "no slot in time\n",
            };
            recorder.reason = reason;
            return recorder.finish(not_run(text, retry_after), "refused");
        }
        Err(RunError::Rejected(rejection)) => {
            gateway.metrics.count_run(rejection.reason);
            recorder.reason = rejection.reason;
            return recorder.finish(not_run(rejection.text, rejection.retry_after), "refused");
        }
        Err(RunError::TimedOut) if !attempts.may_have_run => {
            return recorder.finish(
                not_run("no slot in time\n", NO_SERVER_RETRY_AFTER),
                "timed_out",
            );
        }
        Err(RunError::TimedOut) => {
            return recorder.finish(
                text_response(StatusCode::GATEWAY_TIMEOUT, "time is up\n"),
                "timed_out",
            );
        }
        Err(RunError::Unknown(reason)) => {
            recorder.reason = reason;
            return recorder.finish(
                text_response(StatusCode::BAD_GATEWAY, "no answer of the server\n"),
                "unknown",
            );
        }
    };
    recorder.server = run.slot.server.id.clone();
    if is_take_up {
        gateway.metrics.count_take_up("resumed");
        log_resumption(&request, &run, last_event);
    }
    let mut response = Response::new(ResponseBody::Full(None));
    *response.status_mut() = run.stream.head.status;
    *response.headers_mut() = end_to_end_headers(&run.stream.head.headers);
    let (chunks, body) = ChunkQueue::new(&gateway.server_buffers);
    recorder.record_first_byte();
    actix_rt::spawn(async move {
        let outcome = forward_events(
            &gateway,
            &request,
            &engine_request,
            &mut attempts,
            run,
            &chunks,
            last_event,
        )
        .await;
        recorder.attempts = attempts.count;
        match outcome {
            ForwardEnd::Complete(run) => {
                run.slot.set_outcome(RunOutcome::Done);
                run.stream.finish(&gateway);
                recorder.record(StatusCode::OK, COMPLETE);
            }
            ForwardEnd::CallerDisconnected => recorder.record(StatusCode::OK, CALLER_LEFT),
            ForwardEnd::Broken(outcome) => {
                // The error aborts the caller's connection: a truncated response must not look complete.
                chunks.abort(outcome).await;
                recorder.record(StatusCode::OK, outcome);
            }
            ForwardEnd::NotResumed(reason) => {
                recorder.reason = reason;
                chunks.abort(NOT_RESUMED).await;
                recorder.record(StatusCode::OK, NOT_RESUMED);
            }
        }
    });
    *response.body_mut() = body;
    response
}

/// Whether another server can resume the stream.
fn is_resumable(request: &CallerRequest) -> bool {
    matches!(
        request.route.kind,
        RouteKind::Streaming {
            is_resumable: true,
            ..
        }
    )
}

/// Acquires slots and sends the request until a server delivers the first event. A stream that has begun goes on only at
/// servers of its version.
async fn start_run(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    engine_request: &EngineRequest,
    attempts: &mut Attempts,
    start_by: Duration,
    last_event: Option<u64>,
) -> Result<Run, RunError> {
    let is_resumable = is_resumable(request);
    let suspects = &engine_request.suspects;
    loop {
        if let Some(error) = quarantine_error(gateway, suspects, attempts) {
            return Err(error);
        }
        let now = gateway.clock.now();
        if now >= request.deadline {
            return Err(RunError::TimedOut);
        }
        let until = gateway
            .run_begins_until(&request.route.name, request.deadline)
            .unwrap_or(Duration::MAX);
        if now >= until {
            return Err(match attempts.may_have_run {
                true => RunError::Unknown(STOPPING),
                false => RunError::Refused(STOPPING_RETRY_AFTER, STOPPING),
            });
        }
        let work = Work::Online {
            start_by,
            expires_at: request.deadline.min(until),
        };
        let (excluded, version) = (attempts.excluded.clone(), attempts.version.as_ref());
        let acquired = acquire_slot(gateway, &request.service, work, excluded, version).await;
        let slot = match acquired {
            Ok(slot) => slot,
            Err(error) => return Err(slot_error(error, attempts)),
        };
        if let Some(error) = quarantine_error(gateway, suspects, attempts) {
            return Err(error);
        }
        let sent_at = gateway.clock.now();
        gateway
            .metrics
            .slot_wait_s
            .observe(sent_at.saturating_sub(now).as_secs_f64());
        attempts.count += 1;
        attempts.began_at.get_or_insert(sent_at);
        let remaining = request.deadline.saturating_sub(sent_at);
        let may_retry = is_resumable && attempts.count < request.route.attempts_max;
        let event_timeout = if may_retry {
            remaining.min(FIRST_EVENT_TIMEOUT)
        } else {
            remaining
        };
        let attempted = request.progress.begin_attempt();
        let opened = open_stream(
            gateway,
            &slot.server,
            engine_request,
            last_event,
            Some(remaining),
            event_timeout,
        )
        .await;
        let failure = match opened {
            Ok(mut stream) => {
                let first_event = stream.wait_for_event(gateway, event_timeout, request.deadline);
                match first_event.await {
                    Ok(()) => return Ok(Run { slot, stream }),
                    Err(outcome) => OpenError::Failed(outcome),
                }
            }
            Err(failure) => failure,
        };
        attempts.excluded.push(slot.server.id.clone());
        match failure {
            OpenError::NotRun(outcome) => {
                gateway.metrics.count_run("not_run");
                request.progress.attempt_did_not_run(&attempted);
                slot.set_outcome(outcome);
                attempts.count -= 1;
                attempts.refusals += 1;
                if attempts.refusals >= REFUSALS_MAX {
                    return Err(match attempts.may_have_run {
                        true => RunError::Unknown(SERVERS_REFUSE),
                        false => RunError::Refused(NO_SERVER_RETRY_AFTER, SERVERS_REFUSE),
                    });
                }
            }
            OpenError::Failed(outcome) => {
                gateway.metrics.count_run("failed");
                log::info!(
                    event = "run_failed", request = request.id.as_str(), server = slot.server.id.as_str(),
                    outcome:? = outcome, attempt = attempts.count, may_retry; "the server delivered no event"
                );
                slot.set_outcome(outcome);
                // Another attempt must not wait with the slot.
                drop(slot);
                attempts.may_have_run = true;
                if !may_retry {
                    let is_past_deadline = gateway.clock.now() >= request.deadline;
                    return Err(if is_past_deadline {
                        RunError::TimedOut
                    } else {
                        RunError::Unknown("attempts_failed")
                    });
                }
                gateway.wait_for_verdicts(request.deadline).await;
            }
            OpenError::Answered(head, bytes) => {
                gateway.metrics.count_run("answered");
                slot.set_outcome(run_outcome(head.status));
                if may_retry && head.status.is_server_error() {
                    attempts.may_have_run = true;
                    continue;
                }
                let mut response = Response::new(ResponseBody::full(bytes));
                *response.status_mut() = head.status;
                *response.headers_mut() = end_to_end_headers(&head.headers);
                return Err(RunError::Answered(response));
            }
        }
    }
}

/// Why a request gets no slot.
fn slot_error(error: SlotError, attempts: &Attempts) -> RunError {
    let (retry_after, reason) = match error {
        SlotError::Refused(retry_after) => (retry_after, "coordinator_full"),
        SlotError::TimedOut => (GRANT_TIMEOUT_RETRY_AFTER, "not_dealt_in_time"),
        SlotError::NoServer if attempts.version.is_some() => (NO_SERVER_RETRY_AFTER, VERSION_GONE),
        SlotError::NoServer => (NO_SERVER_RETRY_AFTER, "no_server"),
    };
    match attempts.may_have_run {
        true => RunError::Unknown(reason),
        false => RunError::Refused(retry_after, reason),
    }
}

/// Why a request must not be sent, if it crashes servers. It is to be retried after the quarantine, unless it may have run.
fn quarantine_error(
    gateway: &Gateway,
    suspects: &[SuspectId],
    attempts: &Attempts,
) -> Option<RunError> {
    let rejection = gateway.rejection(suspects)?;
    Some(match attempts.may_have_run {
        true => RunError::Unknown(rejection.reason),
        false => RunError::Rejected(rejection),
    })
}

fn log_resumption(request: &CallerRequest, run: &Run, last_event: Option<u64>) {
    log::info!(
        event = "stream_resumed", request = request.id.as_str(), server = run.slot.server.id.as_str(),
        version = run.slot.server.version.as_str(), last_event; "a server goes on with a stream"
    );
}

/// How forwarding a stream ended.
enum ForwardEnd {
    Complete(Box<Run>),
    CallerDisconnected,
    Broken(&'static str),
    /// No other server goes on with the stream, for this reason.
    NotResumed(&'static str),
}

/// Forwards events to the caller, and resumes a resumable stream at another server if its own fails.
async fn forward_events(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    engine_request: &EngineRequest,
    attempts: &mut Attempts,
    mut run: Run,
    chunks: &ChunkQueue,
    first_id: Option<u64>,
) -> ForwardEnd {
    let RouteKind::Streaming {
        is_resumable,
        gap_target,
    } = request.route.kind
    else {
        return ForwardEnd::Broken("not_streaming");
    };
    let mut order = EventOrder::new(first_id);
    let status = run.stream.head.status;
    let mut ending = std::pin::pin!(gateway.wait_for_phase(Phase::Ending));
    loop {
        let may_resume =
            is_resumable && attempts.count < request.route.attempts_max && order.can_resume();
        let idle_timeout = match may_resume {
            true => EVENT_GAP_TIMEOUT,
            false => Duration::MAX,
        };
        let next = tokio::select! {
            next = run.stream.next(gateway, idle_timeout, request.deadline) => next,
            () = chunks.closed() => return ForwardEnd::CallerDisconnected,
            () = &mut ending => return ForwardEnd::Broken(STOPPED),
        };
        let outcome = match next {
            StreamRead::Event(event) => {
                let is_first = !order.has_sent();
                match order.check(&event) {
                    EventCheck::Forward => {}
                    EventCheck::Repeated => continue,
                    EventCheck::Foreign => {
                        log::info!(
                            event = "foreign_event", request = request.id.as_str(), server = run.slot.server.id.as_str(),
                            last_event = order.last_id(), id = event.id;
                            "a server does not go on where the stream broke off"
                        );
                        run.slot.set_outcome(RunOutcome::Failed);
                        return ForwardEnd::Broken("foreign_event");
                    }
                }
                if is_resumable && is_first {
                    // Before the event goes out, so that the caller can go on wherever it returns.
                    let version = run.slot.server.version.clone();
                    let service = request.service.clone();
                    attempts.version = Some(version.clone());
                    gateway.record_stream(&attempts.stream, &StreamOrigin { service, version });
                }
                attempts.progress.heard_at.set(Some(gateway.clock.now()));
                match chunks.push(event.raw).await {
                    Ok(()) => {
                        attempts.progress.last_event.set(order.last_id());
                        continue;
                    }
                    Err(QueueError::CallerDisconnected) => return ForwardEnd::CallerDisconnected,
                    Err(QueueError::BudgetExhausted) => {
                        log::warn!(
                            event = "buffers_full", request = request.id.as_str(), server = run.slot.server.id.as_str();
                            "broke off a stream of large events because servers' responses use up their memory"
                        );
                        return ForwardEnd::Broken("buffers_full");
                    }
                }
            }
            // The server may have had nothing to add, or nothing of this stream.
            StreamRead::End if order.is_resuming() => return ForwardEnd::Broken("nothing_resumed"),
            StreamRead::End => return ForwardEnd::Complete(Box::new(run)),
            StreamRead::Broken => RunOutcome::Broken,
            StreamRead::Silent => RunOutcome::Silent,
        };
        run.slot.set_outcome(outcome);
        log::info!(
            event = "stream_failed", request = request.id.as_str(), server = run.slot.server.id.as_str(),
            version = run.slot.server.version.as_str(), outcome:? = outcome, last_event = order.last_id(), may_resume;
            "the stream failed"
        );
        if gateway.clock.now() >= request.deadline {
            return ForwardEnd::Broken("timed_out");
        }
        if !may_resume {
            return ForwardEnd::Broken("broken");
        }
        attempts.excluded.push(run.slot.server.id.clone());
        // The failed run must release its slot before another one starts.
        drop(run);
        // A pause beyond the target is as bad for the caller as the end of the stream.
        let due_at = request.deadline.min(gateway.clock.now() + gap_target);
        gateway.wait_for_verdicts(due_at).await;
        let start_by = gateway.clock.now() + gap_target.saturating_sub(EVENT_GAP_TIMEOUT);
        let next_run = tokio::select! {
            started = start_run(gateway, request, engine_request, attempts, start_by, order.last_id()) => started,
            () = chunks.closed() => return ForwardEnd::CallerDisconnected,
            () = &mut ending => return ForwardEnd::Broken(STOPPED),
        };
        match next_run {
            Ok(started) if started.stream.head.status == status => {
                log_resumption(request, &started, order.last_id());
                order.resume();
                run = started;
            }
            Ok(_) => return ForwardEnd::NotResumed("other_status"),
            Err(error) => return ForwardEnd::NotResumed(error.reason()),
        }
    }
}
