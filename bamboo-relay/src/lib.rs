//! Decides whether a call to the store and a connection to a server go directly or through another host, and when a read is
//! sent again whose response may have been lost. Follows the pages of lists in the store. Performs no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod call;
mod pages;
mod path;
mod poll_watch;
mod server_paths;

pub use call::AttemptOutcome;
pub use call::DirectTimeout;
pub use call::NextStep;
pub use call::StoreCall;
pub use pages::PageStep;
pub use pages::Pages;
pub use path::PROBE_TIMEOUT;
pub use path::StorePath;
pub use poll_watch::LONG_POLL_MAX;
pub use poll_watch::PollStep;
pub use poll_watch::PollWatch;
pub use server_paths::ConnectFailure;
pub use server_paths::ConnectStep;
pub use server_paths::ReachedServers;
pub use server_paths::ServerPath;
pub use server_paths::ServerPaths;
