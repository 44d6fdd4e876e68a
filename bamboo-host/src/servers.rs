//! Backend servers: the router's table, and the servers whose batch work this host owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_admit::AdmitOptions;
use bamboo_admit::AdmitStep;
use bamboo_admit::RunKey;
use bamboo_admit::ServerOwner;
use bamboo_admit::WorkItem;
use bamboo_config::BackendServer;
use bamboo_config::ConfigFold;
use bamboo_config::Kind;
use bamboo_config::Resource;
use bamboo_config::ServerRole;
use bamboo_config::Serving;
use bamboo_events::EventKind;
use bamboo_log::ItemOutcome;
use bamboo_member::first_in_order;
use bamboo_route::RouteServer;
use bamboo_route::Target;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_wire::HandedItem;
use bamboo_wire::PeerMessage;
use bamboo_wire::ServerLoad;

use crate::HostCore;
use crate::Output;
use crate::RunRef;
use crate::input::ItemEnd;
use crate::shards::item_subject;

/// Interval between demands of one server while it wants items.
const DEMAND_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between demands of one server that wants nothing.
const IDLE_DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// How long a shard that gave items counts as having more.
const WORK_MEMORY: Duration = Duration::from_secs(2);
/// Shards that one server asks at a time.
const SHARDS_ASKED_MAX: usize = 4;
/// Interval between load notices to routers.
const LOADS_INTERVAL: Duration = Duration::from_millis(250);
/// Number of hosts up to which all are told loads.
const LOADS_TO_ALL_MAX: usize = 16;
/// Interval after which unsettled outcomes are reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Unsettled outcomes above which a host starts no further items.
const UNSETTLED_MAX: usize = 20_000;
/// Weight of batch work on a server that no serving resource names.
const DEFAULT_BATCH_WEIGHT: f64 = 0.5;

#[derive(Debug)]
struct OwnedServer {
    address: String,
    models: Vec<ModelId>,
    owner: ServerOwner,
    is_clean: bool,
    demanded_at: Now,
    had_work: BTreeMap<ShardId, Now>,
    next_probe: ShardId,
    last_load: Option<ServerLoad>,
}

#[derive(Debug)]
struct Unsettled {
    outcome: ItemOutcome,
    reported_at: Option<Now>,
}

/// Servers as one host sees them.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    owners: BTreeMap<BackendServerId, HostId>,
    owned: BTreeMap<BackendServerId, OwnedServer>,
    leaving: BTreeSet<BackendServerId>,
    unsettled: BTreeMap<(ShardId, JobId, ItemIndex), Unsettled>,
    shard_epochs: BTreeMap<ShardId, Offset>,
    loads_at: Now,
}

impl ServerTable {
    pub(crate) fn owner_of(&self, server: &str) -> Option<&str> {
        self.owners.get(server).map(String::as_str)
    }

    pub(crate) fn set_leaving(&mut self, servers: Vec<BackendServerId>) {
        self.leaving = servers.into_iter().collect();
    }

    pub(crate) fn count_online(
        &mut self,
        now: Now,
        server: &str,
        router: &str,
        in_flight: u32,
    ) -> bool {
        match self.owned.get_mut(server) {
            Some(owned) => {
                owned.owner.online(now, router, in_flight);
                true
            }
            None => false,
        }
    }

    pub(crate) fn settled(&mut self, shard: ShardId, items: &[(JobId, ItemIndex)]) {
        for (job, item) in items {
            self.unsettled.remove(&(shard, *job, *item));
        }
    }

    /// Notes the epoch of a shard, so that hand-outs of earlier owners are known as such.
    pub(crate) fn note_epoch(&mut self, shard: ShardId, epoch: Offset) {
        let newest = self.shard_epochs.entry(shard).or_insert(epoch);
        *newest = (*newest).max(epoch);
    }

    pub(crate) fn unsettled_count(&self) -> usize {
        self.unsettled.len()
    }

    pub(crate) fn is_empty(&self, _now: Now) -> bool {
        self.owned
            .values()
            .all(|owned| owned.owner.held_count() == 0)
    }

    pub(crate) fn counts(&self, now: Now) -> Vec<(BackendServerId, u32, u32)> {
        let counts =
            |owned: &OwnedServer| (owned.owner.online_count(now), owned.owner.running_count());
        self.owned
            .iter()
            .map(|(server, owned)| {
                let (online, batch) = counts(owned);
                (server.clone(), online, batch)
            })
            .collect()
    }

