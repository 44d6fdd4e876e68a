//! Snapshots of a shard's fold, written in parts small enough for one append each.

use bamboo_log::Body;
use bamboo_log::Entry;
use bamboo_log::SnapshotPart;
use bamboo_types::Offset;

use crate::ShardFold;

/// Largest part, bytes.
const PART_MAX_BYTES: usize = 192 * 1024;

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
pub fn write_snapshot(fold: &ShardFold) -> Result<Vec<Body>, SnapshotError> {
    let bytes = bincode::serde::encode_to_vec(fold, bincode::config::standard())?;
    let through = fold.next_offset().saturating_sub(1);
    let pieces: Vec<&[u8]> = bytes.chunks(PART_MAX_BYTES).collect();
    let part_count = pieces.len() as u32;
    let parts = pieces.into_iter().enumerate();
    Ok(parts
        .map(|(part, piece)| {
            Body::Snapshot(SnapshotPart {
                through,
                part: part as u32,
                part_count,
                bytes: piece.to_vec(),
            })
        })
        .collect())
}

/// Gathers the parts of the newest snapshot while a stream is read.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    through: Option<Offset>,
    part_count: u32,
    next_part: u32,
    bytes: Vec<u8>,
}

impl SnapshotReader {
    /// Takes an entry; returns the fold once its last part has been read.
    ///
    /// # Errors
    /// Fails if the parts are whole but do not decode.
    pub fn take(&mut self, entry: &Entry) -> Result<Option<ShardFold>, SnapshotError> {
        for body in &entry.bodies {
            let Body::Snapshot(part) = body else {
                continue;
            };
            if self.accept(part) {
                let bytes = std::mem::take(&mut self.bytes);
                self.through = None;
                let (fold, _) =
                    bincode::serde::decode_from_slice(&bytes, bincode::config::standard())?;
                return Ok(Some(fold));
            }
        }
        Ok(None)
    }

    fn accept(&mut self, part: &SnapshotPart) -> bool {
        if part.part == 0 {
            self.through = Some(part.through);
            self.part_count = part.part_count;
            self.next_part = 0;
            self.bytes.clear();
        }
        // The first writer's parts count; another's parts of the same fold hold the same bytes.
        if self.through != Some(part.through) || part.part != self.next_part {
            return false;
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next_part += 1;
        self.next_part == self.part_count
    }
}
