//! Structured logs. Lines wait in memory until a thread of their own has written them, so that a reader of the output that is late
//! stops nothing else. What finds no room is counted and told.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod queue;
mod start;

pub use queue::LineCounts;
pub use queue::queued;
pub use start::LAST_LINES_TIMEOUT;
pub use start::Layout;
pub use start::Options;
pub use start::Output;
pub use start::dropped_lines;
pub use start::start;
pub use start::wait_until_written;
