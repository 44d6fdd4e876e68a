//! Limits the request rates of workspaces over all hosts. Performs no I/O and reads no clock: all times are of a clock that counts
//! suspension, and are passed in.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod hosts;
mod limiter;
mod share;

pub use limiter::Rate;
pub use limiter::RateDecision;
pub use limiter::RateLimiter;
pub use share::Share;
pub use share::WINDOW;
