//! Numbered result codes that are returned to callers and operators. Each code states whether the request was executed.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod code;
mod error;

pub use code::Code;
pub use code::ExecutionStatus;
pub use error::ApiError;
