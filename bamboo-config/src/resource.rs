//! Resource types that operators declare.

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
pub enum ResourceKind {
    /// A model and its versions.
    Model,
    /// A backend server.
    BackendServer,
    /// A plain service, which is not a model engine.
    PlainService,
    /// Models served to callers, with rate limits.
    Serving,
    /// A client that sends requests.
    Caller,
}

impl ResourceKind {
    /// All kinds, in declaration order.
    pub const ALL: [ResourceKind; 5] = [
        ResourceKind::Model,
        ResourceKind::BackendServer,
        ResourceKind::PlainService,
        ResourceKind::Serving,
        ResourceKind::Caller,
    ];

    /// The kind's name in resources and paths.
    ///
    /// ```
    /// use bamboo_config::ResourceKind;
    /// assert_eq!(ResourceKind::parse(ResourceKind::BackendServer.name()), Some(ResourceKind::BackendServer));
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            ResourceKind::Model => "model",
            ResourceKind::BackendServer => "backend_server",
            ResourceKind::PlainService => "plain_service",
            ResourceKind::Serving => "serving",
            ResourceKind::Caller => "caller",
        }
    }

    /// Parses the name of a kind, as returned by [`ResourceKind::name`].
    pub fn parse(text: &str) -> Option<ResourceKind> {
        ResourceKind::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
    }
}

impl fmt::Display for ResourceKind {
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
    pub fn kind(&self) -> ResourceKind {
        match self {
            Resource::Model(_) => ResourceKind::Model,
            Resource::BackendServer(_) => ResourceKind::BackendServer,
            Resource::PlainService(_) => ResourceKind::PlainService,
            Resource::Serving(_) => ResourceKind::Serving,
            Resource::Caller(_) => ResourceKind::Caller,
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
    /// Name, unique among models.
    pub name: ModelId,
    /// Versions, oldest first.
    pub versions: Vec<String>,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: String,
}

/// The kind of work a backend server performs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServerRole {
    /// A model engine.
    Engine {
        /// Model versions that are loaded.
        models: Vec<ModelVersion>,
        /// Maximum number of sequences processed concurrently.
        max_sequences: u32,
    },
    /// A replica of a plain service.
    Plain {
        /// Name of the service.
        service: String,
        /// Maximum number of concurrent requests.
        max_requests: u32,
    },
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique among backend servers.
    pub name: BackendServerId,
    /// Data centre that the server is in.
    pub data_centre: DataCentreId,
    /// Address as `ip:port`.
    pub address: String,
    /// The kind of work it performs.
    pub role: ServerRole,
    /// Whether the server rejects requests that carry a stale fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether an operator is draining the server: it receives no new work.
    #[serde(default)]
    pub is_draining: bool,
}

/// A plain service. Requests to it are proxied unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Name, which is also the first segment of the request path.
    pub name: String,
    /// Callers that may use the service.
    pub callers: Vec<CallerId>,
    /// Path prefixes whose requests are idempotent, and so may be retried, regardless of the HTTP method.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
    /// Path prefixes whose requests must not be retried, regardless of the HTTP method.
    #[serde(default)]
    pub non_idempotent_paths: Vec<String>,
    /// Request timeout in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// Rate and concurrency limits of one caller on one serving resource.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Online requests per second.
    pub requests_per_s: f64,
    /// Online tokens per second, counting both prompt and completion.
    pub tokens_per_s: f64,
    /// Maximum number of concurrent online requests.
    pub in_flight_max: u32,
}

/// Models served to callers, with the limits of each caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// Name, unique among serving resources.
    pub name: String,
    /// Model versions that are served.
    pub models: Vec<ModelVersion>,
    /// Callers that may use the models.
    pub callers: Vec<CallerId>,
    /// Default limits of a caller without an entry in `caller_limits`.
    pub limits: Limits,
    /// Limits that override the default for individual callers.
    #[serde(default)]
    pub caller_limits: BTreeMap<CallerId, Limits>,
    /// Trade-off between online tail latency and batch throughput, from 0 to 1: 0 favours online latency, 1 favours
    /// server utilisation.
    pub batch_weight: f64,
    /// Target time to first token of online requests, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_target_ms: u64,
}

/// A client that sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name, unique among callers.
    pub name: CallerId,
    /// Workspace whose jobs the caller can access.
    pub workspace: WorkspaceId,
    /// SHA-256 digest of the bearer key, in hexadecimal.
    pub key_sha256: KeyHash,
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_first_token_ms() -> u64 {
    620
}
