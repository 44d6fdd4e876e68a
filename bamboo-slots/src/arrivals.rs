//! Rates at which online requests arrive, by service and rank.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Rank;

/// Time constant of the rates. Shorter than the time that callers wait, so that the end of a burst shows while they do;
/// longer than the gaps between arrivals at a single server.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Rate per second under which an entry is dropped.
const RATE_MIN: f64 = 0.01;

/// A count that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    updated_at: Duration,
}

impl DecayingCount {
    fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }
}

/// Rates at which online requests arrive that go in front of late ones.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    services: BTreeMap<String, BTreeMap<Rank, DecayingCount>>,
}

impl ArrivalRates {
    /// Records the arrival of a request.
    pub(crate) fn record(&mut self, service: &str, rank: Rank, now: Duration) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        let Some(ranks) = self.services.get_mut(service) else {
            return;
        };
        let entry = ranks.entry(rank).or_default();
        entry.count = entry.at(now) + 1.0;
        entry.updated_at = now;
    }

    /// Arrivals per second that go in front of a request of a rank: those of more urgent ranks and, if it is late, those of its own.
    pub(crate) fn in_front_per_s(
        &self,
        service: &str,
        rank: Rank,
        is_late: bool,
        now: Duration,
    ) -> f64 {
        let Some(ranks) = self.services.get(service) else {
            return 0.0;
        };
        let in_front = ranks
            .iter()
            .filter(|(other, _)| **other < rank || (is_late && **other == rank));
        let count: f64 = in_front.map(|(_, count)| count.at(now)).sum();
        count / RATE_WINDOW.as_secs_f64()
    }

    /// Arrivals per second of all ranks.
    pub(crate) fn total_per_s(&self, service: &str, now: Duration) -> f64 {
        let ranks = self.services.get(service);
        let counts = ranks.into_iter().flat_map(BTreeMap::values);
        let count: f64 = counts.map(|count| count.at(now)).sum();
        count / RATE_WINDOW.as_secs_f64()
    }

    /// Drops the entries of services and ranks without recent arrivals.
    pub(crate) fn forget_idle(&mut self, now: Duration) {
        for ranks in self.services.values_mut() {
            ranks.retain(|_, count| count.at(now) >= RATE_MIN);
        }
        self.services.retain(|_, ranks| !ranks.is_empty());
    }
}
