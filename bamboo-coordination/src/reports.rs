//! What the coordinator knows of the hosts that report to it.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_slots::AskId;
use bamboo_types::HostId;

use crate::Beat;
use crate::Board;
use crate::HostInfo;

/// Silence after which the coordinator drops a host: six beats.
const HOST_LOST_AFTER: Duration = Duration::from_millis(1500);
/// Share of the waiting tokens that may be given out while some partitions have no known owner.
const UNSURE_SHARE: f64 = 0.5;

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
    reservations: Vec<Reservation>,
    next_reservation: u64,
}

impl Reports {
    /// Takes a sign of life. Returns whether the host is new, or runs anew.
    pub fn take(&mut self, info: &HostInfo, beat: Beat, now: Duration) -> bool {
        let is_new = self
            .reports
            .get(&info.host)
            .is_none_or(|report| report.info.run != info.run);
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
        }
        lost
    }

    /// Hosts and owners as they are now.
    pub fn board(&self) -> Board {
        let mut owners: BTreeMap<u32, (HostId, u64)> = BTreeMap::new();
        for (host, report) in &self.reports {
            for (partition, epoch) in &report.beat.partitions {
                let owner = owners.entry(*partition).or_insert((host.clone(), *epoch));
                if *epoch > owner.1 {
                    *owner = (host.clone(), *epoch);
                }
            }
        }
        Board {
            hosts: self
                .reports
                .values()
                .filter(|report| !report.beat.is_leaving)
                .map(|report| report.info.clone())
                .collect(),
            owners: owners
                .into_iter()
                .map(|(partition, (host, epoch))| (partition, host, epoch))
                .collect(),
        }
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
        let known = self.board().owners.len() as u32;
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
