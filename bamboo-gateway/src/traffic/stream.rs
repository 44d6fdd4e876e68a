//! Requests whose responses are event streams.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::EventCheck;
use bamboo_fleet::EventOrder;
use bamboo_fleet::RouteKind;
use bamboo_slots::RunOutcome;
use bamboo_types::StreamOrigin;
use http::Response;
use http::StatusCode;

use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::response_body::ChunkQueue;
use crate::response_body::QueueError;
use crate::response_body::ResponseBody;
use crate::traffic::engine_run::EngineRequest;
use crate::traffic::engine_run::StreamRead;
use crate::traffic::request::CallerRequest;
use crate::traffic::response::not_run;
use crate::traffic::response::over_rate;
use crate::traffic::response::pass_on;
use crate::traffic::response::text_response;
use crate::traffic::serve::CALLER_LEFT;
use crate::traffic::serve::COMPLETE;
use crate::traffic::serve::RequestRecorder;
use crate::traffic::serve::SERVER_FAILURE;
use crate::traffic::serve::STOPPED;
use crate::traffic::slot_search::EVENT_GAP_TIMEOUT;
use crate::traffic::slot_search::NO_SERVER_RETRY_AFTER;
use crate::traffic::slot_search::RATE_EXCEEDED;
use crate::traffic::slot_search::RunError;
use crate::traffic::slot_search::StartPoint;
use crate::traffic::slot_search::StreamRequest;
use crate::traffic::slot_search::VERSION_GONE;
use crate::traffic::slot_search::is_resumable;
use crate::traffic::stream_runs::Attempts;
use crate::traffic::stream_runs::Run;
use crate::traffic::stream_runs::start_run;
use crate::traffic::take_up::TakeUp;
use crate::traffic::take_up::find_take_up;

/// Outcome in the log of a stream that no other server goes on with.
const NOT_RESUMED: &str = "not_resumed";
/// Reason in the log of a request that is rejected because it is not known where its stream began.
const ORIGIN_UNKNOWN: &str = "origin_unknown";

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
    let stream_request = StreamRequest {
        gateway: &gateway,
        caller: &request,
        engine: &engine_request,
    };
    let start = StartPoint::Begin {
        last_event,
        start_by,
    };
    let started = start_run(stream_request, &mut attempts, start, None).await;
    recorder.attempts = attempts.count;
    recorder.run_began_at = attempts.began_at;
    let run = match started {
        Ok(started) => started.run,
        Err(RunError::Answered(response)) => return recorder.finish(response, SERVER_FAILURE),
        Err(RunError::Refused(retry_after, RATE_EXCEEDED)) => {
            recorder.reason = RATE_EXCEEDED;
            return recorder.finish(over_rate(retry_after), "refused");
        }
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
    let (chunks, body) = ChunkQueue::new(&gateway.server_buffers);
    let response = pass_on(&run.stream.head, body);
    recorder.record_first_byte();
    actix_rt::spawn(async move {
        let stream_request = StreamRequest {
            gateway: &gateway,
            caller: &request,
            engine: &engine_request,
        };
        let outcome = forward_events(stream_request, &mut attempts, run, &chunks, last_event).await;
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
    response
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

/// Forwards events to the caller. Resumes a resumable stream at another server if its own fails, or is silent and the other
/// one is sooner.
async fn forward_events(
    stream: StreamRequest<'_>,
    attempts: &mut Attempts,
    mut run: Box<Run>,
    chunks: &ChunkQueue,
    first_id: Option<u64>,
) -> ForwardEnd {
    let (gateway, request) = (stream.gateway, stream.caller);
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
                let deadline = gateway.clock.instant(request.deadline);
                match tokio::time::timeout_at(deadline, chunks.push(event.raw)).await {
                    Ok(Ok(())) => {
                        attempts.progress.last_event.set(order.last_id());
                        continue;
                    }
                    // The caller reads nothing.
                    Err(_) => return ForwardEnd::Broken("timed_out"),
                    Ok(Err(QueueError::CallerDisconnected)) => {
                        return ForwardEnd::CallerDisconnected;
                    }
                    Ok(Err(QueueError::BudgetExhausted)) => {
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
            StreamRead::End => return ForwardEnd::Complete(run),
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
        // One that failed releases its slot before another one starts.
        let silent = (outcome == RunOutcome::Silent).then_some(run);
        let start = StartPoint::Resume {
            order: &order,
            gap_target,
            heard_at: attempts.progress.heard_at.get(),
        };
        let next_run = tokio::select! {
            started = start_run(stream, attempts, start, silent) => started,
            () = chunks.closed() => return ForwardEnd::CallerDisconnected,
            () = &mut ending => return ForwardEnd::Broken(STOPPED),
        };
        let started = match next_run {
            Ok(started) => started,
            Err(RunError::TimedOut) => return ForwardEnd::Broken("timed_out"),
            Err(error) => return ForwardEnd::NotResumed(error.reason()),
        };
        if !started.is_same_run {
            if started.run.stream.head.status != status {
                return ForwardEnd::NotResumed("other_status");
            }
            log_resumption(request, &started.run, order.last_id());
            order.resume();
        }
        run = started.run;
    }
}
