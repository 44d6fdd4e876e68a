//! One job as the stream tells it.

use std::collections::BTreeMap;

use bamboo_log::JobSpec;
use bamboo_log::Position;
use bamboo_types::ItemIndex;
use serde::Deserialize;
use serde::Serialize;

use crate::Bitmap;

/// Runs after which an item that fails by the server's fault is given up.
pub const MAX_ATTEMPTS: u8 = 6;
/// Server losses after which an item is given up; from the second on it runs alone.
pub const MAX_SERVER_LOSSES: u8 = 4;
/// Server losses from which on an item runs alone on its server.
const SUSPECT_LOSSES: u8 = 2;

/// Where a run of items lies in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// Position of the record.
    pub position: Position,
    /// Index of its first item.
    pub first_item: ItemIndex,
    /// Number of its items.
    pub item_count: u32,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are left to run.
    Running,
    /// Every item has a final outcome.
    Completed,
    /// Cancelled before every item had a final outcome.
    Cancelled,
}

/// Failed runs of one item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempts {
    /// Runs that failed by the server's fault.
    pub runs: u8,
    /// Those of them in which the server was lost.
    pub server_losses: u8,
}

impl Attempts {
    /// Whether one more failure of this kind uses the attempts up.
    ///
    /// ```
    /// let attempts = bamboo_jobs::Attempts { runs: 5, server_losses: 0 };
    /// assert!(attempts.is_last(false));
    /// ```
    pub fn is_last(self, is_server_loss: bool) -> bool {
        let losses = self.server_losses + u8::from(is_server_loss);
        self.runs + 1 >= MAX_ATTEMPTS || losses >= MAX_SERVER_LOSSES
    }

    /// Whether the item is suspected of killing servers and runs alone.
    ///
    /// ```
    /// assert!(!bamboo_jobs::Attempts::default().is_suspect());
    /// ```
    pub fn is_suspect(self) -> bool {
        self.server_losses >= SUSPECT_LOSSES
    }
}

/// A job with its progress. Item bodies and answers stay in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// Where its items lie, by first item.
    pub chunks: Vec<ChunkRef>,
    /// Items with a final outcome.
    pub ended_items: Bitmap,
    /// Those of them that failed.
    pub failed_count: u32,
    /// State.
    pub state: JobState,
    /// Positions of records with final outcomes of this job, ascending.
    pub outcome_positions: Vec<Position>,
    /// Failed runs of items that have any and no final outcome.
    pub attempts: BTreeMap<ItemIndex, Attempts>,
    /// When the job ended, milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
}

impl Job {
    /// A job without outcomes.
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

    /// The chunk that holds an item.
    pub fn chunk_of(&self, item: ItemIndex) -> Option<&ChunkRef> {
        let after = self
            .chunks
            .partition_point(|chunk| chunk.first_item <= item);
        let chunk = self.chunks.get(after.checked_sub(1)?)?;
        (item < chunk.first_item + chunk.item_count).then_some(chunk)
    }

    /// Whether items are left to run.
    pub fn is_running(&self) -> bool {
        self.state == JobState::Running
    }

    /// Items without a final outcome.
    pub fn remaining_count(&self) -> u32 {
        self.spec.item_count - self.ended_items.count()
    }

    /// Ends the job, and drops what only a running job needs.
    pub(crate) fn end(&mut self, state: JobState, at_ms: u64) {
        self.state = state;
        self.ended_ms = Some(at_ms);
        self.attempts = BTreeMap::new();
        self.chunks = Vec::new();
    }
}
