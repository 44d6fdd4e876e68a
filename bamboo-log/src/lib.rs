//! Durable state: the records in the platform's log, their deduplication, and the state machines that append and
//! read them.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod appender;
mod dedupe;
mod entry;
mod reader;
mod record;
mod snapshot;
mod stream;

pub use appender::AppendAnswer;
pub use appender::Appender;
pub use appender::AppenderOptions;
pub use appender::ConfirmedRecord;
pub use appender::NextAppend;
pub use appender::RecordHandle;
pub use appender::Withdrawal;
pub use dedupe::Deduplicator;
pub use dedupe::Writer;
pub use entry::DecodeError;
pub use entry::EncodedEntry;
pub use entry::Entry;
pub use reader::NextRead;
pub use reader::ReadAnswer;
pub use reader::ReadOutcome;
pub use reader::Reader;
pub use record::ConfigChange;
pub use record::ItemBody;
pub use record::ItemOutcome;
pub use record::ItemRunResult;
pub use record::JobSpec;
pub use record::KeyedCall;
pub use record::KeyedCallEnd;
pub use record::Position;
pub use record::RecordBody;
pub use record::RecordId;
pub use record::SnapshotPart;
pub use record::UploadId;
pub use snapshot::CatchUpBuffer;
pub use snapshot::CompleteSnapshot;
pub use snapshot::LatestSnapshot;
pub use snapshot::SnapshotAssembler;
pub use snapshot::split_snapshot;
pub use stream::StreamId;
