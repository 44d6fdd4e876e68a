//! Brings a fold up from a stream that may have been trimmed at its start.

use bamboo_log::CatchUpBuffer;
use bamboo_log::Entry;
use bamboo_types::Offset;

use crate::FoldEvent;
use crate::ShardFold;
use crate::read_snapshot;

/// A fold, and what was read while it still waits for a snapshot.
#[derive(Debug, Default)]
pub struct StreamFold {
    fold: ShardFold,
    catch_up: CatchUpBuffer,
}

impl StreamFold {
    /// The fold. Until `is_complete`, records before the stream's start are missing in it.
    pub fn fold(&self) -> &ShardFold {
        &self.fold
    }

    /// Whether everything from the stream's beginning is folded, directly or by a snapshot.
    ///
    /// ```
    /// assert!(bamboo_jobs::StreamFold::default().is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.catch_up.has_no_gap()
    }

    /// Notes that offsets before `oldest` were trimmed before they were read.
    pub fn skip_trimmed(&mut self, oldest: Offset) {
        self.catch_up.open(oldest, self.fold.next_offset());
    }

    /// Takes the next entry of the stream; `None` stands for one that does not decode.
    pub fn apply(&mut self, offset: Offset, entry: Option<Entry>) -> Vec<FoldEvent> {
        let Some(entry) = entry else {
            self.fold.skip(offset);
            return Vec::new();
        };
        if self.is_complete() {
            return self.fold.apply(offset, &entry);
        }
        let snapshot = self.catch_up.buffer(offset, entry);
        match snapshot.and_then(|snapshot| read_snapshot(&snapshot.bytes).ok()) {
            Some(fold) => self.restore(fold),
            None => Vec::new(),
        }
    }

    fn restore(&mut self, fold: ShardFold) -> Vec<FoldEvent> {
        let Some(buffered) = self.catch_up.close(fold.next_offset()) else {
            return Vec::new();
        };
        self.fold = fold;
        let mut events = Vec::new();
        if let Some((writer, epoch)) = self.fold.owner() {
            let (host, incarnation) = (writer.host.clone(), writer.incarnation);
            events.push(FoldEvent::Claimed {
                host,
                incarnation,
                epoch: *epoch,
            });
        }
        for (offset, entry) in buffered {
            events.extend(self.fold.apply(offset, &entry));
        }
        events
    }
}
