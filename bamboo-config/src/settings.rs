//! Settings of one daemon, checked whole at start.

use std::net::SocketAddr;
use std::time::Duration;

use bamboo_types::DataCentreId;
use bamboo_types::HostId;

use crate::Fault;
use crate::KeyHash;
use crate::checker::Checker;

/// Appends a second that the platform's log takes from the whole fleet.
const FLEET_APPENDS_PER_S_MAX: u64 = 1000;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Hash of the operators' bearer key.
    pub operator_key_sha256: KeyHash,
    /// Hash of the key that daemons show each other.
    pub peer_key: String,
    /// Base URL of the platform's log service.
    pub log_url: String,
    /// Base URL of the platform's host list.
    pub host_list_url: String,
    /// Base URL of the platform's weight store.
    pub weight_store_url: String,
    /// How long the log service keeps entries.
    pub retention: Duration,
    /// Number of job shards; the same on every host.
    pub shard_count: u16,
    /// Appends a second of the whole fleet.
    pub fleet_appends_per_s: u64,
    /// Number of hosts that share the append budget.
    pub expected_hosts: u64,
    /// Interval of heartbeats between hosts.
    pub heartbeat: Duration,
    /// Silence after which a host counts as lost.
    pub suspect_after: Duration,
    /// Lease of a server owner at engines that ignore fencing numbers.
    pub lease: Duration,
    /// Interval of reading the host list.
    pub host_list_interval: Duration,
    /// Time the balancer needs to notice that a host is not ready.
    pub drain_wait: Duration,
    /// Longest time that a planned stop waits for requests in progress.
    pub drain_max: Duration,
    /// Time without configuration from log or peers after which the host is not ready.
    pub stale_config_max: Duration,
    /// Largest request body, bytes.
    pub body_max_bytes: usize,
    /// Largest job upload, bytes.
    pub job_max_bytes: u64,
    /// Traffic threads.
    pub traffic_threads: usize,
    /// Time for one online request that names no deadline.
    pub request_timeout: Duration,
    /// Whether log lines are JSON.
    pub is_log_json: bool,
}

/// Checks a settings file whole.
///
/// # Errors
/// Returns every fault with line and field.
///
/// ```
/// let faults = bamboo_config::check_settings("[host]\nid = 'h1'\nsize = 3\n").unwrap_err();
/// assert!(faults.iter().any(|fault| fault.field == "host.size" && fault.line == 3));
/// ```
pub fn check_settings(text: &str) -> Result<Settings, Vec<Fault>> {
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
    let mut checker = Checker::parse(text, &sections).map_err(|fault| vec![fault])?;
    let settings = read(&mut checker);
    if let Some(settings) = &settings {
        check_combinations(settings, &mut checker);
    }
    let faults = checker.finish();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read(checker: &mut Checker<'_>) -> Option<Settings> {
    let host = checker.required_text("host.id");
    let data_centre = checker.required_text("host.data_centre");
    let caller_address = checker.address("listen.caller");
    let operator_address = checker.address("listen.operator");
    let peer_address = checker.address("listen.peer");
    let operator_key = read_key_hash(checker, "keys.operator_sha256");
    let peer_key = checker.required_text("keys.peer");
    let log_url = read_url(checker, "platform.log_url");
    let host_list_url = read_url(checker, "platform.host_list_url");
    let weight_store_url = read_url(checker, "platform.weight_store_url");
    let retention = checker.duration("platform.retention", Duration::from_secs(24 * 3600));
    // Every field is read before any of them can end the check, so that all faults are reported together.
    let shard_count = checker.number("log_budget.shard_count", 4, 1..=1024) as u16;
    let fleet_appends_per_s = checker.number(
        "log_budget.fleet_appends_per_s",
        300,
        1..=FLEET_APPENDS_PER_S_MAX,
    );
    let expected_hosts = checker.number("log_budget.expected_hosts", 12, 1..=10_000);
    let heartbeat = checker.duration("timing.heartbeat", Duration::from_millis(500));
    let suspect_after = checker.duration("timing.suspect_after", Duration::from_secs(2));
    let lease = checker.duration("timing.lease", Duration::from_secs(10));
    let host_list_interval = checker.duration("timing.host_list_interval", Duration::from_secs(1));
    let drain_wait = checker.duration("timing.drain_wait", Duration::from_secs(2));
    let drain_max = checker.duration("timing.drain_max", Duration::from_secs(120));
    let stale_config_max = checker.duration("timing.stale_config_max", Duration::from_secs(3600));
    let request_timeout = checker.duration("timing.request_timeout", Duration::from_secs(60));
    let body_max_bytes = checker.number("limits.body_max_bytes", 1 << 20, 1..=1 << 26) as usize;
    let job_max_bytes = checker.number("limits.job_max_bytes", 1 << 32, 1..=1 << 40);
    let traffic_threads = checker.number("traffic.threads", 2, 1..=256) as usize;
    let is_log_json = checker.flag("logging.json", false);
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

fn read_key_hash(checker: &mut Checker<'_>, field: &str) -> Option<KeyHash> {
    let line = checker.line(field);
    let text = checker.required_text(field);
    let hash = KeyHash::parse(&text);
    if hash.is_none() && !text.is_empty() {
        checker.fault(line, field, "must be a SHA-256 of 64 hexadecimal digits");
    }
    hash
}

fn read_url(checker: &mut Checker<'_>, field: &str) -> String {
    let line = checker.line(field);
    let text = checker.required_text(field);
    if !text.is_empty() && !text.starts_with("http://") {
        checker.fault(line, field, &format!("'{text}' must start with http://"));
    }
    text.trim_end_matches('/').to_owned()
}

fn check_combinations(settings: &Settings, checker: &mut Checker<'_>) {
    if settings.suspect_after < settings.heartbeat * 3 {
        let line = checker.line("timing.suspect_after");
        checker.fault(
            line,
            "timing.suspect_after",
            "must be at least 3 × timing.heartbeat",
        );
    }
    if settings.lease < settings.suspect_after {
        let line = checker.line("timing.lease");
        checker.fault(
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
        let stands_before = addresses[..index]
            .iter()
            .any(|(_, before)| before == address);
        if stands_before && address.port() != 0 {
            let line = checker.line(field);
            checker.fault(line, field, &format!("{address} is used twice"));
        }
    }
    if u64::from(settings.shard_count) > settings.fleet_appends_per_s {
        let line = checker.line("log_budget.shard_count");
        checker.fault(
            line,
            "log_budget.shard_count",
            "must not be above fleet_appends_per_s: each shard appends",
        );
    }
}
