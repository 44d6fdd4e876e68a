//! Handlers of online inference: each request is proxied to an engine and its response is passed through.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use awc::http::Method;
use awc::http::header::CONTENT_TYPE;
use awc::http::header::HeaderMap;
use awc::http::header::HeaderValue;
use bamboo_events::EventKind;
use bamboo_host::Answer;
use bamboo_host::Input;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_route::Attempt;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_route::Target;
use bamboo_types::RequestId;
use bytes::Bytes;
use futures_util::Stream;
use serde_json::Value;
use serde_json::json;

use super::AppState;
use super::auth;
use super::new_request_id;
use crate::engine_client::Call;
use crate::engine_client::CallFailure;
use crate::engine_client::EventStream;
use crate::engine_client::StreamEvent;
use crate::engine_client::check_engine_status;
use crate::engine_client::read_body;
use crate::engine_client::send;
use crate::reply::checked_body;
use crate::reply::error_json;
use crate::reply::error_response;
use crate::reply::unexpected_answer_response;
use crate::shared::ControlHandle;
use crate::shared::OpenRequestGuard;
use crate::shared::Shared;

/// Header with the caller's timeout, milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Length of the prompt prefix whose hash is used for routing, bytes.
const ROUTING_PREFIX_BYTES: usize = 1024;
/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Estimated tokens of a response whose request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: f64 = 256.0;
/// Maximum size of a response that is not streamed, bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// The fields of a completion request that admission and routing need.
struct CompletionRequest {
    model: String,
    is_stream: bool,
    prefix: u64,
    token_count: f64,
}

/// Reports the end of an online request to the control thread. If it is dropped first, which is what happens when the
/// caller disconnects, it reports the caller as gone.
pub(crate) struct OnlineGuard {
    request: RequestId,
    control: ControlHandle,
    is_ended: bool,
}

impl OnlineGuard {
    pub(crate) fn new(request: RequestId, control: &ControlHandle) -> Self {
        OnlineGuard {
            request,
            control: control.clone(),
            is_ended: false,
        }
    }

    /// Reports the end of an attempt. The answer is either another attempt or an error for the caller.
    pub(crate) async fn attempt_ended(&self, end: OnlineEnd) -> Answer {
        self.control
            .ask(
                self.request,
                Input::OnlineEnded {
                    request: self.request,
                    end,
                },
            )
            .await
    }

    /// Reports the end of the request.
    pub(crate) fn end(&mut self, end: OnlineEnd) {
        self.is_ended = true;
        self.control.tell(Input::OnlineEnded {
            request: self.request,
            end,
        });
    }

    /// Suppresses the report, since the control thread has ended the request itself.
    pub(crate) fn disarm(&mut self) {
        self.is_ended = true;
    }
}

impl Drop for OnlineGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(OnlineEnd::CallerGone);
        }
    }
}

/// Maps the failure of a call to the end of its attempt.
pub(crate) fn online_end(failure: CallFailure) -> OnlineEnd {
    match failure {
        CallFailure::NotRun { reason } => OnlineEnd::NotRun { reason },
        CallFailure::Unknown { code, reason, .. } => OnlineEnd::Unknown { code, reason },
        CallFailure::Refused { .. } => OnlineEnd::Whole,
    }
}

/// Returns the caller's timeout, at most the request timeout of the settings, which is also the default.
pub(crate) fn request_timeout(
    shared: &Shared,
    request: &HttpRequest,
) -> Result<Duration, ApiError> {
    let Some(value) = request.headers().get(TIMEOUT_HEADER) else {
        return Ok(shared.settings.request_timeout);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|timeout_ms| *timeout_ms > 0);
    let message =
        format!("the header '{TIMEOUT_HEADER}' must be a whole number of milliseconds above 0");
    let timeout_ms = parsed.ok_or_else(|| ApiError::new(Code::BadDeadline, message))?;
    Ok(Duration::from_millis(timeout_ms).min(shared.settings.request_timeout))
}

