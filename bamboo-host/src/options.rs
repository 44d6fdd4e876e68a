//! Identity and figures of one host core.

use std::time::Duration;

use bamboo_config::Settings;
use bamboo_log::AppenderOptions;
use bamboo_member::ClaimOptions;
use bamboo_member::MemberViewOptions;
use bamboo_route::ChoiceOptions;
use bamboo_types::HostId;
use bamboo_types::Incarnation;

/// Share of the fleet's append budget that shard owners get; the rest is for what any host appends.
const SHARD_BUDGET_SHARE: f64 = 0.6;
/// Most appends a second of one shard: a group every 50 ms.
const SHARD_APPENDS_MAX: f64 = 20.0;

/// Identity and figures of one host core.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// The host.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Seed of its randomness.
    pub seed: u64,
    /// Number of job shards.
    pub shard_count: u16,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// How long a record may wait for the log before its request is answered.
    pub append_timeout: Duration,
    /// How long a question to a shard owner may take.
    pub query_timeout: Duration,
    /// Time without configuration from anywhere after which the host is not ready.
    pub stale_config_max: Duration,
    /// Time after the start of a planned stop in which requests are still taken.
    pub drain_wait: Duration,
    /// How hosts are judged.
    pub members: MemberViewOptions,
    /// Waits before claims.
    pub claims: ClaimOptions,
    /// Limits of group commit.
    pub appender: AppenderOptions,
    /// Appends a second for each shard that this host owns.
    pub shard_appends_per_s: f64,
    /// Entries of a shard after which its owner writes a snapshot.
    pub snapshot_every_entries: u64,
    /// How long the log keeps entries; whatever is needed longer is copied forward at half of it.
    pub retention: Duration,
    /// Routing.
    pub choice: ChoiceOptions,
}

impl HostOptions {
    /// Options with the usual figures.
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

    /// Options of a daemon with these settings.
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
