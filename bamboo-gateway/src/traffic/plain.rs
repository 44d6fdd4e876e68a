//! Requests to plain services, whose responses are buffered before they are sent to the caller.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bamboo_fleet::BufferBudget;
use bamboo_fleet::RouteKind;
use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_slots::Permit;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::Full;

use crate::gateway::Gateway;
use crate::response_body::ResponseBody;
use crate::traffic::buffered_body::read_whole_body;
use crate::traffic::pool::Connection;
use crate::traffic::pool::connect_outcome;
use crate::traffic::request::CallerRequest;
use crate::traffic::request::end_to_end_headers;
use crate::traffic::response::belongs_to_request;
use crate::traffic::response::ended_by_stop;
use crate::traffic::response::is_framed;
use crate::traffic::response::not_run;
use crate::traffic::response::observe_statements;
use crate::traffic::response::run_outcome;
use crate::traffic::response::text_response;
use crate::traffic::run_trial::RunTrial;
use crate::traffic::run_trial::TrialRequest;
use crate::traffic::serve::COMPLETE;
use crate::traffic::serve::RequestRecorder;
use crate::traffic::serve::SERVER_FAILURE;
use crate::traffic::serve::STOPPING;

/// Maximum size of a response of a plain service in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;
/// Share of the latency target after which an idempotent request is retried at another server.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// Number of servers that may reject a request before the caller gets a rejection.
const REFUSALS_MAX: u32 = 6;
/// `Retry-After` of a response if no server can take the request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum size of a request body whose connection is reused. A larger body may still be in flight when the server
/// responds early.
const REUSE_BODY_MAX_BYTES: usize = 16 << 10;

/// How one attempt ended.
enum Attempt {
    /// The server sent a complete response.
    Answered(response::Parts, Bytes),
    /// The server did not run the request.
    NotRun(RunOutcome),
    /// The request may have run.
    Failed(RunOutcome),
}

/// Counts a run at the load balancer, and reports its outcome on drop.
struct RunGuard<'a> {
    gateway: &'a Rc<Gateway>,
    server: BackendServerId,
    started_at: Duration,
    outcome: RunOutcome,
}

impl<'a> RunGuard<'a> {
    /// Charges a failure to the server, unless it is one of the way to it.
    fn fail(&mut self, server: &Rc<Server>, outcome: RunOutcome) {
        if !self.gateway.may_be_lost_path(outcome) {
            self.outcome = outcome;
            return;
        }
        let (server_id, started_at) = (server.id.clone(), self.started_at);
        self.gateway
            .charge_after_check(server, outcome, move |gateway, outcome| {
                let now = gateway.clock.now();
                let mut load_balancer = gateway.load_balancer.borrow_mut();
                load_balancer.charge(&server_id, outcome, started_at, now);
            });
    }

