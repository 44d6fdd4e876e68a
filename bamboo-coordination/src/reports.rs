//! The coordinator's view of the hosts that report to it.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_slots::Broker;
use bamboo_slots::RequestReport;
use bamboo_slots::SlotRequestId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::rendezvous_weight;

use crate::ClusterMap;
use crate::ClusterMapChange;
use crate::ClusterMapUpdate;
use crate::Heartbeat;
use crate::HostInfo;
use crate::coordinator::rank;
use crate::message::Partition;

/// Time without a heartbeat after which the coordinator removes a host: six heartbeat intervals.
const HOST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a host has either reported a reservation or does not know of it: it waits for the reply for 300 ms, and
/// its heartbeat follows 250 ms later at most.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the limit on waiting tokens that may be reserved while some partitions have no known owner.
const PARTIAL_VIEW_SHARE: f64 = 0.5;

/// Number of hosts in the cluster map that rank first, and thus would coordinate next.
const LISTED_SUCCESSORS: usize = 48;
/// Number of further hosts in the cluster map. Together with [`LISTED_SUCCESSORS`] this exceeds the number of hosts at
/// the users' current sites and makes a cluster map of 4 kB.
const LISTED_OTHERS: usize = 48;

/// Number of former cluster maps that are kept to tell hosts what changed. During a roll the map changes several times
/// between two heartbeats of a host.
const FORMER_MAPS_MAX: usize = 24;

#[derive(Debug)]
struct Report {
    info: HostInfo,
    heartbeat: Heartbeat,
    received_at: Duration,
    differing_requests: HashSet<SlotRequestId>,
}

#[derive(Debug)]
struct Reservation {
    host: HostId,
    number: u64,
    route: String,
    tokens: u64,
    made_at: Duration,
}

/// Result of a request to reserve queue capacity for tokens of a route.
#[derive(Debug, PartialEq, Eq)]
pub enum ReservationOutcome {
    /// The tokens are reserved under this number.
    Reserved(u64),
    /// The limit of waiting tokens would be exceeded.
    Full,
    /// Some partition owners are unknown, and the tokens estimated for all partitions are too close to the limit.
    Undecided,
}

/// The latest reports of all hosts, and what the coordinator derives from them.
#[derive(Debug, Default)]
pub struct Reports {
    reports: BTreeMap<HostId, Report>,
    /// Cached cluster map with its digest; cleared when its content changes.
    cluster_map: Option<(ClusterMap, u64)>,
    /// Former cluster maps with their digests, newest last.
    former_maps: VecDeque<(ClusterMap, u64)>,
    /// Changes from former maps, by digest, to the cached one.
    changes: BTreeMap<u64, ClusterMapChange>,
    reservations: Vec<Reservation>,
    next_reservation: u64,
    /// Hosts that sent slot requests but no heartbeat yet, with the time of the first request.
    unreported: BTreeMap<HostId, Duration>,
    /// Process of each host whose slot requests the broker has.
    processes: BTreeMap<HostId, Incarnation>,
}

impl Reports {
    /// Records that a process of a host sends slot requests, before they are given to the broker. A host that is lost before its
    /// first heartbeat is thereby noticed, too. The requests of a former process of the host have ended with it, and none of this
    /// process may be taken for one of them.
    pub fn record_requests(&mut self, info: &HostInfo, broker: &mut Broker, now: Duration) {
        if !self.reports.contains_key(&info.host) {
            self.unreported.entry(info.host.clone()).or_insert(now);
        }
        self.drop_former_process(info, broker, now);
    }

    fn drop_former_process(&mut self, info: &HostInfo, broker: &mut Broker, now: Duration) {
        let former = self.processes.insert(info.host.clone(), info.incarnation);
        if former.is_some_and(|former| former != info.incarnation) {
            log::info!(
                event = "host_restarted", host = info.host.as_str();
                "a host has restarted; the slot requests of its former process are dropped"
            );
            broker.drop_host(&info.host, now);
        }
    }

