//! Backend servers: the routing table, and the servers that this host owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bamboo_admit::AdmitOptions;
use bamboo_admit::RunKey;
use bamboo_admit::ServerOwner;
use bamboo_config::BackendServer;
use bamboo_config::ConfigState;
use bamboo_config::Resource;
use bamboo_config::ResourceKind;
use bamboo_config::ServerRole;
use bamboo_config::Serving;
use bamboo_events::EventKind;
use bamboo_log::ItemOutcome;
use bamboo_member::rendezvous_owner;
use bamboo_route::RouteServer;
use bamboo_route::Target;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_wire::ServerLoad;

use crate::HostCore;
use crate::Output;
use crate::RunRef;

/// Number of unacknowledged outcomes at which a host stops starting items.
pub(crate) const UNACKNOWLEDGED_MAX: usize = 20_000;
/// Weight of batch work on a server whose models no serving resource names.
const DEFAULT_BATCH_WEIGHT: f64 = 0.5;

/// A backend server that this host owns.
#[derive(Debug)]
pub(crate) struct OwnedServer {
    pub(crate) ownership_term: u64,
    pub(crate) address: String,
    pub(crate) models: Vec<ModelId>,
    pub(crate) owner: ServerOwner,
    /// Whether the runs that earlier owners left on the server have been cancelled; no item is started before.
    pub(crate) has_cleared_orphans: bool,
    pub(crate) last_demand_at: Timestamp,
    /// Shards that assigned items to the server recently, and when.
    pub(crate) recent_shards: BTreeMap<ShardId, Timestamp>,
    pub(crate) next_probed_shard: ShardId,
    pub(crate) last_load: Option<ServerLoad>,
}

/// An outcome that its shard owner has not yet acknowledged as committed or ignored.
#[derive(Debug)]
pub(crate) struct UnacknowledgedOutcome {
    pub(crate) outcome: ItemOutcome,
    pub(crate) reported_at: Option<Timestamp>,
}

/// Owners of all servers, and the state of those that this host owns.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    /// Number of the newest term. Each time this host becomes owner of a server, a new term starts.
    pub(crate) last_ownership_term: u64,
    pub(crate) owners: BTreeMap<BackendServerId, HostId>,
    pub(crate) owned: BTreeMap<BackendServerId, OwnedServer>,
    pub(crate) leaving: BTreeSet<BackendServerId>,
    pub(crate) unacknowledged: BTreeMap<(ShardId, JobId, ItemIndex), UnacknowledgedOutcome>,
    /// The highest epoch seen of each shard.
    pub(crate) shard_epochs: BTreeMap<ShardId, Offset>,
    pub(crate) loads_sent_at: Timestamp,
}

impl ServerTable {
    pub(crate) fn owner_of(&self, server: &str) -> Option<&str> {
        self.owners.get(server).map(String::as_str)
    }

    /// Reference to a run on a server in its current ownership term.
    pub(crate) fn run_ref(&self, server: &str, key: RunKey) -> RunRef {
        let ownership_term = self
            .owned
            .get(server)
            .map_or(0, |owned| owned.ownership_term);
        RunRef {
            server: server.to_owned(),
            ownership_term,
            key,
        }
    }

    /// The server of a run, unless the run belongs to an earlier ownership term.
    pub(crate) fn server_of_run(&mut self, run: &RunRef) -> Option<&mut OwnedServer> {
        let owned = self.owned.get_mut(&run.server)?;
        (owned.ownership_term == run.ownership_term).then_some(owned)
    }

    /// Sets the servers that are leaving; returns whether they changed.
    pub(crate) fn set_leaving(&mut self, servers: Vec<BackendServerId>) -> bool {
        let leaving = servers.into_iter().collect();
        let has_changed = self.leaving != leaving;
        self.leaving = leaving;
        has_changed
    }

    pub(crate) fn set_online_count(
        &mut self,
        now: Timestamp,
        server: &str,
        router: &str,
        in_flight: u32,
    ) -> bool {
        match self.owned.get_mut(server) {
            Some(owned) => {
                owned.owner.set_online_count(now, router, in_flight);
                true
            }
            None => false,
        }
    }

    pub(crate) fn remove_acknowledged(&mut self, shard: ShardId, items: &[(JobId, ItemIndex)]) {
        for (job, item) in items {
            self.unacknowledged.remove(&(shard, *job, *item));
        }
    }

    /// Records the epoch of a shard, so that items assigned by earlier owners are rejected.
    pub(crate) fn observe_epoch(&mut self, shard: ShardId, epoch: Offset) {
        let newest = self.shard_epochs.entry(shard).or_insert(epoch);
        *newest = (*newest).max(epoch);
    }

    pub(crate) fn unacknowledged_count(&self) -> usize {
        self.unacknowledged.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.owned
            .values()
            .all(|owned| owned.owner.held_count() == 0)
    }

    pub(crate) fn counts(&self, now: Timestamp) -> Vec<(BackendServerId, u32, u32)> {
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

    pub(crate) fn held_items_of(&self, server: &str, shard: ShardId) -> Vec<(JobId, ItemIndex)> {
        let running = self
            .owned
            .get(server)
            .map(|owned| owned.owner.held_items(shard))
            .unwrap_or_default();
        let reported = self
            .unacknowledged
            .range((shard, 0, 0)..=(shard, JobId::MAX, ItemIndex::MAX));
        let reported_by_server =
            reported.filter(|(_, unacknowledged)| unacknowledged.outcome.server == server);
        running
            .into_iter()
            .chain(reported_by_server.map(|((_, job, item), _)| (*job, *item)))
            .collect()
    }
}

impl HostCore {
    /// Rebuilds the routing table and the set of owned servers.
    pub(crate) fn refresh_servers(&mut self, now: Timestamp) {
        let config = self.config.shared_state();
        let servers = backend_servers(&config);
        let leaving = &self.servers.leaving;
        let table = servers
            .iter()
            .map(|server| to_route_server(server, leaving.contains(&server.name)))
            .collect();
        self.router.set_servers(table, self.live_hosts.len());
        self.refresh_owned_servers(now, &config, &servers);
    }