    fn held_of(&self, server: &str, shard: ShardId) -> Vec<(JobId, ItemIndex)> {
        let running = self
            .owned
            .get(server)
            .map(|owned| owned.owner.held_of(shard))
            .unwrap_or_default();
        let reported = self
            .unsettled
            .range((shard, 0, 0)..=(shard, JobId::MAX, ItemIndex::MAX));
        let of_server = reported.filter(|(_, unsettled)| unsettled.outcome.server == server);
        running
            .into_iter()
            .chain(of_server.map(|((_, job, item), _)| (*job, *item)))
            .collect()
    }
}

impl HostCore {
    /// Rebuilds the router's table and the set of owned servers.
    pub(crate) fn refresh_servers(&mut self, now: Now) {
        let config = self.config.shared();
        let servers = backend_servers(&config);
        let leaving = &self.servers.leaving;
        let table = servers
            .iter()
            .map(|server| route_server(server, leaving.contains(&server.name)))
            .collect();
        self.router.set_servers(table, self.live.len());
        self.refresh_owned(now, &config, &servers);
    }

    pub(crate) fn tick_servers(&mut self, now: Now) {
        let names: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in &names {
            self.return_if_blocked(now, server);
            self.return_unconfirmed(now, server);
            self.advance_server(now, server);
            self.send_demands(now, server);
        }
        self.send_loads(now);
        self.report_outcomes(now);
        self.renew_counts(now);
    }

    /// Starts and stops what the server's owner decides.
    pub(crate) fn advance_server(&mut self, now: Now, server: &str) {
        let has_room = self.servers.unsettled_count() < UNSETTLED_MAX;
        let Some(owned) = self.servers.owned.get_mut(server) else {
            return;
        };
        if !owned.is_clean || !has_room {
            return;
        }
        let address = owned.address.clone();
        let mut steps = Vec::new();
        loop {
            match owned.owner.step(now) {
                AdmitStep::Idle => break,
                step => steps.push(step),
            }
        }
        for step in steps {
            self.apply_step(server, &address, step);
        }
    }

    pub(crate) fn items_heard(
        &mut self,
        now: Now,
        from: &str,
        shard: ShardId,
        epoch: Offset,
        items: Vec<HandedItem>,
    ) {
        // An owner that was frozen may hand out before it reads that another has taken over.
        let newest = self.servers.shard_epochs.entry(shard).or_insert(epoch);
        if epoch < *newest {
            self.redirect(from, shard);
            return;
        }
        *newest = epoch;
        if self.is_resuming(now) {
            let items = items.iter().map(|item| (item.job, item.item)).collect();
            self.send(from, PeerMessage::Return { shard, items });
            return;
        }
        let mut refused = Vec::new();
        for item in items {
            match self.servers.owned.get_mut(&item.server) {
                Some(owned) => {
                    owned.had_work.insert(shard, now);
                    owned.owner.take(now, work_item(shard, from, item));
                }
                None => refused.push((item.job, item.item)),
            }
        }
        if !refused.is_empty() {
            self.send(
                from,
                PeerMessage::Return {
                    shard,
                    items: refused,
                },
            );
        }
        let names: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in names {
            self.advance_server(now, &server);
        }
    }

    pub(crate) fn recount_heard(&mut self, from: &str, shard: ShardId, server: &str) {
        let items = self.servers.held_of(server, shard);
        self.send(
            from,
            PeerMessage::Holding {
                shard,
                server: server.to_owned(),
                items,
            },
        );
    }

    pub(crate) fn stop_job_heard(&mut self, shard: ShardId, job: JobId) {
        let names: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in names {
            self.drop_items(&server, |item| item.shard == shard && item.job == job);
        }
        self.servers
            .unsettled
            .retain(|(of, unsettled_job, _), _| (*of, *unsettled_job) != (shard, job));
    }

    pub(crate) fn item_first_token(&mut self, run: &RunRef) {
        if let Some(owned) = self.servers.owned.get_mut(&run.server) {
            owned.owner.first_token(run.key);
        }
    }

    pub(crate) fn item_ended(&mut self, now: Now, run: RunRef, end: ItemEnd) {
        let Some(owned) = self.servers.owned.get_mut(&run.server) else {
            return;
        };
        match end {
            ItemEnd::Stopped => {
                owned.owner.stopped(run.key);
                if let Some(item) = owned.owner.item(run.key) {
                    let subject = item_subject(item.job, item.item);
                    self.event(EventKind::ItemStopped, subject, run.server.clone());
                }
            }
            ItemEnd::Returned => {
                owned.owner.failed(now);
                if let Some(item) = owned.owner.remove(run.key) {
                    self.give_back(now, item);
                }
            }
            ItemEnd::Verdict { custom_id, verdict } => {
                if !verdict.is_final() {
                    owned.owner.failed(now);
                }
                if let Some(item) = owned.owner.remove(run.key) {
                    let subject = item_subject(item.job, item.item);
                    self.event(EventKind::ItemRan, subject, run.server.clone());
                    let server = run.server.clone();
                    let outcome = ItemOutcome {
                        job: item.job,
                        item: item.item,
                        custom_id,
                        server,
                        verdict,
                    };
                    let name = (item.shard, item.job, item.item);
                    self.servers.unsettled.insert(
                        name,
                        Unsettled {
                            outcome,
                            reported_at: None,
                        },
                    );
                }
            }
        }
        self.advance_server(now, &run.server);
    }

