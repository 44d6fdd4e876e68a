//! Stand-ins: HTTP test doubles of the systems that bambooroute depends on, with fault injection.
//!
//! They cover the platform, model engines and plain services.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod engine;
mod faults;
mod log_service;
mod plain;
mod platform;

pub use engine::EngineStandinConfig;
pub use engine::serve_engine;
pub use faults::Faults;
pub use log_service::LogOptions;
pub use log_service::LogService;
pub use log_service::ReadPage;
pub use plain::serve_plain;
pub use platform::HostEntry;
pub use platform::HostList;
pub use platform::serve_platform;
