//! Refuses online requests that cannot be served in time.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::Action;
use crate::Broker;
use crate::BrokerLoad;
use crate::Rank;
use crate::SlotRequest;
use crate::Work;
use crate::order::FIRST_EVENT_LATENCY;
use crate::order::OnlineOrder;
use crate::request_state::RequestKey;
use crate::versions::rounds;

/// Shortest interval between two checks of the queue apart from those of the tick. Bounds their cost: a check sorts the queue.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Share of the slots that is assumed to be left to late requests however many others arrive. The rate of arrivals is an
/// estimate, and a burst may be about to end: with 0.1, 6% fewer streams begin under bursts of 1.5 s than with 0.3; with 0.5,
/// callers are refused after 1.2 s at 1.1 times the capacity.
const LATE_SHARE_MIN: f64 = 0.25;
/// Share of the slots' rate at which refused callers are asked back at least, so that the spread remains bounded. Callers that
/// return while others take all slots return in vain: with 0.25, 7% of them did under 1.5 times the slots' rate for 4 s.
const RETURN_SHARE_MIN: f64 = 0.1;

/// Why an online request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// It would not complete before it expires.
    Deadline,
    /// On arrival: it would not begin in the time that its caller waits.
    Start,
    /// While queued: others went in front, so that it would not begin in the time that its caller waits.
    Overtaken,
    /// The time for its start, or for its completion, has passed.
    Expired,
}

impl RefusalReason {
    /// Name in logs and metrics.
    ///
    /// ```
    /// assert_eq!(bamboo_slots::RefusalReason::Start.name(), "start");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Deadline => "deadline",
            RefusalReason::Start => "start",
            RefusalReason::Overtaken => "overtaken",
            RefusalReason::Expired => "expired",
        }
    }
}

/// Refused online requests of a service, by reason, since the broker was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// [`RefusalReason::Deadline`].
    pub deadline: u64,
    /// [`RefusalReason::Start`].
    pub start: u64,
    /// [`RefusalReason::Overtaken`].
    pub overtaken: u64,
    /// [`RefusalReason::Expired`].
    pub expired: u64,
}

impl RefusalCounts {
    /// Counts by reason.
    ///
    /// ```
    /// use bamboo_slots::{RefusalCounts, RefusalReason};
    /// let counts = RefusalCounts { start: 2, ..RefusalCounts::default() };
    /// assert!(counts.by_reason().contains(&(RefusalReason::Start, 2)));
    /// ```
    pub fn by_reason(&self) -> [(RefusalReason, u64); 4] {
        [
            (RefusalReason::Deadline, self.deadline),
            (RefusalReason::Start, self.start),
            (RefusalReason::Overtaken, self.overtaken),
            (RefusalReason::Expired, self.expired),
        ]
    }

    /// The sum of both counts.
    ///
    /// ```
    /// use bamboo_slots::RefusalCounts;
    /// let counts = RefusalCounts { start: 2, ..RefusalCounts::default() };
    /// assert_eq!(counts.plus(&counts).start, 4);
    /// ```
    pub fn plus(&self, other: &RefusalCounts) -> RefusalCounts {
        RefusalCounts {
            deadline: self.deadline + other.deadline,
            start: self.start + other.start,
            overtaken: self.overtaken + other.overtaken,
            expired: self.expired + other.expired,
        }
    }

    fn count(&mut self, reason: RefusalReason) {
        match reason {
            RefusalReason::Deadline => self.deadline += 1,
            RefusalReason::Start => self.start += 1,
            RefusalReason::Overtaken => self.overtaken += 1,
            RefusalReason::Expired => self.expired += 1,
        }
    }
}

/// A queued online request that is refused.
struct Refusal {
    key: RequestKey,
    reason: RefusalReason,
}

/// A queued online request that any version may run.
struct QueuedRequest {
    key: RequestKey,
    order: OnlineOrder,
    expires_at: Duration,
    begin_by: Option<Duration>,
}

