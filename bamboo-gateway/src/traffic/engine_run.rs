//! A single run of a request on a model engine.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_fleet::SseDecoder;
use bamboo_fleet::SseEvent;
use bamboo_slots::RunOutcome;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::gateway::Gateway;
use crate::traffic::pool::Connection;
use crate::traffic::response::belongs_to_request;

/// Maximum size in bytes of a response with an error status, which is not streamed.
const ERROR_BODY_MAX_BYTES: usize = 1 << 20;
/// A timer that fires later than this shows that the host itself was stalled.
const STALL_TOLERANCE: Duration = Duration::from_millis(40);

/// A request to an engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineRequest {
    /// Identifier of the request.
    pub(crate) id: String,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether the request may run more than once. One that may not always gets a new connection, so that bytes left
    /// over from an earlier response cannot affect it.
    pub(crate) is_retryable: bool,
}

/// Why no stream was opened.
#[derive(Debug)]
pub(crate) enum OpenError {
    /// The server did not run the request.
    NotRun(RunOutcome),
    /// The request may have run.
    Failed(RunOutcome),
    /// The server responded with an error status of its own.
    Answered(Box<response::Parts>, Bytes),
}

/// Result of reading from a stream.
#[derive(Debug)]
pub(crate) enum StreamRead {
    /// A complete event.
    Event(SseEvent),
    /// The response is complete.
    End,
    /// The response was truncated.
    Broken,
    /// No event arrived within the idle timeout.
    Silent,
}

/// An event stream from an engine. Dropping it closes the connection, which cancels the run.
pub(crate) struct EngineStream {
    connection: Connection,
    /// Status and headers.
    pub(crate) head: response::Parts,
    body: Incoming,
    decoder: SseDecoder,
    events: VecDeque<SseEvent>,
}

/// Sends a request to a server and waits for the status and headers of the response.
///
/// # Errors
/// Fails if the server does not respond with a stream.
pub(crate) async fn open_stream(
    gateway: &Rc<Gateway>,
    server: &Server,
    request: &EngineRequest,
    last_event: Option<u64>,
    deadline: Option<Duration>,
    timeout: Duration,
) -> Result<EngineStream, OpenError> {
    let names = &gateway.dialect.headers;
    let started = gateway.clock.now();
    let pooled = request
        .is_retryable
        .then(|| gateway.pool.take_idle(&server.id, server.address, started))
        .flatten();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => gateway
            .pool
            .connect(&server.id, server.address)
            .await
            .map_err(|error| {
                log::debug!("cannot connect to server {}: {error:#}", server.id);
                OpenError::NotRun(RunOutcome::Unreachable)
            })?,
    };
    let mut headers = request.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&server.id) {
        headers.insert(&names.expected_server, id);
    }
    if let Some(last_event) = last_event {
        headers.insert(&names.last_event_id, HeaderValue::from(last_event));
    }
    if let Some(deadline) = deadline {
        headers.insert(
            &names.deadline_ms,
            HeaderValue::from(deadline.as_millis() as u64),
        );
    }
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request
        .target
        .parse()
        .map_err(|_| OpenError::NotRun(RunOutcome::Cancelled))?;
    *outgoing.headers_mut() = headers;
    let exchange = async {
        connection.sender.ready().await?;
        connection.sender.send_request(outgoing).await
    };
    let response = match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            log::debug!(
                "connection to server {} failed during request {}: {error}",
                server.id,
                request.id
            );
            return Err(OpenError::Failed(RunOutcome::Broken));
        }
        Err(_) => return Err(OpenError::Failed(RunOutcome::Silent)),
    };
    let (head, body) = response.into_parts();
    if !belongs_to_request(gateway, &request.id, &head) {
        return Err(OpenError::Failed(RunOutcome::Broken));
    }
    if head.status.is_success() {
        return Ok(EngineStream {
            connection,
            head,
            body,
            decoder: SseDecoder::default(),
            events: VecDeque::new(),
        });
    }
    let is_not_run =
        head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST;
    let collected = http_body_util::Limited::new(body, ERROR_BODY_MAX_BYTES).collect();
    let bytes = match tokio::time::timeout(timeout, collected).await {
        Ok(Ok(collected)) => Some(collected.to_bytes()),
        _ => None,
    };
    if bytes.is_some() {
        let now = gateway.clock.now();
        gateway.pool.put_idle(connection, &head.headers, now);
    }
    match (is_not_run, bytes) {
        (true, _) if head.status == StatusCode::MISDIRECTED_REQUEST => {
            Err(OpenError::NotRun(RunOutcome::Misdirected))
        }
        (true, _) => Err(OpenError::NotRun(RunOutcome::Full)),
        (false, Some(bytes)) => Err(OpenError::Answered(Box::new(head), bytes)),
        (false, None) => Err(OpenError::Failed(RunOutcome::Broken)),
    }
}

impl EngineStream {
    /// Reads the next event. Returns `Silent` after `idle_timeout` without data.
    pub(crate) async fn next(&mut self, gateway: &Gateway, idle_timeout: Duration) -> StreamRead {
        let mut started = gateway.clock.now();
        loop {
            if let Some(event) = self.events.pop_front() {
                return StreamRead::Event(event);
            }
            let frame = match tokio::time::timeout(idle_timeout, self.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    let elapsed = gateway.clock.now().saturating_sub(started);
                    if elapsed > idle_timeout + STALL_TOLERANCE {
                        // Data may have arrived while this host was stalled; try to read it first.
                        started = gateway.clock.now();
                        continue;
                    }
                    return StreamRead::Silent;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.events.extend(self.decoder.push(&data));
                    }
                }
                Some(Err(_)) => return StreamRead::Broken,
                None if self.decoder.has_partial() => return StreamRead::Broken,
                None => return StreamRead::End,
            }
        }
    }

    /// Puts an event back so that the next read returns it.
    pub(crate) fn put_back(&mut self, event: SseEvent) {
        self.events.push_front(event);
    }

    /// Returns the connection to the pool after a complete response.
    pub(crate) fn finish(self, gateway: &Gateway) {
        let now = gateway.clock.now();
        gateway
            .pool
            .put_idle(self.connection, &self.head.headers, now);
    }
}
