//! Recovery of a shard's state from a stream whose start may have been trimmed.

use bamboo_log::CatchUpBuffer;
use bamboo_log::Entry;
use bamboo_types::Offset;

use crate::ShardEvent;
use crate::ShardState;
use crate::read_snapshot;

/// State of a shard, with the entries buffered until a snapshot covers the trimmed start of the stream.
#[derive(Debug, Default)]
pub struct StreamReplay {
    state: ShardState,
    catch_up: CatchUpBuffer,
}

impl StreamReplay {
    /// The state after the entries applied so far. Until `is_complete`, it lacks the effects of trimmed records.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Whether the state covers the stream from its beginning, by its entries or by a snapshot.
    ///
    /// ```
    /// assert!(bamboo_jobs::StreamReplay::default().is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.catch_up.has_no_gap()
    }

    /// Handles that offsets before `oldest` were trimmed before they were read: buffers entries until a snapshot covers
    /// the gap.
    pub fn skip_trimmed(&mut self, oldest: Offset) {
        self.catch_up.open(oldest, self.state.next_offset());
    }

    /// Applies the next entry of the stream, or buffers it during recovery; `None` stands for one that cannot be
    /// decoded.
    pub fn apply(&mut self, offset: Offset, entry: Option<Entry>) -> Vec<ShardEvent> {
        let Some(entry) = entry else {
            self.state.skip(offset);
            return Vec::new();
        };
        if self.is_complete() {
            return self.state.apply(offset, &entry);
        }
        let snapshot = self.catch_up.buffer(offset, entry);
        match snapshot.and_then(|snapshot| read_snapshot(&snapshot.bytes).ok()) {
            Some(state) => self.restore(state),
            None => Vec::new(),
        }
    }

    fn restore(&mut self, state: ShardState) -> Vec<ShardEvent> {
        let Some(buffered) = self.catch_up.close(state.next_offset()) else {
            return Vec::new();
        };
        self.state = state;
        let mut events = Vec::new();
        if let Some((writer, epoch)) = self.state.owner() {
            let (host, incarnation) = (writer.host.clone(), writer.incarnation);
            events.push(ShardEvent::Claimed {
                host,
                incarnation,
                epoch: *epoch,
            });
        }
        for (offset, entry) in buffered {
            events.extend(self.state.apply(offset, &entry));
        }
        events
    }
}
