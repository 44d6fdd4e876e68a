//! Choice of the host that coordinates slots.
//!
//! Each host considers the live host that ranks first the coordinator: hosts that know the backend servers come first,
//! in the order of their size and hash. There is no election and no quorum: a host serves every host that considers it
//! the coordinator. Two coordinators at once only make the allocation less precise, since servers queue the excess
//! requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::rendezvous_weight;

use crate::ClusterMap;
use crate::ClusterMapUpdate;
use crate::HostInfo;
use crate::Probe;

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without contact after which the coordinator is suspected: two heartbeat intervals, plus a margin for a loaded
/// host.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(700);
/// Initial duration of a suspicion, during which the host cannot be the coordinator. Doubles up to [`SUSPICION_MAX`].
const SUSPICION_INITIAL: Duration = Duration::from_secs(1);
/// Upper bound for the duration of a suspicion.
const SUSPICION_MAX: Duration = Duration::from_secs(4);
/// The backoff of a host is reset if it is not suspected again for this time after the end of a suspicion.
const SUSPICION_RESET_AFTER: Duration = Duration::from_secs(20);
/// Time after the last contact during which a host that is not in the cluster map can become the coordinator.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Initial interval between probes of an unreachable host. Doubles up to [`PROBE_INTERVAL_MAX`].
const PROBE_INTERVAL_INITIAL: Duration = Duration::from_millis(250);
/// Upper bound for the interval between probes.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Maximum number of hosts that are probed at once.
const CONCURRENT_PROBES_MAX: usize = 3;
/// Interval between probes of a host while no live host that knows the backend servers has been found.
const JOIN_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of live hosts from which on a joining host probes no others. While no host knows the backend servers, as before the
/// first configuration, all hosts of a large fleet would otherwise connect to each other.
const JOIN_CONTACTS_MAX: usize = 8;
/// Number of probes of a host at that interval. Its further probes follow the usual backoff.
const JOIN_PROBES_MAX: u32 = 40;
/// Consecutive timeouts after which the coordinator is suspected. Only requests sent after the previous timeout count.
const COORDINATOR_TIMEOUTS_MAX: u32 = 2;

#[derive(Debug, Default)]
struct Suspicion {
    until: Duration,
    count: u32,
}

#[derive(Debug, Default)]
struct ProbeSchedule {
    next_at: Duration,
    /// Probes sent while joining. They do not count towards the backoff.
    join_count: u32,
    count: u32,
}

impl ProbeSchedule {
    /// Counts a probe and returns the interval until the next one.
    fn next_interval(&mut self, is_joining: bool) -> Duration {
        if is_joining && self.join_count < JOIN_PROBES_MAX {
            self.join_count += 1;
            return JOIN_PROBE_INTERVAL;
        }
        let interval = backoff(PROBE_INTERVAL_INITIAL, self.count, PROBE_INTERVAL_MAX);
        self.count += 1;
        interval
    }
}

/// What to do about a host that another host considers the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HintAction {
    /// Nothing.
    None,
    /// Choose the coordinator again.
    ChooseCoordinator,
    /// Send that host a message: it does not know of this host, which ranks before it.
    Announce,
}

/// A host's view of which host coordinates.
#[derive(Debug)]
pub struct CoordinatorTracker {
    local: HostInfo,
    hosts: BTreeMap<HostId, HostInfo>,
    suspicions: HashMap<HostId, Suspicion>,
    last_contact: HashMap<HostId, Duration>,
    probes: HashMap<HostId, ProbeSchedule>,
    leaving: HashMap<HostId, u64>,
    coordinator: HostId,
    coordinator_contact_at: Duration,
    timeouts: u32,
    last_timeout_at: Duration,
    cluster_map: ClusterMap,
    cluster_map_digest: u64,
}

impl CoordinatorTracker {
    /// Creates the view of a host that knows no other host yet, and therefore coordinates.
    ///
    /// ```
    /// use bamboo_coordination::{CoordinatorTracker, HostInfo};
    /// let local = HostInfo {
    ///     host: "h1".into(),
    ///     data_centre: "a".into(),
    ///     size: 500,
    ///     incarnation: 1,
    ///     knows_servers: false,
    /// };
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

    /// The current coordinator.
    pub fn coordinator(&self) -> &HostId {
        &self.coordinator
    }

    /// Whether this host is the coordinator.
    pub fn is_local(&self) -> bool {
        self.coordinator == self.local.host
    }

    /// Adds or updates a host.
    pub fn add_host(&mut self, info: &HostInfo) {
        let mut info = info.clone();
        // The information may be older than that already known.
        info.knows_servers |= self
            .hosts
            .get(&info.host)
            .is_some_and(|known| known.incarnation == info.incarnation && known.knows_servers);
        self.hosts.insert(info.host.clone(), info);
    }

