//! Which host coordinates slots, and what that host keeps of the others.
//!
//! The coordinator is the first host, by size and hash, of those that have shown life lately. Nobody is elected: a host
//! that others take for the coordinator serves them, and two at once only cost some precision, since servers queue
//! what is too much.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::weight;

use crate::ClusterMap;
use crate::HostInfo;

/// Interval of signs of life.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a coordinator is passed over: two heartbeats and a loaded host.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(700);
/// First time for which a silent host is passed over; doubles up to the longest.
const SUSPICION_INITIAL: Duration = Duration::from_secs(1);
/// Longest time for which a silent host is passed over.
const SUSPICION_MAX: Duration = Duration::from_secs(4);
/// Time without trouble after which a host's earlier silences are forgotten.
const SUSPICION_RESET_AFTER: Duration = Duration::from_secs(20);
/// Time after a sign of life in which a host can become the coordinator, where the coordinator does not list it.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause between questions to a host that shows no life; doubles up to the longest.
const PROBE_INTERVAL_INITIAL: Duration = Duration::from_millis(250);
/// Longest pause between questions.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Hosts that are asked for a sign of life at once.
const CONCURRENT_PROBES_MAX: usize = 3;
/// Missed answers in a row after which a coordinator is passed over, each to an ask that was sent after the miss before.
const COORDINATOR_TIMEOUTS_MAX: u32 = 2;

#[derive(Debug, Default)]
struct Suspicion {
    until: Duration,
    count: u32,
}

#[derive(Debug, Default)]
struct Probe {
    next_at: Duration,
    count: u32,
}

/// The host's view: who coordinates.
#[derive(Debug)]
pub struct CoordinatorTracker {
    local: HostInfo,
    hosts: BTreeMap<HostId, HostInfo>,
    suspicions: HashMap<HostId, Suspicion>,
    last_contact: HashMap<HostId, Duration>,
    probes: HashMap<HostId, Probe>,
    leaving: HashMap<HostId, u64>,
    coordinator: HostId,
    coordinator_contact_at: Duration,
    timeouts: u32,
    last_timeout_at: Duration,
    cluster_map: ClusterMap,
    cluster_map_digest: u64,
}

impl CoordinatorTracker {
    /// A host that knows no other yet and takes itself for the coordinator.
    ///
    /// ```
    /// use bamboo_coordination::{CoordinatorTracker, HostInfo};
    /// let local = HostInfo { host: "h1".into(), data_centre: "a".into(), size: 500, incarnation: 1 };
    /// assert!(CoordinatorTracker::new(local).is_local());
    /// ```
    pub fn new(local: HostInfo) -> Self {
        let hosts = BTreeMap::from([(local.host.clone(), local.clone())]);
        CoordinatorTracker {
            coordinator: local.host.clone(),
            local,
            hosts,
            suspicions: HashMap::new(),
            last_contact: HashMap::new(),
            probes: HashMap::new(),
            leaving: HashMap::new(),
            coordinator_contact_at: Duration::ZERO,
            timeouts: 0,
            last_timeout_at: Duration::ZERO,
            cluster_map: ClusterMap::default(),
            cluster_map_digest: 0,
        }
    }

    /// The coordinator.
    pub fn coordinator(&self) -> &HostId {
        &self.coordinator
    }

    /// Whether this host coordinates.
    pub fn is_local(&self) -> bool {
        self.coordinator == self.local.host
    }

    /// Takes note of a host.
    pub fn add_host(&mut self, info: &HostInfo) {
        self.hosts.insert(info.host.clone(), info.clone());
    }

    /// Takes note of a host of which only the address is known.
    pub fn add_address(&mut self, host: HostId) {
        let info = HostInfo {
            host: host.clone(),
            data_centre: String::new(),
            size: self.local.size,
            incarnation: 0,
        };
        self.hosts.entry(host).or_insert(info);
    }

    /// All other hosts that have shown life.
    pub fn live_peers(&self, now: Duration) -> Vec<HostId> {
        self.hosts
            .values()
            .filter(|info| info.host != self.local.host && self.is_eligible(info, now))
            .map(|info| info.host.clone())
            .collect()
    }

    /// Hosts before the coordinator in rank that show no life and should be asked now.
    pub fn due_probes(&mut self, now: Duration) -> Vec<HostId> {
        let coordinator = self.hosts.get(&self.coordinator).map(rank);
        let mut unreachable: Vec<&HostInfo> = self
            .hosts
            .values()
            .filter(|info| Some(rank(info)) < coordinator && !self.is_eligible(info, now))
            .collect();
        unreachable.sort_by_key(|info| rank(info));
        let unreachable: Vec<HostId> = unreachable
            .into_iter()
            .map(|info| info.host.clone())
            .collect();
        let mut due = Vec::new();
        for host in unreachable {
            let probe = self.probes.entry(host.clone()).or_default();
            if now >= probe.next_at && due.len() < CONCURRENT_PROBES_MAX {
                probe.next_at =
                    now + backoff(PROBE_INTERVAL_INITIAL, probe.count, PROBE_INTERVAL_MAX);
                probe.count += 1;
                due.push(host);
            }
        }
        due
    }

    /// Takes note that a host is about to stop.
    pub fn mark_leaving(&mut self, info: &HostInfo) {
        self.leaving.insert(info.host.clone(), info.incarnation);
    }

