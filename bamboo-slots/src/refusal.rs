//! Refuses online requests that cannot be served in time.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::Action;
use crate::Broker;
use crate::BrokerLoad;
use crate::SlotRequest;
use crate::Work;
use crate::online_rank;
use crate::request_state::RequestKey;
use crate::versions::rounds;

/// A queued online request that any version may run.
struct QueuedRequest {
    key: RequestKey,
    start_by: Duration,
    expires_at: Duration,
}

impl Broker {
    /// Returns the refusal of a new online request that would not complete in time behind the queue.
    pub(crate) fn refusal(&self, request: &SlotRequest, now: Duration) -> Option<Action> {
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
        let wait = self.expected_slot_time().mul_f64(rounds(&load));
        self.is_hopeless(wait, expires_at, now)
            .then(|| Action::Refuse {
                host: request.host.clone(),
                request: request.id,
                retry_after: wait,
            })
    }

    /// Whether a request that waits for so long would not complete before it expires.
    fn is_hopeless(&self, wait: Duration, expires_at: Duration, now: Duration) -> bool {
        now + wait + self.expected_slot_time() > expires_at
    }

    /// Refuses queued online requests that would not complete in time behind those in front of them. Requests that have
    /// come later and can still be on time are in front, so that others may become hopeless while they wait.
    pub(crate) fn refuse_hopeless(&mut self, now: Duration) {
        let mut queues: BTreeMap<String, Vec<QueuedRequest>> = BTreeMap::new();
        for key in &self.waiting_online {
            let Some(request) = self.requests.get(*key).map(|state| &state.request) else {
                continue;
            };
            let Work::Online {
                start_by,
                expires_at,
            } = request.work
            else {
                continue;
            };
            // Requests that require a version compete for other slots.
            if request.version.is_none() {
                let queue = queues.entry(request.service.clone()).or_default();
                queue.push(QueuedRequest {
                    key: *key,
                    start_by,
                    expires_at,
                });
            }
        }
        let slot_time = self.expected_slot_time();
        let mut hopeless = Vec::new();
        for (service, mut queue) in queues {
            let slots = self.online_load(&service).slots;
            if slots == 0 {
                continue;
            }
            queue.sort_by_key(|queued| online_rank(queued.start_by, now));
            let mut ahead: usize = 0;
            for queued in queue {
                let wait = slot_time.mul_f64(ahead as f64 / slots as f64);
                match self.is_hopeless(wait, queued.expires_at, now) {
                    true => hopeless.push((queued.key, wait)),
                    false => ahead += 1,
                }
            }
        }
        self.refuse_queued(hopeless);
    }

    /// Refuses queued online requests, each with the time after which to retry.
    fn refuse_queued(&mut self, refused: Vec<(RequestKey, Duration)>) {
        let keys: HashSet<RequestKey> = refused.iter().map(|(key, _)| *key).collect();
        self.waiting_online
            .retain(|waiting| !keys.contains(waiting));
        for (key, retry_after) in refused {
            let Some(state) = self.requests.remove(key) else {
                continue;
            };
            let (host, request) = (state.request.host, state.request.id);
            self.by_id.remove(&(host.clone(), request));
            self.actions.push(Action::Refuse {
                host,
                request,
                retry_after,
            });
        }
    }

    /// Refuses queued online requests that have expired.
    pub(crate) fn refuse_expired(&mut self, now: Duration) {
        let has_expired = |key: &RequestKey| {
            let work = self.requests.get(*key).map(|state| state.request.work);
            match work {
                Some(Work::Online { expires_at, .. }) => now >= expires_at,
                _ => true,
            }
        };
        let expired = self.waiting_online.iter().copied().filter(has_expired);
        let retry_after = self.expected_slot_time();
        let expired = expired.map(|key| (key, retry_after)).collect();
        self.refuse_queued(expired);
    }
}
