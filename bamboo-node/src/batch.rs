//! The batch thread: runs items on engines over connections of their own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use awc::Client;
use awc::http::Method;
use awc::http::header::HeaderMap;
use awc::http::header::HeaderValue;
use bamboo_admit::WorkItem;
use bamboo_host::Input;
use bamboo_host::ItemEnd;
use bamboo_host::RunRef;
use bamboo_log::Entry;
use bamboo_log::ItemBody;
use bamboo_log::ItemRunResult;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_types::BackendServerId;
use bamboo_types::Offset;
use bytes::Bytes;
use lru::LruCache;
use serde_json::Value;
use serde_json::json;
use tokio::sync::OnceCell;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::engine_client::Call;
use crate::engine_client::CallFailure;
use crate::engine_client::EventStream;
use crate::engine_client::StreamEvent;
use crate::engine_client::check_engine_status;
use crate::engine_client::send;
use crate::platform::Platform;
use crate::shared::ControlHandle;
use crate::shared::Shared;

/// Item chunks kept in memory.
const CHUNKS_MAX: NonZeroUsize = NonZeroUsize::new(16).unwrap();
/// Time for one run of an item.
const RUN_TIMEOUT: Duration = Duration::from_secs(600);
/// Time for a cancel at an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before a cancel is tried again.
const CANCEL_AGAIN: Duration = Duration::from_millis(500);
/// First part of the identity of every batch request at an engine.
const BATCH_PREFIX: &str = "b-";

/// What the control thread wants from the batch thread.
pub(crate) enum BatchCommand {
    /// Run an item, from the tokens it has.
    Start {
        run: RunRef,
        address: String,
        item: WorkItem,
    },
    /// Stop an item's stream and keep its tokens.
    Stop { run: RunRef },
    /// Forget an item.
    Drop { run: RunRef },
    /// Cancel all batch requests at a server.
    CancelOrphans {
        server: BackendServerId,
        address: String,
    },
}

/// Tokens of an item that was stopped.
#[derive(Debug, Default, Clone)]
struct Partial {
    text: String,
    token_count: usize,
}

type ChunkCell = Rc<OnceCell<Option<Rc<Entry>>>>;

/// State of the batch thread.
struct Runner {
    shared: Arc<Shared>,
    control: ControlHandle,
    platform: Platform,
    client: Client,
    stops: RefCell<HashMap<RunRef, oneshot::Sender<()>>>,
    partials: RefCell<HashMap<RunRef, Partial>>,
    chunks: RefCell<LruCache<(StreamId, Offset), ChunkCell>>,
    next_number: RefCell<u64>,
}

/// How a run was ended from outside or by itself.
enum RunEnd {
    End(ItemEnd),
    Stopped,
}

/// Carries out commands until the daemon stops.
pub(crate) async fn run_batch_thread(
    shared: Arc<Shared>,
    control: ControlHandle,
    mut commands: UnboundedReceiver<BatchCommand>,
) {
    let platform = Platform::new(&shared.settings.log_url, &shared.settings.host_list_url);
    let runner = Rc::new(Runner {
        shared,
        control,
        platform,
        client: Client::builder().timeout(RUN_TIMEOUT).finish(),
        stops: RefCell::new(HashMap::new()),
        partials: RefCell::new(HashMap::new()),
        chunks: RefCell::new(LruCache::new(CHUNKS_MAX)),
        next_number: RefCell::new(0),
    });
    while let Some(command) = commands.recv().await {
        match command {
            BatchCommand::Start { run, address, item } => {
                // From here on only a drop or the item's end forgets its tokens.
                runner.partials.borrow_mut().entry(run.clone()).or_default();
                let (stop, stopped) = oneshot::channel();
                runner.stops.borrow_mut().insert(run.clone(), stop);
                actix_rt::spawn(run_item(Rc::clone(&runner), run, address, item, stopped));
            }
            BatchCommand::Stop { run } => runner.stop(&run),
            BatchCommand::Drop { run } => {
                runner.partials.borrow_mut().remove(&run);
                runner.stop(&run);
            }
            BatchCommand::CancelOrphans { server, address } => {
                actix_rt::spawn(cancel_orphans(Rc::clone(&runner), server, address));
            }
        }
    }
}

