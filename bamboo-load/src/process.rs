//! Child processes. They are killed through their handle, never by name.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use anyhow::Context;

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a binary from the directory of the current executable.
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

    /// Kills the process without a graceful shutdown, like a host failure.
    pub(crate) fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the signal of this name, such as `TERM`.
    ///
    /// # Errors
    /// Fails if `kill` cannot be run.
    pub(crate) fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill")
            .args([format!("-{signal}"), id])
            .status()
            .context("cannot run kill")?;
        Ok(())
    }

    /// Whether the process has exited.
    pub(crate) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a binary in the directory of the current executable.
///
/// # Errors
/// Fails if the path of the current executable is unknown.
pub(crate) fn binary_path(binary: &str) -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe().context("cannot find the current executable")?;
    let directory = executable
        .parent()
        .context("the current executable has no parent directory")?;
    Ok(directory.join(binary))
}

/// First port of the range to try.
const FIRST_PORT: u16 = 20_000;
/// Number of ports to try. The range lies below the ephemeral ports: otherwise an outgoing connection could take a
/// port between the check here and the moment its process listens on it.
const PORT_COUNT: u16 = 12_000;

/// Offset of the next port to try, counted from a start that depends on the process id.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that is currently free and that was not returned before.
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