impl Broker {
    /// Returns the refusal of a new online request that would not begin or complete in time behind the queue.
    pub(crate) fn refusal(&mut self, request: &SlotRequest, now: Duration) -> Option<Action> {
        let Work::Online { expires_at, .. } = request.work else {
            return None;
        };
        let has_free_slot =
            |load: &BrokerLoad| load.online_running + load.online_waiting < load.slots;
        let total = self.online_load(&request.service);
        if request.version.is_none() && has_free_slot(&total) {
            return None;
        }
        let load = match request.version.is_some() || self.is_version_awaited(&request.service) {
            true => self.competing_load(request, total),
            false => total,
        };
        if has_free_slot(&load) || load.slots == 0 {
            return None;
        }
        // Less urgent requests do not delay this one.
        let load = BrokerLoad {
            online_waiting: load
                .online_waiting
                .saturating_sub(self.less_urgent_count(request)),
            ..load
        };
        let wait = self.expected_slot_time().mul_f64(rounds(&load));
        let reason = match self.is_hopeless(wait, expires_at, now) {
            true => RefusalReason::Deadline,
            false => {
                let begin_by = request.terms.begin_by?;
                let is_in_time =
                    begins_in_time(self.start_wait(request, &load, now), begin_by, now);
                (!is_in_time).then_some(RefusalReason::Start)?
            }
        };
        self.count_refusal(&request.service, reason);
        // A stream that has begun goes before others and competes for other slots.
        let retry_after = match request.version.is_some() {
            true => wait,
            false => self.promise_return(&request.service, now),
        };
        Some(Action::Refuse {
            host: request.host.clone(),
            request: request.id,
            retry_after,
        })
    }

    /// Number of queued online requests of the service that are less urgent than a request.
    fn less_urgent_count(&self, request: &SlotRequest) -> usize {
        let is_less_urgent = |key: &&RequestKey| {
            let other = self.requests.get(**key).map(|state| &state.request);
            other.is_some_and(|other| {
                other.service == request.service
                    && other.version.is_none()
                    && other.terms.rank > request.terms.rank
            })
        };
        self.waiting_online.iter().filter(is_less_urgent).count()
    }

    /// Time after which a refused caller of a service is to return. Those that return compete with new callers, so that they are
    /// asked back at the rate at which these leave slots.
    fn promise_return(&mut self, service: &str, now: Duration) -> Duration {
        let load = self.online_load(service);
        let slot_time = self.expected_slot_time();
        let freed_per_s = freed_per_s(load.slots, slot_time);
        let arriving_per_s = self.arrivals.total_per_s(service, now);
        let left_per_s = (freed_per_s - arriving_per_s).max(freed_per_s * RETURN_SHARE_MIN);
        let interval = Duration::from_secs_f64(left_per_s.recip());
        let queue_wait = Duration::from_secs_f64(load.online_waiting as f64 / left_per_s);
        self.returns.promise(service, queue_wait, interval, now)
    }

    /// Expected time until a new request gets a slot: unlike that of the whole queue it counts only those in front of it.
    fn start_wait(&self, request: &SlotRequest, load: &BrokerLoad, now: Duration) -> Duration {
        let queue = self.ordered_queue(Some(request), now);
        let in_front = queue.iter().map_while(|(_, key)| *key).filter(|key| {
            let other = self.requests.get(*key).map(|state| &state.request);
            other.is_some_and(|other| {
                other.service == request.service
                    && (request.version.is_none() || other.version == request.version)
            })
        });
        let in_front = in_front.count().min(load.online_waiting);
        let rounds = in_front as f64 / load.slots.max(1) as f64;
        self.expected_slot_time().mul_f64(rounds)
    }

    /// Whether a request that waits for so long would not complete before it expires.
    fn is_hopeless(&self, wait: Duration, expires_at: Duration, now: Duration) -> bool {
        now + wait + self.expected_slot_time() > expires_at
    }

    /// Checks the queue between two ticks, unless it has been checked just before.
    pub(crate) fn check_queue(&mut self, now: Duration) {
        let since = now.saturating_sub(self.queue_checked_at);
        if self.waiting_online.is_empty() || since < QUEUE_CHECK_INTERVAL {
            return;
        }
        self.refuse_expired(now);
        self.refuse_hopeless(now);
    }

    /// Refuses queued online requests that would not begin or complete in time behind those in front of them. Requests
    /// that have come later and can still be on time are in front, so that others may become hopeless while they wait.
    pub(crate) fn refuse_hopeless(&mut self, now: Duration) {
        self.queue_checked_at = now;
        let mut queues: BTreeMap<&str, Vec<QueuedRequest>> = BTreeMap::new();
        for (order, key) in self.ordered_queue(None, now) {
            let Some(key) = key else { continue };
            let Some(request) = self.requests.get(key).map(|state| &state.request) else {
                continue;
            };
            let Work::Online { expires_at, .. } = request.work else {
                continue;
            };
            // Requests that require a version compete for other slots.
            if request.version.is_none() {
                let queued = QueuedRequest {
                    key,
                    order,
                    expires_at,
                    begin_by: request.terms.begin_by,
                };
                queues.entry(&request.service).or_default().push(queued);
            }
        }
        let mut refusals = Vec::new();
        for (service, queue) in queues {
            let slots = self.online_load(service).slots;
            if slots == 0 {
                continue;
            }
            self.find_hopeless(service, slots, &queue, now, &mut refusals);
        }
        self.refuse_queued(refusals, now);
    }

