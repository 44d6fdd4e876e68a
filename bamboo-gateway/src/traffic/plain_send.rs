//! Sends one request to a server of a plain service.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::RouteKind;
use bamboo_fleet::Server;
use bamboo_slots::RunOutcome;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::response;
use http_body_util::Full;

use crate::gateway::Gateway;
use crate::traffic::buffered_body::read_whole_body;
use crate::traffic::engine_run::SilenceNotice;
use crate::traffic::engine_run::notify_of_silence;
use crate::traffic::pool::Connection;
use crate::traffic::pool::connect_outcome;
use crate::traffic::process_watch::ProcessWatch;
use crate::traffic::request::CallerRequest;
use crate::traffic::response::belongs_to_request;
use crate::traffic::response::is_framed;
use crate::traffic::response::observe_statements;
use crate::traffic::run_trial::RunTrial;
use crate::traffic::run_trial::TrialRequest;

/// Maximum size of a response of a plain service in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;
/// Maximum size of a request body whose connection is reused. A larger body may still be in flight when the server
/// responds early.
const REUSE_BODY_MAX_BYTES: usize = 16 << 10;

/// How one attempt ended.
pub(super) enum Attempt {
    /// The server sent a complete response.
    Answered(response::Parts, Bytes),
    /// The server did not run the request.
    NotRun(RunOutcome),
    /// The request may have run.
    Failed(RunOutcome),
}

/// Sends a request to a server, and waits for the whole response. Tells of a silence meanwhile.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    server: &Rc<Server>,
    notice: &SilenceNotice,
) -> Attempt {
    let is_idempotent = request.route.kind == RouteKind::Idempotent;
    let remaining = request.deadline.saturating_sub(gateway.clock.now());
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
    let is_direct = connection.is_direct;
    let exchange = exchange(gateway, request, server, &mut connection, outgoing);
    let watched = trial.watch(remaining, exchange);
    match notify_of_silence(gateway, Some(notice), is_direct, watched).await {
        Ok(Ok((head, bytes, process_watch))) => {
            gateway.record_heard(&connection);
            if let Some(process_watch) = process_watch
                && (bytes.is_empty() || trial.has_process_ended(&process_watch).await)
            {
                log::info!(
                    event = "answer_cut", request = request.id.as_str(), server = server.id.as_str(), bytes = bytes.len();
                    "an answer without a length or chunks is empty, or its server has ended"
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
            gateway.record_silence(is_direct);
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

/// Sends the request and waits for the whole response. Watches the server's process during one that ends with its connection.
async fn exchange(
    gateway: &Gateway,
    request: &CallerRequest,
    server: &Server,
    connection: &mut Connection,
    outgoing: Request<Full<Bytes>>,
) -> anyhow::Result<(response::Parts, Bytes, Option<ProcessWatch>)> {
    let response = connection.send(outgoing).await?;
    let (head, body) = response.into_parts();
    let process_watch = match ends_with_connection(&request.method, &head) {
        true => Some(ProcessWatch::begin(gateway, server).await),
        false => None,
    };
    let bytes = read_whole_body(body, RESPONSE_MAX_BYTES, &gateway.server_buffers).await?;
    Ok((head, bytes, process_watch))
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
