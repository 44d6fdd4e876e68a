//! Settings of a gateway, written in TOML.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A field lacks, or holds a value of another kind.
    #[error("settings: {0}")]
    Field(String),
}

/// Where the store listens and what it bears.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Partitions of the topic of job shards.
    pub shard_count: u32,
    /// Largest record, bytes.
    pub record_max_bytes: usize,
    /// Largest append, bytes.
    pub append_max_bytes: usize,
    /// Shortest membership in a group, milliseconds.
    pub membership_min_ms: u64,
}

/// Times that the deployment promises.
#[derive(Debug, Clone, Deserialize)]
pub struct PromiseSettings {
    /// Time between the signal to stop and the kill, seconds.
    pub stop_grace_s: f64,
    /// How long results stay readable after submission, seconds.
    pub results_kept_s: f64,
}

/// Settings of one gateway.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the host, for logs.
    pub name: String,
    /// Address of the host.
    pub ip: IpAddr,
    /// Data centre of the host.
    pub data_centre: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub ready_address: SocketAddr,
    /// First port for messages between hosts.
    pub peer_port: u16,
    /// Where other hosts are accepted, if not at `ip` and `peer_port`: behind address translation.
    pub peer_listen: Option<SocketAddr>,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Addresses of other hosts; only their IP numbers are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory limit, MB.
    pub memory_mb: u64,
    /// The store.
    pub store: StoreSettings,
    /// Promised times.
    pub promises: PromiseSettings,
}

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    /// Fails with the first field that lacks or holds nonsense.
    ///
    /// ```
    /// assert!(bamboo_gateway::Settings::from_toml("name = 1").is_err());
    /// ```
    pub fn from_toml(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text)
            .map_err(|error| SettingsError::Field(one_line(&error.to_string())))?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let checks = [
            (self.name.is_empty(), "name is empty"),
            (self.data_centre.is_empty(), "data_centre is empty"),
            (self.cpu_share <= 0.0, "cpu_share must be above 0"),
            (self.memory_mb == 0, "memory_mb must be above 0"),
            (
                self.store.shard_count == 0,
                "store.shard_count must be above 0",
            ),
            (
                self.store.record_max_bytes < 1024,
                "store.record_max_bytes must be at least 1024",
            ),
            (
                self.store.append_max_bytes < self.store.record_max_bytes,
                "store.append_max_bytes must not be below store.record_max_bytes",
            ),
            (
                self.promises.stop_grace_s <= 0.0,
                "promises.stop_grace_s must be above 0",
            ),
            (
                self.promises.results_kept_s <= 0.0,
                "promises.results_kept_s must be above 0",
            ),
        ];
        match checks.into_iter().find(|(is_invalid, _)| *is_invalid) {
            Some((_, message)) => Err(SettingsError::Field(message.to_owned())),
            None => Ok(()),
        }
    }

    /// Where other hosts are accepted.
    pub fn peer_listen(&self) -> SocketAddr {
        self.peer_listen.unwrap_or(self.peer_address())
    }

    /// Where other hosts reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Time between the signal to stop and the kill.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.promises.stop_grace_s)
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
