//! Snapshots in a stream: split into parts, gathered again, and used where a stream was trimmed.

use std::time::Duration;

use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Entry;
use crate::SnapshotPart;

/// Largest part, bytes.
const PART_MAX_BYTES: usize = 192 * 1024;

/// The newest snapshot of a stream, as told by the stream itself, so that its age outlives its writer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Last offset that it covers; 0 while there is none.
    pub through: Offset,
    /// When it was written, or when the stream began, milliseconds since the Unix epoch.
    pub at_ms: Option<u64>,
}

impl SnapshotMark {
    /// Notes an entry of the stream.
    ///
    /// ```
    /// use bamboo_log::{Body, Entry, SnapshotMark};
    /// let bodies = vec![Body::Probe];
    /// let entry = Entry { host: "h1".into(), incarnation: 1, at_ms: 5, first_sequence: 1, bodies };
    /// let mut mark = SnapshotMark::default();
    /// mark.note(&entry);
    /// assert_eq!(mark.at_ms, Some(5));
    /// ```
    pub fn note(&mut self, entry: &Entry) {
        self.at_ms.get_or_insert(entry.at_ms);
        for body in &entry.bodies {
            if let Body::Snapshot(part) = body
                && part.part + 1 == part.part_count
            {
                *self = SnapshotMark {
                    through: part.through,
                    at_ms: Some(entry.at_ms),
                };
            }
        }
    }

    /// Whether the next snapshot is due: after so many entries, or when the last one grows old.
    pub fn is_due(
        &self,
        now: Now,
        next_offset: Offset,
        every_entries: u64,
        age_max: Duration,
    ) -> bool {
        let by_count = next_offset >= self.through + every_entries;
        let by_age = self
            .at_ms
            .is_some_and(|at_ms| millis(now) >= at_ms + millis(age_max));
        by_count || by_age
    }
}

/// A snapshot with all of its parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeSnapshot {
    /// Last offset that it covers.
    pub through: Offset,
    /// The encoded fold.
    pub bytes: Vec<u8>,
}

/// Splits an encoded fold into records, each small enough for one append.
///
/// ```
/// assert_eq!(bamboo_log::split_snapshot(7, &[0; 400_000]).len(), 3);
/// ```
pub fn split_snapshot(through: Offset, bytes: &[u8]) -> Vec<Body> {
    let pieces: Vec<&[u8]> = bytes.chunks(PART_MAX_BYTES).collect();
    let part_count = pieces.len() as u32;
    let part = |(part, piece): (usize, &[u8])| {
        let bytes = piece.to_vec();
        Body::Snapshot(SnapshotPart {
            through,
            part: part as u32,
            part_count,
            bytes,
        })
    };
    pieces.into_iter().enumerate().map(part).collect()
}

/// Gathers the parts of the newest snapshot while a stream is read.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    through: Option<Offset>,
    next_part: u32,
    bytes: Vec<u8>,
}

impl SnapshotAssembler {
    /// Takes an entry; returns the snapshot once its last part has been read.
    ///
    /// ```
    /// use bamboo_log::{Entry, SnapshotAssembler, split_snapshot};
    /// let bodies = split_snapshot(7, b"fold");
    /// let entry = Entry { host: "h1".into(), incarnation: 1, at_ms: 0, first_sequence: 1, bodies };
    /// assert_eq!(SnapshotAssembler::default().take(&entry).unwrap().bytes, b"fold");
    /// ```
    pub fn take(&mut self, entry: &Entry) -> Option<WholeSnapshot> {
        for body in &entry.bodies {
            let Body::Snapshot(part) = body else {
                continue;
            };
            if self.accept(part) {
                let bytes = std::mem::take(&mut self.bytes);
                let through = self.through.take()?;
                return Some(WholeSnapshot { through, bytes });
            }
        }
        None
    }

    fn accept(&mut self, part: &SnapshotPart) -> bool {
        if part.part == 0 {
            self.through = Some(part.through);
            self.next_part = 0;
            self.bytes.clear();
        }
        // A fold is a function of the stream, so two writers' parts of one `through` hold the same bytes.
        if self.through != Some(part.through) || part.part != self.next_part {
            return false;
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next_part += 1;
        self.next_part == part.part_count
    }
}

/// Holds entries back while the stream's trimmed start is still missing.
#[derive(Debug, Default)]
pub struct GapBuffer {
    first_read: Option<Offset>,
    waiting: Vec<(Offset, Entry)>,
    assembler: SnapshotAssembler,
}

impl GapBuffer {
    /// Whether nothing is missing.
    ///
    /// ```
    /// assert!(bamboo_log::GapBuffer::default().is_whole());
    /// ```
    pub fn is_whole(&self) -> bool {
        self.first_read.is_none()
    }

    /// Notes that offsets before `oldest` were trimmed; `next_offset` is the next one that the fold needs.
    pub fn gap(&mut self, oldest: Offset, next_offset: Offset) {
        if oldest > next_offset {
            self.first_read = Some(oldest);
            self.waiting.clear();
        }
    }

    /// Holds an entry back; returns a snapshot that it completes.
    pub fn hold(&mut self, offset: Offset, entry: Entry) -> Option<WholeSnapshot> {
        let found = self.assembler.take(&entry);
        self.waiting.push((offset, entry));
        found.filter(|snapshot| {
            self.first_read
                .is_none_or(|first| first <= snapshot.through + 1)
        })
    }

    /// The missing start has been filled up to `next_offset`: returns the entries to apply on top, or `None` if
    /// entries between would still be missing.
    pub fn fill(&mut self, next_offset: Offset) -> Option<Vec<(Offset, Entry)>> {
        if self.first_read.is_some_and(|first| first > next_offset) {
            return None;
        }
        self.first_read = None;
        Some(std::mem::take(&mut self.waiting))
    }
}
