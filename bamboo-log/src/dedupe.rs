//! Detects records that a retried append stored more than once.

use std::collections::BTreeMap;

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// Identity of a writer: a host and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// The host.
    pub host: HostId,
    /// Incarnation of the host: a new one with every start.
    pub incarnation: Incarnation,
}

/// Highest sequence number seen from each writer of one stream.
///
/// A writer has one append in flight per stream and sends its records in sequence order, so a sequence number at or
/// below the highest one seen is a duplicate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deduplicator {
    highest_sequences: BTreeMap<Writer, u64>,
}

impl Deduplicator {
    /// Records a sequence number. Returns `false` if the record is a duplicate.
    ///
    /// ```
    /// use bamboo_log::{Deduplicator, Writer};
    /// let writer = Writer { host: "h1".into(), incarnation: 1 };
    /// let mut deduplicator = Deduplicator::default();
    /// assert!(deduplicator.insert(&writer, 1));
    /// assert!(!deduplicator.insert(&writer, 1));
    /// ```
    pub fn insert(&mut self, writer: &Writer, sequence: u64) -> bool {
        match self.highest_sequences.get_mut(writer) {
            Some(highest) if sequence <= *highest => false,
            Some(highest) => {
                *highest = sequence;
                true
            }
            None => {
                self.highest_sequences.insert(writer.clone(), sequence);
                true
            }
        }
    }

    /// Number of writers tracked.
    ///
    /// ```
    /// assert_eq!(bamboo_log::Deduplicator::default().writer_count(), 0);
    /// ```
    pub fn writer_count(&self) -> usize {
        self.highest_sequences.len()
    }

    /// Converts into the writers and their highest sequence numbers, for storage in a snapshot.
    pub fn into_writers(self) -> Vec<(Writer, u64)> {
        self.highest_sequences.into_iter().collect()
    }

    /// Restores the state from writers and their highest sequence numbers.
    pub fn from_writers(writers: Vec<(Writer, u64)>) -> Self {
        Deduplicator {
            highest_sequences: writers.into_iter().collect(),
        }
    }
}
