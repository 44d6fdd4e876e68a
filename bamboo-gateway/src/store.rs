//! Client of the platform's store: fenced appends, reads, compacted topics and consumer groups.

mod request;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bamboo_relay::DirectTimeout;
use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::metrics::StoreMetrics;
use crate::net;
use crate::net::ConnectionUse;
use crate::task::OwnedTask;

pub use request::Fence;
pub use request::KeyedRecord;
pub use request::Partition;
pub use request::ReadExtent;
pub use request::StoreError;
pub use request::StoreReply;
pub use request::StoreRequest;

/// Timeout for a call including its retries, not counting the time for which the store is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Lower bound for the timeout of one attempt. The store responds in 4 ms at low load.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(120);
/// Timeout until the response to a bulk read begins. The store queues reads for up to 2 s.
const BULK_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the next part of a response that has begun to arrive.
const RESPONSE_GAP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of one attempt, as a multiple of the recent latency.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 4;
/// Factor by which a faster call decays the recent latency.
const RECENT_LATENCY_DECAY: f64 = 0.9;
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of idle connections kept for reuse.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Maximum size of a response in bytes. A read returns 1 MiB of records, or one record if it is larger.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Why a response did not arrive.
enum ResponseError {
    Failed(hyper::Error),
    TooLarge,
    TimedOut,
}

/// Reads the body of a response for as long as parts of it arrive.
async fn collect_body(
    mut body: Incoming,
    received_bytes: &Cell<usize>,
) -> Result<Bytes, ResponseError> {
    let mut collected = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(RESPONSE_GAP_TIMEOUT, body.frame())
            .await
            .map_err(|_| ResponseError::TimedOut)?;
        let Some(frame) = frame else {
            return Ok(collected.freeze());
        };
        if let Ok(data) = frame.map_err(ResponseError::Failed)?.into_data() {
            received_bytes.set(received_bytes.get() + data.len());
            if received_bytes.get() > RESPONSE_MAX_BYTES {
                return Err(ResponseError::TooLarge);
            }
            collected.extend_from_slice(&data);
        }
    }
}

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: OwnedTask,
}

/// HTTP client of the store, with a pool of connections.
pub struct StoreClient {
    address: SocketAddr,
    dialect: Dialect,
    idle: RefCell<Vec<Connection>>,
    calls: Cell<u64>,
    failures: Cell<u64>,
    recent_latency: Cell<Duration>,
    timeouts: watch::Sender<()>,
    metrics: StoreMetrics,
}

impl StoreClient {
    /// Creates a client. It connects at the first call.
    pub fn new(address: SocketAddr, dialect: Dialect) -> Self {
        StoreClient {
            address,
            dialect,
            idle: RefCell::new(Vec::new()),
            calls: Cell::new(0),
            failures: Cell::new(0),
            recent_latency: Cell::new(Duration::ZERO),
            timeouts: watch::Sender::new(()),
            metrics: StoreMetrics::default(),
        }
    }

    /// Counts the calls in the metrics of the process.
    pub(crate) fn with_metrics(self, metrics: StoreMetrics) -> Self {
        StoreClient { metrics, ..self }
    }

    /// Number of requests sent, retries included, and of those that failed.
    pub fn counts(&self) -> (u64, u64) {
        (self.calls.get(), self.failures.get())
    }

    /// Notifies of each request other than a read that has no response in time. Reads may be late because the store queues
    /// them.
    pub(crate) fn timeouts(&self) -> watch::Receiver<()> {
        self.timeouts.subscribe()
    }

    /// Recent latency of requests, long polls and bulk reads excluded: a decaying maximum.
    pub fn recent_latency(&self) -> Duration {
        self.recent_latency.get()
    }

