//! A batch item at its server owner.

use bamboo_log::Position;
use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::ShardId;

slotmap::new_key_type! {
    /// Key of an item that a server owner holds.
    pub struct RunKey;
}

/// An item as it was handed out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Shard of the job.
    pub shard: ShardId,
    /// Host that handed the item out.
    pub assigned_by: HostId,
    /// Job.
    pub job: JobId,
    /// Item.
    pub item: ItemIndex,
    /// Position of the chunk record that holds the item.
    pub chunk: Position,
    /// Index within the chunk.
    pub index_in_chunk: u32,
    /// Model that it needs.
    pub model: ModelId,
    /// Deadline of its job, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether no other batch item may run beside it.
    pub must_run_alone: bool,
}
