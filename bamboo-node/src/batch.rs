//! The batch thread: runs job items on engines, with an HTTP client of its own.

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
use crate::platform::PlatformClient;
use crate::shared::ControlHandle;
use crate::shared::Shared;

/// Item chunks in the LRU cache.
const CHUNK_CACHE_CAPACITY: NonZeroUsize = NonZeroUsize::new(16).unwrap();
/// Timeout of one run of an item.
const RUN_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout of a cancel request to an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between retries of a cancel request.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Prefix of the request id of every batch request, by which an engine cancels all of them at once.
const BATCH_PREFIX: &str = "b-";

/// A command from the control thread to the batch thread.
pub(crate) enum BatchCommand {
    /// Run an item, resuming after the tokens generated so far.
    Start {
        run: RunRef,
        address: String,
        item: WorkItem,
    },
    /// Stop an item's run and keep its tokens, so that a later run resumes there.
    Stop { run: RunRef },
    /// Stop an item's run and discard its tokens.
    Drop { run: RunRef },
    /// Cancel all batch requests that previous owners of a server left running.
    CancelOrphanedRuns {
        server: BackendServerId,
        address: String,
    },
}

/// Output generated for an item so far.
#[derive(Debug, Default, Clone)]
struct PartialOutput {
    text: String,
    token_count: usize,
}

type ChunkCell = Rc<OnceCell<Option<Rc<Entry>>>>;

/// State of the batch thread. The maps are keyed by run, so that a stopped run can resume.
struct Runner {
    shared: Arc<Shared>,
    control: ControlHandle,
    platform: PlatformClient,
    client: Client,
    stop_senders: RefCell<HashMap<RunRef, oneshot::Sender<()>>>,
    partial_outputs: RefCell<HashMap<RunRef, PartialOutput>>,
    chunk_cache: RefCell<LruCache<(StreamId, Offset), ChunkCell>>,
    next_request_number: RefCell<u64>,
}

/// Whether a run ended by itself or was stopped by a command.
enum RunEnd {
    Ended(ItemEnd),
    Stopped,
}

/// Executes commands until the daemon stops.
pub(crate) async fn run_batch_thread(
    shared: Arc<Shared>,
    control: ControlHandle,
    mut commands: UnboundedReceiver<BatchCommand>,
) {
    let platform = PlatformClient::new(&shared.settings.log_url, &shared.settings.host_list_url);
    let runner = Rc::new(Runner {
        shared,
        control,
        platform,
        client: Client::builder().timeout(RUN_TIMEOUT).finish(),
        stop_senders: RefCell::new(HashMap::new()),
        partial_outputs: RefCell::new(HashMap::new()),
        chunk_cache: RefCell::new(LruCache::new(CHUNK_CACHE_CAPACITY)),
        next_request_number: RefCell::new(0),
    });
    while let Some(command) = commands.recv().await {
        match command {
            BatchCommand::Start { run, address, item } => {
                // Only `Drop` or the end of the item removes this entry.
                runner
                    .partial_outputs
                    .borrow_mut()
                    .entry(run.clone())
                    .or_default();
                let (stop, stop_requested) = oneshot::channel();
                runner.stop_senders.borrow_mut().insert(run.clone(), stop);
                actix_rt::spawn(run_item(
                    Rc::clone(&runner),
                    run,
                    address,
                    item,
                    stop_requested,
                ));
            }
            BatchCommand::Stop { run } => runner.stop(&run),
            BatchCommand::Drop { run } => {
                runner.partial_outputs.borrow_mut().remove(&run);
                runner.stop(&run);
            }
            BatchCommand::CancelOrphanedRuns { server, address } => {
                actix_rt::spawn(cancel_orphaned_runs(Rc::clone(&runner), server, address));
            }
        }
    }
}

async fn run_item(
    runner: Rc<Runner>,
    run: RunRef,
    address: String,
    item: WorkItem,
    stop_requested: oneshot::Receiver<()>,
) {
    let request_id = runner.next_request_id();
    let end = tokio::select! {
        end = execute_item(&runner, &run, &address, &item, &request_id) => RunEnd::Ended(end),
        _ = stop_requested => RunEnd::Stopped,
    };
    runner.stop_senders.borrow_mut().remove(&run);
    let end = match end {
        RunEnd::Ended(end) => end,
        RunEnd::Stopped => {
            cancel(&runner, &address, &json!({ "id": request_id })).await;
            ItemEnd::Stopped
        }
    };
    if end != ItemEnd::Stopped {
        runner.partial_outputs.borrow_mut().remove(&run);
    }
    runner.control.tell(Input::ItemEnded { run, end });
}