async fn run_item(
    runner: Rc<Runner>,
    run: RunRef,
    address: String,
    item: WorkItem,
    stopped: oneshot::Receiver<()>,
) {
    let request_id = runner.next_request_id();
    let end = tokio::select! {
        end = attempt(&runner, &run, &address, &item, &request_id) => RunEnd::End(end),
        _ = stopped => RunEnd::Stopped,
    };
    runner.stops.borrow_mut().remove(&run);
    let end = match end {
        RunEnd::End(end) => end,
        RunEnd::Stopped => {
            cancel(&runner, &address, &json!({ "id": request_id })).await;
            ItemEnd::Stopped
        }
    };
    if end != ItemEnd::Stopped {
        runner.partials.borrow_mut().remove(&run);
    }
    runner.control.tell(Input::ItemEnded { run, end });
}

async fn attempt(
    runner: &Runner,
    run: &RunRef,
    address: &str,
    item: &WorkItem,
    request_id: &str,
) -> ItemEnd {
    let body = match runner.item_body(item).await {
        Ok(Some(body)) => body,
        Ok(None) | Err(_) => return ItemEnd::Returned,
    };
    let verdict = match stream_item(runner, run, address, &body, request_id).await {
        Ok(answer_json) => ItemRunResult::Done { answer_json },
        Err(ItemFailure::Cancelled) => return ItemEnd::Returned,
        Err(ItemFailure::BadItem(reason)) => ItemRunResult::ItemFault { reason },
        Err(ItemFailure::Call(CallFailure::NotRun { .. })) => return ItemEnd::Returned,
        Err(ItemFailure::Call(CallFailure::Refused { status, body })) => {
            let reason = format!(
                "server answered {status}: {}",
                String::from_utf8_lossy(&body)
            );
            ItemRunResult::ItemFault { reason }
        }
        Err(ItemFailure::Call(CallFailure::Unknown {
            reason,
            was_server_lost,
            ..
        })) => ItemRunResult::ServerFault {
            reason,
            was_server_lost,
        },
    };
    ItemEnd::Verdict {
        custom_id: body.custom_id.clone(),
        verdict,
    }
}

enum ItemFailure {
    /// Another owner of the server cancelled the run.
    Cancelled,
    /// The item is no request.
    BadItem(String),
    /// The call failed.
    Call(CallFailure),
}

impl From<CallFailure> for ItemFailure {
    fn from(failure: CallFailure) -> Self {
        ItemFailure::Call(failure)
    }
}