    /// Takes note that the connection to a host broke. Returns whether it was the coordinator's.
    pub fn connection_lost(&mut self, host: &str, now: Duration) -> bool {
        self.last_contact.remove(host);
        let is_coordinator = host == self.coordinator;
        if is_coordinator {
            self.suspect_coordinator(now);
        }
        is_coordinator
    }

    /// Takes note that a host that was the coordinator follows another one, which is alive then. Without it two hosts
    /// would deal the same slots until both were asked.
    pub fn record_coordinator_hint(&mut self, info: &HostInfo, now: Duration) {
        if info.host != self.local.host && !self.is_suspect(&info.host, now) {
            self.add_host(info);
            self.last_contact.insert(info.host.clone(), now);
        }
    }

    /// The coordinator as others are to know it.
    pub fn coordinator_info(&self) -> HostInfo {
        self.hosts
            .get(&self.coordinator)
            .cloned()
            .unwrap_or_else(|| self.local.clone())
    }

    /// Takes a sign of life of a host.
    pub fn record_contact(&mut self, host: &str, now: Duration) {
        self.last_contact.insert(host.to_owned(), now);
        self.probes.remove(host);
        if host == self.coordinator {
            self.coordinator_contact_at = now;
            self.timeouts = 0;
        }
    }

    /// Takes note that the coordinator missed the answer to an ask of `requested_at`. Asks that were under way when a miss
    /// was noticed show nothing new: one short stall of a loaded coordinator holds up all of them.
    pub fn record_timeout(&mut self, requested_at: Duration, now: Duration) {
        if self.timeouts > 0 && requested_at < self.last_timeout_at {
            return;
        }
        self.last_timeout_at = now;
        self.timeouts += 1;
        if self.timeouts >= COORDINATOR_TIMEOUTS_MAX {
            self.suspect_coordinator(now);
        }
    }

    fn suspect_coordinator(&mut self, now: Duration) {
        if self.is_local() {
            return;
        }
        let suspicion = self.suspicions.entry(self.coordinator.clone()).or_default();
        if now > suspicion.until + SUSPICION_RESET_AFTER {
            suspicion.count = 0;
        }
        suspicion.until = now + backoff(SUSPICION_INITIAL, suspicion.count, SUSPICION_MAX);
        suspicion.count += 1;
        // What it said before its silence does not count any more.
        self.last_contact.remove(&self.coordinator);
        self.cluster_map
            .hosts
            .retain(|info| info.host != self.coordinator);
    }

    fn is_suspect(&self, host: &str, now: Duration) -> bool {
        self.suspicions
            .get(host)
            .is_some_and(|suspicion| now < suspicion.until)
    }

    /// Whether a host can be the coordinator.
    fn is_eligible(&self, info: &HostInfo, now: Duration) -> bool {
        if self.leaving.get(&info.host) == Some(&info.incarnation)
            || self.is_suspect(&info.host, now)
        {
            return false;
        }
        let is_listed = self
            .cluster_map
            .hosts
            .iter()
            .any(|listed| listed.host == info.host);
        let is_recently_seen = self
            .last_contact
            .get(&info.host)
            .is_some_and(|at| now.saturating_sub(*at) < CONTACT_TIMEOUT);
        info.host == self.local.host || is_listed || is_recently_seen
    }

    /// Chooses the coordinator anew. Returns whether it is another one.
    pub fn update_coordinator(&mut self, now: Duration) -> bool {
        if !self.is_local() && now.saturating_sub(self.coordinator_contact_at) > COORDINATOR_TIMEOUT
        {
            self.suspect_coordinator(now);
        }
        let first = self
            .hosts
            .values()
            .filter(|info| self.is_eligible(info, now))
            .min_by_key(|info| rank(info))
            .map_or_else(|| self.local.host.clone(), |info| info.host.clone());
        if first == self.coordinator {
            return false;
        }
        self.coordinator = first;
        self.coordinator_contact_at = now;
        self.timeouts = 0;
        true
    }

    /// Takes the coordinator's cluster map.
    pub fn set_cluster_map(&mut self, cluster_map: ClusterMap) {
        for info in &cluster_map.hosts {
            if info.host != self.local.host {
                self.add_host(info);
            }
        }
        self.cluster_map_digest = cluster_map.digest();
        self.cluster_map = cluster_map;
    }

    /// Digest of the cluster map that this host has.
    pub fn cluster_map_digest(&self) -> u64 {
        self.cluster_map_digest
    }

    /// Owner of a partition of jobs.
    pub fn owner_of(&self, partition: u32) -> Option<HostId> {
        let owners = self.cluster_map.owners.iter();
        owners
            .filter(|(owned, _, _)| *owned == partition)
            .max_by_key(|(_, _, epoch)| *epoch)
            .map(|(_, host, _)| host.clone())
    }
}

fn backoff(initial: Duration, count: u32, max: Duration) -> Duration {
    (initial * 2u32.saturating_pow(count.min(8))).min(max)
}

/// Order in which hosts coordinate: the first that lives does.
pub(crate) fn rank(info: &HostInfo) -> (std::cmp::Reverse<u64>, u64, &HostId) {
    (
        std::cmp::Reverse(info.size),
        weight(&info.host, "coordinator"),
        &info.host,
    )
}
