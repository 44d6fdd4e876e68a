//! State of one job, derived from the stream.

use std::collections::BTreeMap;

use bamboo_log::JobSpec;
use bamboo_log::Position;
use bamboo_types::ItemIndex;
use serde::Deserialize;
use serde::Serialize;

use crate::Bitmap;

/// Number of runs failed by a server fault after which an item is not retried any more.
pub const ATTEMPTS_MAX: u8 = 6;
/// Number of server losses after which an item is not retried any more; after the second one it runs alone.
pub const SERVER_LOSSES_MAX: u8 = 4;
/// Number of server losses after which an item runs with no other batch item on its server.
const SUSPECT_LOSSES: u8 = 2;

/// Location of a chunk of items in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// Position of the chunk record.
    pub position: Position,
    /// Index of the first item in the chunk.
    pub first_item: ItemIndex,
    /// Number of items in the chunk.
    pub item_count: u32,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some items have no final outcome yet.
    Running,
    /// Every item has a final outcome.
    Completed,
    /// Cancelled before every item had a final outcome.
    Cancelled,
}

/// Number of failed runs of one item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempts {
    /// Runs that failed because of a server fault.
    pub runs: u8,
    /// The subset of `runs` in which the server was lost.
    pub server_losses: u8,
}

impl Attempts {
    /// Whether one more failure reaches the retry limit.
    ///
    /// ```
    /// let attempts = bamboo_jobs::Attempts { runs: 5, server_losses: 0 };
    /// assert!(attempts.is_last(false));
    /// ```
    pub fn is_last(self, is_server_loss: bool) -> bool {
        let losses = self.server_losses + u8::from(is_server_loss);
        self.runs + 1 >= ATTEMPTS_MAX || losses >= SERVER_LOSSES_MAX
    }

    /// Whether the item is suspected of crashing servers, so that it must run alone.
    ///
    /// ```
    /// assert!(!bamboo_jobs::Attempts::default().is_suspect());
    /// ```
    pub fn is_suspect(self) -> bool {
        self.server_losses >= SUSPECT_LOSSES
    }
}

/// A job and its progress. Item bodies and results are kept in the log and referenced by position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Definition of the job as submitted.
    pub spec: JobSpec,
    /// Locations of its items, sorted by first item.
    pub chunks: Vec<ChunkRef>,
    /// Items with a final outcome.
    pub ended_items: Bitmap,
    /// Number of ended items that failed.
    pub failed_count: u32,
    /// State of the job.
    pub state: JobState,
    /// Positions of records with final outcomes of this job, in ascending order.
    pub outcome_positions: Vec<Position>,
    /// Failed runs of items without a final outcome.
    pub attempts: BTreeMap<ItemIndex, Attempts>,
    /// End time, milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
}

impl Job {
    /// Creates a job without outcomes. A job without items is completed at once.
    pub fn new(spec: JobSpec, mut chunks: Vec<ChunkRef>) -> Self {
        chunks.sort_by_key(|chunk| chunk.first_item);
        let ended_items = Bitmap::new(spec.item_count);
        let mut job = Job {
            spec,
            chunks,
            ended_items,
            failed_count: 0,
            state: JobState::Running,
            outcome_positions: Vec::new(),
            attempts: BTreeMap::new(),
            ended_ms: None,
        };
        if job.spec.item_count == 0 {
            job.end(JobState::Completed, job.spec.created_ms);
        }
        job
    }

    /// Chunk that contains an item.
    pub fn chunk_of(&self, item: ItemIndex) -> Option<&ChunkRef> {
        let after = self
            .chunks
            .partition_point(|chunk| chunk.first_item <= item);
        let chunk = self.chunks.get(after.checked_sub(1)?)?;
        (item < chunk.first_item + chunk.item_count).then_some(chunk)
    }

    /// Whether the job has neither completed nor been cancelled.
    pub fn is_running(&self) -> bool {
        self.state == JobState::Running
    }

    /// Number of items without a final outcome.
    pub fn remaining_count(&self) -> u32 {
        self.spec.item_count - self.ended_items.count()
    }

    /// Ends the job and frees the state that only a running job needs.
    pub(crate) fn end(&mut self, state: JobState, at_ms: u64) {
        self.state = state;
        self.ended_ms = Some(at_ms);
        self.attempts = BTreeMap::new();
        self.chunks = Vec::new();
    }
}