    /// Sends a request. With the full timeout, an idempotent request is retried with twice the timeout of the attempt
    /// before; with the short one there is a single attempt. A bulk read always has a single attempt with a timeout of
    /// its own.
    ///
    /// # Errors
    /// Fails if the store does not execute the request, or does not respond in time; in the latter case the request may
    /// still take effect.
    pub async fn call(
        &self,
        request: &StoreRequest,
        timeout: DirectTimeout,
    ) -> Result<StoreReply, StoreError> {
        let is_bulk = request.is_bulk();
        let mut attempt_timeout = match is_bulk {
            true => BULK_TIMEOUT,
            false => (self.recent_latency.get() * ATTEMPT_TIMEOUT_FACTOR)
                .clamp(ATTEMPT_TIMEOUT_MIN, CALL_TIMEOUT),
        };
        let mut remaining = match timeout {
            DirectTimeout::Full if !is_bulk => CALL_TIMEOUT,
            DirectTimeout::Short | DirectTimeout::Full => attempt_timeout,
        };
        let mut may_be_stored = false;
        loop {
            let timeout = if request.is_idempotent() {
                attempt_timeout.min(remaining)
            } else {
                remaining
            };
            self.calls.set(self.calls.get() + 1);
            let started = Instant::now();
            let reply = self.send(request, timeout).await;
            let elapsed = started.elapsed();
            self.count(request, &reply);
            remaining = remaining.saturating_sub(elapsed.saturating_sub(request.wait()));
            match reply {
                // Only timeouts are retried here. After a broken connection, callers pause before they retry.
                Err(StoreError::Unknown(_))
                    if request.is_idempotent() && elapsed >= timeout && !remaining.is_zero() =>
                {
                    self.failures.set(self.failures.get() + 1);
                    attempt_timeout *= 2;
                    may_be_stored = matches!(request, StoreRequest::Append { .. });
                }
                Err(error) => {
                    self.failures.set(self.failures.get() + 1);
                    return Err(match may_be_stored {
                        true => StoreError::Unknown(error.to_string()),
                        false => error,
                    });
                }
                Ok(reply) => {
                    if request.wait().is_zero() && !is_bulk {
                        self.recent_latency.set(
                            elapsed.max(self.recent_latency.get().mul_f64(RECENT_LATENCY_DECAY)),
                        );
                    }
                    return Ok(reply);
                }
            }
        }
    }

    fn count(&self, request: &StoreRequest, reply: &Result<StoreReply, StoreError>) {
        let outcome = match reply {
            Ok(_) => "ok",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::Unreachable(_)) => "unreachable",
            Err(StoreError::Unknown(_)) => "unknown",
        };
        let (call, topic) = (request.kind(), request.topic());
        self.metrics.count_call(call, topic, outcome);
    }

    async fn send(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let unknown = |error: String| StoreError::Unknown(error);
        let call = (self.dialect.encode_store_call)(request)
            .map_err(|error| StoreError::Refused(format!("cannot encode the call: {error}")))?;
        // A bulk read gets a connection of its own: its long timeout would hide that an idle one is dead.
        let idle = match request.is_bulk() {
            true => None,
            false => self.take_idle(),
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => self
                .connect()
                .await
                .map_err(|error| StoreError::Unreachable(error.to_string()))?,
        };
        let mut builder = http::Request::builder()
            .method(call.method)
            .uri(call.target)
            .header(HOST, self.address.to_string());
        if let Some(content_type) = call.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        let http_request = builder
            .body(Full::new(call.body))
            .map_err(|error| StoreError::Refused(format!("cannot build the call: {error}")))?;
        let received_bytes = Cell::new(0);
        let sent_at = Instant::now();
        let exchange = async {
            connection.sender.ready().await?;
            connection.sender.send_request(http_request).await
        };
        let outcome = match tokio::time::timeout(request.wait() + timeout, exchange).await {
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                let body = collect_body(response.into_body(), &received_bytes).await;
                body.map(|body| (status, body))
            }
            Ok(Err(error)) => Err(ResponseError::Failed(error)),
            Err(_) => Err(ResponseError::TimedOut),
        };
        self.metrics.count_received(
            request.kind(),
            request.topic(),
            outcome.is_ok(),
            received_bytes.get(),
        );
        let (status, body) = match outcome {
            Ok(response) => response,
            Err(ResponseError::Failed(error)) => return Err(unknown(error.to_string())),
            Err(ResponseError::TooLarge) => {
                log::warn!(
                    event = "store_response_too_large", call = request.kind(), topic = request.topic();
                    "a response of the store exceeds {RESPONSE_MAX_BYTES} bytes"
                );
                return Err(unknown("the response is too large".to_owned()));
            }
            Err(ResponseError::TimedOut) => {
                log::info!(
                    event = "store_timed_out", call = request.kind(), topic = request.topic(),
                    received_bytes = received_bytes.get(), timeout_ms = timeout.as_millis() as u64,
                    waited_ms = sent_at.elapsed().as_millis() as u64;
                    "a response of the store did not arrive in time"
                );
                // The other idle connections are likely to be dead, too.
                self.idle.borrow_mut().clear();
                if !request.is_read() {
                    self.timeouts.send_replace(());
                }
                return Err(unknown("time is up".to_owned()));
            }
        };
        self.put_idle(connection);
        (self.dialect.decode_store_reply)(request, status, &body)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }

    async fn connect(&self) -> anyhow::Result<Connection> {
        let stream = net::connect(self.address, CONNECT_TIMEOUT, ConnectionUse::Messages).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = OwnedTask::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the store failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            _task: task,
        })
    }
}
