//! Allocates the slots of model engines to the online requests and batch items of all hosts of a domain.
//!
//! Batch items fill every free slot and are preempted as soon as an online request finds no free slot. The broker
//! persists no state: a new broker is rebuilt from the requests and runs that the hosts report to it.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod allocate;
mod arrivals;
mod broker;
mod deadline_history;
mod engine;
mod health;
mod host_requests;
mod limits;
mod order;
mod reconcile;
mod refusal;
mod request;
mod request_state;
mod returns;
mod shares;
mod terms;
mod versions;

pub use broker::Broker;
pub use broker::BrokerLoad;
pub use deadline_history::DeadlineHistory;
pub use engine::BATCH_GRANT_DELAY;
pub use engine::Engine;
pub use health::Health;
pub use host_requests::GrantStep;
pub use host_requests::HostRequests;
pub use host_requests::OpenRequest;
pub use host_requests::PackedReport;
pub use host_requests::ReportOutOfOrder;
pub use host_requests::RequestReport;
pub use host_requests::ServerTag;
pub use host_requests::server_tag;
pub use limits::LimitChange;
pub use limits::LimitReport;
pub use limits::Permit;
pub use limits::RatePer1000S;
pub use limits::RequestLimits;
pub use limits::parse_limit;
pub use order::BatchItem;
pub use order::batch_rank;
pub use order::infeasible_items;
pub use order::online_rank;
pub use refusal::RefusalCounts;
pub use refusal::RefusalReason;
pub use request::Action;
pub use request::RunOutcome;
pub use request::SlotRequest;
pub use request::SlotRequestId;
pub use request::Work;
pub use shares::fair_share;
pub use terms::Rank;
pub use terms::RequestTerms;
