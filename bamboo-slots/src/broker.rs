//! The broker: tracks which requests hold a slot and which are queued.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::rendezvous_weight;

use crate::Action;
use crate::BatchItem;
use crate::Engine;
use crate::Health;
use crate::RefusalCounts;
use crate::RequestLimits;
use crate::RunOutcome;
use crate::SlotRequest;
use crate::SlotRequestId;
use crate::Work;
use crate::arrivals::ArrivalRates;
use crate::engine::EngineState;
use crate::infeasible_items;
use crate::order::online_order;
use crate::request_state::GrantedSlot;
use crate::request_state::RequestKey;
use crate::request_state::RequestState;
use crate::request_state::RequestTable;
use crate::returns::ReturnSchedule;
use crate::shares::HeldSlots;

/// Assumed time that an online request occupies a slot, until the first one has completed.
const SLOT_TIME_INITIAL: Duration = Duration::from_millis(700);
/// Weight of a new sample in the exponential moving average of the slot time.
const SLOT_TIME_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the exponential moving average of the slots that batch items occupy. At four samples a
/// second the average spans several bursts of online requests.
const BATCH_SLOTS_WEIGHT: f64 = 0.03;

/// Slot and queue counts of a service, for metrics and admission control.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrokerLoad {
    /// Slots of all ready servers.
    pub slots: usize,
    /// Online requests that hold a slot.
    pub online_running: usize,
    /// Batch items that hold a slot.
    pub batch_running: usize,
    /// Queued online requests.
    pub online_waiting: usize,
    /// Queued batch items.
    pub batch_waiting: usize,
    /// Online requests refused so far.
    pub refused: RefusalCounts,
}

/// Allocates the slots of model engines to online requests and batch items.
#[derive(Debug, Default)]
pub struct Broker {
    pub(crate) requests: RequestTable,
    /// Ordered by host, so that the requests of one host are a contiguous range.
    pub(crate) by_id: BTreeMap<(HostId, SlotRequestId), RequestKey>,
    pub(crate) engines: BTreeMap<BackendServerId, EngineState>,
    pub(crate) waiting_online: Vec<RequestKey>,
    pub(crate) waiting_batch: Vec<RequestKey>,
    slot_time_mean: Option<Duration>,
    batch_slots_mean: Option<f64>,
    pub(crate) actions: Vec<Action>,
    pub(crate) limits: RequestLimits,
    pub(crate) arrivals: ArrivalRates,
    pub(crate) returns: ReturnSchedule,
    pub(crate) held_slots: HeldSlots,
    /// When the queue was last checked for online requests to refuse.
    pub(crate) queue_checked_at: Duration,
    pub(crate) refused: BTreeMap<String, RefusalCounts>,
    /// Host whose order among equally suitable engines applies; without one they are ordered by identifier.
    host: Option<HostId>,
}

impl Broker {
    /// Creates the broker of a host. Each host has an order of its own among equally suitable engines: as long as several
    /// hosts allocate the same slots, as after a common start, they would otherwise all choose the same engine.
    pub fn new(host: HostId) -> Self {
        Broker {
            host: Some(host),
            ..Broker::default()
        }
    }

