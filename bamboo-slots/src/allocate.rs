//! Allocates free slots, and preempts batch items for online requests.

use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;

use crate::Action;
use crate::Broker;
use crate::SlotRequest;
use crate::Work;
use crate::engine::EngineState;
use crate::request_state::GrantedSlot;
use crate::request_state::RequestKey;

impl Broker {
    pub(crate) fn allocate(&mut self, now: Duration) {
        self.allocate_online(now);
        self.allocate_batch(now);
    }

    /// Whether any ready and usable engine satisfies `has_room`. Lets the callers skip sorting the queue.
    fn has_usable_engine<F>(&self, now: Duration, has_room: F) -> bool
    where
        F: Fn(&EngineState) -> bool,
    {
        self.engines.values().any(|state| {
            state.engine.is_ready
                && has_room(state)
                && state.is_usable(&self.requests, now)
                && self.limits().allows(&state.engine.server, now)
        })
    }

    /// Grants slots to requests in the given order and returns those that remain queued. Once a request without
    /// excluded servers finds no slot, the later requests of its service, or of the version that it requires, cannot
    /// find one either and are skipped, which bounds the cost of a long queue.
    fn allocate_in_order<P>(
        &mut self,
        order: Vec<RequestKey>,
        now: Duration,
        place: P,
    ) -> Vec<RequestKey>
    where
        P: Fn(&mut Broker, &SlotRequest, Duration) -> Option<BackendServerId>,
    {
        let mut unplaced = Vec::new();
        let mut full_services: HashSet<String> = HashSet::new();
        let mut full_versions: HashSet<(String, SoftwareVersion)> = HashSet::new();
        for key in order {
            let Some(request) = self.requests.get(key).map(|state| &state.request) else {
                continue;
            };
            if full_services.contains(&request.service) {
                unplaced.push(key);
                continue;
            }
            let request = request.clone();
            let service_version = request
                .version
                .clone()
                .map(|version| (request.service.clone(), version));
            if service_version
                .as_ref()
                .is_some_and(|service_version| full_versions.contains(service_version))
            {
                unplaced.push(key);
                continue;
            }
            match place(self, &request, now) {
                Some(server) => self.grant(key, &server, now),
                None => {
                    unplaced.push(key);
                    if request.excluded.is_empty() {
                        match service_version {
                            Some(service_version) => full_versions.insert(service_version),
                            None => full_services.insert(request.service),
                        };
                    }
                }
            }
        }
        unplaced
    }

    fn allocate_online(&mut self, now: Duration) {
        let has_room = |state: &EngineState| state.online.len() < state.engine.slots;
        if self.waiting_online.is_empty() || !self.has_usable_engine(now, has_room) {
            return;
        }
        let queue = self.ordered_queue(None, now).into_iter();
        let order = queue.filter_map(|(_, key)| key).collect();
        self.waiting_online = self.allocate_in_order(order, now, Broker::place_online);
    }

    /// Chooses a server for an online request: a free slot in the same data centre, then a free slot elsewhere, then
    /// the slot of a batch item, which is preempted. Servers without a limit come first, so that the limits of the others
    /// allow more during a burst. A half-open server comes last, because a failed probe may cost the request.
    fn place_online(&mut self, request: &SlotRequest, now: Duration) -> Option<BackendServerId> {
        let candidates = self
            .engines
            .values()
            .filter(|state| state.may_run(request, &self.requests, now))
            .filter(|state| self.limits().allows(&state.engine.server, now));
        let best = candidates
            .filter_map(|state| {
                let is_remote = state.engine.data_centre != request.data_centre;
                let is_probe = state.health.is_half_open();
                let is_limited = self.limits().is_limited(&state.engine.server);
                let is_free = state.running_count() < state.engine.slots;
                let can_preempt =
                    !state.batch.is_empty() && state.online.len() < state.engine.slots;
                let load = match (is_free, can_preempt) {
                    (true, _) => state.running_count(),
                    (false, true) => state.online.len(),
                    (false, false) => return None,
                };
                Some((
                    (
                        is_probe,
                        !is_free,
                        is_limited,
                        is_remote,
                        load,
                        state.tie_break,
                    ),
                    state,
                ))
            })
            .min_by_key(|(rank, _)| *rank);
        let ((_, needs_preemption, ..), state) = best?;
        let server = state.engine.server.clone();
        if needs_preemption {
            self.preempt_batch_item(&server, now);
        }
        Some(server)
    }

