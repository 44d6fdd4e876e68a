//! The broker: who holds which slot, and who waits.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;
use bamboo_types::HostId;
use slotmap::SlotMap;

use crate::Action;
use crate::Ask;
use crate::AskId;
use crate::Health;
use crate::Planned;
use crate::RunOutcome;
use crate::Work;
use crate::batch_rank;
use crate::online_rank;
use crate::set_aside;

/// Time that an online request holds a slot, before any has been seen to end.
const HOLD_FIRST_GUESS: Duration = Duration::from_millis(700);
/// Time that a slot is free before a batch item gets it. Within it the next online request of a wave takes the slot,
/// which spares an item's start and stop.
pub const SETTLE: Duration = Duration::from_millis(40);
/// Weight of one more hold time in the running mean.
const HOLD_MEAN_WEIGHT: f64 = 0.05;
/// Weight of one more sample, four a second, in the mean number of slots that batch items have: the mean spans some
/// waves of online requests.
const BATCH_SLOTS_WEIGHT: f64 = 0.03;

slotmap::new_key_type! {
    /// Key of a lease.
    struct LeaseKey;
}

/// A model engine, as the broker needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Server.
    pub server: BackendServerId,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Whether it takes new requests.
    pub is_ready: bool,
}

/// Counts of a service, for metrics and for refusing early.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrokerLoad {
    /// Slots of ready servers.
    pub slots: usize,
    /// Online requests that hold one.
    pub online_running: usize,
    /// Batch items that hold one.
    pub batch_running: usize,
    /// Online requests that wait.
    pub online_waiting: usize,
    /// Batch items that wait.
    pub batch_waiting: usize,
}

#[derive(Debug)]
struct Lease {
    ask: Ask,
    since: Duration,
    held: Option<Held>,
    is_set_aside: bool,
}

impl Lease {
    /// Time that a batch item still runs.
    fn batch_left(&self, left: Duration, now: Duration) -> Duration {
        let run = self
            .held
            .as_ref()
            .map_or(Duration::ZERO, |held| now.saturating_sub(held.since));
        left.saturating_sub(run)
    }

    fn batch_rank(&self, now: Duration) -> (bool, Duration, Duration) {
        match self.ask.work {
            Work::Batch { due, left } => {
                batch_rank(due, self.batch_left(left, now), self.is_set_aside)
            }
            Work::Online { .. } => (true, Duration::MAX, Duration::MAX),
        }
    }
}

#[derive(Debug, Clone)]
struct Held {
    server: BackendServerId,
    since: Duration,
}

#[derive(Debug)]
struct EngineState {
    engine: Engine,
    online: Vec<LeaseKey>,
    batch: Vec<LeaseKey>,
    freed_at: Vec<Duration>,
    health: Health,
}

impl EngineState {
    /// Free slots that have been free for a moment: online requests take the others at once in a wave.
    fn settled_count(&self, now: Duration) -> usize {
        let fresh = self
            .freed_at
            .iter()
            .filter(|at| now.saturating_sub(**at) < SETTLE)
            .count();
        self.engine
            .slots
            .saturating_sub(self.running_count() + fresh)
    }

    fn slot_freed(&mut self, now: Duration) {
        self.freed_at.retain(|at| now.saturating_sub(*at) < SETTLE);
        self.freed_at.push(now);
    }

    fn running_count(&self) -> usize {
        self.online.len() + self.batch.len()
    }

    fn may_run(&self, ask: &Ask, now: Duration) -> bool {
        self.engine.is_ready
            && self.engine.service == ask.service
            && !ask.excluded.contains(&self.engine.server)
            && self.health.is_usable(self.running_count(), now)
    }
}

/// Deals slots.
#[derive(Debug, Default)]
pub struct Broker {
    leases: SlotMap<LeaseKey, Lease>,
    /// In order of hosts, so that the asks of one host are found without a look at those of others.
    by_ask: BTreeMap<(HostId, AskId), LeaseKey>,
    engines: BTreeMap<BackendServerId, EngineState>,
    waiting_online: Vec<LeaseKey>,
    waiting_batch: Vec<LeaseKey>,
    hold_mean: Option<Duration>,
    batch_slots_mean: Option<f64>,
    actions: Vec<Action>,
}