    /// Finds the hopeless requests of a service, whose queue is in order.
    fn find_hopeless(
        &self,
        service: &str,
        slots: usize,
        queue: &[QueuedRequest],
        now: Duration,
        refusals: &mut Vec<Refusal>,
    ) {
        let slot_time = self.expected_slot_time();
        let freed_per_s = freed_per_s(slots, slot_time);
        let mut rate: Option<((Rank, bool), f64)> = None;
        let mut ahead: usize = 0;
        for queued in queue {
            let wait = slot_time.mul_f64(ahead as f64 / slots as f64);
            let class = (queued.order.rank, queued.order.is_late());
            let left_per_s = match rate {
                Some((known, left_per_s)) if known == class => left_per_s,
                _ => {
                    let in_front = self.arrivals.in_front_per_s(service, class.0, class.1, now);
                    (freed_per_s - in_front).max(freed_per_s * LATE_SHARE_MIN)
                }
            };
            rate = Some((class, left_per_s));
            let start_wait = Duration::from_secs_f64(ahead as f64 / left_per_s);
            let begins = |begin_by| begins_in_time(start_wait, begin_by, now);
            let reason = match self.is_hopeless(wait, queued.expires_at, now) {
                true => RefusalReason::Deadline,
                false if !queued.begin_by.is_none_or(begins) => RefusalReason::Overtaken,
                false => {
                    ahead += 1;
                    continue;
                }
            };
            refusals.push(Refusal {
                key: queued.key,
                reason,
            });
        }
    }

    /// Refuses queued online requests, each with the time after which to retry.
    fn refuse_queued(&mut self, refusals: Vec<Refusal>, now: Duration) {
        if refusals.is_empty() {
            return;
        }
        let keys: HashSet<RequestKey> = refusals.iter().map(|refusal| refusal.key).collect();
        self.waiting_online
            .retain(|waiting| !keys.contains(waiting));
        for refusal in refusals {
            let Some(state) = self.requests.remove(refusal.key) else {
                continue;
            };
            self.count_refusal(&state.request.service, refusal.reason);
            let retry_after = self.promise_return(&state.request.service, now);
            let (host, request) = (state.request.host, state.request.id);
            self.by_id.remove(&(host.clone(), request));
            self.actions.push(Action::Refuse {
                host,
                request,
                retry_after,
            });
        }
    }

    fn count_refusal(&mut self, service: &str, reason: RefusalReason) {
        match self.refused.get_mut(service) {
            Some(counts) => counts.count(reason),
            None => {
                let mut counts = RefusalCounts::default();
                counts.count(reason);
                self.refused.insert(service.to_owned(), counts);
            }
        }
    }

    /// Refuses queued online requests that have expired, or whose callers leave before a first event could arrive.
    pub(crate) fn refuse_expired(&mut self, now: Duration) {
        let has_expired = |key: &RequestKey| {
            let request = self.requests.get(*key).map(|state| &state.request);
            let Some(request) = request else {
                return true;
            };
            let begin_by = request.terms.begin_by;
            match request.work {
                Work::Online { expires_at, .. } => {
                    now >= expires_at
                        || begin_by
                            .is_some_and(|begin_by| !begins_in_time(Duration::ZERO, begin_by, now))
                }
                Work::Batch { .. } => true,
            }
        };
        let expired = self.waiting_online.iter().copied().filter(has_expired);
        let refusals = expired.map(|key| Refusal {
            key,
            reason: RefusalReason::Expired,
        });
        let refusals = refusals.collect();
        self.refuse_queued(refusals, now);
    }
}

/// Slots that become free per second while all are in use.
fn freed_per_s(slots: usize, slot_time: Duration) -> f64 {
    slots.max(1) as f64 / slot_time.as_secs_f64().max(0.001)
}

/// Whether the first event of a request that waits for so long arrives in the time that its caller waits.
fn begins_in_time(wait: Duration, begin_by: Duration, now: Duration) -> bool {
    now + wait + FIRST_EVENT_LATENCY <= begin_by
}
