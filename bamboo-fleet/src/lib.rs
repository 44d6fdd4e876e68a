//! Model of a deployment: the routes and services that operators configure, the backend servers that register
//! themselves in the store, and the event streams that servers return, with the bounds for what callers and servers send. The crate performs no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod authentication;
mod body_progress;
mod buffer_budget;
mod config;
mod directory;
mod event_order;
mod former_routes;
mod grace_period;
mod silence;
mod sse;
mod version_knowledge;
mod workspaces;

pub use authentication::Authentication;
pub use authentication::AuthenticationFailure;
pub use authentication::authenticate;
pub use bamboo_types::SoftwareVersion;
pub use body_progress::BodyProgress;
pub use body_progress::EVICTION_GRACE;
pub use body_progress::slowest_body;
pub use buffer_budget::BufferBudget;
pub use buffer_budget::BufferReservation;
pub use buffer_budget::UNCOUNTED_BODY_BYTES;
pub use config::EngineProfile;
pub use config::FleetConfig;
pub use config::Limits;
pub use config::Route;
pub use config::RouteKind;
pub use config::Service;
pub use config::ServiceId;
pub use config::Target;
pub use directory::Directory;
pub use directory::DirectoryChange;
pub use directory::LeavingChange;
pub use directory::LeavingReport;
pub use directory::Server;
pub use directory::ServerState;
pub use directory::VERSION_MEMORY;
pub use event_order::EventCheck;
pub use event_order::EventOrder;
pub use former_routes::FormerBatchRoutes;
pub use grace_period::OutageGracePeriod;
pub use silence::STALL_TOLERANCE;
pub use silence::SilenceCheck;
pub use silence::SilenceTimer;
pub use sse::EVENT_MAX_BYTES;
pub use sse::EventTooLarge;
pub use sse::SseDecoder;
pub use sse::SseEvent;
pub use version_knowledge::DirectoryReads;
pub use version_knowledge::SoleVersion;
pub use version_knowledge::VersionMemory;
pub use version_knowledge::sole_version;
pub use workspaces::Workspace;
pub use workspaces::WorkspaceRate;
pub use workspaces::Workspaces;
