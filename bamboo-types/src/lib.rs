//! Identifiers, hashing, time, a token bucket and bounded decoding, shared by every crate of bambooroute.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod codec;
mod ids;
mod queue_key;
mod stream_origin;
mod time;
mod token_bucket;

pub use codec::DECODED_MAX_BYTES;
pub use codec::decode_bincode;
pub use ids::BackendServerId;
pub use ids::CallerId;
pub use ids::DataCentreId;
pub use ids::HostId;
pub use ids::Incarnation;
pub use ids::ItemIndex;
pub use ids::JobId;
pub use ids::ModelId;
pub use ids::Offset;
pub use ids::PromptPartId;
pub use ids::RequestId;
pub use ids::ShardId;
pub use ids::SoftwareVersion;
pub use ids::WorkspaceId;
pub use ids::format_job_id;
pub use ids::job_id;
pub use ids::parse_job_id;
pub use ids::rendezvous_weight;
pub use ids::shard_of_job;
pub use ids::shard_of_key;
pub use queue_key::QueueKey;
pub use stream_origin::StreamOrigin;
pub use time::Timestamp;
pub use time::from_millis;
pub use time::millis;
pub use token_bucket::TokenBucket;