    /// Limits that servers name for their requests.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Limits that servers name for their requests, to record what they say.
    pub fn limits_mut(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// Adds or updates an engine. If `is_restarted`, the health recorded for its previous process is discarded.
    pub fn put_engine(&mut self, engine: Engine, is_restarted: bool, now: Duration) {
        match self.engines.get_mut(&engine.server) {
            Some(state) => {
                state.engine = engine;
                if is_restarted {
                    state.health = Health::default();
                }
            }
            None => {
                let (online, batch) = self.runs_on(&engine.server);
                let server = engine.server.clone();
                let state = EngineState {
                    engine,
                    online,
                    batch,
                    freed_at: Vec::new(),
                    health: Health::default(),
                    tie_break: self
                        .host
                        .as_ref()
                        .map_or(0, |host| rendezvous_weight(&server, host)),
                };
                self.engines.insert(server.clone(), state);
                self.preempt_excess(&server, now);
            }
        }
        self.allocate(now);
    }

    /// Online requests and batch items that run on a server, as their hosts reported.
    fn runs_on(&self, server: &str) -> (Vec<RequestKey>, Vec<RequestKey>) {
        let runs = self.requests.iter().filter(|(_, state)| {
            let granted = state.granted.as_ref();
            granted.is_some_and(|granted| granted.server == server)
        });
        let keys: Vec<RequestKey> = runs.map(|(key, _)| key).collect();
        keys.into_iter().partition(|key| {
            let work = self.requests.get(*key).map(|state| state.request.work);
            matches!(work, Some(Work::Online { .. }))
        })
    }

    /// Removes an engine and the requests that hold its slots. The runs are not preempted; they end on their own.
    pub fn remove_engine(&mut self, server: &str) {
        let Some(state) = self.engines.remove(server) else {
            return;
        };
        for key in state.online.into_iter().chain(state.batch) {
            if let Some(state) = self.requests.remove(key) {
                if matches!(state.request.work, Work::Online { .. }) {
                    self.held_slots.release(&state.request);
                }
                self.by_id.remove(&(state.request.host, state.request.id));
            }
        }
    }

    /// Grants, queues or refuses a request for a slot. Idempotent: a request that is already known is ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_slots::{Action, Broker, Engine, RequestTerms, SlotRequest, Work};
    /// let mut broker = Broker::default();
    /// let engine = Engine {
    ///     server: "s".into(),
    ///     service: "llm".into(),
    ///     data_centre: "a".into(),
    ///     slots: 1,
    ///     is_ready: true,
    ///     version: "v1".into(),
    /// };
    /// broker.put_engine(engine, false, Duration::ZERO);
    /// let work = Work::Batch { due: Duration::from_secs(9), remaining: Duration::from_secs(2) };
    /// let request = SlotRequest {
    ///     host: "h".into(),
    ///     id: 1,
    ///     service: "llm".into(),
    ///     data_centre: "a".into(),
    ///     work,
    ///     excluded: vec![],
    ///     version: None,
    ///     terms: RequestTerms::default(),
    /// };
    /// broker.request_slot(request, Duration::ZERO);
    /// assert!(matches!(broker.take_actions()[0], Action::Grant { .. }));
    /// ```
    pub fn request_slot(&mut self, request: SlotRequest, now: Duration) {
        let id = (request.host.clone(), request.id);
        if self.by_id.contains_key(&id) {
            return;
        }
        let is_online = matches!(request.work, Work::Online { .. });
        if self.lacks_version(&request) {
            self.actions.push(Action::NoServer {
                host: request.host,
                request: request.id,
            });
            return;
        }
        if let Some(action) = self.refusal(&request, now) {
            self.actions.push(action);
            return;
        }
        if is_online && !online_order(&request, now).is_late() {
            let rank = request.terms.rank;
            self.arrivals.record(&request.service, rank, now);
        }
        let key = self.requests.insert(RequestState {
            request,
            created_at: now,
            granted: None,
            is_deferred: false,
        });
        self.by_id.insert(id.clone(), key);
        match is_online {
            true => self.waiting_online.push(key),
            false => self.waiting_batch.push(key),
        }
        self.allocate(now);
        let is_waiting = self
            .requests
            .get(key)
            .is_some_and(|state| state.granted.is_none());
        if is_online && is_waiting {
            self.actions.push(Action::Queue {
                host: id.0,
                request: id.1,
            });
        }
        self.check_queue(now);
    }

    /// Registers a run that is already in progress, as hosts report it to a new broker.
    pub fn restore_run(&mut self, request: SlotRequest, server: &str, now: Duration) {
        let id = (request.host.clone(), request.id);
        if let Some(key) = self.by_id.remove(&id) {
            self.remove_request(key, RunOutcome::Cancelled, now);
        }
        let is_online = matches!(request.work, Work::Online { .. });
        if is_online {
            self.held_slots.hold(&request);
        }
        let granted = Some(GrantedSlot {
            server: server.to_owned(),
            granted_at: now,
        });
        let key = self.requests.insert(RequestState {
            request,
            created_at: now,
            granted,
            is_deferred: false,
        });
        // A new coordinator may learn of a run before it has read the entry of its server.
        if let Some(state) = self.engines.get_mut(server) {
            match is_online {
                true => state.online.push(key),
                false => state.batch.push(key),
            }
        }
        self.by_id.insert(id, key);
        self.preempt_excess(server, now);
    }

    /// Removes a request that holds a slot or is queued. The outcome counts towards the health of the server even if
    /// the request is unknown.
    pub fn release(
        &mut self,
        host: &str,
        request: SlotRequestId,
        server: Option<&str>,
        outcome: RunOutcome,
        now: Duration,
    ) {
        let key = self.by_id.remove(&(host.to_owned(), request));
        let granted_at = key
            .and_then(|key| self.requests.get(key)?.granted.as_ref())
            .map(|granted| granted.granted_at);
        let counts = outcome != RunOutcome::Failed
            || server.is_some_and(|server| self.may_eject_for_errors(server, now));
        if let Some(state) = server.and_then(|server| self.engines.get_mut(server))
            && counts
        {
            state.health.record(outcome, granted_at.unwrap_or(now), now);
        }
        if let Some(key) = key {
            self.remove_request(key, outcome, now);
        }
        self.allocate(now);
        self.check_queue(now);
    }

    /// Whether most servers of the service are usable. Otherwise the requests are more likely to be the cause of the errors
    /// than the servers.
    fn may_eject_for_errors(&self, server: &str, now: Duration) -> bool {
        let Some(service) = self.engines.get(server).map(|state| &state.engine.service) else {
            return false;
        };
        let (mut usable, mut total) = (0, 0);
        for state in self.engines_of(service) {
            total += 1;
            usable += usize::from(!state.health.is_suspect(now));
        }
        usable * 2 > total
    }

    /// Removes all requests of a host that is lost, or that is about to report all its requests again.
    pub fn drop_host(&mut self, host: &str, now: Duration) {
        let requests: Vec<SlotRequestId> =
            self.requests_of(host).map(|(request, _)| request).collect();
        for request in requests {
            if let Some(key) = self.by_id.remove(&(host.to_owned(), request)) {
                self.remove_request(key, RunOutcome::Cancelled, now);
            }
        }
    }

    /// Requests of a host with their keys.
    pub(crate) fn requests_of(
        &self,
        host: &str,
    ) -> impl Iterator<Item = (SlotRequestId, RequestKey)> {
        self.by_id
            .range((host.to_owned(), SlotRequestId::MIN)..=(host.to_owned(), SlotRequestId::MAX))
            .map(|((_, request), key)| (*request, *key))
    }

    /// Refuses expired online requests, defers batch items that would miss their due time, and allocates the slots of
    /// servers that are usable again.
    pub fn tick(&mut self, now: Duration) {
        self.arrivals.forget_idle(now);
        self.returns.forget_past(now);
        self.refuse_expired(now);
        self.refuse_hopeless(now);
        self.reject_missing_versions(now);
        self.clear_void_exclusions(now);
        self.defer_infeasible(now);
        self.allocate(now);
    }

    /// Clears the excluded servers of queued requests for which no ready server is left, or only ejected ones. Otherwise a batch
    /// item whose last attempt failed at the only server would wait for ever, and one that failed at the only sound server for
    /// as long as the others are ejected.
    fn clear_void_exclusions(&mut self, now: Duration) {
        let ready: Vec<&Engine> = self
            .engines
            .values()
            .filter(|state| state.engine.is_ready && !state.health.is_suspect(now))
            .map(|state| &state.engine)
            .collect();
        for key in self.waiting_online.iter().chain(&self.waiting_batch) {
            let Some(state) = self.requests.get_mut(*key) else {
                continue;
            };
            let request = &mut state.request;
            let is_void = !request.excluded.is_empty()
                && ready.iter().all(|engine| {
                    engine.service != request.service
                        || !engine.is_of_version(request.version.as_ref())
                        || request.excluded.contains(&engine.server)
                });
            if is_void {
                request.excluded.clear();
            }
        }
    }

    /// Grants what only time makes possible: slots that have been free for [`BATCH_GRANT_DELAY`](crate::BATCH_GRANT_DELAY)
    /// to batch items, and slots of servers whose limits allow another request. Returns whether more may become possible
    /// within that time.
    pub fn grant_due(&mut self, now: Duration) -> bool {
        let has_limits = self.limits.has_limited();
        match has_limits {
            true => self.allocate(now),
            false => self.allocate_batch(now),
        }
        has_limits || !self.waiting_batch.is_empty()
    }

    /// Defers batch items that cannot complete by their due time along with the others. Nothing is deferred while no
    /// item is queued.
    fn defer_infeasible(&mut self, now: Duration) {
        let running: usize = self.engines.values().map(|state| state.batch.len()).sum();
        let has_waiting = !self.waiting_batch.is_empty();
        if has_waiting {
            let mean = self.batch_slots_mean.unwrap_or(running as f64);
            let mean = mean + (running as f64 - mean) * BATCH_SLOTS_WEIGHT;
            self.batch_slots_mean = Some(mean);
        }
        let items: Vec<BatchItem<RequestKey>> = self
            .requests
            .iter()
            .filter_map(|(key, state)| match state.request.work {
                Work::Batch { due, remaining } => Some(BatchItem {
                    key,
                    due,
                    remaining: state.remaining_run_time(remaining, now),
                }),
                Work::Online { .. } => None,
            })
            .collect();
        let slots = self.batch_slots_mean.unwrap_or(1.0).max(1.0);
        let deferred: HashSet<RequestKey> = match has_waiting {
            true => infeasible_items(items, slots, now).into_iter().collect(),
            false => HashSet::new(),
        };
        for (key, state) in &mut self.requests {
            state.is_deferred = deferred.contains(&key);
        }
    }

    /// Returns the decisions made since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Slot and queue counts of one service.
    pub fn load(&self, service: &str) -> BrokerLoad {
        BrokerLoad {
            batch_running: self
                .engines_of(service)
                .map(|state| state.batch.len())
                .sum(),
            batch_waiting: self.waiting_count(&self.waiting_batch, service),
            refused: self.refused.get(service).copied().unwrap_or_default(),
            ..self.online_load(service)
        }
    }

    /// Number of ready servers of a service that are ejected, or half-open after an ejection.
    pub fn ejected_count(&self, service: &str, now: Duration) -> usize {
        self.engines_of(service)
            .filter(|state| state.engine.is_ready && state.health.is_suspect(now))
            .count()
    }

    /// Counts of one service without batch items. The batch queue is left out because it may be far
    /// longer.
    pub(crate) fn online_load(&self, service: &str) -> BrokerLoad {
        let mut load = BrokerLoad {
            online_waiting: self.waiting_count(&self.waiting_online, service),
            ..BrokerLoad::default()
        };
        let mut slots = 0.0;
        for state in self.engines_of(service) {
            slots += self.usable_slots(state);
            load.online_running += state.online.len();
        }
        load.slots = whole_slots(slots);
        load
    }

    /// Slots of an engine that online requests can use: as many as run at a time, on average, at the rate that its limit
    /// allows, if it names one.
    pub(crate) fn usable_slots(&self, state: &EngineState) -> f64 {
        if !state.engine.is_ready {
            return 0.0;
        }
        let slots = state.engine.slots as f64;
        match self.limits.rate_per_s(&state.engine.server) {
            Some(per_s) => slots.min(per_s * self.expected_slot_time().as_secs_f64()),
            None => slots,
        }
    }

    pub(crate) fn engines_of(&self, service: &str) -> impl Iterator<Item = &EngineState> {
        self.engines
            .values()
            .filter(move |state| state.engine.service == service)
    }

    fn waiting_count(&self, keys: &[RequestKey], service: &str) -> usize {
        let is_of_service = |key: &&RequestKey| {
            self.requests
                .get(**key)
                .is_some_and(|state| state.request.service == service)
        };
        keys.iter().filter(is_of_service).count()
    }

    pub(crate) fn expected_slot_time(&self) -> Duration {
        self.slot_time_mean.unwrap_or(SLOT_TIME_INITIAL)
    }

    fn remove_request(&mut self, key: RequestKey, outcome: RunOutcome, now: Duration) {
        let Some(state) = self.requests.remove(key) else {
            return;
        };
        let Some(granted) = state.granted else {
            self.waiting_online.retain(|waiting| *waiting != key);
            self.waiting_batch.retain(|waiting| *waiting != key);
            return;
        };
        if matches!(state.request.work, Work::Online { .. }) {
            self.held_slots.release(&state.request);
        }
        if let Some(engine) = self.engines.get_mut(&granted.server) {
            engine.online.retain(|running| *running != key);
            engine.batch.retain(|running| *running != key);
            engine.record_freed_slot(now);
        }
        if outcome == RunOutcome::Done && matches!(state.request.work, Work::Online { .. }) {
            let time = now.saturating_sub(granted.granted_at);
            let mean = self.expected_slot_time();
            self.slot_time_mean =
                Some(mean.mul_f64(1.0 - SLOT_TIME_WEIGHT) + time.mul_f64(SLOT_TIME_WEIGHT));
        }
    }
}

/// Slots in whole numbers; at least one if there is a part of one.
pub(crate) fn whole_slots(slots: f64) -> usize {
    if slots > 0.0 {
        (slots as usize).max(1)
    } else {
        0
    }
}
