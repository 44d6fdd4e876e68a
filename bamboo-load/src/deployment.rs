//! Predefined deployments: those of the two users, and a small one.

use bamboo_config::BackendServer;
use bamboo_config::Caller;
use bamboo_config::KeyHash;
use bamboo_config::Limits;
use bamboo_config::Model;
use bamboo_config::ModelVersion;
use bamboo_config::PlainService;
use bamboo_config::Resource;
use bamboo_config::ServerRole;
use bamboo_config::Serving;

/// Sizes and names of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    pub(crate) model: &'static str,
    pub(crate) service: &'static str,
    pub(crate) serving: &'static str,
    pub(crate) caller: &'static str,
    pub(crate) workspace: &'static str,
    pub(crate) data_centres: &'static [&'static str],
    pub(crate) engine_count: usize,
    pub(crate) plain_count: usize,
    pub(crate) host_count: usize,
    pub(crate) batch_weight: f64,
}

/// Maximum concurrent sequences of each engine.
pub(crate) const MAX_SEQUENCES: u32 = 64;
/// Maximum concurrent requests of each server of a plain service.
const MAX_REQUESTS: u32 = 64;
/// Bearer key of the caller, the same in every fleet.
pub(crate) const CALLER_KEY: &str = "caller-key";

impl Deployment {
    /// Returns the deployment of this name.
    ///
    /// # Errors
    /// Fails for an unknown name.
    pub(crate) fn by_name(name: &str) -> anyhow::Result<Self> {
        let quito = Deployment {
            model: "narrador",
            service: "ledger-api",
            serving: "narratives",
            caller: "federation-office",
            workspace: "federation",
            data_centres: &["quito-norte", "quito-sur", "cumbaya", "carcelen"],
            engine_count: 10,
            plain_count: 4,
            host_count: 12,
            batch_weight: 0.8,
        };
        match name {
            "quito" => Ok(quito),
            "bangkok" => Ok(Deployment {
                model: "stress-llm",
                service: "records-app",
                serving: "stress",
                caller: "site-designer",
                workspace: "engineering-house-a",
                data_centres: &["bkk-bangna", "bkk-lat", "bkk-rama", "bkk-nont"],
                engine_count: 20,
                plain_count: 4,
                host_count: 12,
                batch_weight: 0.2,
            }),
            "small" => Ok(Deployment {
                engine_count: 3,
                plain_count: 1,
                host_count: 3,
                ..quito
            }),
            other => anyhow::bail!("--deployment {other}: expected quito, bangkok or small"),
        }
    }

    /// Returns the data centre of the host or server with this index; indices are assigned round-robin.
    pub(crate) fn data_centre(&self, index: usize) -> &'static str {
        self.data_centres[index % self.data_centres.len()]
    }

    /// Returns the resources of this deployment, with a backend server for each address of an engine or plain server.
    pub(crate) fn resources(&self, engines: &[String], plain_servers: &[String]) -> Vec<Resource> {
        let version = ModelVersion {
            model: self.model.to_owned(),
            version: "1".to_owned(),
        };
        let limits = Limits {
            requests_per_s: 100_000.0,
            tokens_per_s: 1e9,
            in_flight_max: 100_000,
        };
        let mut resources = vec![
            Resource::Caller(Caller {
                name: self.caller.to_owned(),
                workspace: self.workspace.to_owned(),
                key_sha256: KeyHash::of(CALLER_KEY),
            }),
            Resource::Model(Model {
                name: self.model.to_owned(),
                versions: vec!["1".to_owned()],
            }),
            Resource::Serving(Serving {
                name: self.serving.to_owned(),
                models: vec![version.clone()],
                callers: vec![self.caller.to_owned()],
                limits,
                caller_limits: Default::default(),
                batch_weight: self.batch_weight,
                first_token_target_ms: 620,
            }),
            Resource::PlainService(PlainService {
                name: self.service.to_owned(),
                callers: vec![self.caller.to_owned()],
                idempotent_paths: Vec::new(),
                non_idempotent_paths: Vec::new(),
                timeout_ms: 5000,
            }),
        ];
        for (index, address) in engines.iter().enumerate() {
            let models = vec![version.clone()];
            let role = ServerRole::Engine {
                models,
                max_sequences: MAX_SEQUENCES,
            };
            resources.push(self.server(&format!("{}-{index}", self.model), index, address, role));
        }
        for (index, address) in plain_servers.iter().enumerate() {
            let role = ServerRole::Plain {
                service: self.service.to_owned(),
                max_requests: MAX_REQUESTS,
            };
            resources.push(self.server(&format!("{}-{index}", self.service), index, address, role));
        }
        resources
    }

    fn server(&self, name: &str, index: usize, address: &str, role: ServerRole) -> Resource {
        Resource::BackendServer(BackendServer {
            name: name.to_owned(),
            data_centre: self.data_centre(index).to_owned(),
            address: address.to_owned(),
            role,
            checks_fencing: index.is_multiple_of(2),
            is_draining: false,
        })
    }
}