async fn execute_item(
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
    let run_result = match stream_item(runner, run, address, &body, request_id).await {
        Ok(answer_json) => ItemRunResult::Done { answer_json },
        Err(ItemFailure::Cancelled) => return ItemEnd::Returned,
        Err(ItemFailure::InvalidItem(reason)) => ItemRunResult::ItemFault { reason },
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
    ItemEnd::Finished {
        custom_id: body.custom_id.clone(),
        run_result,
    }
}

enum ItemFailure {
    /// The engine cancelled the run, on request of another owner of the server.
    Cancelled,
    /// The item's body is not a valid request.
    InvalidItem(String),
    /// The call to the engine failed.
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
    let partial_output = runner.partial_output(run);
    let request = ItemRequest::new(body, &partial_output).map_err(ItemFailure::InvalidItem)?;
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
    check_engine_status(&mut response, deadline).await?;
    let mut events = EventStream::new(response, deadline);
    let mut is_first_token = true;
    loop {
        let data = match events.next().await? {
            StreamEvent::End => {
                return Ok(request.response_json(request_id, &runner.partial_output(run)));
            }
            StreamEvent::Data(data) => data,
        };
        let chunk: Value = serde_json::from_str(&data).unwrap_or_default();
        if chunk["choices"][0]["finish_reason"] == "cancelled" {
            return Err(ItemFailure::Cancelled);
        }
        runner.append_token(run, token_text(&chunk));
        if is_first_token {
            is_first_token = false;
            runner.control.tell(Input::ItemFirstToken(run.clone()));
        }
    }
}

/// The engine request for an item.
struct ItemRequest {
    path: &'static str,
    body: Bytes,
    is_chat: bool,
    model: String,
}

impl ItemRequest {
    fn new(item: &ItemBody, partial_output: &PartialOutput) -> Result<Self, String> {
        let mut body: Value =
            serde_json::from_str(&item.body_json).map_err(|error| error.to_string())?;
        let is_chat = body.get("messages").is_some();
        let fields = body.as_object_mut().ok_or("body is no object")?;
        fields.insert("stream".to_owned(), Value::from(true));
        fields.insert(
            "resume_from".to_owned(),
            Value::from(partial_output.token_count),
        );
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

    fn response_json(&self, request_id: &str, partial_output: &PartialOutput) -> String {
        let choice = match self.is_chat {
            true => json!({
                "index": 0,
                "message": { "role": "assistant", "content": partial_output.text },
                "finish_reason": "stop",
            }),
            false => json!({ "index": 0, "text": partial_output.text, "finish_reason": "stop" }),
        };
        let body = json!({
            "id": request_id,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": partial_output.token_count },
        });
        json!({ "status_code": 200, "request_id": request_id, "body": body }).to_string()
    }
}

fn token_text(chunk: &Value) -> &str {
    let choice = &chunk["choices"][0];
    choice["text"]
        .as_str()
        .or_else(|| choice["delta"]["content"].as_str())
        .unwrap_or_default()
}

impl Runner {
    /// Stops an item's run, if there is one.
    fn stop(&self, run: &RunRef) {
        if let Some(stop) = self.stop_senders.borrow_mut().remove(run) {
            // Fails if the run has finished in the meantime.
            let _ = stop.send(());
        }
    }

    /// Appends a token to an item's output, unless the item has been dropped.
    fn append_token(&self, run: &RunRef, text: &str) {
        if let Some(partial_output) = self.partial_outputs.borrow_mut().get_mut(run) {
            partial_output.text.push_str(text);
            partial_output.token_count += 1;
        }
    }

    fn partial_output(&self, run: &RunRef) -> PartialOutput {
        self.partial_outputs
            .borrow()
            .get(run)
            .cloned()
            .unwrap_or_default()
    }

    fn next_request_id(&self) -> String {
        let mut number = self.next_request_number.borrow_mut();
        *number += 1;
        format!(
            "{BATCH_PREFIX}{}-{:x}-{number}",
            self.shared.settings.host, self.shared.incarnation
        )
    }

    async fn item_body(&self, item: &WorkItem) -> anyhow::Result<Option<ItemBody>> {
        let stream = StreamId::Shard(item.shard);
        let key = (stream, item.chunk.offset);
        let cell = {
            let mut chunk_cache = self.chunk_cache.borrow_mut();
            Rc::clone(chunk_cache.get_or_insert(key, || Rc::new(OnceCell::new())))
        };
        let entry = cell
            .get_or_try_init(|| async {
                let entry = self
                    .platform
                    .read_entry(stream, item.chunk.offset)
                    .await
                    .context("item chunk")?;
                anyhow::Ok(entry.map(Rc::new))
            })
            .await?;
        let body = entry
            .as_ref()
            .and_then(|entry| entry.bodies.get(item.chunk.index as usize));
        Ok(match body {
            Some(RecordBody::Chunk { items, .. } | RecordBody::CarriedChunk { items, .. }) => {
                items.get(item.index_in_chunk as usize).cloned()
            }
            _ => None,
        })
    }
}

/// Cancels the batch requests that previous owners left at the server; retries until the server confirms.
async fn cancel_orphaned_runs(runner: Rc<Runner>, server: BackendServerId, address: String) {
    while !cancel(&runner, &address, &json!({ "prefix": BATCH_PREFIX })).await {
        actix_rt::time::sleep(CANCEL_RETRY_INTERVAL).await;
    }
    runner.control.tell(Input::OrphanedRunsCancelled { server });
}

async fn cancel(runner: &Runner, address: &str, selector: &Value) -> bool {
    let url = format!("http://{address}/v1/cancel");
    let response = runner
        .client
        .post(url)
        .timeout(CANCEL_TIMEOUT)
        .send_json(selector)
        .await;
    response.is_ok_and(|response| response.status().is_success())
}
