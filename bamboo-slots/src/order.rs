//! Priority of queued requests. Lower ranks get slots first.

use std::collections::BinaryHeap;
use std::time::Duration;

use crate::Rank;
use crate::SlotRequest;
use crate::Work;

/// Time from the grant of a slot to the first event of the response, on a fully loaded engine.
pub(crate) const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(45);

/// Rank of an online request. Requests that can still be on time come first, by earliest latest start. Late requests
/// follow, the least overdue first, so that a short overload does not make every response late.
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

/// Place of an online request in the queue; lower places get slots first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OnlineOrder {
    /// Whether its stream has not begun. Fewer servers can go on with one that has.
    pub(crate) is_new: bool,
    pub(crate) rank: Rank,
    /// Whether its workspace holds its share of the slots already.
    pub(crate) is_over_share: bool,
    /// [`online_rank`].
    pub(crate) by_time: (bool, Duration),
}

impl OnlineOrder {
    /// Whether the request can no longer be on time.
    pub(crate) fn is_late(&self) -> bool {
        self.by_time.0
    }
}

/// Place of a request in the queue, if its workspace holds less than its share.
pub(crate) fn online_order(request: &SlotRequest, now: Duration) -> OnlineOrder {
    OnlineOrder {
        is_new: request.version.is_none(),
        rank: request.terms.rank,
        is_over_share: false,
        by_time: match request.work {
            Work::Online { start_by, .. } => online_rank(start_by, now),
            Work::Batch { .. } => (true, Duration::MAX),
        },
    }
}

/// Rank of a batch item: earliest due time first, then shortest remaining run time, so that started items complete
/// first. Deferred items follow, shortest remaining run time first.
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

/// A batch item as [`infeasible_items`] schedules it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchItem<K> {
    /// Key of the item.
    pub key: K,
    /// When its result is due.
    pub due: Duration,
    /// Expected run time that remains.
    pub remaining: Duration,
}

/// Returns the items to defer so that all others complete by their due times on `slots` slots. Uses the Moore-Hodgson
/// algorithm, with all slots pooled into one machine: if an item would be late, the longest item scheduled so far is
/// removed, which minimizes the number of deferred items.
///
/// ```
/// use std::time::Duration;
/// use bamboo_slots::BatchItem;
/// let second = Duration::from_secs;
/// let items = [(1, 4), (2, 4), (3, 2)].map(|(key, remaining)| BatchItem {
///     key,
///     due: second(6),
///     remaining: second(remaining),
/// });
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
        let available = item.due.saturating_sub(now);
        if item.remaining > available {
            infeasible.push(item.key);
            continue;
        }
        feasible.push((item.remaining, item.key));
        load += item.remaining;
        while load > available.mul_f64(slots) {
            let Some((remaining, key)) = feasible.pop() else {
                break;
            };
            load -= remaining;
            infeasible.push(key);
        }
    }
    infeasible
}