    /// Preempts the batch item of lowest priority on a server.
    pub(crate) fn preempt_batch_item(&mut self, server: &str, now: Duration) {
        let Some(state) = self.engines.get_mut(server) else {
            return;
        };
        let requests = &self.requests;
        let Some(victim) = state
            .batch
            .iter()
            .copied()
            .max_by_key(|key| requests.get(*key).map(|state| state.batch_rank(now)))
        else {
            return;
        };
        state.batch.retain(|key| *key != victim);
        if let Some(state) = self.requests.remove(victim) {
            self.by_id
                .remove(&(state.request.host.clone(), state.request.id));
            self.actions.push(Action::Preempt {
                host: state.request.host,
                request: state.request.id,
            });
        }
    }

    /// Preempts batch items of a server that has more runs than slots.
    pub(crate) fn preempt_excess(&mut self, server: &str, now: Duration) {
        while self.engines.get(server).is_some_and(|state| {
            state.running_count() > state.engine.slots && !state.batch.is_empty()
        }) {
            self.preempt_batch_item(server, now);
        }
    }

    pub(crate) fn allocate_batch(&mut self, now: Duration) {
        let has_room = |state: &EngineState| state.batch_slots(now) > 0;
        if self.waiting_batch.is_empty() || !self.has_usable_engine(now, has_room) {
            return;
        }
        let mut order = std::mem::take(&mut self.waiting_batch);
        let requests = &self.requests;
        order.sort_by_cached_key(|key| requests.get(*key).map(|state| state.batch_rank(now)));
        self.waiting_batch = self.allocate_in_order(order, now, Broker::place_batch);
    }

    /// Chooses a server for a batch item. Half-open servers come first: an item resumes elsewhere if the probe fails. Then
    /// come servers with a limit, if it would go unused and no online request is queued: an item is a single request
    /// for a long run, and leaves the slots of the other servers to online requests.
    fn place_batch(&mut self, request: &SlotRequest, now: Duration) -> Option<BackendServerId> {
        self.engines
            .values()
            .filter(|state| {
                state.may_run(request, &self.requests, now) && state.batch_slots(now) > 0
            })
            .filter(|state| {
                let server = &state.engine.server;
                let is_limited = self.limits().is_limited(server);
                !is_limited
                    || (self.limits().is_idle(server, now) && self.waiting_online.is_empty())
            })
            .min_by_key(|state| {
                let is_remote = state.engine.data_centre != request.data_centre;
                let is_probe = state.health.is_half_open();
                let is_limited = self.limits().is_limited(&state.engine.server);
                (
                    !is_probe,
                    !is_limited,
                    is_remote,
                    state.running_count(),
                    state.tie_break,
                )
            })
            .map(|state| state.engine.server.clone())
    }

    fn grant(&mut self, key: RequestKey, server: &str, now: Duration) {
        let (Some(state), Some(engine)) =
            (self.requests.get_mut(key), self.engines.get_mut(server))
        else {
            return;
        };
        state.granted = Some(GrantedSlot {
            server: server.to_owned(),
            granted_at: now,
        });
        self.limits.take(server, now);
        match state.request.work {
            Work::Online { .. } => {
                engine.freed_at.pop();
                engine.online.push(key);
                self.held_slots.hold(&state.request);
            }
            Work::Batch { .. } => engine.batch.push(key),
        }
        self.actions.push(Action::Grant {
            host: state.request.host.clone(),
            request: state.request.id,
            server: server.to_owned(),
        });
    }
}
