//! Times at which refused callers are asked to return.

use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time after which a caller is asked to return. Beyond it the estimate of the load says nothing any more.
const RETURN_MAX: Duration = Duration::from_secs(8);

/// When the next caller of each service is to return. A promise needs no entry of its own and expires when its time has
/// passed: only the time of the last one is kept.
#[derive(Debug, Default)]
pub(crate) struct ReturnSchedule {
    next_at: BTreeMap<String, Duration>,
}

impl ReturnSchedule {
    /// Time after which the next refused caller of a service is to return: behind those that are queued, who need
    /// `queue_wait`, and behind the callers who were told a time before, at intervals of `interval`. A time beyond
    /// [`RETURN_MAX`] is not told; the spread then begins anew.
    pub(crate) fn promise(
        &mut self,
        service: &str,
        queue_wait: Duration,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        let earliest = now + queue_wait.min(RETURN_MAX) + interval;
        let next_at = self.next_at.get(service).copied().unwrap_or_default();
        let is_in_bounds = next_at <= now + RETURN_MAX;
        let at = match is_in_bounds {
            true => next_at.max(earliest),
            false => earliest,
        };
        match self.next_at.get_mut(service) {
            Some(next_at) => *next_at = at + interval,
            None => {
                self.next_at.insert(service.to_owned(), at + interval);
            }
        }
        at.saturating_sub(now)
    }

    /// Drops the services whose callers have all been due.
    pub(crate) fn forget_past(&mut self, now: Duration) {
        self.next_at.retain(|_, next_at| *next_at > now);
    }
}
