//! Gateways as processes: the command and the settings template of `deploy/system.toml`, filled in as DEPLOY.md says.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;

pub const FRONT_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
const PEER_PORT: u16 = 7660;
const METRICS_PORT: u16 = 9464;

/// What the platform fills the template of the settings with.
pub struct Machine {
    pub ip: String,
    pub zone: String,
    pub memory_mb: u64,
    pub seeds: Vec<String>,
    pub store: SocketAddr,
}

pub struct Gateway {
    pub ip: String,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// Loopback addresses of which all ports of a gateway are free.
pub fn free_addresses(count: usize) -> Vec<String> {
    let seed = std::process::id();
    let ports = [
        FRONT_PORT,
        READY_PORT,
        CONTROL_PORT,
        PEER_PORT,
        METRICS_PORT,
    ];
    let addresses = (0..250u32).map(|step| {
        format!(
            "127.{}.{}.{}",
            20 + seed % 200,
            (seed / 200) % 250,
            1 + step
        )
    });
    let is_free = |ip: &String| {
        ports
            .iter()
            .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
    };
    addresses.filter(is_free).take(count).collect()
}

impl Gateway {
    pub fn start(repository: &Path, folder: &Path, machine: &Machine) -> Gateway {
        let template = std::fs::read_to_string(repository.join("deploy/settings.template.toml"))
            .expect("the template");
        let seeds: Vec<String> = machine
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let ip = &machine.ip;
        let values = [
            ("node_name|json", format!("\"front-{ip}\"")),
            ("ip|json", format!("\"{ip}\"")),
            ("zone|json", format!("\"{}\"", machine.zone)),
            ("listen.front|json", format!("\"{ip}:{FRONT_PORT}\"")),
            ("listen.ready|json", format!("\"{ip}:{READY_PORT}\"")),
            ("internal_ports.0", PEER_PORT.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("limits.cpu_share", "0.5".to_owned()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
            ("limits.max_fds", "8200".to_owned()),
            ("platform.address|json", format!("\"{}\"", machine.store)),
            ("platform.parts", "12".to_owned()),
            ("platform.record_bytes", "262144".to_owned()),
            ("platform.call_bytes", "2097152".to_owned()),
            ("platform.ttl_min_ms", "1000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.status_s", "120".to_owned()),
        ];
        let filled = values.iter().fold(template, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        let settings = folder.join(format!("settings-{ip}.toml"));
        std::fs::write(&settings, filled).expect("the settings file");
        let mut gateway = Gateway {
            ip: ip.clone(),
            child: None,
            settings,
            log: folder.join(format!("log-{ip}.txt")),
        };
        gateway.run(repository);
        gateway
    }

    /// Starts the process by the line `run` of the deploy file.
    pub fn run(&mut self, repository: &Path) {
        let deploy = std::fs::read_to_string(repository.join("deploy/system.toml"))
            .expect("the deploy file");
        let line = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("the line run");
        let mut words = line.trim().trim_matches('"').split(' ');
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log");
        let child = Command::new(repository.join(words.next().expect("the program")))
            .args(words)
            .current_dir(repository)
            .env("BAMBOOROUTE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("the gateway");
        self.child = Some(child);
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip)
            .parse()
            .expect("an address")
    }

    pub fn is_ready(&self) -> bool {
        let address = format!("{}:{READY_PORT}", self.ip)
            .parse()
            .expect("an address");
        let ready = http::call(
            address,
            "GET",
            "/ready",
            "Host: ready\r\n",
            b"",
            Duration::from_millis(500),
        );
        ready.is_some_and(|response| response.status() == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while !self.is_ready() {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Memory of the process now and at most, in MB.
    pub fn memory_mb(&self) -> (u64, u64) {
        let Some(child) = &self.child else {
            return (0, 0);
        };
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let read = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace()
                .nth(1)?
                .parse::<u64>()
                .ok()
                .map(|kb| kb / 1024)
        };
        (read("VmRSS:").unwrap_or(0), read("VmHWM:").unwrap_or(0))
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// SIGTERM to the process by its id, and waits for its end. Returns whether it has ended in time.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let _ = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status();
        let until = Instant::now() + timeout;
        while matches!(child.try_wait(), Ok(None)) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