    /// Compares the requests of a host, of which a heartbeat has been recorded, with those of the broker. `report` is what the host
    /// believes of them; one of a former build only lists them, in its heartbeat. Returns whether the host has to report them
    /// all anew: they have differed at two heartbeats in a row, which no message under way explains.
    pub fn reconcile_requests(
        &mut self,
        broker: &mut Broker,
        host: &str,
        report: Option<RequestReport>,
        now: Duration,
    ) -> bool {
        let Some(info) = self.reports.get(host).map(|report| report.info.clone()) else {
            return false;
        };
        self.drop_former_process(&info, broker, now);
        let differing = match report {
            Some(report) => {
                let reported = report.ids().collect();
                let runs = report.running.into_iter().collect();
                broker.reconcile(host, &reported, Some(&runs), now)
            }
            None => {
                let listed = self.reports.get(host).into_iter();
                let listed = listed.flat_map(|report| &report.heartbeat.requests);
                broker.reconcile(host, &listed.copied().collect(), None, now)
            }
        };
        self.record_differing_requests(host, differing)
    }

    /// Records a heartbeat. Returns whether the host is new or has restarted.
    pub fn record_heartbeat(
        &mut self,
        info: &HostInfo,
        heartbeat: Heartbeat,
        now: Duration,
    ) -> bool {
        let info = &HostInfo {
            knows_servers: heartbeat.knows_servers,
            ..info.clone()
        };
        let before = self.reports.get(&info.host);
        let is_new = before.is_none_or(|report| report.info.incarnation != info.incarnation);
        let is_map_unchanged = before.is_some_and(|report| {
            report.info == *info
                && report.heartbeat.partitions == heartbeat.partitions
                && report.heartbeat.is_leaving == heartbeat.is_leaving
        });
        if !is_map_unchanged {
            self.supersede_cluster_map();
        }
        self.reservations.retain(|reservation| {
            reservation.host != info.host
                || reservation.number > heartbeat.reservation
                    && now.saturating_sub(reservation.made_at) < RESERVATION_TIMEOUT
        });
        let report = Report {
            info: info.clone(),
            heartbeat,
            received_at: now,
            differing_requests: self
                .reports
                .remove(&info.host)
                .map(|report| report.differing_requests)
                .unwrap_or_default(),
        };
        self.reports.insert(info.host.clone(), report);
        self.unreported.remove(&info.host);
        is_new
    }

    /// Hosts that report.
    pub fn hosts(&self) -> impl Iterator<Item = &HostInfo> {
        self.reports.values().map(|report| &report.info)
    }

    /// Number of hosts that report.
    pub fn host_count(&self) -> usize {
        self.reports.len()
    }

    /// Records the requests on which a host and the broker differ. Returns whether they did about one of them at the previous
    /// heartbeat already.
    fn record_differing_requests(&mut self, host: &str, differing: HashSet<SlotRequestId>) -> bool {
        let Some(report) = self.reports.get_mut(host) else {
            return false;
        };
        let is_lasting = differing
            .iter()
            .any(|request| report.differing_requests.contains(request));
        report.differing_requests = differing;
        is_lasting
    }

    /// Removes hosts whose heartbeats have stopped and returns them.
    pub fn remove_silent(&mut self, now: Duration) -> Vec<HostId> {
        let is_silent = |since: Duration| now.saturating_sub(since) > HOST_TIMEOUT;
        let reported = self
            .reports
            .iter()
            .map(|(host, report)| (host, report.received_at));
        let unreported = self.unreported.iter().map(|(host, since)| (host, *since));
        let lost: Vec<HostId> = reported
            .chain(unreported)
            .filter(|(_, since)| is_silent(*since))
            .map(|(host, _)| host.clone())
            .collect();
        for host in &lost {
            self.unreported.remove(host);
            self.processes.remove(host);
            if self.reports.remove(host).is_some() {
                self.supersede_cluster_map();
            }
        }
        self.reservations
            .retain(|reservation| !lost.contains(&reservation.host));
        lost
    }

    /// Current cluster map, with its digest.
    pub fn cluster_map(&mut self) -> &(ClusterMap, u64) {
        let reports = &self.reports;
        self.cluster_map.get_or_insert_with(|| {
            let cluster_map = ClusterMap {
                hosts: listed_hosts(reports),
                owners: owners(reports),
            };
            let digest = cluster_map.digest();
            (cluster_map, digest)
        })
    }