impl Broker {
    /// Takes what is known of an engine; `is_new_run` if it started again and holds nothing of before.
    pub fn put_engine(&mut self, engine: Engine, is_new_run: bool, now: Duration) {
        match self.engines.get_mut(&engine.server) {
            Some(state) => {
                state.engine = engine;
                if is_new_run {
                    state.health = Health::default();
                }
            }
            None => {
                let state = EngineState {
                    engine,
                    online: Vec::new(),
                    batch: Vec::new(),
                    freed_at: Vec::new(),
                    health: Health::default(),
                };
                self.engines.insert(state.engine.server.clone(), state);
            }
        }
        self.deal(now);
    }

    /// Forgets an engine. Runs there end by themselves.
    pub fn remove_engine(&mut self, server: &str) {
        let Some(state) = self.engines.remove(server) else {
            return;
        };
        for key in state.online.into_iter().chain(state.batch) {
            if let Some(lease) = self.leases.remove(key) {
                self.by_ask.remove(&(lease.ask.host, lease.ask.ask));
            }
        }
    }

    /// Takes a wish for a slot. A wish that is known already is not taken twice.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_slots::{Action, Ask, Broker, Engine, Work};
    /// let mut broker = Broker::default();
    /// let engine = Engine { server: "s".into(), service: "llm".into(), data_centre: "a".into(), slots: 1, is_ready: true };
    /// broker.put_engine(engine, false, Duration::ZERO);
    /// let work = Work::Batch { due: Duration::from_secs(9), left: Duration::from_secs(2) };
    /// let ask = Ask { host: "h".into(), ask: 1, service: "llm".into(), data_centre: "a".into(), work, excluded: vec![] };
    /// broker.ask(ask, Duration::ZERO);
    /// assert!(matches!(broker.take_actions()[0], Action::Grant { .. }));
    /// ```
    pub fn ask(&mut self, ask: Ask, now: Duration) {
        let id = (ask.host.clone(), ask.ask);
        if self.by_ask.contains_key(&id) {
            return;
        }
        let is_online = matches!(ask.work, Work::Online { .. });
        if let Some(action) = self.refusal(&ask, now) {
            self.actions.push(action);
            return;
        }
        let key = self.leases.insert(Lease {
            ask,
            since: now,
            held: None,
            is_set_aside: false,
        });
        self.by_ask.insert(id.clone(), key);
        match is_online {
            true => self.waiting_online.push(key),
            false => self.waiting_batch.push(key),
        }
        self.deal(now);
        let is_waiting = self
            .leases
            .get(key)
            .is_some_and(|lease| lease.held.is_none());
        if is_online && is_waiting {
            self.actions.push(Action::Queue {
                host: id.0,
                ask: id.1,
            });
        }
    }

    /// Takes a run that is under way already, as hosts report it to a new broker.
    pub fn hold(&mut self, ask: Ask, server: &str, now: Duration) {
        let id = (ask.host.clone(), ask.ask);
        if let Some(key) = self.by_ask.remove(&id) {
            self.drop_lease(key, RunOutcome::Cancelled, now);
        }
        let Some(state) = self.engines.get_mut(server) else {
            return;
        };
        let is_online = matches!(ask.work, Work::Online { .. });
        let held = Some(Held {
            server: server.to_owned(),
            since: now,
        });
        let key = self.leases.insert(Lease {
            ask,
            since: now,
            held,
            is_set_aside: false,
        });
        match is_online {
            true => state.online.push(key),
            false => state.batch.push(key),
        }
        self.by_ask.insert(id, key);
        self.stop_excess(server, now);
    }

    /// Ends an ask, whether it holds a slot or waits. The outcome speaks of the server even if the ask is unknown.
    pub fn release(
        &mut self,
        host: &str,
        ask: AskId,
        server: Option<&str>,
        outcome: RunOutcome,
        now: Duration,
    ) {
        if let Some(state) = server.and_then(|server| self.engines.get_mut(server)) {
            state.health.record(outcome, now);
        }
        if let Some(key) = self.by_ask.remove(&(host.to_owned(), ask)) {
            self.drop_lease(key, outcome, now);
        }
        self.deal(now);
    }

