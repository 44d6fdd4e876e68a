//! HTTP client for engines and plain services. An engine with a different API (headers, statuses, stream format) is
//! supported by changing this file; the request bodies of items are built in `batch`.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::ClientResponse;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::header::HeaderMap;
use bamboo_fleet::SseDecoder;
use bamboo_fleet::SseEvent;
use bamboo_result::Code;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;

/// Header with the request id, which the server echoes in its response.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the time left until the caller's deadline, milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Data of the event that ends a complete stream.
const DONE_MARKER: &str = "[DONE]";
/// Maximum size of one event of a stream, bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;
/// Maximum size of the body of a rejection, bytes.
const ERROR_BODY_MAX_BYTES: usize = 1 << 20;

/// Why a call got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The request did not run: the server received none of it, or refused it before executing it.
    NotRun { reason: String },
    /// It is unknown whether the server ran the request.
    Unknown {
        code: Code,
        reason: String,
        was_server_lost: bool,
    },
    /// The server rejected the content of the request.
    Refused { status: u16, body: Bytes },
}

/// One call to a backend server.
pub(crate) struct Call<'call> {
    pub(crate) method: Method,
    pub(crate) url: String,
    pub(crate) headers: &'call HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: &'call str,
    pub(crate) deadline: Instant,
}

/// Sends a call and returns the head of the response, whatever its status.
///
/// # Errors
/// Fails if no head arrives, or one with a different request id.
pub(crate) async fn send(client: &Client, call: Call<'_>) -> Result<ClientResponse, CallFailure> {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let mut request = client
        .request(call.method, call.url)
        .timeout(remaining.max(Duration::from_millis(1)));
    for (name, value) in call.headers {
        request = request.insert_header((name.clone(), value.clone()));
    }
    let request = request
        .insert_header((REQUEST_ID_HEADER, call.request_id))
        .insert_header((DEADLINE_HEADER, remaining.as_millis().to_string()));
    let response = request
        .send_body(call.body)
        .await
        .map_err(classify_send_error)?;
    let response_id = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    if response_id.is_some_and(|response_id| response_id != call.request_id) {
        return Err(unknown_outcome(
            Code::AnswerCrossed,
            "the answer bears another identity",
            false,
        ));
    }
    Ok(response)
}

/// Checks the status of an engine's response. 404, 408, 409, 429 and 503 mean that the request did not run, other 4xx
/// statuses reject its content, and anything else leaves the outcome unknown.
///
/// # Errors
/// Fails for every status other than 200.
pub(crate) async fn check_engine_status(
    response: &mut ClientResponse,
    deadline: Instant,
) -> Result<(), CallFailure> {
    let status = response.status().as_u16();
    match status {
        200 => Ok(()),
        404 | 408 | 409 | 429 | 503 => Err(CallFailure::NotRun {
            reason: format!("server answered {status}"),
        }),
        400..=499 => {
            let body = match read_body(response, deadline, ERROR_BODY_MAX_BYTES).await {
                Ok(body) => body,
                Err(failure) => {
                    log::debug!("body of an answer with status {status}: {failure:?}");
                    Bytes::new()
                }
            };
            Err(CallFailure::Refused { status, body })
        }
        _ => Err(unknown_outcome(
            Code::OutcomeUnknown,
            &format!("server answered {status}"),
            false,
        )),
    }
}

/// Reads the whole body of a response.
///
/// # Errors
/// Fails if the connection breaks, the body exceeds `max_bytes` or the deadline passes.
pub(crate) async fn read_body(
    response: &mut ClientResponse,
    deadline: Instant,
    max_bytes: usize,
) -> Result<Bytes, CallFailure> {
    let body = tokio::time::timeout_at(deadline.into(), response.body().limit(max_bytes)).await;
    match body {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(unknown_outcome(
            Code::AnswerCut,
            &format!("the answer broke off: {error}"),
            true,
        )),
        Err(_) => Err(unknown_outcome(
            Code::DeadlineInFlight,
            "the deadline passed during the answer",
            false,
        )),
    }
}

/// One server-sent event of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// The data of an event.
    Data(String),
    /// The `[DONE]` marker: the response is complete.
    End,
}

/// Decoder of a streamed response.
pub(crate) struct EventStream {
    response: ClientResponse,
    decoder: SseDecoder,
    events: VecDeque<SseEvent>,
    deadline: Instant,
}

impl EventStream {
    pub(crate) fn new(response: ClientResponse, deadline: Instant) -> Self {
        EventStream {
            response,
            decoder: SseDecoder::new(EVENT_MAX_BYTES),
            events: VecDeque::new(),
            deadline,
        }
    }

    /// Reads the next event with data.
    ///
    /// # Errors
    /// Fails if the stream ends without the `[DONE]` marker or the deadline passes.
    pub(crate) async fn next(&mut self) -> Result<StreamEvent, CallFailure> {
        loop {
            while let Some(event) = self.events.pop_front() {
                if let Some(data) = event.data() {
                    return Ok(StreamEvent::from(data));
                }
            }
            let bytes = next_bytes(&mut self.response, self.deadline).await?;
            let events = self.decoder.push(&bytes).map_err(|error| {
                unknown_outcome(
                    Code::AnswerCut,
                    &format!("the stream broke off: {error}"),
                    false,
                )
            })?;
            self.events.extend(events);
        }
    }
}

async fn next_bytes<S, E>(stream: &mut S, deadline: Instant) -> Result<Bytes, CallFailure>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    E: std::fmt::Display,
{
    match tokio::time::timeout_at(deadline.into(), stream.next()).await {
        Ok(Some(Ok(bytes))) => Ok(bytes),
        Ok(Some(Err(error))) => Err(unknown_outcome(
            Code::AnswerCut,
            &format!("the stream broke off: {error}"),
            true,
        )),
        Ok(None) => Err(unknown_outcome(
            Code::AnswerCut,
            "the stream ended without its end mark",
            true,
        )),
        Err(_) => Err(unknown_outcome(
            Code::DeadlineInFlight,
            "the deadline passed during the stream",
            false,
        )),
    }
}

impl From<Vec<u8>> for StreamEvent {
    fn from(data: Vec<u8>) -> Self {
        match data == DONE_MARKER.as_bytes() {
            true => StreamEvent::End,
            false => StreamEvent::Data(String::from_utf8_lossy(&data).into_owned()),
        }
    }
}

fn classify_send_error(error: SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Connect(error) if is_connection_never_established(&error) => {
            CallFailure::NotRun {
                reason: format!("cannot connect: {error}"),
            }
        }
        SendRequestError::Timeout => unknown_outcome(
            Code::DeadlineInFlight,
            "no answer before the deadline",
            false,
        ),
        other => unknown_outcome(Code::OutcomeUnknown, &format!("no answer: {other}"), true),
    }
}

/// Whether a connect error means that no connection was established, so that the request cannot have run. The client
/// also reports a connection that breaks before the response head as a connect error; then the server may have run it.
pub(crate) fn is_connection_never_established(error: &ConnectError) -> bool {
    match error {
        ConnectError::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        ),
        ConnectError::Resolver(_) | ConnectError::NoRecords | ConnectError::Unresolved => true,
        ConnectError::Timeout => true,
        _ => false,
    }
}

fn unknown_outcome(code: Code, reason: &str, was_server_lost: bool) -> CallFailure {
    CallFailure::Unknown {
        code,
        reason: reason.to_owned(),
        was_server_lost,
    }
}
