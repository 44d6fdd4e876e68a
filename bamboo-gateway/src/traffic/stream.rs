//! Requests that are answered with event streams.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::RouteKind;
use bamboo_slots::RunOutcome;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use tokio::sync::mpsc;

use crate::body::AnswerBody;
use crate::body::STREAM_QUEUE;
use crate::gateway::Gateway;
use crate::slot_requests::Slot;
use crate::slot_requests::SlotError;
use crate::slot_requests::acquire_slot;
use crate::traffic::answer::not_run;
use crate::traffic::answer::own_answer;
use crate::traffic::engine_run::EngineRequest;
use crate::traffic::engine_run::EngineStream;
use crate::traffic::engine_run::Next;
use crate::traffic::engine_run::OpenError;
use crate::traffic::engine_run::open_stream;
use crate::traffic::request::CallerRequest;
use crate::traffic::request::passed_on;
use crate::traffic::serve::RequestEnd;

/// Time from sending to the first event after which a resumable request is tried elsewhere. A first event takes
/// 35 ms at a free slot, and the objective is 300 ms.
const FIRST_EVENT_MAX: Duration = Duration::from_millis(140);
/// Pause between events after which a resumable answer is continued elsewhere: events come every 20 to 30 ms, and the
/// shortest pause that callers count as late is 250 ms.
const GAP_MAX: Duration = Duration::from_millis(130);
/// Servers that may refuse one request before it is refused to the caller.
const REFUSALS_MAX: u32 = 6;
/// When to come back if the coordinator dealt no slot in time: its answer is due within this time.
const TIME_UP_RETRY: Duration = Duration::from_millis(60);
/// When to come back if no server of the service is known.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);

/// A run that delivers events.
struct Run {
    slot: Slot,
    stream: EngineStream,
}

/// Where a request stands.
struct Attempts {
    count: u32,
    refusals: u32,
    excluded: Vec<BackendServerId>,
    may_have_run: bool,
}