    pub(crate) fn tick_servers(&mut self, now: Timestamp) {
        let servers: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in &servers {
            self.return_while_backing_off(now, server);
            self.return_items_of_unresponsive_owners(now, server);
            self.advance_server(now, server);
            self.send_demands(now, server);
        }
        self.send_loads(now);
        self.report_outcomes(now);
        self.renew_counts(now);
    }

    fn refresh_owned_servers(
        &mut self,
        now: Timestamp,
        config: &ConfigState,
        servers: &[BackendServer],
    ) {
        let mut owners = BTreeMap::new();
        for server in servers {
            if let Some(owner) = rendezvous_owner(&self.live_hosts, &server.name) {
                owners.insert(server.name.clone(), owner.to_owned());
            }
        }
        let own_host = self.options.host.clone();
        let is_owned_here = |name: &str| owners.get(name).is_some_and(|owner| *owner == own_host);
        let lost: Vec<BackendServerId> = self
            .servers
            .owned
            .keys()
            .filter(|name| !is_owned_here(name))
            .cloned()
            .collect();
        let engines = servers.iter().filter(|server| is_owned_here(&server.name));
        let engines: Vec<&BackendServer> = engines.filter(|server| is_engine(server)).collect();
        for name in lost {
            self.drop_owned_server(now, &name);
        }
        for server in engines {
            self.update_owned_server(now, config, server);
        }
        let has_changed = self.servers.owners != owners;
        self.servers.owners = owners;
        if has_changed {
            // The new owners have to learn of the requests in flight on their servers.
            self.unreported_counts
                .extend(self.router.busy_servers().map(|(server, _)| server.clone()));
        }
    }

    fn update_owned_server(
        &mut self,
        now: Timestamp,
        config: &ConfigState,
        server: &BackendServer,
    ) {
        let ServerRole::Engine {
            models,
            max_sequences,
        } = &server.role
        else {
            return;
        };
        let options = AdmitOptions::with_batch_weight(*max_sequences, batch_weight(config, server));
        let is_draining = server.is_draining || self.servers.leaving.contains(&server.name);
        let is_new = !self.servers.owned.contains_key(&server.name);
        self.servers.last_ownership_term += u64::from(is_new);
        let ownership_term = self.servers.last_ownership_term;
        let owned = self
            .servers
            .owned
            .entry(server.name.clone())
            .or_insert_with(|| OwnedServer {
                ownership_term,
                address: server.address.clone(),
                models: Vec::new(),
                owner: ServerOwner::new(options.clone()),
                has_cleared_orphans: false,
                last_demand_at: now,
                recent_shards: BTreeMap::new(),
                next_probed_shard: 0,
                last_load: None,
            });
        owned.address.clone_from(&server.address);
        owned.models = models.iter().map(|version| version.model.clone()).collect();
        owned.owner.set_options(options);
        owned.owner.set_draining(is_draining);
        if is_new {
            self.event(EventKind::ServerOwned, server.name.clone(), String::new());
            self.output(Output::CancelOrphanedRuns {
                server: server.name.clone(),
                address: server.address.clone(),
            });
        }
        if is_draining {
            self.return_waiting(now, &server.name);
        }
    }

    fn drop_owned_server(&mut self, now: Timestamp, server: &str) {
        let Some(owned) = self.servers.owned.get(server) else {
            return;
        };
        let keys = owned.owner.keys_where(|_| true);
        self.return_items(now, server, keys);
        self.servers.owned.remove(server);
        self.event(EventKind::ServerLost, server.to_owned(), String::new());
    }
}

fn backend_servers(config: &ConfigState) -> Vec<BackendServer> {
    config
        .list(ResourceKind::BackendServer)
        .filter_map(|stored| match &stored.resource {
            Resource::BackendServer(server) => Some(server.clone()),
            _ => None,
        })
        .collect()
}

fn is_engine(server: &BackendServer) -> bool {
    matches!(server.role, ServerRole::Engine { .. })
}

fn to_route_server(server: &BackendServer, is_leaving: bool) -> RouteServer {
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
        name: server.name.clone(),
        address: server.address.clone(),
        targets,
        capacity,
        is_usable: !server.is_draining && !is_leaving,
    }
}

/// The lowest batch weight of the serving resources whose models the server has loaded.
fn batch_weight(config: &ConfigState, server: &BackendServer) -> f64 {
    let ServerRole::Engine { models, .. } = &server.role else {
        return DEFAULT_BATCH_WEIGHT;
    };
    let serves_loaded_model = |serving: &Serving| {
        serving
            .models
            .iter()
            .any(|version| models.contains(version))
    };
    let weights = config
        .list(ResourceKind::Serving)
        .filter_map(|stored| match &stored.resource {
            Resource::Serving(serving) if serves_loaded_model(serving) => {
                Some(serving.batch_weight)
            }
            _ => None,
        });
    weights.reduce(f64::min).unwrap_or(DEFAULT_BATCH_WEIGHT)
}
