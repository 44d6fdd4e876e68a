//! Numbered result codes: what a caller or operator is told, and whether the request ran.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod code;
mod refusal;

pub use code::Code;
pub use code::Ran;
pub use refusal::Refusal;
