//! What all scenarios share: the folder, the record, the platform's stand-ins and the gateways.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::gateways::Gateway;
use crate::gateways::Machine;
use crate::gateways::free_addresses;
use crate::jobs::Clients;
use crate::jobs::describe;
use crate::servers;
use crate::servers::Seen;
use crate::servers::Work;
use crate::store::Figures;
use crate::store::Store;

pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

pub struct Scene {
    pub repository: PathBuf,
    pub folder: PathBuf,
    pub started: Instant,
    record: Arc<Mutex<std::fs::File>>,
}

/// Runs a scenario, and ends all that it has started.
pub fn run(
    name: &str,
    record: &str,
    has_trouble: bool,
    play: fn(&mut Scene, bool) -> Verdict,
) -> ExitCode {
    let folder = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    let made = std::fs::create_dir_all(&folder).and_then(|()| std::fs::File::create(record));
    let Ok(record) = made else {
        eprintln!("no record or folder");
        return ExitCode::from(2);
    };
    let mut scene = Scene {
        repository: std::env::current_dir().expect("the repository"),
        folder: folder.clone(),
        started: Instant::now(),
        record: Arc::new(Mutex::new(record)),
    };
    scene.note(&format!(
        "scenario {name}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let verdict = play(&mut scene, has_trouble);
    let code = match verdict {
        Verdict::Held => {
            scene.note("the rule held");
            0
        }
        Verdict::Broken => {
            scene.note("the rule was broken");
            1
        }
        Verdict::NotRun(why) => {
            scene.note(&format!("the case did not run: {why}"));
            2
        }
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}

impl Scene {
    /// Writes a line of the record, with the seconds since the start.
    pub fn note(&self, text: &str) {
        let line = format!("{:7.2} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self
            .record
            .lock()
            .expect("the record")
            .write_all(line.as_bytes());
    }

    /// Writes what was sent, answered and run, a line a job.
    pub fn record_jobs(&self, deployment: &Deployment) {
        let jobs = deployment.clients.jobs.lock().expect("the jobs");
        let lines = describe(&jobs, &deployment.seen, self.started).join("\n");
        let _ = writeln!(self.record.lock().expect("the record"), "{lines}");
    }

    pub fn sleep_until(&self, seconds: f64) {
        let at = self.started + Duration::from_secs_f64(seconds);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// A small deployment.
pub struct Deployment {
    pub store: Store,
    pub seen: Arc<Mutex<Seen>>,
    pub gateways: Vec<Gateway>,
    pub clients: Arc<Clients>,
    pub slots: usize,
    addresses: Vec<String>,
    memory_mb: Vec<u64>,
}

pub struct Size {
    /// Memory of each machine, in MB.
    pub memory_mb: Vec<u64>,
    /// Machines that are added later.
    pub spare_mb: Vec<u64>,
    pub servers: usize,
    pub max_queued: u64,
    /// Whether there are servers of an application service, and a route for all paths that leads to them.
    pub has_plain: bool,
    pub figures: Figures,
    pub work: Work,
}

/// A manifest with a streaming route, a route for all other paths of the host, and the batch route of the sheets
/// (`completion_target_ms`, `retention_s` as played) if it `has_batch`.
pub fn manifest(version: u64, size: &Size, has_batch: bool) -> String {
    let slots = size.work.slots;
    let max_queued = size.max_queued;
    let others = match size.has_plain {
        true => {
            "{\"name\":\"r-x4c8wq2\",\"host\":\"ficu95.example\",\"path_prefix\":\"/\",\"route_type\":\"safe\",\"timeout_ms\":1500,\
            \"target_latency_ms\":300,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2},"
        }
        false => "",
    };
    let batch = format!(
        ",{{\"name\":\"r-b7k2m1p\",\"host\":\"ficu95.example\",\"path_prefix\":\"/pule252/\",\"route_type\":\"batch\",\"timeout_ms\":15000,\
         \"target_latency_ms\":4000,\"priority\":2,\"service\":\"huvo11a\",\"max_attempts\":3,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":250,\
         \"max_queued\":{max_queued},\"completion_target_ms\":18000,\"retention_s\":60}}"
    );
    let batch = if has_batch { batch.as_str() } else { "" };
    format!(
        "{{\"version\":{version},\"routes\":[{others}\
         {{\"name\":\"r-3d3zji9\",\"host\":\"ficu95.example\",\"path_prefix\":\"/lohu930/\",\"route_type\":\"streaming\",\"timeout_ms\":5000,\
         \"target_latency_ms\":300,\"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":250}}{batch}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":{slots},\"kv_capacity\":147261,\"kv_token_bytes\":18432,\"link_mbps\":130000.0,\"max_queued\":12,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

impl Deployment {
    pub fn start(scene: &Scene, size: &Size) -> Result<Deployment, String> {
        let memory_mb = [size.memory_mb.clone(), size.spare_mb.clone()].concat();
        let mut addresses = free_addresses(memory_mb.len() + 2);
        if addresses.len() < memory_mb.len() + 2 {
            return Err("no loopback addresses are free".to_owned());
        }
        let others = addresses.split_off(memory_mb.len());
        let store = Store::start(&others[0], size.figures.clone());
        let seen: Arc<Mutex<Seen>> = Arc::default();
        store.put("keyed.op", "config", &manifest(7, size, true));
        if size.has_plain {
            servers::start_plain(&others[1], 4, "wuno96b", "quito-norte", &store);
        }
        servers::start(
            &others[1],
            size.servers,
            "huvo11a",
            "quito-norte",
            &size.work,
            &store,
            &seen,
        );
        let mut deployment = Deployment {
            store,
            seen,
            gateways: Vec::new(),
            clients: Arc::new(Clients::new(Arc::default(), size.work.clone())),
            slots: size.servers * size.work.slots,
            addresses,
            memory_mb,
        };
        for _ in &size.memory_mb {
            deployment.start_gateway(scene);
        }
        for gateway in &deployment.gateways {
            if !gateway.wait_ready(Duration::from_secs(10)) {
                return Err(format!(
                    "the gateway at {} does not become ready",
                    gateway.ip
                ));
            }
        }
        deployment.update_fronts();
        // All partitions are dealt and opened.
        std::thread::sleep(Duration::from_secs(3));
        scene.note(&format!(
            "gateways of {:?} MB are ready, {} slots at the servers",
            size.memory_mb, deployment.slots
        ));
        Ok(deployment)
    }

    /// Starts the next machine.
    pub fn start_gateway(&mut self, scene: &Scene) {
        let index = self.gateways.len();
        let machine = Machine {
            ip: self.addresses[index].clone(),
            zone: "quito-norte".to_owned(),
            memory_mb: self.memory_mb[index],
            seeds: self.addresses.iter().take(3).cloned().collect(),
            store: self.store.address,
        };
        self.gateways
            .push(Gateway::start(&scene.repository, &scene.folder, &machine));
    }

    /// Clients are sent to the gateways that run, as the platform does after two questions without a 200.
    pub fn update_fronts(&mut self) {
        let fronts = self
            .gateways
            .iter_mut()
            .filter_map(|gateway| gateway.runs().then(|| gateway.front()));
        let fronts = fronts.collect();
        *self.clients.fronts.lock().expect("the fronts") = fronts;
    }

    pub fn note_memory(&self, scene: &Scene) {
        let memory = self
            .gateways
            .iter()
            .map(|gateway| format!("{:?}", gateway.memory_mb()));
        scene.note(&format!(
            "memory of the gateways now and at most, MB: {}",
            memory.collect::<Vec<_>>().join(" ")
        ));
    }
}
