//! Settings of the gateway process, read from TOML.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

/// Error in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A field is missing, has the wrong type or holds an invalid value.
    #[error("settings: {0}")]
    Field(String),
}

/// Address and limits of the store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Number of partitions of the jobs topic.
    pub shard_count: u32,
    /// Maximum size of a record in bytes.
    pub record_max_bytes: usize,
    /// Maximum size of an append in bytes.
    pub append_max_bytes: usize,
    /// Shortest membership that the store allows in a group, in milliseconds.
    pub membership_min_ms: u64,
}

/// Times that the deployment guarantees.
#[derive(Debug, Clone, Deserialize)]
pub struct PromiseSettings {
    /// Time between the termination signal and the kill, in seconds.
    pub stop_grace_s: f64,
    /// How long results stay readable after the job is complete or cancelled, in seconds.
    pub results_kept_s: f64,
}

/// Settings of one gateway.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the host, used in logs.
    pub name: String,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which readiness checks are served.
    pub ready_address: SocketAddr,
    /// Port for messages between hosts.
    pub peer_port: u16,
    /// Address to listen on for other hosts if it differs from `ip` and `peer_port`, as behind network address
    /// translation.
    pub peer_listen: Option<SocketAddr>,
    /// Port on which metrics are served.
    pub metrics_port: u16,
    /// Addresses of other hosts, for discovery. Only the IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of CPU cores available to the process; may be a fraction.
    pub cpu_share: f64,
    /// Memory limit in MB.
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open. If absent, the limit that the system sets for the process.
    pub descriptors_max: Option<u64>,
    /// Settings of the store.
    pub store: StoreSettings,
    /// Times that the deployment guarantees.
    pub promises: PromiseSettings,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    /// Fails at the first field that is missing or invalid.
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
                self.descriptors_max == Some(0),
                "descriptors_max must be above 0",
            ),
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

    /// Address to listen on for other hosts.
    pub fn peer_listen(&self) -> SocketAddr {
        self.peer_listen.unwrap_or(self.peer_address())
    }

    /// Address at which other hosts reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Time between the termination signal and the kill.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.promises.stop_grace_s)
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
