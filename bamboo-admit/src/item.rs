//! Batch items held by a server owner.

use bamboo_log::Position;
use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::ShardId;

slotmap::new_key_type! {
    /// Key of an item held by a server owner.
    pub struct RunKey;
}

/// A batch item assigned to a server owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Shard that the job belongs to.
    pub shard: ShardId,
    /// Host that assigned the item, the owner of its shard at that time.
    pub assigned_by: HostId,
    /// Job id.
    pub job: JobId,
    /// Index of the item within the job.
    pub item: ItemIndex,
    /// Log position of the chunk record that contains the item.
    pub chunk: Position,
    /// Index of the item within the chunk.
    pub index_in_chunk: u32,
    /// Model that the item requests.
    pub model: ModelId,
    /// Deadline of the job, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether no other batch item may run on the server at the same time.
    pub must_run_alone: bool,
}
