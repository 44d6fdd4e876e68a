//! The resources.

use std::collections::BTreeMap;
use std::fmt;

use bamboo_types::BackendServerId;
use bamboo_types::CallerId;
use bamboo_types::DataCentreId;
use bamboo_types::ModelId;
use bamboo_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyHash;

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model and its versions.
    Model,
    /// One backend server.
    BackendServer,
    /// A plain service beside the engines.
    PlainService,
    /// Models carried for callers, with limits.
    Serving,
    /// Someone who sends requests.
    Caller,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 5] = [
        Kind::Model,
        Kind::BackendServer,
        Kind::PlainService,
        Kind::Serving,
        Kind::Caller,
    ];

    /// The kind's name in resources and paths.
    ///
    /// ```
    /// use bamboo_config::Kind;
    /// assert_eq!(Kind::parse(Kind::BackendServer.name()), Some(Kind::BackendServer));
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Kind::Model => "model",
            Kind::BackendServer => "backend_server",
            Kind::PlainService => "plain_service",
            Kind::Serving => "serving",
            Kind::Caller => "caller",
        }
    }

    /// Reads a kind's name.
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A resource of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Resource {
    /// A model.
    Model(Model),
    /// A backend server.
    BackendServer(BackendServer),
    /// A plain service.
    PlainService(PlainService),
    /// A serving resource.
    Serving(Serving),
    /// A caller.
    Caller(Caller),
}

impl Resource {
    /// The resource's kind.
    pub fn kind(&self) -> Kind {
        match self {
            Resource::Model(_) => Kind::Model,
            Resource::BackendServer(_) => Kind::BackendServer,
            Resource::PlainService(_) => Kind::PlainService,
            Resource::Serving(_) => Kind::Serving,
            Resource::Caller(_) => Kind::Caller,
        }
    }

    /// The resource's name.
    pub fn name(&self) -> &str {
        match self {
            Resource::Model(model) => &model.name,
            Resource::BackendServer(server) => &server.name,
            Resource::PlainService(service) => &service.name,
            Resource::Serving(serving) => &serving.name,
            Resource::Caller(caller) => &caller.name,
        }
    }
}

/// A model and its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name.
    pub name: ModelId,
    /// Versions, the newest last.
    pub versions: Vec<String>,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: String,
}

/// What a backend server does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServerRole {
    /// A model engine.
    Engine {
        /// Models that it has loaded.
        models: Vec<ModelVersion>,
        /// Sequences that it runs at once.
        max_sequences: u32,
    },
    /// One copy of a plain service.
    Plain {
        /// The service.
        service: String,
        /// Requests that it takes at once.
        max_requests: u32,
    },
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name.
    pub name: BackendServerId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address as `ip:port`.
    pub address: String,
    /// What it does.
    pub role: ServerRole,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether an operator takes it out: it gets no new work.
    #[serde(default)]
    pub is_draining: bool,
}

/// A plain service: requests are passed on as they are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Name, the first part of the path.
    pub name: String,
    /// Callers that may reach it.
    pub callers: Vec<CallerId>,
    /// Path prefixes whose calls may be repeated whatever their method.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
    /// Path prefixes whose calls must not be repeated whatever their method.
    #[serde(default)]
    pub non_idempotent_paths: Vec<String>,
    /// Time for one call, milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// Limits of one caller on one serving resource.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Online requests a second.
    pub requests_per_s: f64,
    /// Online tokens a second, prompt and answer together.
    pub tokens_per_s: f64,
    /// Online requests at once.
    pub in_flight_max: u32,
}

/// Models carried for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// Name.
    pub name: String,
    /// Models and versions carried.
    pub models: Vec<ModelVersion>,
    /// Callers that may reach them.
    pub callers: Vec<CallerId>,
    /// Limits of each caller that has none of its own below.
    pub limits: Limits,
    /// Limits of single callers.
    #[serde(default)]
    pub caller_limits: BTreeMap<CallerId, Limits>,
    /// Weight of batch throughput against the online tail: 0 guards online most, 1 fills servers most.
    pub batch_weight: f64,
    /// Target for the first token of online requests, milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_target_ms: u64,
}

/// Someone who sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name.
    pub name: CallerId,
    /// Workspace whose jobs it sees.
    pub workspace: WorkspaceId,
    /// SHA-256 of its bearer key, hexadecimal.
    pub key_sha256: KeyHash,
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_first_token_ms() -> u64 {
    620
}