    /// Drops all asks of a host that is gone, or that reports them anew.
    pub fn drop_host(&mut self, host: &str, now: Duration) {
        let asks: Vec<AskId> = self.asks_of(host).map(|(ask, _)| ask).collect();
        for ask in asks {
            if let Some(key) = self.by_ask.remove(&(host.to_owned(), ask)) {
                self.drop_lease(key, RunOutcome::Cancelled, now);
            }
        }
    }

    /// Asks of a host with their leases.
    fn asks_of(&self, host: &str) -> impl Iterator<Item = (AskId, LeaseKey)> {
        self.by_ask
            .range((host.to_owned(), AskId::MIN)..=(host.to_owned(), AskId::MAX))
            .map(|((_, ask), key)| (*ask, *key))
    }

    /// Those of the named asks that the broker does not know.
    pub fn unknown_asks(&self, host: &str, named: &HashSet<AskId>) -> HashSet<AskId> {
        let known: HashSet<AskId> = self.asks_of(host).map(|(ask, _)| ask).collect();
        named.difference(&known).copied().collect()
    }

    /// Drops asks that their host does not name any more, if they are older than `age`.
    pub fn reconcile(&mut self, host: &str, named: &HashSet<AskId>, age: Duration, now: Duration) {
        let is_old = |key: LeaseKey| {
            self.leases
                .get(key)
                .is_some_and(|lease| now.saturating_sub(lease.since) > age)
        };
        let forgotten: Vec<AskId> = self
            .asks_of(host)
            .filter(|(ask, key)| !named.contains(ask) && is_old(*key))
            .map(|(ask, _)| ask)
            .collect();
        for ask in forgotten {
            self.release(host, ask, None, RunOutcome::Cancelled, now);
        }
    }

    /// Refuses what has become hopeless and deals slots of servers that are usable again.
    pub fn tick(&mut self, now: Duration) {
        let expired: Vec<LeaseKey> = self
            .waiting_online
            .iter()
            .copied()
            .filter(
                |key| match self.leases.get(*key).map(|lease| lease.ask.work) {
                    Some(Work::Online { give_up, .. }) => now >= give_up,
                    _ => true,
                },
            )
            .collect();
        for key in expired {
            self.waiting_online.retain(|waiting| *waiting != key);
            if let Some(lease) = self.leases.remove(key) {
                self.by_ask.remove(&(lease.ask.host.clone(), lease.ask.ask));
                self.actions.push(Action::Refuse {
                    host: lease.ask.host,
                    ask: lease.ask.ask,
                    retry_after: self.hold_time(),
                });
            }
        }
        self.plan_batch(now);
        self.deal(now);
    }

    /// Deals slots to batch items that have been free for a moment. Returns whether items wait.
    pub fn settle(&mut self, now: Duration) -> bool {
        self.deal_batch(now);
        !self.waiting_batch.is_empty()
    }

