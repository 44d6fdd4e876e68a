//! The platform's store: appends with a fence, reads, newest records by key, and groups.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bamboo_types::Offset;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::dialect::Dialect;
use crate::net;
use crate::task::OwnedTask;

/// Time for one call with its repeats, beyond the time that the store is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Shortest time for one attempt. The store answers in 4 ms on a calm day.
const ATTEMPT_MIN: Duration = Duration::from_millis(120);
/// Time for one attempt, as a multiple of the time that calls have taken lately.
const ATTEMPT_FACTOR: u32 = 4;
/// What a shorter call leaves of the time that calls have taken lately.
const RECENT_LATENCY_DECAY: f64 = 0.9;
/// Time for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections kept for further calls.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Number of a partition of a topic.
pub type Partition = u32;

/// Makes an append count once, and only while no later owner has shown a higher epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Name shared by all writers that exclude each other.
    pub producer: String,
    /// Epoch of this writer.
    pub epoch: u64,
    /// Number of the append within the epoch.
    pub sequence: u64,
}

/// A call of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Append records, all or none. Without records only the epoch is set.
    Append {
        /// Topic.
        topic: String,
        /// Partition.
        partition: Partition,
        /// Records.
        records: Vec<Vec<u8>>,
        /// Fence of the writer.
        fence: Option<Fence>,
    },
    /// Read records from an offset on.
    Read {
        /// Topic.
        topic: String,
        /// Partition.
        partition: Partition,
        /// First offset.
        from: Offset,
        /// How long to wait if there is none.
        wait: Duration,
    },
    /// Read the newest record of each key.
    Newest {
        /// Topic.
        topic: String,
        /// Key after which to go on.
        after: Option<String>,
    },
    /// Join a group, or stay in it.
    Join {
        /// Group.
        group: String,
        /// Member.
        member: String,
        /// Topic whose partitions are dealt.
        topic: String,
        /// Membership without a further call.
        lifetime: Duration,
        /// Generation that was received last.
        generation: u64,
    },
    /// Leave a group.
    Leave {
        /// Group.
        group: String,
        /// Member.
        member: String,
        /// Generation that was received last.
        generation: u64,
    },
}

impl StoreRequest {
    /// Whether the store takes a repeat for the same call, or nothing is changed by it.
    fn is_idempotent(&self) -> bool {
        match self {
            StoreRequest::Append { fence, .. } => fence.is_some(),
            StoreRequest::Read { .. }
            | StoreRequest::Newest { .. }
            | StoreRequest::Join { .. }
            | StoreRequest::Leave { .. } => true,
        }
    }

    fn wait(&self) -> Duration {
        match self {
            StoreRequest::Read { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was dropped.
    pub value: Option<Vec<u8>>,
    /// Offset.
    pub offset: Offset,
}

/// An answer of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The records are stored, the first at this offset.
    Appended {
        /// Offset of the first record.
        offset: Offset,
        /// Offset after the last record of the partition.
        end: Offset,
    },
    /// A later writer has shown a higher epoch. Nothing was stored.
    Fenced,
    /// The append is not the next of its epoch. Nothing was stored.
    OutOfSequence {
        /// Number that the store expects, if it says so.
        expected: Option<u64>,
    },
    /// Records from the asked offset on.
    Records {
        /// Offset after the last record of the partition.
        end: Offset,
        /// Records in order.
        records: Vec<Vec<u8>>,
    },
    /// The asked offset is no longer kept.
    Trimmed {
        /// First offset that is kept.
        first: Offset,
    },
    /// Newest records of keys.
    Newest {
        /// Records.
        records: Vec<KeyedRecord>,
        /// Whether more follow after the last key.
        has_more: bool,
        /// Offset after the last record of the partition.
        end: Offset,
    },
    /// The member is in the group.
    Joined {
        /// Generation of the group.
        generation: u64,
        /// Partitions of the member.
        partitions: Vec<Partition>,
    },
    /// The call is carried out.
    Done,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreError {
    /// The store did nothing.
    #[error("store refused: {0}")]
    Refused(String),
    /// The call may have taken effect, or may still do so.
    #[error("store gave no answer: {0}")]
    Unknown(String),
}

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: OwnedTask,
}

/// Client of the store.
pub struct StoreClient {
    address: SocketAddr,
    dialect: Dialect,
    idle: RefCell<Vec<Connection>>,
    calls: Cell<u64>,
    failures: Cell<u64>,
    recent_latency: Cell<Duration>,
}

impl StoreClient {
    /// Makes a client; it connects with the first call.
    pub fn new(address: SocketAddr, dialect: Dialect) -> Self {
        StoreClient {
            address,
            dialect,
            idle: RefCell::new(Vec::new()),
            calls: Cell::new(0),
            failures: Cell::new(0),
            recent_latency: Cell::new(Duration::ZERO),
        }
    }

    /// Calls made and calls without an answer.
    pub fn counts(&self) -> (u64, u64) {
        (self.calls.get(), self.failures.get())
    }

    /// How long calls have taken lately, their waits left out.
    pub fn recent_latency(&self) -> Duration {
        self.recent_latency.get()
    }

    /// Makes one call. An attempt whose answer is late is given up and repeated with twice the time, if the store
    /// takes repeats for one call.
    ///
    /// # Errors
    /// Fails if the store refuses, or gives no answer in time; then the call may still take effect.
    pub async fn call(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        let mut remaining = CALL_TIMEOUT;
        let mut attempt_timeout =
            (self.recent_latency.get() * ATTEMPT_FACTOR).clamp(ATTEMPT_MIN, CALL_TIMEOUT);
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
            remaining = remaining.saturating_sub(elapsed.saturating_sub(request.wait()));
            match reply {
                // A broken connection is not repeated here: those who call pause first.
                Err(StoreError::Unknown(_))
                    if request.is_idempotent() && elapsed >= timeout && !remaining.is_zero() =>
                {
                    self.failures.set(self.failures.get() + 1);
                    attempt_timeout *= 2;
                }
                Err(error) => {
                    self.failures.set(self.failures.get() + 1);
                    return Err(error);
                }
                Ok(reply) => {
                    if request.wait().is_zero() {
                        self.recent_latency.set(
                            elapsed.max(self.recent_latency.get().mul_f64(RECENT_LATENCY_DECAY)),
                        );
                    }
                    return Ok(reply);
                }
            }
        }
    }

    async fn send(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let unknown = |error: String| StoreError::Unknown(error);
        let call = (self.dialect.write_store_request)(request)
            .map_err(|error| StoreError::Refused(format!("cannot encode the call: {error}")))?;
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => self
                .connect()
                .await
                .map_err(|error| StoreError::Refused(error.to_string()))?,
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
        let exchange = async {
            connection.sender.ready().await?;
            let response = connection.sender.send_request(http_request).await?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>((status, body))
        };
        let (status, body) = match tokio::time::timeout(request.wait() + timeout, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Err(unknown(error.to_string())),
            Err(_) => return Err(unknown("time is up".to_owned())),
        };
        self.put_idle(connection);
        (self.dialect.read_store_reply)(request, status, &body)
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
        let stream = net::connect(self.address, CONNECT_TIMEOUT).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = OwnedTask::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the store ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            _task: task,
        })
    }
}