async fn stream_item(
    runner: &Runner,
    run: &RunRef,
    address: &str,
    body: &ItemBody,
    request_id: &str,
) -> Result<String, ItemFailure> {
    let partial = runner.partial_of(run);
    let request = ItemRequest::new(body, &partial).map_err(ItemFailure::BadItem)?;
    let deadline = Instant::now() + RUN_TIMEOUT;
    let mut headers = HeaderMap::new();
    headers.insert(
        awc::http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let call = Call {
        method: Method::POST,
        url: format!("http://{address}{}", request.path),
        headers: &headers,
        body: request.body.clone(),
        request_id,
        deadline,
    };
    let mut response = send(&runner.client, call).await?;
    check_engine_status(&mut response).await?;
    let mut events = EventStream::new(response, deadline);
    let mut is_first = true;
    loop {
        let data = match events.next().await? {
            StreamEvent::End => return Ok(request.answer_json(request_id, &runner.partial_of(run))),
            StreamEvent::Data(data) => data,
        };
        let chunk: Value = serde_json::from_str(&data).unwrap_or_default();
        if chunk["choices"][0]["finish_reason"] == "cancelled" {
            return Err(ItemFailure::Cancelled);
        }
        runner.keep_token(run, text_of(&chunk));
        if is_first {
            is_first = false;
            runner.control.tell(Input::ItemFirstToken(run.clone()));
        }
    }
}

/// An item as a request to an engine.
struct ItemRequest {
    path: &'static str,
    body: Bytes,
    is_chat: bool,
    model: String,
}

impl ItemRequest {
    fn new(item: &ItemBody, partial: &Partial) -> Result<Self, String> {
        let mut body: Value =
            serde_json::from_str(&item.body_json).map_err(|error| error.to_string())?;
        let is_chat = body.get("messages").is_some();
        let fields = body.as_object_mut().ok_or("body is no object")?;
        fields.insert("stream".to_owned(), Value::from(true));
        fields.insert("resume_from".to_owned(), Value::from(partial.token_count));
        let model = fields
            .get("model")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        let path = if is_chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        Ok(ItemRequest {
            path,
            body: Bytes::from(body.to_string()),
            is_chat,
            model,
        })
    }

    fn answer_json(&self, request_id: &str, partial: &Partial) -> String {
        let choice = match self.is_chat {
            true => json!({
                "index": 0,
                "message": { "role": "assistant", "content": partial.text },
                "finish_reason": "stop",
            }),
            false => json!({ "index": 0, "text": partial.text, "finish_reason": "stop" }),
        };
        let body = json!({
            "id": request_id,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": partial.token_count },
        });
        json!({ "status_code": 200, "request_id": request_id, "body": body }).to_string()
    }
}

fn text_of(chunk: &Value) -> &str {
    let choice = &chunk["choices"][0];
    choice["text"]
        .as_str()
        .or_else(|| choice["delta"]["content"].as_str())
        .unwrap_or_default()
}

impl Runner {
    /// Ends an item's stream, if it runs.
    fn stop(&self, run: &RunRef) {
        if let Some(stop) = self.stops.borrow_mut().remove(run) {
            // The run may have ended by itself meanwhile.
            let _ = stop.send(());
        }
    }

    /// Adds a token to what an item has; an item that was dropped meanwhile has nothing to add to.
    fn keep_token(&self, run: &RunRef, text: &str) {
        if let Some(partial) = self.partials.borrow_mut().get_mut(run) {
            partial.text.push_str(text);
            partial.token_count += 1;
        }
    }

    fn partial_of(&self, run: &RunRef) -> Partial {
        self.partials.borrow().get(run).cloned().unwrap_or_default()
    }

    fn next_request_id(&self) -> String {
        let mut number = self.next_number.borrow_mut();
        *number += 1;
        format!(
            "{BATCH_PREFIX}{}-{:x}-{number}",
            self.shared.settings.host, self.shared.incarnation
        )
    }

    async fn item_body(&self, item: &WorkItem) -> anyhow::Result<Option<ItemBody>> {
        let stream = StreamId::Shard(item.shard);
        let name = (stream, item.chunk.offset);
        let cell = {
            let mut chunks = self.chunks.borrow_mut();
            Rc::clone(chunks.get_or_insert(name, || Rc::new(OnceCell::new())))
        };
        let entry = cell
            .get_or_try_init(|| async {
                let entry = self
                    .platform
                    .entry(stream, item.chunk.offset)
                    .await
                    .context("item chunk")?;
                anyhow::Ok(entry.map(Rc::new))
            })
            .await?;
        let body = entry
            .as_ref()
            .and_then(|entry| entry.bodies.get(item.chunk.slot as usize));
        Ok(match body {
            Some(RecordBody::Chunk { items, .. } | RecordBody::CarriedChunk { items, .. }) => {
                items.get(item.index_in_chunk as usize).cloned()
            }
            _ => None,
        })
    }
}

/// Cancels what earlier owners of the server left there, until the server says so.
async fn cancel_orphans(runner: Rc<Runner>, server: BackendServerId, address: String) {
    while !cancel(&runner, &address, &json!({ "prefix": BATCH_PREFIX })).await {
        actix_rt::time::sleep(CANCEL_AGAIN).await;
    }
    runner.control.tell(Input::StraysCancelled { server });
}

async fn cancel(runner: &Runner, address: &str, what: &Value) -> bool {
    let url = format!("http://{address}/v1/cancel");
    let answer = runner
        .client
        .post(url)
        .timeout(CANCEL_TIMEOUT)
        .send_json(what)
        .await;
    answer.is_ok_and(|response| response.status().is_success())
}