    /// What a host has to learn about the cluster map, given the digest of the one that it has; `None` if it is current.
    pub fn cluster_map_update(&mut self, known_digest: u64) -> Option<ClusterMapUpdate> {
        if self.cluster_map().1 == known_digest {
            return None;
        }
        if let Some(change) = self.changes.get(&known_digest) {
            return Some(ClusterMapUpdate::Change(change.clone()));
        }
        let cluster_map = self.cluster_map().0.clone();
        let mut former_maps = self.former_maps.iter().rev();
        let Some((base, _)) = former_maps.find(|(_, former)| *former == known_digest) else {
            return Some(ClusterMapUpdate::Whole(cluster_map));
        };
        let change = cluster_map.change_since(base);
        self.changes.insert(known_digest, change.clone());
        Some(ClusterMapUpdate::Change(change))
    }

    /// Keeps the cluster map among the former ones, and has it derived anew.
    fn supersede_cluster_map(&mut self) {
        let Some(superseded) = self.cluster_map.take() else {
            return;
        };
        self.changes.clear();
        self.former_maps.push_back(superseded);
        if self.former_maps.len() > FORMER_MAPS_MAX {
            self.former_maps.pop_front();
        }
    }

    /// Reserves queue capacity on a route for tokens of a host, unless more than `max_tokens` would then wait. A reservation
    /// ends with a heartbeat that includes it, or that is sent so much later that the host cannot know of it.
    pub fn reserve(
        &mut self,
        host: &str,
        route: &str,
        tokens: u64,
        max_tokens: u64,
        partition_count: u32,
        now: Duration,
    ) -> ReservationOutcome {
        let known = self.cluster_map().0.owners.len() as u32;
        let reported: u64 = self
            .reports
            .values()
            .flat_map(|report| &report.heartbeat.waiting_tokens)
            .filter(|(name, _)| name == route)
            .map(|(_, tokens)| tokens)
            .sum();
        let reserved: u64 = self
            .reservations
            .iter()
            .filter(|reservation| reservation.route == route)
            .map(|reservation| reservation.tokens)
            .sum();
        let waiting = reported + reserved + tokens;
        if known < partition_count {
            let scale = f64::from(partition_count) / f64::from(known.max(1));
            if waiting as f64 * scale > max_tokens as f64 * PARTIAL_VIEW_SHARE {
                return ReservationOutcome::Undecided;
            }
        }
        if waiting > max_tokens {
            return ReservationOutcome::Full;
        }
        self.next_reservation += 1;
        self.reservations.push(Reservation {
            host: host.to_owned(),
            number: self.next_reservation,
            route: route.to_owned(),
            tokens,
            made_at: now,
        });
        ReservationOutcome::Reserved(self.next_reservation)
    }

    /// The host with the newest configuration, and that version.
    pub fn newest_config(&self) -> Option<(HostId, u64)> {
        self.reports
            .iter()
            .map(|(host, report)| (host.clone(), report.heartbeat.config_version))
            .max_by_key(|(_, version)| *version)
    }
}

/// Owners of partitions. If several hosts claim a partition, the one with the highest epoch owns it.
fn owners(reports: &BTreeMap<HostId, Report>) -> Vec<(Partition, HostId, u64)> {
    let mut owners: BTreeMap<Partition, (&HostId, u64)> = BTreeMap::new();
    for (host, report) in reports {
        for (partition, epoch) in &report.heartbeat.partitions {
            let owner = owners.entry(*partition).or_insert((host, *epoch));
            if *epoch > owner.1 {
                *owner = (host, *epoch);
            }
        }
    }
    owners
        .into_iter()
        .map(|(partition, (host, epoch))| (partition, host.clone(), epoch))
        .collect()
}

/// Hosts in the cluster map: all hosts of a small fleet. Of a larger fleet, the hosts that would coordinate next,
/// and some others in case all of those fail together, so that the size of the map does not grow with the fleet.
fn listed_hosts(reports: &BTreeMap<HostId, Report>) -> Vec<HostInfo> {
    let mut hosts: Vec<&HostInfo> = reports
        .values()
        .filter(|report| !report.heartbeat.is_leaving)
        .map(|report| &report.info)
        .collect();
    if hosts.len() > LISTED_SUCCESSORS + LISTED_OTHERS {
        hosts.sort_by_key(|info| rank(info));
        // Ordered by hash, so that a host that joins or leaves changes few entries.
        hosts[LISTED_SUCCESSORS..].sort_by_key(|info| rendezvous_weight(&info.host, "listed"));
        hosts.truncate(LISTED_SUCCESSORS + LISTED_OTHERS);
        hosts.sort_by_key(|info| &info.host);
    }
    hosts.into_iter().cloned().collect()
}