    /// Sets batch items aside that cannot be done in time beside the others.
    fn plan_batch(&mut self, now: Duration) {
        let running: usize = self.engines.values().map(|state| state.batch.len()).sum();
        let has_waiting = !self.waiting_batch.is_empty();
        if has_waiting {
            let mean = self.batch_slots_mean.unwrap_or(running as f64);
            let mean = mean + (running as f64 - mean) * BATCH_SLOTS_WEIGHT;
            self.batch_slots_mean = Some(mean);
        }
        let planned: Vec<Planned<LeaseKey>> = self
            .leases
            .iter()
            .filter_map(|(key, lease)| match lease.ask.work {
                Work::Batch { due, left } => Some(Planned {
                    key,
                    due,
                    left: lease.batch_left(left, now),
                }),
                Work::Online { .. } => None,
            })
            .collect();
        let slots = self.batch_slots_mean.unwrap_or(1.0).max(1.0);
        let aside: HashSet<LeaseKey> = match has_waiting {
            true => set_aside(planned, slots, now).into_iter().collect(),
            false => HashSet::new(),
        };
        for (key, lease) in &mut self.leases {
            lease.is_set_aside = aside.contains(&key);
        }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Counts of one service.
    pub fn load(&self, service: &str) -> BrokerLoad {
        BrokerLoad {
            batch_running: self
                .engines_of(service)
                .map(|state| state.batch.len())
                .sum(),
            batch_waiting: self.waiting_count(&self.waiting_batch, service),
            ..self.online_load(service)
        }
    }

    /// Counts of one service without those of batch items, of which far more may wait.
    fn online_load(&self, service: &str) -> BrokerLoad {
        let mut load = BrokerLoad {
            online_waiting: self.waiting_count(&self.waiting_online, service),
            ..BrokerLoad::default()
        };
        for state in self.engines_of(service) {
            load.slots += usize::from(state.engine.is_ready) * state.engine.slots;
            load.online_running += state.online.len();
        }
        load
    }

    fn engines_of(&self, service: &str) -> impl Iterator<Item = &EngineState> {
        self.engines
            .values()
            .filter(move |state| state.engine.service == service)
    }

    fn waiting_count(&self, keys: &[LeaseKey], service: &str) -> usize {
        let is_of_service = |key: &&LeaseKey| {
            self.leases
                .get(**key)
                .is_some_and(|lease| lease.ask.service == service)
        };
        keys.iter().filter(is_of_service).count()
    }

    fn hold_time(&self) -> Duration {
        self.hold_mean.unwrap_or(HOLD_FIRST_GUESS)
    }

    /// Refuses an online request at once if the queue before it is longer than its time.
    fn refusal(&self, ask: &Ask, now: Duration) -> Option<Action> {
        let Work::Online { give_up, .. } = ask.work else {
            return None;
        };
        let load = self.online_load(&ask.service);
        if load.online_running + load.online_waiting < load.slots || load.slots == 0 {
            return None;
        }
        let rounds = load.online_waiting as f64 / load.slots as f64;
        let wait = self.hold_time().mul_f64(rounds);
        (now + wait >= give_up).then(|| Action::Refuse {
            host: ask.host.clone(),
            ask: ask.ask,
            retry_after: wait,
        })
    }

    fn drop_lease(&mut self, key: LeaseKey, outcome: RunOutcome, now: Duration) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        let Some(held) = lease.held else {
            self.waiting_online.retain(|waiting| *waiting != key);
            self.waiting_batch.retain(|waiting| *waiting != key);
            return;
        };
        if let Some(state) = self.engines.get_mut(&held.server) {
            state.online.retain(|held| *held != key);
            state.batch.retain(|held| *held != key);
            state.slot_freed(now);
        }
        if outcome == RunOutcome::Done && matches!(lease.ask.work, Work::Online { .. }) {
            let time = now.saturating_sub(held.since);
            let mean = self.hold_time();
            self.hold_mean =
                Some(mean.mul_f64(1.0 - HOLD_MEAN_WEIGHT) + time.mul_f64(HOLD_MEAN_WEIGHT));
        }
    }

    fn deal(&mut self, now: Duration) {
        self.deal_online(now);
        self.deal_batch(now);
    }

    /// Whether an engine that takes work has room of some kind.
    fn has_engine<F>(&self, now: Duration, has_room: F) -> bool
    where
        F: Fn(&EngineState) -> bool,
    {
        self.engines.values().any(|state| {
            state.engine.is_ready
                && has_room(state)
                && state.health.is_usable(state.running_count(), now)
        })
    }

    fn deal_online(&mut self, now: Duration) {
        let has_room = |state: &EngineState| state.online.len() < state.engine.slots;
        if self.waiting_online.is_empty() || !self.has_engine(now, has_room) {
            return;
        }
        let mut order = std::mem::take(&mut self.waiting_online);
        let leases = &self.leases;
        order.sort_by_cached_key(|key| match leases.get(*key).map(|lease| lease.ask.work) {
            Some(Work::Online { start_by, .. }) => online_rank(start_by, now),
            _ => (true, Duration::MAX),
        });
        let mut left = Vec::new();
        let mut full = HashSet::new();
        for key in order {
            let Some(ask) = self.leases.get(key).map(|lease| &lease.ask) else {
                continue;
            };
            if full.contains(&ask.service) {
                left.push(key);
                continue;
            }
            let ask = ask.clone();
            match self.place_online(&ask, now) {
                Some(server) => self.grant(key, &server, now),
                None => {
                    left.push(key);
                    note_full(&mut full, ask);
                }
            }
        }
        self.waiting_online = left;
    }