    pub(crate) fn strays_cancelled(&mut self, now: Now, server: &str) {
        if let Some(owned) = self.servers.owned.get_mut(server) {
            owned.is_clean = true;
        }
        self.advance_server(now, server);
    }

    fn refresh_owned(&mut self, now: Now, config: &ConfigFold, servers: &[BackendServer]) {
        let mut owners = BTreeMap::new();
        for server in servers {
            if let Some(owner) = first_in_order(&self.live, &server.name) {
                owners.insert(server.name.clone(), owner.to_owned());
            }
        }
        let me = self.options.host.clone();
        let is_mine = |name: &str| owners.get(name).is_some_and(|owner| *owner == me);
        let lost: Vec<BackendServerId> = self
            .servers
            .owned
            .keys()
            .filter(|name| !is_mine(name))
            .cloned()
            .collect();
        let engines = servers.iter().filter(|server| is_mine(&server.name));
        let engines: Vec<&BackendServer> = engines.filter(|server| is_engine(server)).collect();
        for name in lost {
            self.lose_server(now, &name);
        }
        for server in engines {
            self.keep_server(now, config, server);
        }
        let has_moved = self.servers.owners != owners;
        self.servers.owners = owners;
        if has_moved {
            // New owners learn of the requests that are on their servers.
            self.touched
                .extend(self.router.busy_servers().map(|(server, _)| server.clone()));
        }
    }

    fn keep_server(&mut self, now: Now, config: &ConfigFold, server: &BackendServer) {
        let ServerRole::Engine {
            models,
            max_sequences,
        } = &server.role
        else {
            return;
        };
        let options = AdmitOptions::weighed(*max_sequences, batch_weight(config, server));
        let is_closed = server.is_draining || self.servers.leaving.contains(&server.name);
        let is_new = !self.servers.owned.contains_key(&server.name);
        let owned = self
            .servers
            .owned
            .entry(server.name.clone())
            .or_insert_with(|| OwnedServer {
                address: server.address.clone(),
                models: Vec::new(),
                owner: ServerOwner::new(options.clone()),
                is_clean: false,
                demanded_at: now,
                had_work: BTreeMap::new(),
                next_probe: 0,
                last_load: None,
            });
        owned.address.clone_from(&server.address);
        owned.models = models.iter().map(|version| version.model.clone()).collect();
        owned.owner.set_options(options);
        owned.owner.set_closed(is_closed);
        if is_new {
            self.event(EventKind::ServerOwned, server.name.clone(), String::new());
            self.output(Output::CancelStrays {
                server: server.name.clone(),
                address: server.address.clone(),
            });
        }
        if is_closed {
            self.return_waiting(now, &server.name);
        }
    }

    fn lose_server(&mut self, now: Now, server: &str) {
        let Some(owned) = self.servers.owned.get(server) else {
            return;
        };
        let keys = owned.owner.keys_where(|_| true);
        self.return_items(now, server, keys);
        self.servers.owned.remove(server);
        self.event(EventKind::ServerLost, server.to_owned(), String::new());
    }

    /// Gives back items that have not started on a server which takes no new work.
    fn return_waiting(&mut self, now: Now, server: &str) {
        if let Some(owned) = self.servers.owned.get(server) {
            let waiting = owned.owner.waiting_where(|_| true);
            self.return_items(now, server, waiting);
        }
    }

    /// Gives back all items that have not started.
    pub(crate) fn return_all_waiting(&mut self, now: Now) {
        let names: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in names {
            self.return_waiting(now, &server);
        }
    }

    fn return_items(&mut self, now: Now, server: &str, keys: Vec<RunKey>) {
        for key in keys {
            let item = self
                .servers
                .owned
                .get_mut(server)
                .and_then(|owned| owned.owner.remove(key));
            let server = server.to_owned();
            self.output(Output::DropItem {
                run: RunRef { server, key },
            });
            if let Some(item) = item {
                self.give_back(now, item);
            }
        }
    }

