//! Memory that the jobs of a host take.
//!
//! Of each job, its index stays in memory: what identifies, routes and schedules its items. The bodies of its items and the text of
//! its results are contents, which the store has as well. They are kept while there is room, and read from the store otherwise.

use std::sync::Arc;

use bamboo_fleet::BufferBudget;
use bamboo_fleet::BufferReservation;
use bamboo_types::Offset;

use crate::ItemRecord;
use crate::JobRecord;

/// Memory of a job besides its items: its entry among the jobs of its shard, and its tables.
const JOB_BYTES: usize = 1 << 10;
/// Memory of an item besides its record: its entries in the tables of its job and among the items that wait, and its result
/// without the text.
const ITEM_BYTES: usize = 384;
/// Overhead of an allocation.
const ALLOCATION_BYTES: usize = 24;
/// Part of a host's memory for indexes that the jobs of a single shard may take, so that a host can hold several shards.
const SHARD_SHARE: usize = 4;

/// Topic that has a record of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordTopic {
    /// That of the shard's owner.
    Shard,
    /// That of the jobs that other hosts accepted.
    Submitted,
}

/// Where the store has a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLocation {
    /// Topic.
    pub topic: RecordTopic,
    /// Offset of the first fragment.
    pub first: Offset,
    /// Number of fragments.
    pub fragments: usize,
}

/// Budgets for the jobs of all shards of a host.
#[derive(Debug, Clone)]
pub struct JobMemory {
    index: Arc<BufferBudget>,
    contents: Arc<BufferBudget>,
    shard_index_max_bytes: usize,
}

/// Memory of the index of a job, returned on drop.
#[derive(Debug)]
pub struct IndexReservation {
    host: BufferReservation,
    shard: Option<BufferReservation>,
}

impl IndexReservation {
    /// Returns what exceeds this number of bytes.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        self.host.shrink_to(bytes);
        if let Some(shard) = &mut self.shard {
            shard.shrink_to(bytes);
        }
    }
}

impl JobMemory {
    /// Creates budgets for indexes and for contents.
    ///
    /// ```
    /// let memory = bamboo_shards::JobMemory::new(1_000, 1_000);
    /// assert_eq!(memory.index_bytes(), 0);
    /// ```
    pub fn new(index_max_bytes: usize, contents_max_bytes: usize) -> Self {
        JobMemory {
            index: BufferBudget::new(index_max_bytes),
            contents: BufferBudget::new(contents_max_bytes),
            shard_index_max_bytes: index_max_bytes / SHARD_SHARE,
        }
    }

    /// Bytes that the indexes of all jobs take.
    pub fn index_bytes(&self) -> usize {
        self.index.used_bytes()
    }

    /// Bytes that the contents of all jobs take.
    pub fn contents_bytes(&self) -> usize {
        self.contents.used_bytes()
    }

    /// Budget for the index of a single shard.
    pub(crate) fn shard_budget(&self) -> Arc<BufferBudget> {
        BufferBudget::new(self.shard_index_max_bytes)
    }

    /// Reserves room for the index of a job, also within the budget of its shard if there is one. Returns `None` if there is
    /// no room.
    pub(crate) fn reserve_index(
        &self,
        record: &JobRecord,
        shard: Option<&Arc<BufferBudget>>,
    ) -> Option<IndexReservation> {
        let bytes = record.index_bytes();
        let shard = match shard {
            Some(budget) => Some(budget.reserve(bytes)?),
            None => None,
        };
        Some(IndexReservation {
            host: self.index.reserve(bytes)?,
            shard,
        })
    }

    /// Reserves room for contents. Returns `None` if there is no room.
    pub(crate) fn reserve_contents(&self, bytes: usize) -> Option<BufferReservation> {
        self.contents.reserve(bytes)
    }
}

impl Default for JobMemory {
    /// Budgets without a limit.
    fn default() -> Self {
        JobMemory::new(usize::MAX, usize::MAX)
    }
}

fn allocated_bytes(bytes: usize) -> usize {
    bytes + ALLOCATION_BYTES
}

impl ItemRecord {
    fn index_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| {
            let texts = allocated_bytes(name.capacity()) + allocated_bytes(value.capacity());
            size_of::<(String, String)>() + texts
        });
        // The identifier is also a key of the index.
        size_of::<ItemRecord>()
            + ITEM_BYTES
            + 2 * allocated_bytes(self.id.capacity())
            + allocated_bytes(self.path.capacity())
            + headers.sum::<usize>()
    }
}

impl JobRecord {
    /// Memory that the job takes without the bodies of its items and the text of its results.
    ///
    /// ```
    /// let job = bamboo_shards::JobRecord { id: "a".repeat(5_000), ..Default::default() };
    /// assert!(job.index_bytes() > 5_000);
    /// ```
    pub fn index_bytes(&self) -> usize {
        let texts = [&self.id, &self.host, &self.route];
        // The identifier is also a key among the jobs.
        let texts = texts.map(|text| 2 * allocated_bytes(text.capacity()));
        let items = self.items.iter().map(ItemRecord::index_bytes);
        JOB_BYTES + texts.iter().sum::<usize>() + items.sum::<usize>()
    }

    /// Memory that the bodies of the items take.
    pub fn body_bytes(&self) -> usize {
        let bodies = self.items.iter().map(|item| item.body.capacity());
        bodies.map(allocated_bytes).sum()
    }
}