    /// Adds a host of which only the address is known. A host that is already known is left unchanged.
    pub fn add_address(&mut self, host: HostId) {
        let info = HostInfo {
            host: host.clone(),
            data_centre: String::new(),
            size: self.local.size,
            incarnation: 0,
            knows_servers: false,
        };
        self.hosts.entry(host).or_insert(info);
    }

    /// Number of hosts that this one knows of, live or not, itself included.
    pub fn known_host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Records that this host knows the backend servers, so that it can coordinate.
    pub fn set_knows_servers(&mut self) {
        self.local.knows_servers = true;
        self.hosts
            .insert(self.local.host.clone(), self.local.clone());
    }

    /// Whether this host knows the backend servers.
    pub fn knows_servers(&self) -> bool {
        self.local.knows_servers
    }

    /// Records that this incarnation of a host knows the backend servers.
    pub fn record_knows_servers(&mut self, info: &HostInfo) {
        if let Some(known) = self.hosts.get_mut(&info.host)
            && known.incarnation == info.incarnation
        {
            known.knows_servers = true;
        }
    }

    /// Whether this host has yet to find a live host that knows the backend servers.
    pub fn is_joining(&self, now: Duration) -> bool {
        let is_known_peer = |info: &HostInfo| info.knows_servers && info.host != self.local.host;
        !self
            .hosts
            .values()
            .any(|info| is_known_peer(info) && self.is_eligible(info, now))
    }

    /// All other hosts that are considered live.
    pub fn live_peers(&self, now: Duration) -> Vec<HostId> {
        let infos = self.live_peer_infos(now).into_iter();
        infos.map(|info| info.host.clone()).collect()
    }

    /// All other hosts that are considered live, with what they said of themselves.
    pub fn live_peer_infos(&self, now: Duration) -> Vec<&HostInfo> {
        let listed: HashSet<&HostId> = self
            .cluster_map
            .hosts
            .iter()
            .map(|info| &info.host)
            .collect();
        let is_live = |info: &HostInfo| {
            let is_listed = || listed.contains(&info.host);
            self.is_eligible_if(info, is_listed, now)
        };
        self.hosts
            .values()
            .filter(|info| info.host != self.local.host && is_live(info))
            .collect()
    }