    /// Items do not wait for a server that fails while others could run them.
    fn return_if_blocked(&mut self, now: Now, server: &str) {
        let is_blocked = self
            .servers
            .owned
            .get(server)
            .is_some_and(|owned| owned.owner.is_blocked(now));
        if is_blocked {
            self.return_waiting(now, server);
        }
    }

    /// Items whose shard owner no longer answers do not start: their job may have been cancelled meanwhile.
    fn return_unconfirmed(&mut self, now: Now, server: &str) {
        let Some(owned) = self.servers.owned.get(server) else {
            return;
        };
        let waiting = owned
            .owner
            .waiting_where(|item| !self.members.is_answering(now, &item.given_by));
        self.return_items(now, server, waiting);
    }

    fn drop_items<F>(&mut self, server: &str, matches: F)
    where
        F: Fn(&WorkItem) -> bool,
    {
        let Some(owned) = self.servers.owned.get_mut(server) else {
            return;
        };
        let keys = owned.owner.keys_where(matches);
        for key in &keys {
            owned.owner.remove(*key);
        }
        for key in keys {
            self.output(Output::DropItem {
                run: RunRef {
                    server: server.to_owned(),
                    key,
                },
            });
        }
    }

    fn give_back(&mut self, now: Now, item: WorkItem) {
        if let Some(owner) = self.shard_owner(now, item.shard) {
            let items = vec![(item.job, item.item)];
            self.send(
                &owner,
                PeerMessage::Return {
                    shard: item.shard,
                    items,
                },
            );
        }
    }

    fn apply_step(&mut self, server: &str, address: &str, step: AdmitStep) {
        match step {
            AdmitStep::Start(key) => {
                let item = self
                    .servers
                    .owned
                    .get(server)
                    .and_then(|owned| owned.owner.item(key))
                    .cloned();
                if let Some(item) = item {
                    let run = RunRef {
                        server: server.to_owned(),
                        key,
                    };
                    self.event(
                        EventKind::ItemStarted,
                        item_subject(item.job, item.item),
                        server.to_owned(),
                    );
                    self.output(Output::StartItem {
                        run,
                        address: address.to_owned(),
                        item,
                    });
                }
            }
            AdmitStep::Stop(key) => self.output(Output::StopItem {
                run: RunRef {
                    server: server.to_owned(),
                    key,
                },
            }),
            AdmitStep::Idle => {}
        }
    }

    fn send_demands(&mut self, now: Now, server: &str) {
        let shard_count = self.options.shard_count;
        let is_full = self.servers.unsettled_count() >= UNSETTLED_MAX;
        let Some(owned) = self.servers.owned.get_mut(server) else {
            return;
        };
        let want = if is_full || !owned.is_clean {
            0
        } else {
            owned.owner.want_count(now)
        };
        let interval = if want > 0 {
            DEMAND_INTERVAL
        } else {
            IDLE_DEMAND_INTERVAL
        };
        if now.saturating_sub(owned.demanded_at) < interval {
            return;
        }
        owned.demanded_at = now;
        let models = owned.models.clone();
        let shares = demand_shares(owned, now, want, shard_count);
        for (shard, want_count) in shares {
            let held_count = self.servers.held_of(server, shard).len() as u32;
            let message = PeerMessage::Demand {
                shard,
                server: server.to_owned(),
                models: models.clone(),
                want_count,
                held_count,
            };
            if let Some(owner) = self.shard_owner(now, shard) {
                self.send(&owner, message);
            }
        }
    }

    fn send_loads(&mut self, now: Now) {
        if now.saturating_sub(self.servers.loads_at) < LOADS_INTERVAL {
            return;
        }
        self.servers.loads_at = now;
        let mut changed = Vec::new();
        for (server, owned) in &mut self.servers.owned {
            let load = ServerLoad {
                server: server.clone(),
                online_count: owned.owner.online_count(now),
                batch_count: owned.owner.running_count(),
            };
            let is_known = owned.last_load.as_ref() == Some(&load);
            // A busy server is renewed, since routers stop believing a count that is not.
            if !is_known || load.online_count > 0 {
                owned.last_load = Some(load.clone());
                changed.push(load);
            }
        }
        if changed.is_empty() {
            return;
        }
        for host in self.load_readers() {
            self.send(&host, PeerMessage::Loads(changed.clone()));
        }
    }

