//! Settings of one daemon, parsed and validated as a whole at startup.

use std::net::SocketAddr;
use std::time::Duration;

use bamboo_types::DataCentreId;
use bamboo_types::HostId;

use crate::KeyHash;
use crate::SettingsError;
use crate::toml_reader::TomlReader;

/// Appends per second that the platform's log accepts from the whole fleet.
const FLEET_APPENDS_PER_S_MAX: u64 = 1000;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Unique name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Listen address for other daemons.
    pub peer_address: SocketAddr,
    /// SHA-256 digest of the operators' bearer key.
    pub operator_key_sha256: KeyHash,
    /// Shared secret with which daemons authenticate to each other.
    pub peer_key: String,
    /// Base URL of the platform's log service.
    pub log_url: String,
    /// Base URL of the platform's host list.
    pub host_list_url: String,
    /// Base URL of the platform's weight store.
    pub weight_store_url: String,
    /// Retention period of the log service.
    pub retention: Duration,
    /// Number of job shards; must be the same on every host.
    pub shard_count: u16,
    /// Append budget of the whole fleet, in appends per second.
    pub fleet_appends_per_s: u64,
    /// Expected number of hosts, which share the append budget.
    pub expected_hosts: u64,
    /// Interval between heartbeats to other hosts.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a host is considered lost.
    pub suspect_after: Duration,
    /// Duration of a server owner's lease on engines that do not check fencing tokens.
    pub lease: Duration,
    /// Polling interval of the host list.
    pub host_list_interval: Duration,
    /// Time the load balancer needs to notice that a host is not ready.
    pub drain_wait: Duration,
    /// Maximum time that a graceful shutdown waits for requests in progress.
    pub drain_max: Duration,
    /// Time without configuration updates from the log or peers after which the host reports not ready.
    pub stale_config_max: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Maximum size of a job upload, in bytes.
    pub job_max_bytes: u64,
    /// Number of threads that serve traffic.
    pub traffic_threads: usize,
    /// Timeout of an online request without a deadline of its own.
    pub request_timeout: Duration,
    /// Whether log lines are written as JSON.
    pub is_log_json: bool,
}

/// Parses and validates a settings file.
///
/// # Errors
/// Returns all errors found, each with its line and field.
///
/// ```
/// let errors = bamboo_config::parse_settings("[host]\nid = 'h1'\nsize = 3\n").unwrap_err();
/// assert!(errors.iter().any(|error| error.field == "host.size" && error.line == 3));
/// ```
pub fn parse_settings(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let sections = [
        "host",
        "listen",
        "keys",
        "platform",
        "log_budget",
        "timing",
        "limits",
        "traffic",
        "logging",
    ];
    let mut reader = TomlReader::parse(text, &sections).map_err(|error| vec![error])?;
    let settings = read_settings(&mut reader);
    if let Some(settings) = &settings {
        check_constraints(settings, &mut reader);
    }
    let errors = reader.finish();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(errors),
    }
}

