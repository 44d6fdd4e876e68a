//! Runs one host with stand-ins for the platform, an engine and a plain service on threads, on free loopback ports.
#![allow(dead_code)]

use std::future::Future;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use bamboo_client::Api;
use bamboo_client::ClientError;
use bamboo_config::KeyHash;
use bamboo_config::parse_settings;
use bamboo_node::Listeners;
use bamboo_standin::EngineStandinConfig;
use bamboo_standin::LogOptions;
use bamboo_standin::serve_engine;
use bamboo_standin::serve_plain;
use bamboo_standin::serve_platform;
use serde_json::Value;
use serde_json::json;

/// Timeout of `wait_until`; only a failing test waits this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses of a running host and of its stand-ins.
pub struct TestHost {
    pub platform: String,
    pub engine: String,
    pub plain: String,
    pub callers: String,
    pub operators: String,
}

impl TestHost {
    /// Starts the host and the stand-ins and creates the resources.
    pub async fn start() -> TestHost {
        let (platform, listener) = bind_loopback();
        spawn(move || serve_platform(listener, LogOptions::default(), Duration::ZERO));
        let (engine, listener) = bind_loopback();
        spawn(move || serve_engine(listener, engine_standin()));
        let (plain, listener) = bind_loopback();
        spawn(move || serve_plain(listener, "ledger-api-0".to_owned()));
        let ((callers, caller), (operators, operator), (peers, peer)) =
            (bind_loopback(), bind_loopback(), bind_loopback());
        let text = settings(&platform, &callers, &operators, &peers);
        let settings = parse_settings(&text).expect("settings of the test");
        let listeners = Listeners {
            caller,
            operator,
            peer,
        };
        spawn(move || bamboo_node::run_with_listeners(settings, listeners));
        let host = TestHost {
            platform,
            engine,
            plain,
            callers,
            operators,
        };
        host.publish_host_list(&peers).await;
        wait_until(|| async {
            host.operator().get("/readyz").await.is_ok() || host.is_ready().await
        })
        .await;
        host.create_resources().await;
        host
    }

    /// Client of the operator API.
    pub fn operator(&self) -> Api {
        Api::new(&self.operators, "operator-key")
    }

    /// Client of the caller API with the key of the caller that may use all resources.
    pub fn caller(&self) -> Api {
        Api::new(&self.callers, "office-key")
    }

    /// Client of the caller API with the key of a caller that may use none.
    pub fn other_caller(&self) -> Api {
        Api::new(&self.callers, "coach-key")
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(&self, address: &str, faults: Value) {
        Api::new(address, "")
            .put("/admin/faults", faults.to_string())
            .await
            .expect("faults");
    }

    async fn is_ready(&self) -> bool {
        self.operator()
            .get("/api/v1/status")
            .await
            .is_ok_and(|status| status["is_ready"] == true)
    }

    async fn publish_host_list(&self, peers: &str) {
        let list = json!({ "hosts": [{ "host": "h0", "data_centre": "quito-norte", "peer_address": peers }] });
        let platform = Api::new(&self.platform, "");
        wait_until(|| async { platform.put("/admin/hosts", list.to_string()).await.is_ok() }).await;
    }

    async fn create_resources(&self) {
        let key = |text| KeyHash::of(text).as_str().to_owned();
        let version = json!({ "model": "narrador", "version": "1" });
        let resources = [
            json!({ "kind": "caller", "name": "office", "workspace": "federation", "key_sha256": key("office-key") }),
            json!({ "kind": "caller", "name": "coach", "workspace": "club", "key_sha256": key("coach-key") }),
            json!({ "kind": "model", "name": "narrador", "versions": ["1"] }),
            json!({
                "kind": "serving", "name": "narratives", "models": [version], "callers": ["office"],
                "limits": { "requests_per_s": 1000.0, "tokens_per_s": 1e6, "in_flight_max": 100 },
                "batch_weight": 0.5
            }),
            json!({ "kind": "plain_service", "name": "ledger-api", "callers": ["office"] }),
            json!({
                "kind": "backend_server", "name": "narrador-0", "data_centre": "quito-norte",
                "address": self.engine, "role": { "engine": { "models": [version], "max_sequences": 8 } }
            }),
            json!({
                "kind": "backend_server", "name": "ledger-api-0", "data_centre": "quito-norte",
                "address": self.plain, "role": { "plain": { "service": "ledger-api", "max_requests": 8 } }
            }),
        ];
        for resource in resources {
            let kind = resource["kind"].as_str().unwrap_or_default();
            let name = resource["name"].as_str().unwrap_or_default();
            let path = format!("/api/v1/resources/{kind}/{name}?based_on=0");
            self.operator()
                .put(&path, resource.to_string())
                .await
                .expect("resource");
        }
    }
}

/// Runs a test's body on its own actix system.
pub fn run<F>(body: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(body);
}

/// Waits until a condition holds.
pub async fn wait_until<F, R>(condition: F)
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "the condition was not met in time"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the numeric code of an error response.
pub fn error_code(result: Result<Value, ClientError>) -> u64 {
    match result {
        Err(ClientError::ErrorResponse { body, .. }) => {
            body["error"]["code"].as_u64().expect("a numbered code")
        }
        other => panic!("not an error response: {other:?}"),
    }
}

/// Returns what an error response says about whether the request ran.
pub fn execution_status(result: Result<Value, ClientError>) -> String {
    match result {
        Err(ClientError::ErrorResponse { body, .. }) => {
            body["error"]["ran"].as_str().unwrap_or_default().to_owned()
        }
        other => panic!("not an error response: {other:?}"),
    }
}

/// Returns the message of an error response.
pub fn error_message(result: Result<Value, ClientError>) -> String {
    match result {
        Err(ClientError::ErrorResponse { body, .. }) => body["error"]["message"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        other => panic!("not an error response: {other:?}"),
    }
}

fn engine_standin() -> EngineStandinConfig {
    EngineStandinConfig {
        name: "narrador-0".to_owned(),
        models: vec!["narrador".to_owned()],
        options: Default::default(),
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        checks_fencing: true,
    }
}

fn settings(platform: &str, callers: &str, operators: &str, peers: &str) -> String {
    format!(
        "[host]\nid = 'h0'\ndata_centre = 'quito-norte'\n\
         [listen]\ncaller = '{callers}'\noperator = '{operators}'\npeer = '{peers}'\n\
         [keys]\noperator_sha256 = '{}'\npeer = 'peer-key'\n\
         [platform]\nlog_url = 'http://{platform}/log'\nhost_list_url = 'http://{platform}/hosts'\n\
         weight_store_url = 'http://{platform}/weights'\n\
         [log_budget]\nexpected_hosts = 1\n[limits]\nbody_max_bytes = 4096\n",
        KeyHash::of("operator-key").as_str()
    )
}

fn bind_loopback() -> (String, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    (
        listener.local_addr().expect("its address").to_string(),
        listener,
    )
}

/// Runs a server on its own thread until the test process ends.
fn spawn<F, R, T>(serve: F)
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = T>,
{
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(serve());
    });
}
