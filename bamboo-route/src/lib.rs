//! Routing of online requests to backend servers: server selection, caller limits, retries and outlier ejection.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod choose;
mod ejection;
mod limits;
mod retry;
mod router;

pub use choose::Candidate;
pub use choose::ChoiceOptions;
pub use choose::Policy;
pub use choose::choose;
pub use ejection::Ejection;
pub use limits::CallerLimiter;
pub use retry::RetryBudget;
pub use router::Attempt;
pub use router::EndStep;
pub use router::OnlineEnd;
pub use router::OnlineRequest;
pub use router::RouteServer;
pub use router::RouteStep;
pub use router::Router;
pub use router::Target;
