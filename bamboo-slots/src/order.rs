//! The order in which waiting work gets slots. Lower ranks go first.

use std::collections::BinaryHeap;
use std::time::Duration;

/// Time from a slot to the first event of an answer, at a full engine.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(45);

/// Rank of an online request: those that can still be on time, earliest limit first, then the late ones, shortest
/// wait first, so that a short excess does not make every answer late.
///
/// ```
/// use std::time::Duration;
/// let now = Duration::from_secs(10);
/// let in_time = bamboo_slots::online_rank(Duration::from_millis(10_200), now);
/// let late = bamboo_slots::online_rank(Duration::from_millis(9_900), now);
/// assert!(in_time < late);
/// ```
pub fn online_rank(start_by: Duration, now: Duration) -> (bool, Duration) {
    let is_late = now + FIRST_EVENT_LATENCY > start_by;
    match is_late {
        true => (true, now.saturating_sub(start_by)),
        false => (false, start_by),
    }
}

/// Rank of a batch item: by the time at which it is due, and of those due together the one nearest to its end, so that
/// what was begun is finished first. Items that are set aside follow, again those nearest to their end first.
///
/// ```
/// use std::time::Duration;
/// let second = Duration::from_secs;
/// let begun = bamboo_slots::batch_rank(second(20), second(1), false);
/// assert!(begun < bamboo_slots::batch_rank(second(20), second(4), false));
/// assert!(begun < bamboo_slots::batch_rank(second(12), second(1), true));
/// ```
pub fn batch_rank(
    due: Duration,
    remaining: Duration,
    is_deferred: bool,
) -> (bool, Duration, Duration) {
    match is_deferred {
        true => (true, remaining, due),
        false => (false, due, remaining),
    }
}

/// A batch item for [`infeasible_items`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchItem<K> {
    /// Key of the item.
    pub key: K,
    /// When it is due.
    pub due: Duration,
    /// Time that it still runs.
    pub remaining: Duration,
}

/// The items that cannot all be done in time with `slots` slots: as few as possible, the longest ones before others
/// that are due no later (Moore and Hodgson's rule on the slots taken together).
///
/// ```
/// use std::time::Duration;
/// use bamboo_slots::BatchItem;
/// let second = Duration::from_secs;
/// let items = [(1, 4), (2, 4), (3, 2)].map(|(key, remaining)| BatchItem { key, due: second(6), remaining: second(remaining) });
/// assert_eq!(bamboo_slots::infeasible_items(items.to_vec(), 1.0, Duration::ZERO).len(), 1);
/// assert!(bamboo_slots::infeasible_items(items.to_vec(), 2.0, Duration::ZERO).is_empty());
/// ```
pub fn infeasible_items<K>(mut items: Vec<BatchItem<K>>, slots: f64, now: Duration) -> Vec<K>
where
    K: Copy + Ord,
{
    items.sort_by_key(|item| (item.due, item.remaining, item.key));
    let mut infeasible = Vec::new();
    let mut feasible: BinaryHeap<(Duration, K)> = BinaryHeap::new();
    let mut load = Duration::ZERO;
    for item in items {
        let time = item.due.saturating_sub(now);
        if item.remaining > time {
            infeasible.push(item.key);
            continue;
        }
        feasible.push((item.remaining, item.key));
        load += item.remaining;
        while load > time.mul_f64(slots) {
            let Some((remaining, key)) = feasible.pop() else {
                break;
            };
            load -= remaining;
            infeasible.push(key);
        }
    }
    infeasible
}