    fn begin(gateway: &'a Rc<Gateway>, server: &str) -> Self {
        gateway.load_balancer.borrow_mut().run_started(server);
        RunGuard {
            gateway,
            server: server.to_owned(),
            started_at: gateway.clock.now(),
            outcome: RunOutcome::Cancelled,
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.load_balancer.borrow_mut().run_ended(
            &self.server,
            self.outcome,
            self.started_at,
            now,
        );
    }
}

/// Serves a request to a plain service.
pub(crate) async fn serve_plain(
    gateway: Rc<Gateway>,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let mut recorder = RequestRecorder::begin(&gateway, &request);
    let is_idempotent = request.route.kind == RouteKind::Idempotent;
    let mut excluded: Vec<BackendServerId> = Vec::new();
    let mut refusals = 0;
    let mut may_have_run = false;
    loop {
        let now = gateway.clock.now();
        let remaining = request.deadline.saturating_sub(now);
        if remaining.is_zero() {
            return match may_have_run {
                true => recorder.finish(
                    text_response(StatusCode::GATEWAY_TIMEOUT, "time is up\n"),
                    "timed_out",
                ),
                false => recorder.finish(not_run("time is up\n", BUSY_RETRY_AFTER), "timed_out"),
            };
        }
        if let Some(rejection) = gateway.rejection(&request.suspects) {
            gateway.metrics.count_run(rejection.reason);
            recorder.reason = rejection.reason;
            return match may_have_run {
                true => recorder.finish(
                    text_response(StatusCode::BAD_GATEWAY, rejection.text),
                    "unknown",
                ),
                false => recorder.finish(not_run(rejection.text, rejection.retry_after), "refused"),
            };
        }
        let until = gateway.run_begins_until(&request.route.name, request.deadline);
        if until.is_some_and(|until| now > until) {
            recorder.reason = STOPPING;
            return match may_have_run {
                true => recorder.finish(
                    text_response(StatusCode::BAD_GATEWAY, "no answer of the server\n"),
                    "unknown",
                ),
                false => recorder.finish(ended_by_stop(false), "refused"),
            };
        }
        let server = match choose_server(&gateway, &request, &excluded).await {
            Choice::Send(server) => server,
            Choice::Refuse(_) if may_have_run => {
                return recorder.finish(
                    text_response(StatusCode::BAD_GATEWAY, "no answer of a server\n"),
                    "unknown",
                );
            }
            Choice::Refuse(retry_after) => {
                return recorder.finish(
                    not_run("no server can take the request\n", retry_after),
                    "refused",
                );
            }
        };
        // The choice may have waited for the limit of a server.
        let remaining = request.deadline.saturating_sub(gateway.clock.now());
        recorder.attempts += 1;
        recorder.server = server.id.clone();
        let may_retry = is_idempotent && recorder.attempts < request.route.attempts_max;
        let attempt_timeout = match may_retry {
            true => remaining.min(request.route.target_latency.mul_f64(ATTEMPT_TIMEOUT_SHARE)),
            false => remaining,
        };
        recorder.run_began_at.get_or_insert(gateway.clock.now());
        let mut run = RunGuard::begin(&gateway, &server.id);
        let attempted = request.progress.begin_attempt();
        let attempt = send(
            &gateway,
            &request,
            &server,
            is_idempotent,
            remaining,
            attempt_timeout,
        )
        .await;
        excluded.push(server.id.clone());
        match attempt {
            Attempt::Answered(head, bytes) => {
                run.outcome = run_outcome(head.status);
                if may_retry && head.status.is_server_error() {
                    may_have_run = true;
                    continue;
                }
                let mut response = Response::new(ResponseBody::full(bytes));
                *response.status_mut() = head.status;
                *response.headers_mut() = end_to_end_headers(&head.headers);
                let outcome = if head.status.is_success() {
                    COMPLETE
                } else {
                    SERVER_FAILURE
                };
                return recorder.finish(response, outcome);
            }
            Attempt::NotRun(outcome) => {
                run.outcome = outcome;
                request.progress.attempt_did_not_run(&attempted);
                recorder.attempts -= 1;
                refusals += 1;
                if refusals >= REFUSALS_MAX && !may_have_run {
                    return recorder.finish(
                        not_run("all servers are busy\n", BUSY_RETRY_AFTER),
                        "refused",
                    );
                }
            }
            Attempt::Failed(outcome) => {
                run.fail(&server, outcome);
                may_have_run = true;
                log::info!(
                    event = "run_failed", request = request.id.as_str(), server = server.id.as_str(),
                    outcome:? = outcome, attempt = recorder.attempts, may_retry; "the server did not respond"
                );
                if may_retry {
                    gateway.wait_for_verdicts(request.deadline).await;
                    continue;
                }
                return match gateway.clock.now() >= request.deadline {
                    true => recorder.finish(
                        text_response(StatusCode::GATEWAY_TIMEOUT, "time is up\n"),
                        "timed_out",
                    ),
                    false => recorder.finish(
                        text_response(StatusCode::BAD_GATEWAY, "no answer of the server\n"),
                        "unknown",
                    ),
                };
            }
        }
    }
}

/// Server for the next attempt.
enum Choice {
    /// Send the request to this server now.
    Send(Rc<Server>),
    /// No server can take the request in time; retry after this time.
    Refuse(Duration),
}

/// Chooses a server: one without a limit, if one is usable, then one whose limit allows the request soon enough for a
/// response that is on time.
async fn choose_server(
    gateway: &Gateway,
    request: &CallerRequest,
    excluded: &[BackendServerId],
) -> Choice {
    let unlimited = gateway.pick_server(&request.service, excluded, None);
    let is_usable = |server: &Rc<Server>| {
        let now = gateway.clock.now();
        gateway.load_balancer.borrow().is_usable(&server.id, now)
    };
    if let Some(server) = unlimited.as_ref().filter(|server| is_usable(server)) {
        return Choice::Send(Rc::clone(server));
    }
    let on_time_for = request
        .route
        .target_latency
        .mul_f64(1.0 - ATTEMPT_TIMEOUT_SHARE);
    let send_by = (request.arrived_at + on_time_for).saturating_sub(request.waited);
    let until = gateway
        .run_begins_until(&request.route.name, request.deadline)
        .unwrap_or(Duration::MAX);
    let max_wait = send_by.min(until).saturating_sub(gateway.clock.now());
    let permit = gateway.request_permit(&request.service, excluded, max_wait);
    match (permit.await, unlimited) {
        (Some(Permit::Granted { server, wait }), _) => {
            actix_rt::time::sleep(wait).await;
            match gateway.directory.borrow().get(&server) {
                Some(server) if server.state == ServerState::Ready => {
                    Choice::Send(Rc::clone(server))
                }
                _ => Choice::Refuse(BUSY_RETRY_AFTER),
            }
        }
        (_, Some(unlimited)) => Choice::Send(unlimited),
        (Some(Permit::Denied { retry_after }), None) => Choice::Refuse(retry_after),
        (None, None) => Choice::Refuse(BUSY_RETRY_AFTER),
    }
}

async fn send(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    server: &Rc<Server>,
    is_idempotent: bool,
    remaining: Duration,
    attempt_timeout: Duration,
) -> Attempt {
    let now = gateway.clock.now();
    // A request that must not be retried gets a new connection, so that bytes left over from an earlier response cannot
    // affect it.
    let pooled = is_idempotent
        .then(|| gateway.take_idle_connection(server))
        .flatten();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match gateway.pool.connect(gateway, server).await {
            Ok(connection) => connection,
            Err(failure) => return Attempt::NotRun(connect_outcome(failure)),
        },
    };
    let Some(outgoing) = build_request(gateway, request, server, remaining) else {
        return Attempt::NotRun(RunOutcome::Cancelled);
    };
    let trial_request = TrialRequest {
        id: &request.id,
        suspects: &request.suspects,
        content: Some(request.content()),
        is_from_start: true,
    };
    let mut trial = RunTrial::begin(gateway, server, trial_request);
    let exchange = exchange(&mut connection, outgoing, &gateway.server_buffers);
    match trial.watch(attempt_timeout, exchange).await {
        Ok(Ok((head, bytes))) => {
            gateway.record_heard(&connection);
            if ends_with_connection(&request.method, &head)
                && (bytes.is_empty() || trial.is_server_down().await)
            {
                log::info!(
                    event = "answer_cut", request = request.id.as_str(), server = server.id.as_str(), bytes = bytes.len();
                    "an answer without a length or chunks is empty, or its server takes no connections any more"
                );
                trial.run_broke();
                return Attempt::Failed(RunOutcome::Broken);
            }
            let attempt = classify_response(gateway, request, server, now, connection, head, bytes);
            if matches!(attempt, Attempt::Answered(..)) {
                trial.answered();
            }
            attempt
        }
        Ok(Err(error)) => {
            log::debug!(
                "connection to server {} failed during request {}: {error}",
                server.id,
                request.id
            );
            trial.run_broke();
            Attempt::Failed(RunOutcome::Broken)
        }
        Err(_) => {
            gateway.record_silence(&connection);
            Attempt::Failed(RunOutcome::Silent)
        }
    }
}

