//! Snapshots stored in a stream: splitting into parts, reassembly, and recovery of a stream that was trimmed.

use std::time::Duration;

use bamboo_types::Offset;
use bamboo_types::Timestamp;
use bamboo_types::millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::RecordBody;
use crate::SnapshotPart;

/// Largest size of a part, in bytes, so that each part fits into one append.
const PART_MAX_BYTES: usize = 192 * 1024;

/// Offset and time of the newest snapshot in a stream.
///
/// They are read from the stream itself, so that every host knows the snapshot's age, also after its writer is gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestSnapshot {
    /// Last offset that the snapshot covers; 0 if there is none.
    pub last_offset: Offset,
    /// Time of the snapshot, or of the first entry if there is none, milliseconds since the Unix epoch.
    pub at_ms: Option<u64>,
}

impl LatestSnapshot {
    /// Updates from the next entry of the stream.
    ///
    /// ```
    /// use bamboo_log::{RecordBody, Entry, LatestSnapshot};
    /// let bodies = vec![RecordBody::Probe];
    /// let entry = Entry { host: "h1".into(), incarnation: 1, at_ms: 5, first_sequence: 1, bodies };
    /// let mut latest = LatestSnapshot::default();
    /// latest.observe(&entry);
    /// assert_eq!(latest.at_ms, Some(5));
    /// ```
    pub fn observe(&mut self, entry: &Entry) {
        self.at_ms.get_or_insert(entry.at_ms);
        for body in &entry.bodies {
            if let RecordBody::Snapshot(part) = body
                && part.part + 1 == part.part_count
            {
                *self = LatestSnapshot {
                    last_offset: part.last_offset,
                    at_ms: Some(entry.at_ms),
                };
            }
        }
    }

    /// Whether a new snapshot is due: `interval_entries` entries after the last one, or once it is `max_age` old.
    pub fn is_due(
        &self,
        now: Timestamp,
        next_offset: Offset,
        interval_entries: u64,
        max_age: Duration,
    ) -> bool {
        let by_count = next_offset >= self.last_offset + interval_entries;
        let by_age = self
            .at_ms
            .is_some_and(|at_ms| millis(now) >= at_ms + millis(max_age));
        by_count || by_age
    }
}

/// A snapshot reassembled from all of its parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteSnapshot {
    /// Last offset that the snapshot covers.
    pub last_offset: Offset,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// Splits an encoded state into snapshot records, each small enough for one append.
///
/// ```
/// assert_eq!(bamboo_log::split_snapshot(7, &[0; 400_000]).len(), 3);
/// ```
pub fn split_snapshot(last_offset: Offset, bytes: &[u8]) -> Vec<RecordBody> {
    let chunks: Vec<&[u8]> = bytes.chunks(PART_MAX_BYTES).collect();
    let part_count = chunks.len() as u32;
    let part = |(part, chunk): (usize, &[u8])| {
        let bytes = chunk.to_vec();
        RecordBody::Snapshot(SnapshotPart {
            last_offset,
            part: part as u32,
            part_count,
            bytes,
        })
    };
    chunks.into_iter().enumerate().map(part).collect()
}

/// Reassembles the newest snapshot from its parts while a stream is read.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    last_offset: Option<Offset>,
    next_part: u32,
    bytes: Vec<u8>,
}

impl SnapshotAssembler {
    /// Adds the parts in an entry. Returns the snapshot once its last part has been read.
    ///
    /// ```
    /// use bamboo_log::{Entry, SnapshotAssembler, split_snapshot};
    /// let bodies = split_snapshot(7, b"fold");
    /// let entry = Entry { host: "h1".into(), incarnation: 1, at_ms: 0, first_sequence: 1, bodies };
    /// assert_eq!(SnapshotAssembler::default().add_entry(&entry).unwrap().bytes, b"fold");
    /// ```
    pub fn add_entry(&mut self, entry: &Entry) -> Option<CompleteSnapshot> {
        for body in &entry.bodies {
            let RecordBody::Snapshot(part) = body else {
                continue;
            };
            if self.add_part(part) {
                let bytes = std::mem::take(&mut self.bytes);
                let last_offset = self.last_offset.take()?;
                return Some(CompleteSnapshot { last_offset, bytes });
            }
        }
        None
    }

    fn add_part(&mut self, part: &SnapshotPart) -> bool {
        if part.part == 0 {
            self.last_offset = Some(part.last_offset);
            self.next_part = 0;
            self.bytes.clear();
        }
        // The state is a deterministic function of the stream, so parts with the same `last_offset` from different
        // writers can be mixed.
        if self.last_offset != Some(part.last_offset) || part.part != self.next_part {
            return false;
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next_part += 1;
        self.next_part == part.part_count
    }
}

/// Buffers entries of a stream whose start was trimmed, until a snapshot covers the missing offsets.
#[derive(Debug, Default)]
pub struct CatchUpBuffer {
    first_available: Option<Offset>,
    buffered: Vec<(Offset, Entry)>,
    assembler: SnapshotAssembler,
}

impl CatchUpBuffer {
    /// Whether no trimmed offsets are missing.
    ///
    /// ```
    /// assert!(bamboo_log::CatchUpBuffer::default().has_no_gap());
    /// ```
    pub fn has_no_gap(&self) -> bool {
        self.first_available.is_none()
    }

    /// Opens a gap: offsets before `oldest` were trimmed, and `next_offset` is the next one that is needed.
    ///
    /// Does nothing if `next_offset` was not trimmed.
    pub fn open(&mut self, oldest: Offset, next_offset: Offset) {
        if oldest > next_offset {
            self.first_available = Some(oldest);
            self.buffered.clear();
        }
    }

    /// Buffers an entry. Returns the snapshot that it completes, if that snapshot covers the whole gap.
    pub fn buffer(&mut self, offset: Offset, entry: Entry) -> Option<CompleteSnapshot> {
        let snapshot = self.assembler.add_entry(&entry);
        self.buffered.push((offset, entry));
        snapshot.filter(|snapshot| {
            self.first_available
                .is_none_or(|first| first <= snapshot.last_offset + 1)
        })
    }

    /// Closes the gap after the state up to `next_offset` was restored, and returns the buffered entries to apply
    /// to it. Returns `None` if entries between the state and the buffer would still be missing.
    pub fn close(&mut self, next_offset: Offset) -> Option<Vec<(Offset, Entry)>> {
        if self
            .first_available
            .is_some_and(|first| first > next_offset)
        {
            return None;
        }
        self.first_available = None;
        Some(std::mem::take(&mut self.buffered))
    }
}