/// Why no run delivers.
enum NoRun {
    /// The server's own failure.
    Answered(Response<AnswerBody>),
    /// Nothing ran; come back later. With the reason, for the log.
    Refused(Duration, &'static str),
    /// Something may have run.
    Unknown,
    /// Time is up.
    TimedOut,
}

/// Serves a streaming request.
pub(crate) async fn serve_stream(
    gateway: Rc<Gateway>,
    request: CallerRequest,
) -> Response<AnswerBody> {
    let mut attempts = Attempts {
        count: 0,
        refusals: 0,
        excluded: Vec::new(),
        may_have_run: false,
    };
    let start_by = request.arrived + request.route.target_latency;
    let last_event = request
        .headers
        .get(&gateway.dialect.headers.last_event)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let engine_request = EngineRequest {
        id: request.id.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        is_repeatable: is_resumable(&request),
    };
    let mut end = RequestEnd::begin(&gateway, &request);
    let found = find_run(
        &gateway,
        &request,
        &engine_request,
        &mut attempts,
        start_by,
        last_event,
    )
    .await;
    end.attempts = attempts.count;
    let run = match found {
        Ok(run) => run,
        Err(NoRun::Answered(response)) => return end.answer(response, "server_failure"),
        Err(NoRun::Refused(retry_after, reason)) => {
            end.reason = reason;
            return end.answer(not_run("no slot in time\n", retry_after), "refused");
        }
        Err(NoRun::TimedOut) if !attempts.may_have_run => {
            return end.answer(not_run("no slot in time\n", NO_SERVER_RETRY), "timed_out");
        }
        Err(NoRun::TimedOut) => {
            return end.answer(
                own_answer(StatusCode::GATEWAY_TIMEOUT, "time is up\n"),
                "timed_out",
            );
        }
        Err(NoRun::Unknown) => {
            return end.answer(
                own_answer(StatusCode::BAD_GATEWAY, "no answer of the server\n"),
                "unknown",
            );
        }
    };
    end.server = run.slot.server.id.clone();
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = run.stream.head.status;
    *response.headers_mut() = passed_on(&run.stream.head.headers);
    let (pieces, body) = mpsc::channel(STREAM_QUEUE);
    end.first_byte();
    actix_rt::spawn(async move {
        let outcome = pump(
            &gateway,
            &request,
            &engine_request,
            &mut attempts,
            run,
            &pieces,
            last_event,
        )
        .await;
        end.attempts = attempts.count;
        match outcome {
            PumpEnd::Complete(run) => {
                run.slot.set_outcome(RunOutcome::Done);
                run.stream.finish(&gateway);
                end.note(StatusCode::OK, "complete");
            }
            PumpEnd::CallerLeft => end.note(StatusCode::OK, "caller_left"),
            PumpEnd::Broken(reason) => {
                // The error breaks the caller's connection: the answer must not look complete.
                let _ = pieces.send(Err(io::Error::other(reason))).await;
                end.note(StatusCode::OK, reason);
            }
        }
    });
    *response.body_mut() = AnswerBody::Pieces(body);
    response
}

/// Whether another server can go on with the answer.
fn is_resumable(request: &CallerRequest) -> bool {
    matches!(
        request.route.kind,
        RouteKind::Streaming {
            is_resumable: true,
            ..
        }
    )
}

/// Finds a server that delivers a first event.
async fn find_run(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    engine_request: &EngineRequest,
    attempts: &mut Attempts,
    start_by: Duration,
    last_event: Option<u64>,
) -> Result<Run, NoRun> {
    let is_resumable = is_resumable(request);
    loop {
        let now = gateway.clock.now();
        if now >= request.limit {
            return Err(NoRun::TimedOut);
        }
        let work = Work::Online {
            start_by,
            expires_at: request.limit,
        };
        let asked = acquire_slot(gateway, &request.service, work, attempts.excluded.clone()).await;
        let slot = match asked {
            Ok(slot) => slot,
            Err(_) if attempts.may_have_run => return Err(NoRun::Unknown),
            Err(SlotError::Refused(retry_after)) => {
                return Err(NoRun::Refused(retry_after, "coordinator_full"));
            }
            Err(SlotError::TimedOut) => {
                return Err(NoRun::Refused(TIME_UP_RETRY, "not_dealt_in_time"));
            }
            Err(SlotError::NoServer) => return Err(NoRun::Refused(NO_SERVER_RETRY, "no_server")),
        };
        let sent_at = gateway.clock.now();
        gateway
            .metrics
            .slot_wait_s
            .observe(sent_at.saturating_sub(now).as_secs_f64());
        attempts.count += 1;
        let left = request.limit.saturating_sub(sent_at);
        let may_retry = is_resumable && attempts.count < request.route.attempts_max;
        let patience = if may_retry {
            left.min(FIRST_EVENT_MAX)
        } else {
            left
        };
        let opened = open_stream(
            gateway,
            &slot.server,
            engine_request,
            last_event,
            Some(left),
            patience,
        )
        .await;
        let failure = match opened {
            Ok(mut stream) => match first_event(gateway, &mut stream, patience).await {
                Ok(()) => return Ok(Run { slot, stream }),
                Err(outcome) => OpenError::Failed(outcome),
            },
            Err(failure) => failure,
        };
        attempts.excluded.push(slot.server.id.clone());
        match failure {
            OpenError::NotRun(outcome) => {
                gateway.metrics.run_ended("not_run");
                slot.set_outcome(outcome);
                attempts.count -= 1;
                attempts.refusals += 1;
                if attempts.refusals >= REFUSALS_MAX {
                    return Err(match attempts.may_have_run {
                        true => NoRun::Unknown,
                        false => NoRun::Refused(NO_SERVER_RETRY, "servers_refuse"),
                    });
                }
            }
            OpenError::Failed(outcome) => {
                gateway.metrics.run_ended("failed");
                log::info!(
                    event = "run_failed", request = request.id.as_str(), server = slot.server.id.as_str(),
                    outcome:? = outcome, attempt = attempts.count, may_retry; "no answer of the server"
                );
                slot.set_outcome(outcome);
                attempts.may_have_run = true;
                if !may_retry {
                    let is_over = gateway.clock.now() >= request.limit;
                    return Err(if is_over {
                        NoRun::TimedOut
                    } else {
                        NoRun::Unknown
                    });
                }
            }
            OpenError::Answered(head, bytes) => {
                gateway.metrics.run_ended("answered");
                slot.set_outcome(RunOutcome::Done);
                if may_retry && head.status.is_server_error() {
                    attempts.may_have_run = true;
                    continue;
                }
                let mut response = Response::new(AnswerBody::whole(bytes));
                *response.status_mut() = head.status;
                *response.headers_mut() = passed_on(&head.headers);
                return Err(NoRun::Answered(response));
            }
        }
    }
}

/// Waits until the first event is there.
async fn first_event(
    gateway: &Gateway,
    stream: &mut EngineStream,
    patience: Duration,
) -> Result<(), RunOutcome> {
    match stream.next(gateway, patience).await {
        Next::Event(event) => {
            stream.put_back(event);
            Ok(())
        }
        Next::End => Ok(()),
        Next::Broken => Err(RunOutcome::Broken),
        Next::Silent => Err(RunOutcome::Silent),
    }
}

/// How the delivery of a stream ended.
enum PumpEnd {
    Complete(Box<Run>),
    CallerLeft,
    Broken(&'static str),
}

/// Passes events on, and continues a resumable answer at another server if its own fails.
async fn pump(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    engine_request: &EngineRequest,
    attempts: &mut Attempts,
    mut run: Run,
    pieces: &mpsc::Sender<io::Result<Bytes>>,
    first_id: Option<u64>,
) -> PumpEnd {
    let RouteKind::Streaming {
        is_resumable,
        gap_target,
    } = request.route.kind
    else {
        return PumpEnd::Broken("not_streaming");
    };
    let mut last_id = first_id;
    let mut has_sent = false;
    loop {
        let now = gateway.clock.now();
        let left = request.limit.saturating_sub(now);
        let may_resume = is_resumable
            && attempts.count < request.route.attempts_max
            && (last_id.is_some() || !has_sent);
        let silence = if may_resume { left.min(GAP_MAX) } else { left };
        let next = tokio::select! {
            next = run.stream.next(gateway, silence) => next,
            () = pieces.closed() => return PumpEnd::CallerLeft,
        };
        let outcome = match next {
            Next::Event(event) => {
                if event.id.is_some() && event.id <= last_id {
                    continue;
                }
                last_id = event.id.or(last_id);
                has_sent = true;
                if pieces.send(Ok(Bytes::from(event.raw))).await.is_err() {
                    return PumpEnd::CallerLeft;
                }
                continue;
            }
            Next::End => return PumpEnd::Complete(Box::new(run)),
            Next::Broken => RunOutcome::Broken,
            Next::Silent => RunOutcome::Silent,
        };
        run.slot.set_outcome(outcome);
        log::info!(
            event = "stream_failed", request = request.id.as_str(), server = run.slot.server.id.as_str(),
            outcome:? = outcome, last_event = last_id, may_resume; "a stream broke off"
        );
        if gateway.clock.now() >= request.limit {
            return PumpEnd::Broken("timed_out");
        }
        if !may_resume {
            return PumpEnd::Broken("broken");
        }
        attempts.excluded.push(run.slot.server.id.clone());
        // The run before must end before another goes on.
        drop(run);
        let start_by = gateway.clock.now() + gap_target.saturating_sub(GAP_MAX);
        let next_run = tokio::select! {
            found = find_run(gateway, request, engine_request, attempts, start_by, last_id) => found,
            () = pieces.closed() => return PumpEnd::CallerLeft,
        };
        match next_run {
            Ok(found) => run = found,
            Err(_) => return PumpEnd::Broken("not_resumed"),
        }
    }
}
