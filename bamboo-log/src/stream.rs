//! Names of log streams.

use std::fmt;

use bamboo_types::ShardId;

/// One append-only stream. Nothing that must be atomic spans two of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StreamId {
    /// Changes of resources, read by every host.
    Config,
    /// Claims of backend servers by their owners, for orders.
    Claims,
    /// Jobs, outcomes and keyed calls of one shard, read by its owner.
    Shard(ShardId),
}

impl fmt::Display for StreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamId::Config => formatter.write_str("config"),
            StreamId::Claims => formatter.write_str("claims"),
            StreamId::Shard(shard) => write!(formatter, "shard-{shard}"),
        }
    }
}