    /// Hosts that are told loads: all of a small fleet, else those that have requests on owned servers.
    fn load_readers(&self) -> Vec<HostId> {
        if self.live.len() <= LOADS_TO_ALL_MAX {
            return self.live.clone();
        }
        let readers: BTreeSet<&HostId> = self
            .servers
            .owned
            .values()
            .flat_map(|owned| owned.owner.routers())
            .collect();
        readers.into_iter().cloned().collect()
    }

    fn report_outcomes(&mut self, now: Now) {
        let mut due: BTreeMap<ShardId, Vec<ItemOutcome>> = BTreeMap::new();
        for ((shard, _, _), unsettled) in &mut self.servers.unsettled {
            if unsettled
                .reported_at
                .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL)
            {
                unsettled.reported_at = Some(now);
                due.entry(*shard)
                    .or_default()
                    .push(unsettled.outcome.clone());
            }
        }
        for (shard, outcomes) in due {
            if let Some(owner) = self.shard_owner(now, shard) {
                self.send(&owner, PeerMessage::Outcomes { shard, outcomes });
            }
        }
    }

    /// Owners stop believing a count that is not renewed.
    fn renew_counts(&mut self, now: Now) {
        if self.servers.loads_at == now {
            self.touched
                .extend(self.router.busy_servers().map(|(server, _)| server.clone()));
        }
    }
}

/// Which shards a server asks, and for how many items each: those that gave items lately, and one other in turn.
fn demand_shares(
    owned: &mut OwnedServer,
    now: Now,
    want: u32,
    shard_count: u16,
) -> Vec<(ShardId, u32)> {
    owned
        .had_work
        .retain(|_, at| now.saturating_sub(*at) < WORK_MEMORY);
    let mut shards: Vec<ShardId> = owned
        .had_work
        .keys()
        .copied()
        .take(SHARDS_ASKED_MAX - 1)
        .collect();
    let probes = SHARDS_ASKED_MAX - shards.len();
    for _ in 0..probes.min(usize::from(shard_count)) {
        owned.next_probe = (owned.next_probe + 1) % shard_count.max(1);
        if !shards.contains(&owned.next_probe) {
            shards.push(owned.next_probe);
        }
    }
    let giving = owned.had_work.len().min(SHARDS_ASKED_MAX - 1) as u32;
    let share = want.div_ceil(giving.max(1));
    let is_giving = |shard: &ShardId| giving == 0 || owned.had_work.contains_key(shard);
    shards
        .into_iter()
        .map(|shard| {
            let want_count = if is_giving(&shard) {
                share
            } else {
                share.min(1)
            };
            (shard, want_count)
        })
        .collect()
}

fn backend_servers(config: &ConfigFold) -> Vec<BackendServer> {
    config
        .list(Kind::BackendServer)
        .filter_map(|stored| match &stored.resource {
            Resource::BackendServer(server) => Some(server.clone()),
            _ => None,
        })
        .collect()
}

fn is_engine(server: &BackendServer) -> bool {
    matches!(server.role, ServerRole::Engine { .. })
}

fn route_server(server: &BackendServer, is_leaving: bool) -> RouteServer {
    let (targets, capacity) = match &server.role {
        ServerRole::Engine {
            models,
            max_sequences,
        } => {
            let models = models
                .iter()
                .map(|version| Target::Model(version.model.clone()));
            (models.collect(), *max_sequences)
        }
        ServerRole::Plain {
            service,
            max_requests,
        } => (vec![Target::Service(service.clone())], *max_requests),
    };
    RouteServer {
        server: server.name.clone(),
        address: server.address.clone(),
        targets,
        capacity,
        is_usable: !server.is_draining && !is_leaving,
    }
}

/// The lowest weight of the serving resources whose models the server has loaded.
fn batch_weight(config: &ConfigFold, server: &BackendServer) -> f64 {
    let ServerRole::Engine { models, .. } = &server.role else {
        return DEFAULT_BATCH_WEIGHT;
    };
    let carries = |serving: &Serving| {
        serving
            .models
            .iter()
            .any(|version| models.contains(version))
    };
    let weights = config
        .list(Kind::Serving)
        .filter_map(|stored| match &stored.resource {
            Resource::Serving(serving) if carries(serving) => Some(serving.batch_weight),
            _ => None,
        });
    weights.reduce(f64::min).unwrap_or(DEFAULT_BATCH_WEIGHT)
}

fn work_item(shard: ShardId, from: &str, item: HandedItem) -> WorkItem {
    WorkItem {
        shard,
        given_by: from.to_owned(),
        job: item.job,
        item: item.item,
        chunk: item.chunk,
        index_in_chunk: item.index_in_chunk,
        model: item.model,
        deadline_ms: item.deadline_ms,
        must_run_alone: item.must_run_alone,
    }
}
