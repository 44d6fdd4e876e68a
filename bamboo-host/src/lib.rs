//! The sans-I/O state machine of a host: one step function maps inputs to outputs. Time and the random seed are
//! passed in, so that every run can be reproduced.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod appends;
mod batch_items;
mod config_role;
mod core;
mod input;
mod keyed;
mod online;
mod options;
mod output;
mod server_reports;
mod servers;
mod shard_queries;
mod shard_role;
mod shards;
mod waiters;

pub use crate::core::HostCore;
pub use crate::core::HostStatus;
pub use crate::core::ShardStatus;
pub use crate::input::Input;
pub use crate::input::ItemEnd;
pub use crate::input::KeyedRequest;
pub use crate::options::HostOptions;
pub use crate::output::Answer;
pub use crate::output::Output;
pub use crate::output::RunRef;