    /// A server for an online request: a free slot nearby, then elsewhere, then one that a batch item leaves.
    fn place_online(&mut self, ask: &Ask, now: Duration) -> Option<BackendServerId> {
        let candidates = self
            .engines
            .values()
            .filter(|state| state.may_run(ask, now));
        let best = candidates
            .filter_map(|state| {
                let is_far = state.engine.data_centre != ask.data_centre;
                let is_free = state.running_count() < state.engine.slots;
                let has_batch = !state.batch.is_empty() && state.online.len() < state.engine.slots;
                match (is_free, has_batch) {
                    (true, _) => Some(((0, is_far, state.running_count()), state)),
                    (false, true) => Some(((1, is_far, state.online.len()), state)),
                    (false, false) => None,
                }
            })
            .min_by_key(|(rank, _)| *rank);
        let ((needs_stop, _, _), state) = best?;
        let server = state.engine.server.clone();
        if needs_stop == 1 {
            self.stop_one_batch(&server, now);
        }
        Some(server)
    }

    fn stop_one_batch(&mut self, server: &str, now: Duration) {
        let Some(state) = self.engines.get_mut(server) else {
            return;
        };
        let leases = &self.leases;
        let Some(victim) = state
            .batch
            .iter()
            .copied()
            .max_by_key(|key| leases.get(*key).map(|lease| lease.batch_rank(now)))
        else {
            return;
        };
        state.batch.retain(|key| *key != victim);
        if let Some(lease) = self.leases.remove(victim) {
            self.by_ask.remove(&(lease.ask.host.clone(), lease.ask.ask));
            self.actions.push(Action::Stop {
                host: lease.ask.host,
                ask: lease.ask.ask,
            });
        }
    }

    /// Stops batch items of a server on which more runs than it has slots for.
    fn stop_excess(&mut self, server: &str, now: Duration) {
        while self.engines.get(server).is_some_and(|state| {
            state.running_count() > state.engine.slots && !state.batch.is_empty()
        }) {
            self.stop_one_batch(server, now);
        }
    }

    fn deal_batch(&mut self, now: Duration) {
        let has_room = |state: &EngineState| state.settled_count(now) > 0;
        if self.waiting_batch.is_empty() || !self.has_engine(now, has_room) {
            return;
        }
        let mut order = std::mem::take(&mut self.waiting_batch);
        let leases = &self.leases;
        order.sort_by_cached_key(|key| leases.get(*key).map(|lease| lease.batch_rank(now)));
        let mut left = Vec::new();
        let mut full = HashSet::new();
        for key in order {
            let Some(ask) = self.leases.get(key).map(|lease| &lease.ask) else {
                continue;
            };
            if full.contains(&ask.service) {
                left.push(key);
                continue;
            }
            let ask = ask.clone();
            match self.place_batch(&ask, now) {
                Some(server) => self.grant(key, &server, now),
                None => {
                    left.push(key);
                    note_full(&mut full, ask);
                }
            }
        }
        self.waiting_batch = left;
    }

    fn place_batch(&self, ask: &Ask, now: Duration) -> Option<BackendServerId> {
        self.engines
            .values()
            .filter(|state| state.may_run(ask, now) && state.settled_count(now) > 0)
            .min_by_key(|state| {
                let is_far = state.engine.data_centre != ask.data_centre;
                (is_far, state.running_count())
            })
            .map(|state| state.engine.server.clone())
    }

    fn grant(&mut self, key: LeaseKey, server: &str, now: Duration) {
        let (Some(lease), Some(state)) = (self.leases.get_mut(key), self.engines.get_mut(server))
        else {
            return;
        };
        lease.held = Some(Held {
            server: server.to_owned(),
            since: now,
        });
        match lease.ask.work {
            Work::Online { .. } => {
                state.freed_at.pop();
                state.online.push(key);
            }
            Work::Batch { .. } => state.batch.push(key),
        }
        self.actions.push(Action::Grant {
            host: lease.ask.host.clone(),
            ask: lease.ask.ask,
            server: server.to_owned(),
        });
    }
}

/// Notes that a service has no room, if the ask that found none may run on all of its servers: those behind it find
/// none either, and a long queue costs no more than its first ask.
fn note_full(full: &mut HashSet<String>, ask: Ask) {
    if ask.excluded.is_empty() {
        full.insert(ask.service);
    }
}
