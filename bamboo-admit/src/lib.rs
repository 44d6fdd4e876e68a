//! Admission control for batch work on one backend server.
//!
//! Each server has one owner. Only the owner sends batch work to the server, and it preempts batch work in favour of
//! online requests.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod item;
mod options;
mod owner;

pub use item::RunKey;
pub use item::WorkItem;
pub use options::AdmitOptions;
pub use owner::AdmitStep;
pub use owner::ServerOwner;