/// `POST /v1/completions` and `POST /v1/chat/completions`.
pub(crate) async fn complete(
    app: web::Data<AppState>,
    http: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let open_request_guard = OpenRequestGuard::new(&app.shared);
    let arrived_at = Instant::now();
    let body = match checked_body(&app.shared, body) {
        Ok(body) => body,
        Err(error) => return error_response(&app.shared, &error),
    };
    let (online, completion) = match admit(&app, &http, &body) {
        Ok(admitted) => admitted,
        Err(error) => return error_response(&app.shared, &error),
    };
    let request = online.id;
    let deadline = app.shared.clock.instant_at(online.deadline);
    let subject = format!("{request:032x}");
    app.shared.record_event(
        EventKind::OnlineArrived,
        subject,
        format!("{} {}", online.caller, completion.model),
    );
    let mut guard = OnlineGuard::new(request, &app.control);
    let mut answer = app.control.ask(request, Input::Online(online)).await;
    loop {
        let attempt = match answer {
            Answer::Dispatch(attempt) => attempt,
            Answer::Refused(error) => {
                guard.disarm();
                return error_response(&app.shared, &error);
            }
            _ => {
                guard.disarm();
                return unexpected_answer_response(&app.shared);
            }
        };
        let call = EngineCall {
            app: &app,
            http: &http,
            body: &body,
            attempt: &attempt,
            request,
            deadline,
        };
        let result = match completion.is_stream {
            true => {
                let started = call.stream(arrived_at).await;
                started.map(|stream| EngineResponse::Stream(Box::new(stream)))
            }
            false => call.buffered().await.map(EngineResponse::Buffered),
        };
        answer = match result {
            Ok(EngineResponse::Stream(stream)) => {
                return respond_stream(&app, request, *stream, guard, open_request_guard);
            }
            Ok(EngineResponse::Buffered(bytes)) => {
                guard.end(OnlineEnd::Whole);
                app.shared.metrics.record_response(Code::Ok.name());
                return HttpResponse::Ok()
                    .insert_header(("x-request-id", format!("{request:032x}")))
                    .content_type("application/json")
                    .body(bytes);
            }
            Err(CallFailure::Refused { status, body }) => {
                guard.end(OnlineEnd::Whole);
                return forward_rejection(&app.shared, status, body);
            }
            Err(failure) => guard.attempt_ended(online_end(failure)).await,
        };
    }
}

/// `GET /v1/models`.
pub(crate) async fn list_models(app: web::Data<AppState>, http: HttpRequest) -> HttpResponse {
    let table = app.shared.config.load();
    match auth::authenticate(&table, &http) {
        Ok(caller) => {
            let models = table.models_for(&caller.name);
            let data: Vec<Value> = models
                .iter()
                .map(|model| json!({ "id": model, "object": "model" }))
                .collect();
            HttpResponse::Ok().json(json!({ "object": "list", "data": data }))
        }
        Err(error) => error_response(&app.shared, &error),
    }
}

enum EngineResponse {
    Stream(Box<StartedStream>),
    Buffered(Bytes),
}

/// A streamed response whose first event has arrived.
struct StartedStream {
    first: String,
    events: EventStream,
}

struct EngineCall<'call> {
    app: &'call AppState,
    http: &'call HttpRequest,
    body: &'call Bytes,
    attempt: &'call Attempt,
    request: RequestId,
    deadline: Instant,
}

impl EngineCall<'_> {
    async fn stream(&self, arrived_at: Instant) -> Result<StartedStream, CallFailure> {
        let mut response = self.send().await?;
        check_engine_status(&mut response, self.deadline).await?;
        let mut events = EventStream::new(response, self.deadline);
        match events.next().await? {
            StreamEvent::Data(first) => {
                self.app
                    .shared
                    .metrics
                    .record_first_token(arrived_at.elapsed());
                Ok(StartedStream { first, events })
            }
            StreamEvent::End => Err(CallFailure::Unknown {
                code: Code::AnswerCut,
                reason: "the stream ended without a token".to_owned(),
                was_server_lost: false,
            }),
        }
    }

    async fn buffered(&self) -> Result<Bytes, CallFailure> {
        let mut response = self.send().await?;
        check_engine_status(&mut response, self.deadline).await?;
        read_body(&mut response, self.deadline, RESPONSE_MAX_BYTES).await
    }

    async fn send(&self) -> Result<awc::ClientResponse, CallFailure> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let call = Call {
            method: Method::POST,
            url: format!("http://{}{}", self.attempt.address, self.http.path()),
            headers: &headers,
            body: self.body.clone(),
            request_id: &format!("{:032x}-{}", self.request, self.attempt.number),
            deadline: self.deadline,
        };
        send(&self.app.client, call).await
    }
}

fn admit(
    app: &AppState,
    http: &HttpRequest,
    body: &Bytes,
) -> Result<(OnlineRequest, CompletionRequest), ApiError> {
    let table = app.shared.config.load();
    let caller = auth::authenticate(&table, http)?;
    let timeout = request_timeout(&app.shared, http)?;
    let completion = parse_completion(body)?;
    let admission = table.admit(&caller.name, &completion.model)?;
    let online = OnlineRequest {
        id: new_request_id(),
        caller: caller.name,
        resource: admission.serving.clone(),
        limits: Some(admission.limits),
        target: Target::Model(completion.model.clone()),
        prefix: Some(completion.prefix),
        token_count: completion.token_count,
        deadline: app.shared.clock.now() + timeout,
        is_idempotent: true,
    };
    Ok((online, completion))
}

