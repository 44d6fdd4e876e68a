//! Bodies that are read as a whole, bounded in size one by one and together.

use std::sync::Arc;

use bamboo_fleet::BufferBudget;
use bamboo_fleet::BufferReservation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Why a body was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The body is larger than its limit.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// All bodies together use up the budget.
    #[error("the budget for buffered bodies is exhausted")]
    BudgetExhausted,
    /// The body was the slowest one when others needed its memory.
    #[error("the body was evicted")]
    Evicted,
    /// The connection failed before the body was complete.
    #[error("the body was truncated: {0}")]
    Truncated(#[from] hyper::Error),
}

/// Bytes of a body, which return their share of the budget with the last reference.
struct BufferedBody {
    bytes: Vec<u8>,
    _reservation: BufferReservation,
}

/// Bytes that keep their share of the budget until the last reference is dropped.
pub(crate) fn counted_bytes(bytes: Vec<u8>, reservation: BufferReservation) -> Bytes {
    Bytes::from_owner(BufferedBody {
        bytes,
        _reservation: reservation,
    })
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole body.
///
/// # Errors
/// Fails if the body is truncated, larger than `max_bytes` or exceeds the budget.
pub(crate) async fn read_whole_body(
    mut body: Incoming,
    max_bytes: usize,
    budget: &Arc<BufferBudget>,
) -> Result<Bytes, BodyError> {
    let mut reservation = budget.begin_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if reservation.body_bytes() + data.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        if !reservation.grow(data.len()) {
            return Err(BodyError::BudgetExhausted);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(counted_bytes(bytes, reservation))
}
