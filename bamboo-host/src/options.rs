//! Options of a host core.

use std::time::Duration;

use bamboo_config::Settings;
use bamboo_log::AppenderOptions;
use bamboo_member::ClaimOptions;
use bamboo_member::MemberViewOptions;
use bamboo_route::ChoiceOptions;
use bamboo_types::HostId;
use bamboo_types::Incarnation;

/// Share of the fleet's append budget reserved for shard owners; the rest is split evenly between all hosts.
const SHARD_BUDGET_SHARE: f64 = 0.6;
/// Maximum appends per second of one shard: one group commit every 50 ms.
const SHARD_APPENDS_MAX: f64 = 20.0;

/// Identity, timing and limits of a host core.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// Identifier of the host.
    pub host: HostId,
    /// Incarnation of the host, new with each start of the process.
    pub incarnation: Incarnation,
    /// Seed of the core's random number generator.
    pub seed: u64,
    /// Number of job shards.
    pub shard_count: u16,
    /// Interval between heartbeats to the watching hosts.
    pub heartbeat: Duration,
    /// Time after which a request is refused if the log has not confirmed its record.
    pub append_timeout: Duration,
    /// Time after which a query to a shard owner is given up.
    pub query_timeout: Duration,
    /// Time after which the host is no longer ready if neither the log nor a peer has confirmed its configuration.
    pub stale_config_max: Duration,
    /// Time after the start of a drain in which requests are still accepted, until the load balancer has noticed.
    pub drain_wait: Duration,
    /// Failure detection.
    pub members: MemberViewOptions,
    /// Delays before a shard is claimed.
    pub claims: ClaimOptions,
    /// Group commit and append rate.
    pub appender: AppenderOptions,
    /// Append rate per second for each shard that this host owns.
    pub shard_appends_per_s: f64,
    /// Entries in a shard's stream after which its owner writes a snapshot.
    pub snapshot_every_entries: u64,
    /// How long the log keeps entries. Records that are needed longer are copied to the stream's tail at half that age.
    pub retention: Duration,
    /// Selection of a server for an online request.
    pub choice: ChoiceOptions,
}

impl HostOptions {
    /// Creates options with default values.
    ///
    /// ```
    /// let options = bamboo_host::HostOptions::new("h1".into(), 1, 7);
    /// assert_eq!(options.shard_count, 4);
    /// ```
    pub fn new(host: HostId, incarnation: Incarnation, seed: u64) -> Self {
        HostOptions {
            host,
            incarnation,
            seed,
            shard_count: 4,
            heartbeat: Duration::from_millis(500),
            append_timeout: Duration::from_secs(5),
            query_timeout: Duration::from_secs(5),
            stale_config_max: Duration::from_secs(3600),
            drain_wait: Duration::from_secs(2),
            members: MemberViewOptions::default(),
            claims: ClaimOptions::default(),
            appender: AppenderOptions::default(),
            shard_appends_per_s: SHARD_APPENDS_MAX,
            snapshot_every_entries: 2000,
            retention: Duration::from_secs(24 * 3600),
            choice: ChoiceOptions::default(),
        }
    }

    /// Creates the options of a daemon from its settings.
    pub fn from_settings(settings: &Settings, incarnation: Incarnation, seed: u64) -> Self {
        let fleet = settings.fleet_appends_per_s as f64;
        let per_host = fleet * (1.0 - SHARD_BUDGET_SHARE) / settings.expected_hosts as f64;
        let per_shard = fleet * SHARD_BUDGET_SHARE / f64::from(settings.shard_count);
        HostOptions {
            shard_count: settings.shard_count,
            heartbeat: settings.heartbeat,
            stale_config_max: settings.stale_config_max,
            drain_wait: settings.drain_wait,
            retention: settings.retention,
            members: MemberViewOptions {
                suspect_after: settings.suspect_after,
                ..MemberViewOptions::default()
            },
            appender: AppenderOptions {
                appends_per_s: per_host,
                burst: (per_host * 2.0).max(2.0),
                ..AppenderOptions::default()
            },
            shard_appends_per_s: per_shard.min(SHARD_APPENDS_MAX),
            ..HostOptions::new(settings.host.clone(), incarnation, seed)
        }
    }
}
