//! HTTP server around the engine model of `bamboo_engine`, with the API of a model engine.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use bamboo_engine::AddError;
use bamboo_engine::CacheEvent;
use bamboo_engine::Engine;
use bamboo_engine::EngineLoad;
use bamboo_engine::EngineOptions;
use bamboo_engine::Sequence;
use bamboo_engine::Token;
use bamboo_engine::completion_length;
use bamboo_engine::count_tokens;
use bamboo_engine::prefix_blocks;
use bamboo_engine::token_text;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::faults::FaultAction;
use crate::faults::FaultInjector;
use crate::faults::Faults;

/// Limit on the completion tokens of a request that sets none.
const DEFAULT_MAX_TOKENS: usize = 64;
/// Number of cache events retained for readers.
const CACHE_EVENTS_MAX: usize = 10_000;
/// Every n-th cache event is lost, so that readers see gaps in the sequence of events.
const CACHE_EVENT_LOSS_INTERVAL: usize = 50;

/// Configuration of one engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineStandinConfig {
    /// Name of the engine.
    pub name: String,
    /// Models that are loaded at startup.
    pub models: Vec<String>,
    /// Cost model and capacity of the engine.
    pub options: EngineOptions,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Delay before cache events are published.
    pub event_lag: Duration,
    /// Whether a change of the loaded models is rejected if its fencing token is stale.
    pub checks_fencing: bool,
}

/// Event that the engine sends to the handler of a request.
enum StreamEvent {
    Token(Token),
    Cancelled,
}

struct State {
    engine: Engine,
    streams: BTreeMap<String, mpsc::UnboundedSender<StreamEvent>>,
    accepted_ids: Vec<String>,
    loads: VecDeque<(Instant, EngineLoad)>,
    cache_events: VecDeque<(Instant, usize, CacheEvent)>,
    next_event_number: usize,
    models: Vec<String>,
    highest_fencing_token: u64,
}

struct EngineServer {
    config: EngineStandinConfig,
    state: Mutex<State>,
    faults: FaultInjector,
}

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: usize,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    content: String,
}

/// Response format: chat completion or text completion.
#[derive(Clone, Copy)]
struct CompletionFormat {
    is_chat: bool,
}

impl CompletionFormat {
    fn object(self) -> &'static str {
        if self.is_chat {
            "chat.completion"
        } else {
            "text_completion"
        }
    }

    fn chunk_object(self) -> &'static str {
        if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn chunk_choice(self, text: &str, finish_reason: Value) -> Value {
        match self.is_chat {
            true => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason })
            }
            false => json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        }
    }

    fn full_choice(self, text: &str) -> Value {
        match self.is_chat {
            true => json!({
                "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop"
            }),
            false => json!({ "index": 0, "text": text, "finish_reason": "stop" }),
        }
    }
}

#[derive(Deserialize)]
struct CancelRequest {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    prefix: Option<String>,
}

#[derive(Deserialize)]
struct ModelOrder {
    fencing: u64,
    #[serde(default)]
    models: Vec<String>,
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: usize,
}

/// Serves one engine until the process ends.
///
/// # Errors
/// Fails if the listener cannot be used.
pub async fn serve_engine(
    listener: TcpListener,
    config: EngineStandinConfig,
) -> std::io::Result<()> {
    let state = State {
        engine: Engine::new(config.options.clone()),
        streams: BTreeMap::new(),
        accepted_ids: Vec::new(),
        loads: VecDeque::new(),
        cache_events: VecDeque::new(),
        next_event_number: 0,
        models: config.models.clone(),
        highest_fencing_token: 0,
    };
    let server = web::Data::new(EngineServer {
        config,
        state: Mutex::new(state),
        faults: FaultInjector::default(),
    });
    actix_rt::spawn(run_iterations(server.clone()));
    HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .app_data(web::JsonConfig::default().limit(16 << 20))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/cancel", web::post().to(cancel))
            .route("/running", web::get().to(list_running))
            .route("/load", web::get().to(report_load))
            .route("/events", web::get().to(list_events))
            .route("/orders", web::post().to(apply_order))
            .route("/admin/faults", web::put().to(set_faults))
            .route("/admin/ran", web::get().to(list_accepted))
    })
    .workers(1)
    .listen(listener)?
    .run()
    .await
}

/// Runs the iterations of the engine in real time.
async fn run_iterations(server: web::Data<EngineServer>) {
    let mut next_step_at = Instant::now();
    loop {
        let step = match server.faults.get().is_frozen {
            true => None,
            false => lock(&server.state).engine.step(),
        };
        let Some(step) = step else {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
            next_step_at = Instant::now();
            continue;
        };
        // Compensates for timers that fire late, up to 50 ms, so that the average rate matches the cost model.
        next_step_at += step.duration;
        let now = Instant::now();
        if next_step_at > now {
            actix_rt::time::sleep(next_step_at - now).await;
        } else if now - next_step_at > Duration::from_millis(50) {
            next_step_at = now;
        }
        deliver_tokens(&server, step.tokens);
    }
}

