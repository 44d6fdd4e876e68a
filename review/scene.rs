//! A small deployment between stand-ins, its record, and the calls of its callers.

use std::fs::File;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::gateway;
use crate::gateway::Gateway;
use crate::gateway::Machine;
use crate::http;
use crate::http::Call;
use crate::http::Response;
use crate::json::Json;
use crate::json::base64;
use crate::server::Server;
use crate::server::Work;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Path prefix of the route of batch jobs.
pub const BATCH_PREFIX: &str = "/pule252/";
/// Path prefix of the route of streams.
pub const STREAM_PREFIX: &str = "/lohu930/";
/// Path prefix of the route of safe requests.
pub const SAFE_PREFIX: &str = "/puxa403/";
/// Services of the model servers and of the application servers.
pub const MODEL_SERVICE: &str = "narrador";
pub const APP_SERVICE: &str = "ledger-api";
/// Time within which a deployment has to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Writes what happens to a file, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let time = at.saturating_duration_since(self.started_at);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written must not change the verdict.
        let _ = writeln!(file, "{:8.3} {text}", time.as_secs_f64());
    }
}

/// What a scene consists of.
pub struct Plan {
    pub gateways: u8,
    pub model_servers: u8,
    pub app_servers: u8,
    pub work: Work,
    /// The first manifest.
    pub manifest: String,
}

/// A running deployment. Its processes end with it.
pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub models: Vec<Server>,
    pub apps: Vec<Server>,
    folder: PathBuf,
}

