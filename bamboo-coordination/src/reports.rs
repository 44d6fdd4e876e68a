//! What the coordinator knows of the hosts that report to it.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_slots::AskId;
use bamboo_types::HostId;
use bamboo_types::rendezvous_weight;

use crate::Beat;
use crate::Board;
use crate::HostInfo;
use crate::coordination::rank;
use crate::message::Partition;

/// Silence after which the coordinator drops a host: six beats.
const HOST_LOST_AFTER: Duration = Duration::from_millis(1500);
/// Share of the waiting tokens that may be given out while some partitions have no known owner.
const UNSURE_SHARE: f64 = 0.5;

/// Hosts on the board that would coordinate next.
const LISTED_NEXT: usize = 48;
/// Further hosts on the board. Both together are more hosts than the users' sites of today and a 4 kB board.
const LISTED_OTHERS: usize = 48;

#[derive(Debug)]
struct Report {
    info: HostInfo,
    beat: Beat,
    at: Duration,
    unknown_asks: HashSet<AskId>,
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
pub enum Room {
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
    /// The board with its digest, until something on it changes.
    board: Option<(Board, u64)>,
    reservations: Vec<Reservation>,
    next_reservation: u64,
}

impl Reports {
    /// Takes a sign of life. Returns whether the host is new, or runs anew.
    pub fn take(&mut self, info: &HostInfo, beat: Beat, now: Duration) -> bool {
        let before = self.reports.get(&info.host);
        let is_new = before.is_none_or(|report| report.info.run != info.run);
        let is_on_board_as_before = before.is_some_and(|report| {
            report.info == *info
                && report.beat.partitions == beat.partitions
                && report.beat.is_leaving == beat.is_leaving
        });
        if !is_on_board_as_before {
            self.board = None;
        }
        self.reservations.retain(|reservation| {
            reservation.host != info.host || reservation.number > beat.reservation
        });
        let report = Report {
            info: info.clone(),
            beat,
            at: now,
            unknown_asks: self
                .reports
                .remove(&info.host)
                .map(|report| report.unknown_asks)
                .unwrap_or_default(),
        };
        self.reports.insert(info.host.clone(), report);
        is_new
    }

    /// Hosts that report.
    pub fn host_count(&self) -> usize {
        self.reports.len()
    }

    /// Takes the asks of a host that the broker does not know. Returns whether one of them was unknown at the sign of
    /// life before, too: then it is not on its way, but lost.
    ///
    /// ```
    /// use std::collections::HashSet;
    /// use std::time::Duration;
    /// use bamboo_coordination::{Beat, HostInfo, Reports};
    /// let mut reports = Reports::default();
    /// let info = HostInfo { host: "h".into(), data_centre: "a".into(), size: 1, run: 1 };
    /// reports.take(&info, Beat::default(), Duration::ZERO);
    /// assert!(!reports.lacks_asks("h", HashSet::from([7])));
    /// reports.take(&info, Beat::default(), Duration::ZERO);
    /// assert!(reports.lacks_asks("h", HashSet::from([7])));
    /// ```
    pub fn lacks_asks(&mut self, host: &str, unknown: HashSet<AskId>) -> bool {
        let Some(report) = self.reports.get_mut(host) else {
            return false;
        };
        let is_lost = unknown.iter().any(|ask| report.unknown_asks.contains(ask));
        report.unknown_asks = unknown;
        is_lost
    }

    /// Drops hosts that have fallen silent and returns them.
    pub fn drop_lost(&mut self, now: Duration) -> Vec<HostId> {
        let lost: Vec<HostId> = self
            .reports
            .iter()
            .filter(|(_, report)| now.saturating_sub(report.at) > HOST_LOST_AFTER)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &lost {
            self.reports.remove(host);
            self.board = None;
        }
        lost
    }

    /// Hosts and owners as they are now, with the digest.
    pub fn board(&mut self) -> &(Board, u64) {
        let reports = &self.reports;
        self.board.get_or_insert_with(|| {
            let board = Board {
                hosts: listed_hosts(reports),
                owners: owners(reports),
            };
            let digest = board.digest();
            (board, digest)
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
    ) -> Room {
        let known = self.board().0.owners.len() as u32;
        let reported: u64 = self
            .reports
            .values()
            .flat_map(|report| &report.beat.waiting_tokens)
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
            if waiting as f64 * scale > max_tokens as f64 * UNSURE_SHARE {
                return Room::NotSure;
            }
        }
        if waiting > max_tokens {
            return Room::Full;
        }
        self.next_reservation += 1;
        self.reservations.push(Reservation {
            host: host.to_owned(),
            number: self.next_reservation,
            route: route.to_owned(),
            tokens,
        });
        Room::Reserved(self.next_reservation)
    }

    /// Hosts with the configuration versions that they have.
    pub fn newest_config(&self) -> Option<(HostId, u64)> {
        self.reports
            .iter()
            .map(|(host, report)| (host.clone(), report.beat.config_version))
            .max_by_key(|(_, version)| *version)
    }
}

/// Owners of partitions, each by its newest epoch.
fn owners(reports: &BTreeMap<HostId, Report>) -> Vec<(Partition, HostId, u64)> {
    let mut owners: BTreeMap<Partition, (&HostId, u64)> = BTreeMap::new();
    for (host, report) in reports {
        for (partition, epoch) in &report.beat.partitions {
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

/// The hosts on the board: all of a small fleet; of a larger one those that would coordinate next, and some of the rest
/// in case that all of these are lost together. What a host is sent does not grow with the fleet then.
fn listed_hosts(reports: &BTreeMap<HostId, Report>) -> Vec<HostInfo> {
    let mut hosts: Vec<&HostInfo> = reports
        .values()
        .filter(|report| !report.beat.is_leaving)
        .map(|report| &report.info)
        .collect();
    if hosts.len() > LISTED_NEXT + LISTED_OTHERS {
        hosts.sort_by_key(|info| rank(info));
        // By hash, so that a host that comes or goes changes little.
        hosts[LISTED_NEXT..].sort_by_key(|info| rendezvous_weight(&info.host, "listed"));
        hosts.truncate(LISTED_NEXT + LISTED_OTHERS);
        hosts.sort_by_key(|info| &info.host);
    }
    hosts.into_iter().cloned().collect()
}
