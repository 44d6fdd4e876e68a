//! What the coordinator knows of the hosts that report to it.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_slots::SlotRequestId;
use bamboo_types::HostId;
use bamboo_types::weight;

use crate::ClusterMap;
use crate::Heartbeat;
use crate::HostInfo;
use crate::coordinator::rank;
use crate::message::Partition;

/// Silence after which the coordinator drops a host: six heartbeats.
const HOST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the waiting tokens that may be given out while some partitions have no known owner.
const PARTIAL_VIEW_SHARE: f64 = 0.5;

/// Hosts on the cluster map that would coordinate next.
const LISTED_SUCCESSORS: usize = 48;
/// Further hosts on the cluster map. Both together are more hosts than the users' sites of today and a 4 kB cluster map.
const LISTED_OTHERS: usize = 48;

#[derive(Debug)]
struct Report {
    info: HostInfo,
    heartbeat: Heartbeat,
    received_at: Duration,
    unknown_requests: HashSet<SlotRequestId>,
}

#[derive(Debug)]
struct Reservation {
    host: HostId,
    number: u64,
    route: String,
    tokens: u64,
}

/// Whether tokens may wait on a route.
#[derive(Debug, PartialEq, Eq)]
pub enum ReservationOutcome {
    /// Yes, under this number.
    Reserved(u64),
    /// No.
    Full,
    /// Too little is known.
    NotSure,
}

/// The coordinator's view: what the hosts report.
#[derive(Debug, Default)]
pub struct Reports {
    reports: BTreeMap<HostId, Report>,
    /// The cluster map with its digest, until something on it changes.
    cluster_map: Option<(ClusterMap, u64)>,
    reservations: Vec<Reservation>,
    next_reservation: u64,
}

impl Reports {
    /// Takes a sign of life. Returns whether the host is new, or runs anew.
    pub fn record_heartbeat(
        &mut self,
        info: &HostInfo,
        heartbeat: Heartbeat,
        now: Duration,
    ) -> bool {
        let before = self.reports.get(&info.host);
        let is_new = before.is_none_or(|report| report.info.incarnation != info.incarnation);
        let is_map_unchanged = before.is_some_and(|report| {
            report.info == *info
                && report.heartbeat.partitions == heartbeat.partitions
                && report.heartbeat.is_leaving == heartbeat.is_leaving
        });
        if !is_map_unchanged {
            self.cluster_map = None;
        }
        self.reservations.retain(|reservation| {
            reservation.host != info.host || reservation.number > heartbeat.reservation
        });
        let report = Report {
            info: info.clone(),
            heartbeat,
            received_at: now,
            unknown_requests: self
                .reports
                .remove(&info.host)
                .map(|report| report.unknown_requests)
                .unwrap_or_default(),
        };
        self.reports.insert(info.host.clone(), report);
        is_new
    }

    /// Hosts that report.
    pub fn host_count(&self) -> usize {
        self.reports.len()
    }

    /// Takes the requests of a host that the broker does not know. Returns whether one of them was unknown at the sign of
    /// life before, too: then it is not on its way, but lost.
    ///
    /// ```
    /// use std::collections::HashSet;
    /// use std::time::Duration;
    /// use bamboo_coordination::{Heartbeat, HostInfo, Reports};
    /// let mut reports = Reports::default();
    /// let info = HostInfo { host: "h".into(), data_centre: "a".into(), size: 1, incarnation: 1 };
    /// reports.record_heartbeat(&info, Heartbeat::default(), Duration::ZERO);
    /// assert!(!reports.record_unknown_requests("h", HashSet::from([7])));
    /// reports.record_heartbeat(&info, Heartbeat::default(), Duration::ZERO);
    /// assert!(reports.record_unknown_requests("h", HashSet::from([7])));
    /// ```
    pub fn record_unknown_requests(&mut self, host: &str, unknown: HashSet<SlotRequestId>) -> bool {
        let Some(report) = self.reports.get_mut(host) else {
            return false;
        };
        let is_lost = unknown
            .iter()
            .any(|request| report.unknown_requests.contains(request));
        report.unknown_requests = unknown;
        is_lost
    }

    /// Drops hosts that have fallen silent and returns them.
    pub fn remove_silent(&mut self, now: Duration) -> Vec<HostId> {
        let lost: Vec<HostId> = self
            .reports
            .iter()
            .filter(|(_, report)| now.saturating_sub(report.received_at) > HOST_TIMEOUT)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &lost {
            self.reports.remove(host);
            self.cluster_map = None;
        }
        lost
    }

    /// Hosts and owners as they are now, with the digest.
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

    /// Reserves room for tokens that will wait on a route.
    pub fn reserve(
        &mut self,
        host: &str,
        route: &str,
        tokens: u64,
        max_tokens: u64,
        partition_count: u32,
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
                return ReservationOutcome::NotSure;
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
        });
        ReservationOutcome::Reserved(self.next_reservation)
    }

    /// Hosts with the configuration versions that they have.
    pub fn newest_config(&self) -> Option<(HostId, u64)> {
        self.reports
            .iter()
            .map(|(host, report)| (host.clone(), report.heartbeat.config_version))
            .max_by_key(|(_, version)| *version)
    }
}

/// Owners of partitions, each by its newest epoch.
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

/// The hosts on the cluster map: all of a small fleet; of a larger one those that would coordinate next, and some of the rest
/// in case that all of these are lost together. What a host is sent does not grow with the fleet then.
fn listed_hosts(reports: &BTreeMap<HostId, Report>) -> Vec<HostInfo> {
    let mut hosts: Vec<&HostInfo> = reports
        .values()
        .filter(|report| !report.heartbeat.is_leaving)
        .map(|report| &report.info)
        .collect();
    if hosts.len() > LISTED_SUCCESSORS + LISTED_OTHERS {
        hosts.sort_by_key(|info| rank(info));
        // By hash, so that a host that comes or goes changes little.
        hosts[LISTED_SUCCESSORS..].sort_by_key(|info| weight(&info.host, "listed"));
        hosts.truncate(LISTED_SUCCESSORS + LISTED_OTHERS);
        hosts.sort_by_key(|info| &info.host);
    }
    hosts.into_iter().cloned().collect()
}