    /// Whether another host is considered live.
    pub fn is_live(&self, host: &str, now: Duration) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|info| info.host != self.local.host && self.is_eligible(info, now))
    }

    /// Hosts that are not considered live and are due for a probe: all as long as this host is joining and in contact with
    /// few others, later those that would rank before the coordinator if they knew the backend servers.
    pub fn due_probes(&mut self, now: Duration) -> Vec<HostId> {
        let is_joining = self.is_joining(now);
        let probes_all = is_joining && self.live_peers(now).len() < JOIN_CONTACTS_MAX;
        let coordinator = self.hosts.get(&self.coordinator).map(duty_rank);
        let mut unreachable: Vec<&HostInfo> = self
            .hosts
            .values()
            .filter(|info| probes_all || Some(duty_rank(info)) < coordinator)
            .filter(|info| !self.is_eligible(info, now))
            .collect();
        unreachable.sort_by_key(|info| duty_rank(info));
        let unreachable: Vec<HostId> = unreachable
            .into_iter()
            .map(|info| info.host.clone())
            .collect();
        let mut due = Vec::new();
        for host in unreachable {
            let probe = self.probes.entry(host.clone()).or_default();
            if now >= probe.next_at && due.len() < CONCURRENT_PROBES_MAX {
                probe.next_at = now + probe.next_interval(is_joining);
                due.push(host);
            }
        }
        due
    }

    /// Records that this incarnation of a host is about to stop, so that it cannot be the coordinator.
    pub fn mark_leaving(&mut self, info: &HostInfo) {
        self.leaving.insert(info.host.clone(), info.incarnation);
    }

    /// Records that the connection to a host was lost. Returns whether that host is the coordinator.
    pub fn connection_lost(&mut self, host: &str, now: Duration) -> bool {
        self.last_contact.remove(host);
        let is_coordinator = host == self.coordinator;
        if is_coordinator {
            self.suspect_coordinator(now);
        }
        is_coordinator
    }

    /// Records that no connection to a host could be established, tried `since` a time. If a message has arrived from the
    /// host meanwhile, it is up and only its start was missed. Returns whether that host is the coordinator and lost.
    pub fn connect_failed(&mut self, host: &str, since: Duration, now: Duration) -> bool {
        let has_been_seen = self.last_contact.get(host).is_some_and(|at| *at >= since);
        !has_been_seen && self.connection_lost(host, now)
    }

    /// Records that another host considers this one the coordinator, which is therefore live. Without this hint two
    /// hosts would allocate the same slots until both had been probed.
    pub fn record_coordinator_hint(&mut self, info: &HostInfo, now: Duration) -> HintAction {
        if info.host == self.local.host || self.is_suspect(&info.host, now) {
            return HintAction::None;
        }
        self.add_host(info);
        let is_new = self.last_contact.insert(info.host.clone(), now).is_none();
        let is_ahead = self
            .hosts
            .get(&info.host)
            .is_some_and(|info| rank(info) < rank(&self.local));
        match (self.precedes_coordinator(&info.host, now), is_ahead) {
            (true, _) => HintAction::ChooseCoordinator,
            (false, false) if is_new && self.is_local() => HintAction::Announce,
            (false, _) => HintAction::None,
        }
    }

    /// The probe that this host sends to others.
    pub fn probe(&self) -> Probe {
        Probe {
            knows_servers: self.local.knows_servers,
            coordinator: self.coordinator_info(),
        }
    }

    /// The coordinator, as this host announces it to others.
    pub fn coordinator_info(&self) -> HostInfo {
        self.hosts
            .get(&self.coordinator)
            .cloned()
            .unwrap_or_else(|| self.local.clone())
    }

    /// Records that a message arrived from a host. Returns whether the coordinator has to be chosen again, because the
    /// host ranks before it.
    pub fn record_contact(&mut self, host: &str, now: Duration) -> bool {
        self.last_contact.insert(host.to_owned(), now);
        self.probes.remove(host);
        if host == self.coordinator {
            self.coordinator_contact_at = now;
            self.timeouts = 0;
        }
        self.precedes_coordinator(host, now)
    }

    fn precedes_coordinator(&self, host: &str, now: Duration) -> bool {
        match (self.hosts.get(host), self.hosts.get(&self.coordinator)) {
            (Some(info), Some(coordinator)) => {
                rank(info) < rank(coordinator) && self.is_eligible(info, now)
            }
            _ => false,
        }
    }

    /// Records that the coordinator did not answer a request sent at `requested_at` in time. Requests that were already
    /// in flight at the previous timeout are ignored, because one short stall of a loaded coordinator delays all of
    /// them.
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
        // Earlier contact no longer counts as evidence that the host is live.
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
        let is_listed = || {
            let mut listed = self.cluster_map.hosts.iter();
            listed.any(|listed| listed.host == info.host)
        };
        self.is_eligible_if(info, is_listed, now)
    }

    /// Whether a host can be the coordinator, given whether the cluster map lists it.
    fn is_eligible_if<F>(&self, info: &HostInfo, is_listed: F, now: Duration) -> bool
    where
        F: Fn() -> bool,
    {
        if self.leaving.get(&info.host) == Some(&info.incarnation)
            || self.is_suspect(&info.host, now)
        {
            return false;
        }
        let is_recently_seen = self
            .last_contact
            .get(&info.host)
            .is_some_and(|at| now.saturating_sub(*at) < CONTACT_TIMEOUT);
        info.host == self.local.host || is_recently_seen || is_listed()
    }

    /// Chooses the coordinator again. Returns whether it changed.
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

    /// Adopts the cluster map of the coordinator.
    pub fn set_cluster_map(&mut self, cluster_map: ClusterMap) {
        for info in &cluster_map.hosts {
            if info.host != self.local.host {
                self.add_host(info);
            }
        }
        self.cluster_map_digest = cluster_map.digest();
        self.cluster_map = cluster_map;
    }

    /// Adopts a whole cluster map or a change of the current one. If the result is not the map that the coordinator
    /// announced, the digest says that this host has none, so that it gets the whole map next.
    pub fn apply_cluster_map(&mut self, update: ClusterMapUpdate) {
        match update {
            ClusterMapUpdate::Whole(cluster_map) => self.set_cluster_map(cluster_map),
            ClusterMapUpdate::Change(change) => {
                if change.base_digest != self.cluster_map_digest {
                    return;
                }
                self.set_cluster_map(self.cluster_map.with_change(&change));
                if self.cluster_map_digest != change.digest {
                    self.cluster_map_digest = 0;
                }
            }
        }
    }

    /// Digest of the current cluster map.
    pub fn cluster_map_digest(&self) -> u64 {
        self.cluster_map_digest
    }

    /// Owner of a partition of jobs. If several hosts claim it, the one with the highest epoch.
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

/// Sort key of hosts: the live host with the lowest key coordinates.
pub(crate) fn rank(info: &HostInfo) -> (bool, DutyRank<'_>) {
    (!info.knows_servers, duty_rank(info))
}

type DutyRank<'a> = (std::cmp::Reverse<u64>, u64, &'a HostId);

/// Sort key of hosts by how suitable they are for duties, apart from what they currently know.
fn duty_rank(info: &HostInfo) -> DutyRank<'_> {
    (
        std::cmp::Reverse(info.size),
        rendezvous_weight(&info.host, "coordinator"),
        &info.host,
    )
}
