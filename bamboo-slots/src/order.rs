//! The order in which waiting work gets slots. Lower ranks go first.

use std::time::Duration;

/// Time from a slot to the first event of an answer, at a full engine.
const FIRST_EVENT: Duration = Duration::from_millis(45);

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
    let is_late = now + FIRST_EVENT > start_by;
    match is_late {
        true => (true, now.saturating_sub(start_by)),
        false => (false, start_by),
    }
}

/// Rank of a batch item: those that still fit before they are due, least slack first, then those that do not, least
/// late first.
///
/// ```
/// use std::time::Duration;
/// let second = Duration::from_secs;
/// let fits = bamboo_slots::batch_rank(second(20), second(4), second(10));
/// let lost = bamboo_slots::batch_rank(second(12), second(4), second(10));
/// assert!(fits < lost);
/// ```
pub fn batch_rank(due: Duration, left: Duration, now: Duration) -> (bool, Duration) {
    let end = now + left;
    match due.checked_sub(end) {
        Some(slack) => (false, slack),
        None => (true, end - due),
    }
}
