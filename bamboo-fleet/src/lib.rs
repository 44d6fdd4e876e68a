//! Model of a deployment: the routes and services that operators configure, the backend servers that register
//! themselves in the store, and the event streams that servers return. The crate performs no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod config;
mod directory;
mod grace_period;
mod sse;

pub use bamboo_types::SoftwareVersion;
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
pub use directory::Server;
pub use directory::ServerState;
pub use directory::VERSION_MEMORY;
pub use grace_period::OutageGracePeriod;
pub use sse::SseDecoder;
pub use sse::SseEvent;