/// Whether only the end of the connection tells where the body of a success ends. That of a server that crashed looks the same.
fn ends_with_connection(method: &Method, head: &response::Parts) -> bool {
    let has_body = *method != Method::HEAD && head.status != StatusCode::NO_CONTENT;
    head.status.is_success() && has_body && !is_framed(&head.headers)
}

fn build_request(
    gateway: &Gateway,
    request: &CallerRequest,
    server: &Server,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let names = &gateway.dialect.headers;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse().ok()?;
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.insert(
        &names.expected_server,
        HeaderValue::from_str(&server.id).ok()?,
    );
    headers.insert(
        &names.deadline_ms,
        HeaderValue::from(remaining.as_millis() as u64),
    );
    Some(outgoing)
}

async fn exchange(
    connection: &mut Connection,
    outgoing: Request<Full<Bytes>>,
    buffers: &Arc<BufferBudget>,
) -> anyhow::Result<(response::Parts, Bytes)> {
    let response = connection.send(outgoing).await?;
    let (head, body) = response.into_parts();
    let bytes = read_whole_body(body, RESPONSE_MAX_BYTES, buffers).await?;
    Ok((head, bytes))
}

/// Checks a complete response, and classifies the attempt by its status and headers.
fn classify_response(
    gateway: &Gateway,
    request: &CallerRequest,
    server: &Server,
    sent_at: Duration,
    connection: Connection,
    head: response::Parts,
    bytes: Bytes,
) -> Attempt {
    let names = &gateway.dialect.headers;
    if !belongs_to_request(gateway, &request.id, &head, connection.is_reused) {
        return Attempt::Failed(RunOutcome::Broken);
    }
    observe_statements(gateway, server, &head, sent_at);
    if request.body.len() <= REUSE_BODY_MAX_BYTES {
        let now = gateway.clock.now();
        gateway.pool.put_idle(connection, &head.headers, now);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Attempt::NotRun(RunOutcome::Misdirected);
    }
    if head.headers.contains_key(&names.not_run) {
        return Attempt::NotRun(RunOutcome::Full);
    }
    Attempt::Answered(head, bytes)
}