fn read_settings(reader: &mut TomlReader<'_>) -> Option<Settings> {
    let host = reader.required_string("host.id");
    let data_centre = reader.required_string("host.data_centre");
    let caller_address = reader.address("listen.caller");
    let operator_address = reader.address("listen.operator");
    let peer_address = reader.address("listen.peer");
    let operator_key = read_key_hash(reader, "keys.operator_sha256");
    let peer_key = reader.required_string("keys.peer");
    let log_url = read_url(reader, "platform.log_url");
    let host_list_url = read_url(reader, "platform.host_list_url");
    let weight_store_url = read_url(reader, "platform.weight_store_url");
    let retention = reader.duration("platform.retention", Duration::from_secs(24 * 3600));
    // Every field is read before an invalid one returns early, so that all errors are reported together.
    let shard_count = reader.integer("log_budget.shard_count", 4, 1..=1024) as u16;
    let fleet_appends_per_s = reader.integer(
        "log_budget.fleet_appends_per_s",
        300,
        1..=FLEET_APPENDS_PER_S_MAX,
    );
    let expected_hosts = reader.integer("log_budget.expected_hosts", 12, 1..=10_000);
    let heartbeat = reader.duration("timing.heartbeat", Duration::from_millis(500));
    let suspect_after = reader.duration("timing.suspect_after", Duration::from_secs(2));
    let lease = reader.duration("timing.lease", Duration::from_secs(10));
    let host_list_interval = reader.duration("timing.host_list_interval", Duration::from_secs(1));
    let drain_wait = reader.duration("timing.drain_wait", Duration::from_secs(2));
    let drain_max = reader.duration("timing.drain_max", Duration::from_secs(120));
    let stale_config_max = reader.duration("timing.stale_config_max", Duration::from_secs(3600));
    let request_timeout = reader.duration("timing.request_timeout", Duration::from_secs(60));
    let body_max_bytes = reader.integer("limits.body_max_bytes", 1 << 20, 1..=1 << 26) as usize;
    let job_max_bytes = reader.integer("limits.job_max_bytes", 1 << 32, 1..=1 << 40);
    let traffic_threads = reader.integer("traffic.threads", 2, 1..=256) as usize;
    let is_log_json = reader.boolean("logging.json", false);
    Some(Settings {
        host,
        data_centre,
        caller_address: caller_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        operator_key_sha256: operator_key?,
        peer_key,
        log_url,
        host_list_url,
        weight_store_url,
        retention,
        shard_count,
        fleet_appends_per_s,
        expected_hosts,
        heartbeat,
        suspect_after,
        lease,
        host_list_interval,
        drain_wait,
        drain_max,
        stale_config_max,
        body_max_bytes,
        job_max_bytes,
        traffic_threads,
        request_timeout,
        is_log_json,
    })
}

fn read_key_hash(reader: &mut TomlReader<'_>, field: &str) -> Option<KeyHash> {
    let line = reader.field_line(field);
    let text = reader.required_string(field);
    let hash = KeyHash::parse(&text);
    if hash.is_none() && !text.is_empty() {
        reader.add_error(
            line,
            field,
            "must be a SHA-256 digest of 64 hexadecimal digits",
        );
    }
    hash
}

fn read_url(reader: &mut TomlReader<'_>, field: &str) -> String {
    let line = reader.field_line(field);
    let text = reader.required_string(field);
    if !text.is_empty() && !text.starts_with("http://") {
        reader.add_error(line, field, &format!("'{text}' must start with http://"));
    }
    text.trim_end_matches('/').to_owned()
}

fn check_constraints(settings: &Settings, reader: &mut TomlReader<'_>) {
    if settings.suspect_after < settings.heartbeat * 3 {
        let line = reader.field_line("timing.suspect_after");
        reader.add_error(
            line,
            "timing.suspect_after",
            "must be at least 3 × timing.heartbeat",
        );
    }
    if settings.lease < settings.suspect_after {
        let line = reader.field_line("timing.lease");
        reader.add_error(
            line,
            "timing.lease",
            "must be at least timing.suspect_after",
        );
    }
    let addresses = [
        ("listen.caller", settings.caller_address),
        ("listen.operator", settings.operator_address),
        ("listen.peer", settings.peer_address),
    ];
    for (index, (field, address)) in addresses.iter().enumerate() {
        let is_duplicate = addresses[..index]
            .iter()
            .any(|(_, earlier)| earlier == address);
        if is_duplicate && address.port() != 0 {
            let line = reader.field_line(field);
            reader.add_error(
                line,
                field,
                &format!("{address} is already used by another listener"),
            );
        }
    }
    if u64::from(settings.shard_count) > settings.fleet_appends_per_s {
        let line = reader.field_line("log_budget.shard_count");
        reader.add_error(
            line,
            "log_budget.shard_count",
            "must not exceed fleet_appends_per_s: every shard appends to the log",
        );
    }
}
