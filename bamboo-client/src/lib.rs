//! HTTP client of the operator and caller interfaces, for the command-line tools and tests.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod api;
mod error;

pub use api::Api;
pub use api::JobSubmission;
pub use error::ClientError;