fn deliver_tokens(server: &EngineServer, tokens: Vec<Token>) {
    let mut state = lock(&server.state);
    let now = Instant::now();
    let load = state.engine.load();
    state.loads.push_back((now, load));
    while state.loads.len() > 2 && state.loads[1].0 + server.config.load_lag < now {
        state.loads.pop_front();
    }
    for event in state.engine.take_cache_events() {
        let number = state.next_event_number;
        state.next_event_number += 1;
        if number % CACHE_EVENT_LOSS_INTERVAL != CACHE_EVENT_LOSS_INTERVAL - 1 {
            state.cache_events.push_back((now, number, event));
        }
        if state.cache_events.len() > CACHE_EVENTS_MAX {
            state.cache_events.pop_front();
        }
    }
    for token in tokens {
        let is_last = token.is_last;
        let id = token.id.clone();
        let is_disconnected = state
            .streams
            .get(&id)
            .is_none_or(|stream| stream.send(StreamEvent::Token(token)).is_err());
        if is_last || is_disconnected {
            state.streams.remove(&id);
        }
        if is_disconnected {
            state.engine.cancel(&id);
        }
    }
}

async fn complete(
    server: web::Data<EngineServer>,
    http: HttpRequest,
    request: web::Json<CompletionRequest>,
) -> HttpResponse {
    let action = server.faults.next_action().await;
    if action == FaultAction::Reject {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let id = request_id(&http);
    let prompt = prompt_text(&request);
    if let Some(rejection) = reject_invalid(&server, &request, &prompt) {
        return rejection;
    }
    let completion_tokens =
        completion_length(&prompt, request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS));
    let sequence = Sequence {
        id: id.clone(),
        prompt_tokens: count_tokens(&prompt),
        blocks: prefix_blocks(&prompt, server.config.options.block_tokens),
        completion_tokens,
        resume_from: request.resume_from.min(completion_tokens.saturating_sub(1)),
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    {
        let mut state = lock(&server.state);
        match state.engine.add(sequence) {
            Ok(()) => {}
            Err(AddError::TooLarge) => {
                return error_response(400, "prompt does not fit into memory");
            }
            Err(AddError::Duplicate) => {
                return error_response(409, "a request of this identity runs");
            }
            Err(AddError::QueueFull) => return HttpResponse::ServiceUnavailable().finish(),
        }
        state.streams.insert(id.clone(), sender);
        state.accepted_ids.push(id.clone());
    }
    let format = CompletionFormat {
        is_chat: http.path().ends_with("/chat/completions"),
    };
    let response_id = if action == FaultAction::MismatchId {
        "another-request".to_owned()
    } else {
        id
    };
    let is_truncated = matches!(action, FaultAction::Truncate | FaultAction::DropResponse);
    if request.stream {
        stream_completion(receiver, response_id, format, prompt, is_truncated)
    } else {
        full_completion(receiver, response_id, format, prompt, is_truncated).await
    }
}

fn reject_invalid(
    server: &EngineServer,
    request: &CompletionRequest,
    prompt: &str,
) -> Option<HttpResponse> {
    if !lock(&server.state).models.contains(&request.model) {
        return Some(error_response(404, "model is not loaded"));
    }
    if prompt.trim().is_empty() {
        return Some(error_response(400, "prompt is empty"));
    }
    // This marker simulates content that an engine cannot process.
    if prompt.contains("[impossible]") {
        return Some(error_response(422, "content cannot be processed"));
    }
    None
}

fn stream_completion(
    receiver: mpsc::UnboundedReceiver<StreamEvent>,
    id: String,
    format: CompletionFormat,
    prompt: String,
    is_truncated: bool,
) -> HttpResponse {
    let header_id = id.clone();
    let events = futures_util::stream::unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|event| (event, receiver))
    });
    let chunks = events.flat_map(move |event| {
        let StreamEvent::Token(token) = event else {
            let chunk = json!({ "id": id, "choices": [format.chunk_choice("", Value::from("cancelled"))] });
            let bytes = web::Bytes::from(format!("data: {chunk}\n\n"));
            return futures_util::stream::iter(vec![Ok(bytes)]);
        };
        let text = token_text(&prompt, token.index);
        let finish_reason = if token.is_last { Value::from("stop") } else { Value::Null };
        let chunk = json!({
            "id": id, "object": format.chunk_object(), "index": token.index, "choices": [format.chunk_choice(&text, finish_reason)]
        });
        let mut parts = Vec::new();
        if is_truncated && token.index >= 2 {
            parts.push(Err(std::io::Error::other("cut on demand")));
        } else {
            parts.push(Ok(web::Bytes::from(format!("data: {chunk}\n\n"))));
            if token.is_last {
                parts.push(Ok(web::Bytes::from_static(b"data: [DONE]\n\n")));
            }
        }
        futures_util::stream::iter(parts)
    });
    HttpResponse::Ok()
        .insert_header(("x-request-id", header_id))
        .content_type("text/event-stream")
        .streaming(chunks)
}

