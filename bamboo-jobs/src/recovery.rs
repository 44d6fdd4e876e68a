//! Brings a fold up from a stream that may have been trimmed at its start.

use bamboo_log::Entry;
use bamboo_types::Offset;

use crate::FoldEvent;
use crate::ShardFold;
use crate::SnapshotReader;

/// A fold, and what was read while it still waits for a snapshot.
#[derive(Debug, Default)]
pub struct StreamFold {
    fold: ShardFold,
    snapshot: SnapshotReader,
    waiting: Vec<(Offset, Entry)>,
    first_read: Option<Offset>,
}

impl StreamFold {
    /// The fold. Until `is_whole`, records before the stream's start are missing in it.
    pub fn fold(&self) -> &ShardFold {
        &self.fold
    }

    /// Whether everything from the stream's beginning is folded, directly or by a snapshot.
    ///
    /// ```
    /// assert!(bamboo_jobs::StreamFold::default().is_whole());
    /// ```
    pub fn is_whole(&self) -> bool {
        self.first_read.is_none_or(|first| first == 0)
    }

    /// Notes that offsets before `oldest` were trimmed before they were read.
    pub fn gap(&mut self, oldest: Offset) {
        if oldest > self.fold.next_offset() {
            self.first_read = Some(oldest);
            self.waiting.clear();
        }
    }

    /// Takes the next entry of the stream; `None` stands for one that does not decode.
    pub fn take(&mut self, offset: Offset, entry: Option<Entry>) -> Vec<FoldEvent> {
        let Some(entry) = entry else {
            self.fold.skip(offset);
            return Vec::new();
        };
        if self.is_whole() {
            return self.fold.apply(offset, &entry);
        }
        let found = self.snapshot.take(&entry).ok().flatten();
        self.waiting.push((offset, entry));
        match found {
            Some(fold) => self.start_from(fold),
            None => Vec::new(),
        }
    }

    fn start_from(&mut self, fold: ShardFold) -> Vec<FoldEvent> {
        // Entries between the snapshot's end and the first one read would be missing.
        if self
            .first_read
            .is_some_and(|first| first > fold.next_offset())
        {
            return Vec::new();
        }
        self.fold = fold;
        self.first_read = Some(0);
        let mut events = Vec::new();
        if let Some((writer, epoch)) = self.fold.holder() {
            let (host, incarnation) = (writer.host.clone(), writer.incarnation);
            events.push(FoldEvent::Claimed {
                host,
                incarnation,
                epoch: *epoch,
            });
        }
        for (offset, entry) in std::mem::take(&mut self.waiting) {
            events.extend(self.fold.apply(offset, &entry));
        }
        events
    }
}
