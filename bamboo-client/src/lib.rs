//! HTTP client of the operators' and callers' interfaces, for the command line and test tools.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod api;
mod error;

pub use api::Api;
pub use api::JobSubmission;
pub use error::ClientError;
