//! Bodies of responses to callers.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::mpsc;

/// Chunks of a streamed response that are buffered for a slow caller.
pub(crate) const STREAM_QUEUE_LEN: usize = 32;

/// Body of a response: complete, or streamed in chunks.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// All bytes; `None` once they have been sent, or if there are none.
    Full(Option<Bytes>),
    /// Chunks of a stream. An error aborts the connection, so that a truncated response never looks complete.
    Chunks(mpsc::Receiver<io::Result<Bytes>>),
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
