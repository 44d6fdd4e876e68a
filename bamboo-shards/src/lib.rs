//! The jobs of one shard: an in-memory state machine that is rebuilt by replaying the records which the shard's owner
//! appends to the store. The crate performs no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod access;
mod age;
mod fragment;
mod item_run;
mod job;
mod memory;
mod record;
mod shard;

pub use access::JobAccess;
pub use access::JobCaller;
pub use age::JobAge;
pub use fragment::FragmentAssembler;
pub use fragment::FragmentError;
pub use fragment::record_max_bytes;
pub use fragment::split_record;
pub use item_run::AttemptEnd;
pub use item_run::ITEM_TEXT_MAX_BYTES;
pub use item_run::ItemAction;
pub use item_run::ItemRun;
pub use item_run::retry_pause;
pub use job::Job;
pub use job::LoadedResults;
pub use job::ResultPage;
pub use memory::IndexReservation;
pub use memory::JobMemory;
pub use memory::RecordLocation;
pub use memory::RecordTopic;
pub use record::ItemProgress;
pub use record::ItemRecord;
pub use record::ItemResult;
pub use record::JobRecord;
pub use record::Record;
pub use record::RecordError;
pub use record::ResultState;
pub use record::item_text_max_bytes;
pub use shard::Shard;
pub use shard::ShardChange;
pub use shard::StoredRecord;
