//! How many hosts there are, and how many of them are in touch.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::HostId;

/// Time for which a host counts as in touch after a message: a heartbeat interval and a margin. While it lasts, a former
/// coordinator may give out the whole rate beside its successor; the bound leaves half a second of the rate.
const IN_TOUCH: Duration = Duration::from_millis(400);
/// Time after which a silent host no longer counts for a coordinator that hears more than half of the hosts.
const GONE_FOR_MAJORITY: Duration = Duration::from_secs(30);
/// Time after which a silent host no longer counts for others.
const GONE_FOR_MINORITY: Duration = Duration::from_secs(60);
/// Time in which a process that was never told the number of hosts gets in touch with them.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Hosts that this one has heard, and the number of hosts by others.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    heard_at: BTreeMap<HostId, Duration>,
    /// Number of hosts by the last coordinator, and when it said so.
    told: Option<(usize, Duration)>,
    began_at: Duration,
}

impl Hosts {
    pub(crate) fn new(now: Duration) -> Self {
        Hosts {
            began_at: now,
            ..Hosts::default()
        }
    }

    pub(crate) fn record_heard(&mut self, host: &str, now: Duration) {
        match self.heard_at.get_mut(host) {
            Some(at) => *at = now,
            None => {
                self.heard_at.insert(host.to_owned(), now);
            }
        }
    }

    pub(crate) fn record_told(&mut self, hosts: usize, now: Duration) {
        self.told = Some((hosts, now));
    }

    /// Ends all touch, without forgetting that the hosts exist.
    pub(crate) fn lose_touch(&mut self) {
        for at in self.heard_at.values_mut() {
            *at = at.saturating_sub(IN_TOUCH);
        }
    }

    pub(crate) fn in_touch(&self, now: Duration) -> usize {
        let is_in_touch = |at: &&Duration| now < **at + IN_TOUCH;
        self.heard_at.values().filter(is_in_touch).count()
    }

    /// Number of hosts; `None` if it has not been learned.
    pub(crate) fn count(&self, now: Duration) -> Option<usize> {
        if self.told.is_none() && now < self.began_at + DISCOVERY_TIME {
            return None;
        }
        let told = self.told.filter(|(_, at)| now < *at + GONE_FOR_MINORITY);
        let known = self.heard_at.len().max(told.map_or(0, |(hosts, _)| hosts));
        let timeout = match self.in_touch(now) * 2 > known {
            true => GONE_FOR_MAJORITY,
            false => GONE_FOR_MINORITY,
        };
        let is_known = |at: &&Duration| now < **at + timeout;
        let heard = self.heard_at.values().filter(is_known).count();
        let told = told.filter(|(_, at)| now < *at + timeout);
        // What was told before does not expire for a host that never heard others since: it admits by the last number.
        let last = match heard {
            0 => self.told,
            _ => told,
        };
        Some(heard.max(last.map_or(0, |(hosts, _)| hosts)).max(1))
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.heard_at.retain(|_, at| now < *at + GONE_FOR_MINORITY);
    }
}