fn parse_completion(body: &Bytes) -> Result<CompletionRequest, ApiError> {
    let value: Value = serde_json::from_slice(body).map_err(|error| {
        ApiError::new(
            Code::BadRequest,
            format!("the body is not valid JSON: {error}"),
        )
    })?;
    let model = value["model"]
        .as_str()
        .ok_or_else(|| invalid_field("model", "must be text"))?
        .to_owned();
    let prompt = match (&value["prompt"], &value["messages"]) {
        (Value::String(prompt), _) => prompt.clone(),
        (_, Value::Array(messages)) if !messages.is_empty() => messages
            .iter()
            .filter_map(|message| message["content"].as_str())
            .collect::<Vec<&str>>()
            .join("\n"),
        _ => return Err(invalid_field("prompt", "or 'messages' must be given")),
    };
    let max_tokens = match &value["max_tokens"] {
        Value::Null => DEFAULT_MAX_TOKENS,
        given => given
            .as_u64()
            .filter(|tokens| *tokens > 0)
            .ok_or_else(|| invalid_field("max_tokens", "must be above 0"))? as f64,
    };
    let prefix = &prompt.as_bytes()[..prompt.len().min(ROUTING_PREFIX_BYTES)];
    Ok(CompletionRequest {
        model,
        is_stream: value["stream"].as_bool().unwrap_or(false),
        prefix: xxhash_rust::xxh3::xxh3_64(prefix),
        token_count: prompt.len() as f64 / BYTES_PER_TOKEN + max_tokens,
    })
}

fn invalid_field(field: &str, reason: &str) -> ApiError {
    ApiError::new(Code::BadRequest, format!("field '{field}' {reason}"))
}

/// Forwards an engine's response that rejects the content of the request.
fn forward_rejection(shared: &Shared, status: u16, body: Bytes) -> HttpResponse {
    shared.metrics.record_response(Code::ItemFailed.name());
    let status = actix_web::http::StatusCode::from_u16(status)
        .unwrap_or(actix_web::http::StatusCode::BAD_REQUEST);
    HttpResponse::build(status)
        .content_type("application/json")
        .body(body)
}

fn respond_stream(
    app: &AppState,
    request: RequestId,
    stream: StartedStream,
    guard: OnlineGuard,
    open_request_guard: OpenRequestGuard,
) -> HttpResponse {
    let state = StreamForwarder {
        pending: Some(stream.first),
        events: Some(stream.events),
        guard,
        shared: Arc::clone(&app.shared),
        _open_request_guard: open_request_guard,
    };
    HttpResponse::Ok()
        .insert_header(("x-request-id", format!("{request:032x}")))
        .insert_header(("cache-control", "no-cache"))
        .content_type("text/event-stream")
        .streaming(forward_events(state))
}

struct StreamForwarder {
    pending: Option<String>,
    events: Option<EventStream>,
    guard: OnlineGuard,
    shared: Arc<Shared>,
    _open_request_guard: OpenRequestGuard,
}

fn forward_events(state: StreamForwarder) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    futures_util::stream::unfold(state, |mut state| async {
        if let Some(data) = state.pending.take() {
            return Some((Ok(sse_event(&data)), state));
        }
        let next = state.events.as_mut()?.next().await;
        let bytes = match next {
            Ok(StreamEvent::Data(data)) => sse_event(&data),
            Ok(StreamEvent::End) => {
                state.events = None;
                state.guard.end(OnlineEnd::Whole);
                state.shared.metrics.record_response(Code::Ok.name());
                sse_event("[DONE]")
            }
            Err(failure) => {
                state.events = None;
                state.guard.end(OnlineEnd::Broken);
                stream_error_event(&state.shared, failure)
            }
        };
        Some((Ok(bytes), state))
    })
}

/// Returns the error event that ends a broken stream. It replaces the `[DONE]` marker, so that a client cannot take the
/// response for complete.
fn stream_error_event(shared: &Shared, failure: CallFailure) -> Bytes {
    let error = match failure {
        CallFailure::Unknown { code, reason, .. } => ApiError::new(code, reason),
        CallFailure::NotRun { reason } => ApiError::new(Code::AnswerCut, reason),
        CallFailure::Refused { .. } => {
            ApiError::new(Code::AnswerCut, "the server refused to go on")
        }
    };
    shared.metrics.record_response(error.code.name());
    sse_event(&error_json(&error).to_string())
}

fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
