//! The gateway process: it serves callers, forwards their requests to backend servers, runs the job shards that it owns
//! and exchanges messages with the gateways on other hosts.
//!
//! Everything that depends on the platform is passed in as a [`Dialect`]. This crate performs the I/O; most decisions
//! are made in crates that perform none.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod clock;
mod dialect;
mod gateway;
mod jobs;
mod mesh;
mod metrics;
mod net;
mod request_log;
mod resource_limits;
mod response_body;
mod run;
mod settings;
mod slot_requests;
mod store;
mod task;
mod topic_reader;
mod traffic;
mod watch;

pub use clock::Clock;
pub use dialect::Dialect;
pub use dialect::HeaderNames;
pub use dialect::JobCall;
pub use dialect::StoreCall;
pub use run::run;
pub use settings::PromiseSettings;
pub use settings::Settings;
pub use settings::SettingsError;
pub use settings::StoreSettings;
pub use store::Fence;
pub use store::KeyedRecord;
pub use store::Partition;
pub use store::ReadExtent;
pub use store::StoreClient;
pub use store::StoreError;
pub use store::StoreReply;
pub use store::StoreRequest;
pub use task::Supervisor;
pub use task::TaskName;
pub use task::run_despite_panics;
