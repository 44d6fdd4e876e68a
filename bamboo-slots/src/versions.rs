//! Requests that only servers of one software version can run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_types::SoftwareVersion;

use crate::Action;
use crate::Broker;
use crate::BrokerLoad;
use crate::SlotRequest;
use crate::Work;
use crate::broker::whole_slots;
use crate::request_state::RequestKey;
use crate::request_state::RequestState;

/// Time for which a batch item waits for its version while all servers of it are ejected. Longer than the longest
/// ejection.
const EJECTED_VERSION_WAIT: Duration = Duration::from_secs(5);

impl Broker {
    /// Whether no ready server has the version that a request requires, so that waiting is in vain. A request to a
    /// service without any server waits nevertheless, because a new coordinator may not know the servers yet. So does a
    /// batch item while no server is ready: to start anew would not help it either.
    pub(crate) fn lacks_version(&self, request: &SlotRequest) -> bool {
        if request.version.is_none() {
            return false;
        }
        let is_online = matches!(request.work, Work::Online { .. });
        let (mut is_known, mut has_ready) = (false, false);
        for state in self.engines_of(&request.service) {
            is_known = true;
            has_ready |= state.engine.is_ready;
            if state.engine.is_ready && state.engine.is_of_version(request.version.as_ref()) {
                return false;
            }
        }
        match is_online {
            true => is_known,
            false => has_ready,
        }
    }

    /// Whether a queued batch item has waited long for servers that are all ejected, while a server of another version
    /// could start it anew. A server on trial gets one run at a time, so that many items would wait for minutes.
    fn waits_for_ejected(&self, state: &RequestState, now: Duration) -> bool {
        let request = &state.request;
        let is_batch = matches!(request.work, Work::Batch { .. });
        let waited = now.saturating_sub(state.created_at);
        if request.version.is_none() || !is_batch || waited < EJECTED_VERSION_WAIT {
            return false;
        }
        let mut has_other = false;
        for state in self.engines_of(&request.service) {
            if !state.engine.is_ready || state.health.is_suspect(now) {
                continue;
            }
            if state.engine.is_of_version(request.version.as_ref()) {
                return false;
            }
            has_other = true;
        }
        has_other
    }

    /// Rejects queued requests whose version has no ready server any more, or for too long none that answers.
    pub(crate) fn reject_missing_versions(&mut self, now: Duration) {
        let queued = self.waiting_online.iter().chain(&self.waiting_batch);
        let lacking: BTreeSet<RequestKey> = queued
            .copied()
            .filter(|key| {
                let state = self.requests.get(*key);
                state.is_some_and(|state| {
                    self.lacks_version(&state.request) || self.waits_for_ejected(state, now)
                })
            })
            .collect();
        if lacking.is_empty() {
            return;
        }
        self.waiting_online.retain(|key| !lacking.contains(key));
        self.waiting_batch.retain(|key| !lacking.contains(key));
        for key in lacking {
            let Some(state) = self.requests.remove(key) else {
                continue;
            };
            let (host, request) = (state.request.host, state.request.id);
            self.by_id.remove(&(host.clone(), request));
            self.actions.push(Action::NoServer { host, request });
        }
    }

    /// Slots, runs and queue of online requests by version of the servers. The queue counts the requests that require
    /// the version.
    fn online_loads_by_version(&self, service: &str) -> BTreeMap<&SoftwareVersion, BrokerLoad> {
        let mut loads: BTreeMap<&SoftwareVersion, BrokerLoad> = BTreeMap::new();
        let mut slots: BTreeMap<&SoftwareVersion, f64> = BTreeMap::new();
        for state in self.engines_of(service) {
            *slots.entry(&state.engine.version).or_default() += self.usable_slots(state);
            let load = loads.entry(&state.engine.version).or_default();
            load.online_running += state.online.len();
        }
        for (version, slots) in slots {
            loads.entry(version).or_default().slots = whole_slots(slots);
        }
        for key in &self.waiting_online {
            let request = self.requests.get(*key).map(|state| &state.request);
            if let Some(request) = request
                && request.service == service
                && let Some(load) = request
                    .version
                    .as_ref()
                    .and_then(|version| loads.get_mut(version))
            {
                load.online_waiting += 1;
            }
        }
        loads
    }

    /// Whether a queued online request of a service requires a version.
    pub(crate) fn is_version_awaited(&self, service: &str) -> bool {
        self.waiting_online.iter().any(|key| {
            let request = self.requests.get(*key).map(|state| &state.request);
            request.is_some_and(|request| request.version.is_some() && request.service == service)
        })
    }

    /// The load that an online request competes with. Requests that may run at any version avoid the versions whose own
    /// queue is the longest, and fill up the others evenly.
    pub(crate) fn competing_load(&self, request: &SlotRequest, total: BrokerLoad) -> BrokerLoad {
        let loads = self.online_loads_by_version(&request.service);
        let required: usize = loads.values().map(|load| load.online_waiting).sum();
        let mut by_rounds: Vec<&BrokerLoad> =
            loads.values().filter(|load| load.slots > 0).collect();
        by_rounds.sort_by(|one, other| rounds(one).total_cmp(&rounds(other)));
        let mut open = BrokerLoad {
            online_waiting: total.online_waiting.saturating_sub(required),
            ..BrokerLoad::default()
        };
        for load in by_rounds {
            if open.slots > 0 && rounds(load) > rounds(&open) {
                break;
            }
            open.slots += load.slots;
            open.online_running += load.online_running;
            open.online_waiting += load.online_waiting;
        }
        let Some(load) = request
            .version
            .as_ref()
            .and_then(|version| loads.get(version))
        else {
            return open;
        };
        let shared = (rounds(&open) * load.slots as f64).floor() as usize;
        BrokerLoad {
            online_waiting: load.online_waiting.max(shared),
            ..*load
        }
    }
}

/// How often the slots have to be freed until the queue is empty.
pub(crate) fn rounds(load: &BrokerLoad) -> f64 {
    load.online_waiting as f64 / load.slots.max(1) as f64
}
