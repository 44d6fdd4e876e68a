//! Batch jobs of one shard: the state derived from its stream, and the dispatch of items to server owners.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod bitmap;
mod carry;
mod dispatch;
mod job;
mod keyed;
mod order;
mod recovery;
mod results;
mod snapshot;
mod state;
mod view;

pub use bitmap::Bitmap;
pub use carry::carry_entry;
pub use carry::entries_to_carry;
pub use dispatch::Assignment;
pub use dispatch::Demand;
pub use dispatch::DemandStep;
pub use dispatch::ItemDispatcher;
pub use dispatch::ServerOwner;
pub use job::ATTEMPTS_MAX;
pub use job::Attempts;
pub use job::ChunkRef;
pub use job::Job;
pub use job::JobState;
pub use job::SERVER_LOSSES_MAX;
pub use keyed::KeyClaim;
pub use keyed::KeyClaimState;
pub use order::JobRate;
pub use order::slack;
pub use recovery::StreamReplay;
pub use results::FinalOutcomeCollector;
pub use snapshot::SnapshotError;
pub use snapshot::read_snapshot;
pub use snapshot::write_snapshot;
pub use state::ShardEvent;
pub use state::ShardState;
pub use view::JobView;
