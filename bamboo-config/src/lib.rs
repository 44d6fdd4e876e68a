//! Resources declared by operators, their revisions, and the settings of a daemon.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod key;
mod resource;
mod settings;
mod state;
mod toml_reader;
mod validate;

pub use key::KeyHash;
pub use resource::BackendServer;
pub use resource::Caller;
pub use resource::Limits;
pub use resource::Model;
pub use resource::ModelVersion;
pub use resource::PlainService;
pub use resource::Resource;
pub use resource::ResourceKind;
pub use resource::ServerRole;
pub use resource::Serving;
pub use settings::Settings;
pub use settings::parse_settings;
pub use state::ChangeOutcome;
pub use state::ConfigState;
pub use state::LoggedChange;
pub use state::StoredResource;
pub use toml_reader::SettingsError;
pub use validate::FieldError;
pub use validate::parse_resource;
pub use validate::validate_resource;
