//! Processes that this tool starts, and ends by their own identity.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use anyhow::Context;

/// A started process. It is ended when this is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a binary that lies beside this one.
    ///
    /// # Errors
    /// Fails if the binary cannot be started.
    pub(crate) fn start(
        binary: &str,
        arguments: &[String],
        shows_logs: bool,
    ) -> anyhow::Result<Self> {
        let stdio = || {
            if shows_logs {
                Stdio::inherit()
            } else {
                Stdio::null()
            }
        };
        let path = binary_path(binary)?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(stdio())
            .stderr(stdio())
            .spawn()
            .with_context(|| format!("cannot start {}", path.display()))?;
        Ok(Process { child })
    }

    /// Ends the process at once, as a lost host does.
    pub(crate) fn kill(&mut self) {
        // A process that has ended already needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name.
    ///
    /// # Errors
    /// Fails if `kill` cannot be run.
    pub(crate) fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill")
            .args([format!("-{signal}"), id])
            .status()
            .context("kill")?;
        Ok(())
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a binary beside this one.
///
/// # Errors
/// Fails if this process does not know its own path.
pub(crate) fn binary_path(binary: &str) -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe().context("own path")?;
    let directory = executable.parent().context("folder of the own path")?;
    Ok(directory.join(binary))
}

/// First port that is tried.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that are tried. They lie below those that the system gives to outgoing connections, one of which
/// could otherwise take an address before its process listens on it.
const PORT_COUNT: u16 = 12_000;

/// Ports that were tried so far, from a place that differs between processes.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// A loopback address that is free now and is given out once.
///
/// # Errors
/// Fails if no port is free.
pub(crate) fn free_address() -> anyhow::Result<String> {
    let first_offset = std::process::id() as u16 % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let port_offset = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (first_offset + port_offset % PORT_COUNT) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener.local_addr()?.to_string());
        }
    }
    anyhow::bail!("no free port")
}
