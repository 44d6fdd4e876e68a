//! A small deployment: the store, servers and gateways, the latter two as processes.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::server::Kind;
use crate::store::PARTS;
use crate::store::Store;

pub const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl` that names the signal which a process gets when its parent ends.
const SIGNAL_AT_END_OF_PARENT: i32 = 1;

/// Starts a process that ends with the thread that starts it, whatever ends that.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    // SAFETY: the call between fork and exec takes two numbers and touches no memory of this program.
    unsafe {
        command.pre_exec(|| {
            prctl(SIGNAL_AT_END_OF_PARENT, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn()
}

/// Sends a signal to a process that this program has started.
pub fn signal(child: &Child, signal: i32) {
    // SAFETY: `kill` takes two numbers and touches no memory of this program.
    unsafe { kill(child.id() as i32, signal) };
}

pub type Failure = Box<dyn std::error::Error>;

/// What happened, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            start: Instant::now(),
            file,
        })
    }

    pub fn write(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }
}

/// A server process. Its entry in the store is renewed while it runs, and removed three heartbeats after it has ended.
pub struct Server {
    pub id: String,
    pub child: Child,
    pub lines: mpsc::Receiver<String>,
    pub is_alive: Arc<Mutex<bool>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Interval at which a server renews its entry, as `heartbeat_ms` of the settings says.
const HEARTBEAT: Duration = Duration::from_millis(1200);

impl Server {
    pub fn start(
        store: &Store,
        record: &Record,
        service: &str,
        id: &str,
        address: SocketAddr,
        kind: Kind,
    ) -> Result<Server, Failure> {
        let program = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.args(["server", &address.to_string(), id, kind.name()]);
        let mut child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()))?;
        let output = child.stdout.take().ok_or("no output")?;
        let (sender, lines) = mpsc::channel();
        let (log, name) = (record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.write(&format!("server {name}: {line}"));
                let _ = sender.send(line);
            }
        });
        let first = lines.recv_timeout(Duration::from_secs(5))?;
        if first != "listening" {
            return Err(format!("server {id}: {first}").into());
        }
        let is_alive = Arc::new(Mutex::new(true));
        let server = Server {
            id: id.to_owned(),
            child,
            lines,
            is_alive,
        };
        server.renew_entry(store, service, address, kind);
        Ok(server)
    }

    fn renew_entry(&self, store: &Store, service: &str, address: SocketAddr, kind: Kind) {
        let (store, id, is_alive) = (store.clone(), self.id.clone(), Arc::clone(&self.is_alive));
        let service = service.to_owned();
        let models = match kind {
            Kind::Model | Kind::UnframedModel | Kind::SlowModel | Kind::GreyModel => {
                r#","stage":"both","models":[{"name":"m","version":1,"adapters":[]}]"#
            }
            _ => "",
        };
        let entry = move |sequence: u64| {
            format!(
                r#"{{"service":"{service}","address":"{address}","zone":"norte","version":"v1","slots":8,"state":"ready","cold_left_ms":0{models},"seq":{sequence}}}"#
            )
        };
        store.put("keyed.servers", &id, entry(1).as_bytes());
        std::thread::spawn(move || {
            let (mut sequence, mut silent) = (1, 0);
            loop {
                std::thread::sleep(HEARTBEAT);
                match *is_alive.lock().unwrap() {
                    true => {
                        sequence += 1;
                        store.put("keyed.servers", &id, entry(sequence).as_bytes());
                    }
                    false if silent == 3 => return store.put("keyed.servers", &id, b""),
                    false => silent += 1,
                }
            }
        });
    }

    /// Kills the process, as a crash does.
    pub fn crash(&mut self) {
        *self.is_alive.lock().unwrap() = false;
        signal(&self.child, SIGKILL);
        let _ = self.child.wait();
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Ports that all gateways of a deployment use, each on an address of its own.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    peer: u16,
}

/// A loopback address that belongs to this run.
pub fn own_address(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, number)
}

/// A free port on addresses of this run.
pub fn free_port(addresses: &[Ipv4Addr]) -> Result<u16, Failure> {
    for _ in 0..50 {
        let first = TcpListener::bind((addresses[0], 0))?;
        let port = first.local_addr()?.port();
        let others = addresses[1..]
            .iter()
            .map(|address| TcpListener::bind((*address, port)));
        if others.collect::<Result<Vec<_>, _>>().is_ok() {
            return Ok(port);
        }
    }
    Err("no free port".into())
}

impl Ports {
    pub fn allocate(addresses: &[Ipv4Addr]) -> Result<Ports, Failure> {
        Ok(Ports {
            front: free_port(addresses)?,
            ready: free_port(addresses)?,
            control: free_port(addresses)?,
            peer: free_port(addresses)?,
        })
    }
}

/// Starts a gateway with the command of the deploy file. Its output is appended to a file.
fn start_program(settings: &PathBuf, log: &PathBuf) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/bamboo-gatewayd");
    command.env("BAMBOOROUTE_SETTINGS", settings);
    spawn(
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log),
    )
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, and the settings that its template gives.
    pub fn start(
        store: &Store,
        name: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
        ports: Ports,
    ) -> Result<Gateway, Failure> {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{}\"", ports.control))
            .collect();
        let text = format!(
            "name = \"{name}\"\nip = \"{ip}\"\ndata_centre = \"norte\"\ncaller_address = \"{ip}:{}\"\n\
             ready_address = \"{ip}:{}\"\npeer_port = {}\nmetrics_port = 9464\nseeds = [{}]\ncpu_share = 0.5\n\
             memory_mb = {MEMORY_MAX_MB}\ndescriptors_max = 8200\n\n[store]\naddress = \"{}\"\nshard_count = {PARTS}\n\
             record_max_bytes = 262144\nappend_max_bytes = 2097152\nmembership_min_ms = 1000\n\n\
             [promises]\nstop_grace_s = 8\nresults_kept_s = 120\n",
            ports.front,
            ports.ready,
            ports.peer,
            seeds.join(","),
            store.address
        );
        let folder =
            std::env::var("CASE_FOLDER").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
        let settings = folder.join(format!("{name}-{}.toml", std::process::id()));
        std::fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = start_program(&settings, &log)?;
        Ok(Gateway {
            name: name.to_owned(),
            child,
            front: SocketAddr::new(IpAddr::V4(ip), ports.front),
            ready: SocketAddr::new(IpAddr::V4(ip), ports.ready),
            settings,
            log,
        })
    }

    /// Memory that the process takes, in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// Kills the process.
    pub fn crash(&mut self) {
        signal(&self.child, SIGKILL);
        let _ = self.child.wait();
    }

    /// Ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
    pub fn stop(&mut self, grace: Duration) -> Result<(), Failure> {
        signal(&self.child, SIGTERM);
        let deadline = Instant::now() + grace;
        while self.child.try_wait()?.is_none() {
            if Instant::now() > deadline {
                self.crash();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> Result<(), Failure> {
        self.child = start_program(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let called = http::call(
            self.ready,
            "GET",
            "/ready",
            &[("Host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        called.is_ok_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(format!("{} does not get ready", self.name).into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

/// Starts `count` gateways that know each other, and waits until all are ready.
pub fn start_gateways(store: &Store, count: u8) -> Result<Vec<Gateway>, Failure> {
    let addresses: Vec<Ipv4Addr> = (1..=count).map(|number| own_address(10 + number)).collect();
    let ports = Ports::allocate(&addresses)?;
    let mut gateways = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let seeds = &addresses[..addresses.len().min(3)];
        gateways.push(Gateway::start(
            store,
            &format!("front-{}", number + 1),
            *address,
            seeds,
            ports,
        )?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    Ok(gateways)
}

/// The manifest: a safe route, a stream that may be resumed, one that may not, and a batch route, of one host.
pub fn manifest(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-sheet","host":"ficu95.example","path_prefix":"/sheet/","route_type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"records","max_attempts":2}},
{{"name":"r-check","host":"ficu95.example","path_prefix":"/check/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250}},
{{"name":"r-note","host":"ficu95.example","path_prefix":"/note/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":250}},
{{"name":"r-batch","host":"ficu95.example","path_prefix":"/batch/","route_type":"batch","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"llm","max_attempts":3,"sticky":true,"completion_target_ms":18000,"retention_s":60,"max_queued":1900000}}],
"services":[{{"name":"records","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}},
{{"name":"llm","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{{"slots":8,"kv_capacity":147261,"kv_token_bytes":18432,"link_mbps":130000.0,"moves":true,"backups":true,"stride":7,"max_queued":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Memory above which the platform kills a gateway, as `memory_mb` of the settings says.
pub const MEMORY_MAX_MB: u64 = 290;

pub const HOST: &str = "ficu95.example";