impl Scene {
    /// Starts a deployment, and waits until all gateways are ready and own partitions.
    pub fn start(record: Record, plan: &Plan) -> io::Result<Option<Scene>> {
        let root = std::env::current_dir()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(gateway::loopback(200))?;
        store.put("keyed.op", "config", &plan.manifest);
        let mut scene = Scene {
            record,
            gateways: Vec::new(),
            models: Vec::new(),
            apps: Vec::new(),
            folder,
            store,
        };
        for number in 0..plan.model_servers {
            let server =
                scene.start_server(&format!("i-model-{number}"), 210 + number, true, plan)?;
            scene.models.push(server);
        }
        for number in 0..plan.app_servers {
            let server =
                scene.start_server(&format!("i-app-{number}"), 230 + number, false, plan)?;
            scene.apps.push(server);
        }
        let ips: Vec<_> = (1..=plan.gateways).map(gateway::loopback).collect();
        let ports = gateway::free_ports(&ips)?;
        let seeds = ips
            .iter()
            .take(3)
            .map(|ip| SocketAddr::new(*ip, ports.control));
        let seeds: Vec<SocketAddr> = seeds.collect();
        for (number, ip) in (1..).zip(&ips) {
            let machine = Machine {
                name: format!("front-quito-norte-{number}"),
                ip: *ip,
                zone: "quito-norte".to_owned(),
                ports,
                store: scene.store.address,
                seeds: seeds.clone(),
            };
            scene
                .gateways
                .push(Gateway::start(&root, &scene.folder, machine)?);
        }
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let is_ready = scene.gateways.iter().all(Gateway::is_ready);
            let holders = scene.store.holders();
            if is_ready && holders.len() == scene.gateways.len() {
                break;
            }
            if Instant::now() > deadline {
                scene.record.line("the gateways are not ready in time");
                return Ok(None);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // The hosts find each other, and open their partitions.
        std::thread::sleep(Duration::from_secs(4));
        scene.record.line("all gateways are ready");
        Ok(Some(scene))
    }

    fn start_server(&self, id: &str, ip: u8, is_model: bool, plan: &Plan) -> io::Result<Server> {
        let server = Server::start(id, gateway::loopback(ip), is_model, plan.work.clone())?;
        let service = match is_model {
            true => MODEL_SERVICE,
            false => APP_SERVICE,
        };
        let entry = server.entry(service, "quito-norte", "ready");
        self.store.put("keyed.servers", id, &entry);
        Ok(server)
    }

    /// Sends a call, and records it with its answer.
    pub fn send(&self, gateway: usize, call: &Call, timeout: Duration) -> Option<Response> {
        let address = self.gateways[gateway].front();
        let sent_at = Instant::now();
        let answer = http::send(address, call, timeout);
        let name = &self.gateways[gateway].machine.name;
        let said = match &answer {
            Ok(response) => format!("{} ({} bytes)", response.status, response.body.len()),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.line_at(
            sent_at,
            &format!(
                "{} {} at {name} -> {said} after {} ms",
                call.method,
                call.target,
                sent_at.elapsed().as_millis()
            ),
        );
        answer.ok()
    }

    /// Submits a batch job.
    pub fn submit(&self, gateway: usize, job: &str, items: &[String]) -> Option<Response> {
        let items: Vec<String> = items
            .iter()
            .map(|id| {
                format!(
                    "{{\"id\":\"{id}\",\"path\":\"{BATCH_PREFIX}3/91c4\",\"headers\":{{\
                     \"X-Bambooroute-Model\":\"m\",\"X-Bambooroute-Token-Usage\":\"540,400\",\
                     \"X-Bambooroute-Prompt-Prefix\":\"9c2e41:300,{id}:240\"}},\"body\":\"{}\",\"tokens\":940}}",
                    base64(id.as_bytes())
                )
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", items.join(","));
        let call = Call::new("POST", &format!("{BATCH_PREFIX}{job}"))
            .header("Host", HOST)
            .header("X-Bambooroute-Request-Id", job)
            .header("Content-Type", "application/json")
            .body(body.as_bytes());
        self.send(gateway, &call, Duration::from_secs(5))
    }

    /// Reads the results of a batch job from a position.
    pub fn read(&self, gateway: usize, job: &str, after: usize) -> Option<Response> {
        let call = Call::new("GET", &format!("/lots/{job}?after={after}")).header("Host", HOST);
        self.send(gateway, &call, Duration::from_secs(4))
    }

    /// Writes to the record what each server received.
    pub fn record_runs(&self) {
        for server in self.models.iter().chain(&self.apps) {
            for run in server.runs() {
                self.record.line_at(
                    run.at,
                    &format!(
                        "server {}: {} {} id {} last event {:?}, run {}, answered {}",
                        server.id,
                        run.method,
                        run.target,
                        run.id,
                        run.last_event,
                        run.has_run,
                        run.is_done
                    ),
                );
            }
        }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            // What remains there does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A page of results: identifier and state of each.
pub fn page_results(response: &Response) -> Option<Vec<(String, String)>> {
    let page = Json::parse(&response.text())?;
    let results = page.get("results")?.list().iter();
    let results = results.map(|result| {
        let field = |name: &str| result.get(name).map(Json::text).unwrap_or_default();
        (field("id").to_owned(), field("state").to_owned())
    });
    Some(results.collect())
}

/// One route of a manifest.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\
         \"service\":\"{service}\",\"timeout_ms\":5000,\"target_latency_ms\":400,\"priority\":0,\"max_attempts\":3,\
         \"resumable\":false,\"gap_target_ms\":250,\"max_queued\":1900000,\"completion_target_ms\":18000,\
         \"retention_s\":60}}"
    )
}

/// The routes of all kinds that the cases use.
pub fn usual_routes() -> Vec<String> {
    vec![
        route("batch", BATCH_PREFIX, "batch", MODEL_SERVICE),
        route("stream", STREAM_PREFIX, "streaming", MODEL_SERVICE),
        route("safe", SAFE_PREFIX, "safe", APP_SERVICE),
    ]
}

/// A manifest with these routes.
pub fn manifest(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{MODEL_SERVICE}\",\"max_conns\":370,\
         \"engine\":{{\"slots\":8}}}},{{\"name\":\"{APP_SERVICE}\",\"max_conns\":110}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
