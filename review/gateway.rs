//! Gateway processes, started as the deploy file says, and signals to them.

use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Call;

/// Option of `prctl` that has the kernel signal a process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// A signal to a process of this test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

/// What the settings of a gateway name.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

/// Ports, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// A loopback address that no other run uses at the same time.
pub fn loopback(number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, number))
}

/// Finds ports that are free on all addresses.
pub fn free_ports(ips: &[IpAddr]) -> io::Result<Ports> {
    for _ in 0..50 {
        let mut listeners = Vec::new();
        for _ in 0..4 {
            listeners.push(TcpListener::bind((ips[0], 0))?);
        }
        let mut ports = Vec::new();
        for listener in &listeners {
            ports.push(listener.local_addr()?.port());
        }
        let mut others = ips[1..]
            .iter()
            .flat_map(|ip| ports.iter().map(move |port| (*ip, *port)));
        if others.all(|address| TcpListener::bind(address).is_ok()) {
            return Ok(Ports {
                front: ports[0],
                ready: ports[1],
                control: ports[2],
                internal: ports[3],
            });
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Fills in the template of the deploy file.
fn settings(template: &str, machine: &Machine) -> String {
    let Machine { ip, ports, .. } = machine;
    let seeds: Vec<String> = machine
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let values = [
        ("node_name|json", format!("\"{}\"", machine.name)),
        ("ip|json", format!("\"{ip}\"")),
        ("zone|json", format!("\"{}\"", machine.zone)),
        ("listen.front|json", format!("\"{ip}:{}\"", ports.front)),
        ("listen.ready|json", format!("\"{ip}:{}\"", ports.ready)),
        ("internal_ports.0", ports.internal.to_string()),
        ("seeds|json", format!("[{}]", seeds.join(","))),
        ("limits.cpu_share", "0.5".to_owned()),
        ("limits.memory_mb", "290".to_owned()),
        ("platform.address|json", format!("\"{}\"", machine.store)),
        ("platform.parts", crate::store::PARTS.to_string()),
        ("platform.record_bytes", "262144".to_owned()),
        ("platform.call_bytes", "2097152".to_owned()),
        ("platform.ttl_min_ms", "1000".to_owned()),
        ("bounds.grace_s", "8".to_owned()),
        ("bounds.status_s", "120".to_owned()),
    ];
    values
        .into_iter()
        .fold(template.to_owned(), |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), &value)
        })
}

/// A gateway process. It ends with this value.
pub struct Gateway {
    pub machine: Machine,
    child: Child,
}

impl Gateway {
    /// Starts a gateway of the repository at `root`, with its files in a temporary folder.
    pub fn start(root: &Path, folder: &Path, machine: Machine) -> io::Result<Gateway> {
        let template = std::fs::read_to_string(root.join("deploy/settings.template.toml"))?;
        let settings_file = folder.join(format!("{}.toml", machine.name));
        std::fs::write(&settings_file, settings(&template, &machine))?;
        let log_file = folder.join(format!("{}.log", machine.name));
        let child = spawn(root, &settings_file, &log_file)?;
        Ok(Gateway { machine, child })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.machine.ip, self.machine.ports.front)
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.machine.ip, self.machine.ports.ready);
        let asked = http::send(
            address,
            &Call::new("GET", "/ready"),
            Duration::from_millis(500),
        );
        asked.is_ok_and(|response| response.status == 200)
    }

    pub fn signal(&mut self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        // SAFETY: a plain system call; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal as i32) };
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits for the end of the process. Returns whether it came in time.
    pub fn wait_for_end(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.has_ended() {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Already ended, or ends now.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(root: &Path, settings_file: &Path, log_file: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log_file)?;
    let mut command = Command::new(root.join("target/release/bamboo-gatewayd"));
    // SAFETY: only a system call between fork and exec. No gateway outlives the test, also if that is killed.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, Signal::Kill as usize);
            Ok(())
        });
    }
    command
        .current_dir(root)
        .env("BAMBOOROUTE_SETTINGS", settings_file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
