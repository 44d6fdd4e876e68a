//! Estimate of how long a caller has been waiting when its request arrives.

use std::collections::BTreeMap;
use std::time::Duration;

/// Age of the host from which on no more deadlines are recorded.
const AGE_MAX: Duration = Duration::from_secs(30);
/// Number of requests with the same deadline from which on it counts as one that callers begin with.
const RECURRENCES_MIN: u32 = 2;

/// Deadlines of the requests of a route that arrived soon after the start of the host, as the time that remains.
///
/// Callers that retry send what remains of their time. After a failure of all hosts most requests are such retries, and
/// the longest deadline that recurs is the one that callers begin with. Later a shorter deadline is more likely to be
/// that of another kind of caller, so that nothing is inferred from it.
#[derive(Debug, Default)]
pub struct DeadlineHistory {
    counts: BTreeMap<Duration, u32>,
}

impl DeadlineHistory {
    /// Records the deadline of a request that arrived `age` after the start of the host, and returns how long its caller
    /// has been waiting: at most the time that callers wait, and zero once the host is older than that.
    ///
    /// ```
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let mut history = bamboo_slots::DeadlineHistory::default();
    /// (0..2).for_each(|_| assert!(history.record(second * 5, second).is_zero()));
    /// assert_eq!(history.record(second * 3, second), second * 2);
    /// assert!(history.record(second * 3, second * 60).is_zero());
    /// ```
    pub fn record(&mut self, remaining: Duration, age: Duration) -> Duration {
        let initial = self.longest_recurring();
        if age > initial.unwrap_or(AGE_MAX) {
            return Duration::ZERO;
        }
        *self.counts.entry(remaining).or_default() += 1;
        initial.map_or(Duration::ZERO, |initial| initial.saturating_sub(remaining))
    }

    fn longest_recurring(&self) -> Option<Duration> {
        let mut recurring = self
            .counts
            .iter()
            .filter(|(_, count)| **count >= RECURRENCES_MIN);
        recurring.next_back().map(|(deadline, _)| *deadline)
    }
}
