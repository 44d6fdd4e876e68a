//! Bodies of responses to callers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bamboo_fleet::BufferBudget;
use bamboo_fleet::BufferReservation;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

/// Chunks of a streamed response that are buffered for a slow caller.
const STREAM_QUEUE_LEN: usize = 32;
/// Size of these chunks together. A larger chunk is buffered alone.
const STREAM_QUEUE_BYTES: usize = 64 << 10;

/// Body of a response: complete, or streamed in chunks.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// All bytes; `None` once they have been sent, or if there are none.
    Full(Option<Bytes>),
    /// Chunks of a stream. An error aborts the connection, so that a truncated response never looks complete.
    Chunks(mpsc::Receiver<io::Result<Bytes>>),
}

/// Bytes of a chunk, which count towards the queue of their stream and the budget until they have been sent.
struct QueuedChunk {
    bytes: Vec<u8>,
    _reservation: BufferReservation,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a chunk was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueError {
    /// The caller has disconnected.
    CallerDisconnected,
    /// The chunks of all streams together use up the budget.
    BudgetExhausted,
}

/// Queue of a streamed response to its caller.
pub(crate) struct ChunkQueue {
    chunks: mpsc::Sender<io::Result<Bytes>>,
    room: Arc<Semaphore>,
    budget: Arc<BufferBudget>,
}

impl ChunkQueue {
    /// Creates a queue, and the body that sends its chunks.
    pub(crate) fn new(budget: &Arc<BufferBudget>) -> (Self, ResponseBody) {
        let (chunks, receiver) = mpsc::channel(STREAM_QUEUE_LEN);
        let queue = ChunkQueue {
            chunks,
            room: Arc::new(Semaphore::new(STREAM_QUEUE_BYTES)),
            budget: Arc::clone(budget),
        };
        (queue, ResponseBody::Chunks(receiver))
    }

    /// Queues a chunk once there is room for it.
    ///
    /// # Errors
    /// Fails if the caller has disconnected, or if the budget is exhausted.
    pub(crate) async fn push(&self, bytes: Vec<u8>) -> Result<(), QueueError> {
        let needed = bytes.len().min(STREAM_QUEUE_BYTES) as u32;
        let permit = tokio::select! {
            permit = Arc::clone(&self.room).acquire_many_owned(needed) => permit,
            () = self.chunks.closed() => return Err(QueueError::CallerDisconnected),
        };
        let Ok(permit) = permit else {
            return Err(QueueError::CallerDisconnected);
        };
        let mut reservation = self.budget.begin_body();
        if !reservation.grow(bytes.len()) {
            return Err(QueueError::BudgetExhausted);
        }
        let chunk = Bytes::from_owner(QueuedChunk {
            bytes,
            _reservation: reservation,
            _permit: permit,
        });
        let queued = self.chunks.send(Ok(chunk)).await;
        queued.map_err(|_| QueueError::CallerDisconnected)
    }

    /// Ends the response with an error, so that it does not look complete.
    pub(crate) async fn abort(&self, reason: &'static str) {
        // Fails only if the caller has disconnected.
        let _ = self.chunks.send(Err(io::Error::other(reason))).await;
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl ResponseBody {
    pub(crate) fn full<B>(bytes: B) -> Self
    where
        B: Into<Bytes>,
    {
        let bytes = bytes.into();
        ResponseBody::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Chunks(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Chunks(_) => SizeHint::default(),
        }
    }
}
