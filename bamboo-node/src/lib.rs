//! Actors, sockets and timers that drive the host core.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod batch;
mod callers;
mod clock;
mod config_table;
mod control;
mod engine_client;
mod io_thread;
mod metrics;
mod operators;
mod peers;
mod platform;
mod reply;
mod run;
mod shared;

pub use clock::Clock;
pub use run::Listeners;
pub use run::run;
pub use run::run_with_listeners;