async fn full_completion(
    mut receiver: mpsc::UnboundedReceiver<StreamEvent>,
    id: String,
    format: CompletionFormat,
    prompt: String,
    is_truncated: bool,
) -> HttpResponse {
    let mut text = String::new();
    let mut count = 0;
    let mut is_complete = false;
    while let Some(StreamEvent::Token(token)) = receiver.recv().await {
        text.push_str(&token_text(&prompt, token.index));
        count += 1;
        is_complete = token.is_last;
    }
    if !is_complete || is_truncated {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok()
        .insert_header(("x-request-id", id.clone()))
        .json(json!({
            "id": id,
            "object": format.object(),
            "choices": [format.full_choice(&text)],
            "usage": { "prompt_tokens": count_tokens(&prompt), "completion_tokens": count },
        }))
}

async fn cancel(
    server: web::Data<EngineServer>,
    request: web::Json<CancelRequest>,
) -> HttpResponse {
    let mut state = lock(&server.state);
    let is_selected = |id: &str| {
        request.id.as_deref() == Some(id)
            || request
                .prefix
                .as_deref()
                .is_some_and(|prefix| id.starts_with(prefix))
    };
    let ids: Vec<String> = state
        .engine
        .ids()
        .filter(|id| is_selected(id))
        .map(str::to_owned)
        .collect();
    for id in &ids {
        state.engine.cancel(id);
        if let Some(stream) = state.streams.remove(id) {
            // Sending fails if the client has disconnected; there is nobody left to notify.
            let _ = stream.send(StreamEvent::Cancelled);
        }
    }
    HttpResponse::Ok().json(json!({ "cancelled": ids }))
}

async fn list_running(server: web::Data<EngineServer>) -> HttpResponse {
    let state = lock(&server.state);
    let ids: Vec<&str> = state.engine.ids().collect();
    HttpResponse::Ok().json(json!({ "running": ids }))
}

async fn report_load(server: web::Data<EngineServer>) -> HttpResponse {
    let state = lock(&server.state);
    let reported = state
        .loads
        .front()
        .map(|(_, load)| *load)
        .unwrap_or_default();
    HttpResponse::Ok().json(json!({ "load": reported, "models": state.models }))
}

async fn list_events(
    server: web::Data<EngineServer>,
    query: web::Query<EventsQuery>,
) -> HttpResponse {
    let state = lock(&server.state);
    let published = state
        .cache_events
        .iter()
        .filter(|(at, number, _)| *number >= query.from && at.elapsed() >= server.config.event_lag);
    let events: Vec<Value> = published
        .map(|(_, number, event)| json!({ "number": number, "event": event }))
        .collect();
    HttpResponse::Ok().json(events)
}

async fn apply_order(
    server: web::Data<EngineServer>,
    order: web::Json<ModelOrder>,
) -> HttpResponse {
    let mut state = lock(&server.state);
    if server.config.checks_fencing && order.fencing < state.highest_fencing_token {
        return error_response(409, "fencing number is old");
    }
    state.highest_fencing_token = state.highest_fencing_token.max(order.fencing);
    state.models.clone_from(&order.models);
    HttpResponse::NoContent().finish()
}

async fn set_faults(server: web::Data<EngineServer>, faults: web::Json<Faults>) -> HttpResponse {
    server.faults.set(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn list_accepted(server: web::Data<EngineServer>) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&server.state).accepted_ids)
}

fn request_id(http: &HttpRequest) -> String {
    let header = http
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    header.map_or_else(
        || format!("anonymous-{:016x}", rand::random::<u64>()),
        str::to_owned,
    )
}

fn prompt_text(request: &CompletionRequest) -> String {
    match &request.prompt {
        Some(prompt) => prompt.clone(),
        None => {
            let lines = request
                .messages
                .iter()
                .map(|message| format!("{}: {}", message.role, message.content));
            lines.collect::<Vec<String>>().join("\n")
        }
    }
}

fn error_response(status: u16, reason: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap_or_default();
    HttpResponse::build(status).json(json!({ "error": { "message": reason } }))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
