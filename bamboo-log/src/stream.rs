//! Identifiers of log streams.

use std::fmt;

use bamboo_types::ShardId;

/// Identifier of an append-only stream. An atomic operation never spans two streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StreamId {
    /// Changes of resources, read by every host.
    Config,
    /// Claims of backend servers by their owners; they provide the fencing tokens of orders.
    Claims,
    /// Jobs, outcomes and calls with idempotency keys of one shard, read by its owner.
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
