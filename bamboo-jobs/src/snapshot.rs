//! The wire form of a shard's fold.

use bamboo_log::RecordBody;
use bamboo_log::split_snapshot;

use crate::ShardFold;

/// Why a snapshot cannot be written or read.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The fold does not encode.
    #[error("snapshot does not encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The parts do not decode.
    #[error("snapshot does not decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

/// Splits a fold into snapshot records.
///
/// # Errors
/// Fails if the codec refuses the fold.
///
/// ```
/// let parts = bamboo_jobs::write_snapshot(&bamboo_jobs::ShardFold::default()).unwrap();
/// assert_eq!(parts.len(), 1);
/// ```
pub fn write_snapshot(fold: &ShardFold) -> Result<Vec<RecordBody>, SnapshotError> {
    let bytes = bincode::serde::encode_to_vec(fold, bincode::config::standard())?;
    Ok(split_snapshot(fold.next_offset().saturating_sub(1), &bytes))
}

/// Reads a fold back.
///
/// # Errors
/// Fails if the bytes are no fold.
pub fn read_snapshot(bytes: &[u8]) -> Result<ShardFold, SnapshotError> {
    let (fold, _) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())?;
    Ok(fold)
}
