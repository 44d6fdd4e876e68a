//! Decides whether a call to the store goes directly or is relayed by another host. Performs no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod call;
mod path;

pub use call::AttemptOutcome;
pub use call::DirectTimeout;
pub use call::NextStep;
pub use call::StoreCall;
pub use path::StorePath;
