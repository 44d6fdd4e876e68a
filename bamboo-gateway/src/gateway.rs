//! State of the process, and its messages to and from other hosts.

mod crashes;
mod heartbeat;
mod leaving;
mod limits;
mod peers;
mod quarantine;
mod rates;
mod server_connections;
mod server_reports;
mod servers;
mod store_calls;
mod streams;
mod version_history;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bamboo_coordination::Admission;
use bamboo_coordination::ArrivingRequest;
use bamboo_coordination::CoordinatorTracker;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use bamboo_coordination::RunTimes;
use bamboo_coordination::StreamOrigins;
use bamboo_coordination::admit_request;
use bamboo_coordination::last_run_start;
use bamboo_coordination::requests_end_at;
use bamboo_fleet::BufferBudget;
use bamboo_fleet::Directory;
use bamboo_fleet::DirectoryReads;
use bamboo_fleet::FleetConfig;
use bamboo_fleet::FormerBatchRoutes;
use bamboo_fleet::Server;
use bamboo_relay::ServerPaths;
use bamboo_relay::StorePath;
use bamboo_slots::Broker;
use bamboo_slots::DeadlineHistory;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Offset;
use bamboo_types::SoftwareVersion;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::jobs::JobShards;
use crate::mesh::LinkFailure;
use crate::mesh::Mesh;
use crate::mesh::ProtocolVersion;
use crate::mesh::Tunnels;
use crate::metrics::KindLabel;
use crate::metrics::Metrics;
use crate::request_log::LineClass;
use crate::request_log::RequestLog;
use crate::resource_limits::ResourceLimits;
use crate::settings::Settings;
use crate::slot_requests::SlotRequestTable;
use crate::store::StoreClient;
use crate::traffic::CallerBodies;
use crate::traffic::Connections;
use crate::traffic::LoadBalancer;
use crate::traffic::ServerPool;

use crashes::CrashState;
pub(crate) use crashes::OpenCheck;
pub(crate) use crashes::Rejection;
use rates::Rates;
pub(crate) use server_connections::ServerCheck;
use server_connections::ServerChecks;
use servers::EntriesEnd;
pub(crate) use streams::OriginAnswer;

/// Phase of the process, from start to shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serves requests.
    Serving,
    /// Drains: finishes open requests, and still accepts new ones that can end in time.
    Stopping,
    /// Accepts no more connections, and closes open ones once their responses are sent.
    Closing,
    /// Ends the open requests, and sends their callers what it knows of them.
    Ending,
}

/// Counts a request as open until dropped, which must not be before its response has been sent.
pub(crate) struct OpenRequest(Rc<Gateway>);

impl OpenRequest {
    pub(crate) fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        OpenRequest(Rc::clone(gateway))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Receivers that the gateway's background tasks read from.
pub(crate) struct TaskInputs {
    /// Hosts to fetch a newer configuration from.
    pub(crate) config_fetches: mpsc::UnboundedReceiver<HostId>,
    /// Hosts whose link failed.
    pub(crate) link_failure_queue: mpsc::UnboundedReceiver<LinkFailure>,
}

/// A configuration as the store holds it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigRecord {
    /// Offset in the topic of the configuration. The next version has a higher one.
    pub offset: Offset,
    /// Configuration in the encoding of the store. It has the keys of callers as text.
    pub value: Vec<u8>,
}

impl fmt::Debug for ConfigRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigRecord")
            .field("offset", &self.offset)
            .finish_non_exhaustive()
    }
}

/// State of the process. The process is single-threaded, so the fields are cells rather than locks.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) local: HostInfo,
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    config_record: RefCell<Option<Rc<ConfigRecord>>>,
    pub(crate) former_routes: RefCell<FormerBatchRoutes>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) load_balancer: RefCell<LoadBalancer>,
    pub(crate) pool: ServerPool,
    pub(crate) limits: ResourceLimits,
    pub(crate) caller_buffers: Arc<BufferBudget>,
    pub(crate) caller_bodies: CallerBodies,
    pub(crate) caller_connections: Rc<Connections>,
    pub(crate) host_buffers: Arc<BufferBudget>,
    /// For what arrives from hosts that have not said who they are.
    pub(crate) greeting_buffers: Arc<BufferBudget>,
    /// For the streams of connections from other hosts, besides their messages.
    pub(crate) host_streams: Arc<BufferBudget>,
    pub(crate) host_connections: Rc<Connections>,
    pub(crate) server_buffers: Arc<BufferBudget>,
    pub(crate) mesh: Mesh,
    pub(crate) slot_requests: SlotRequestTable,
    pub(crate) coordination: RefCell<CoordinatorTracker>,
    stream_origins: RefCell<StreamOrigins>,
    crashes: CrashState,
    /// Coordinator that this host has told what it knows of servers.
    briefed_coordinator: RefCell<Option<(HostId, Incarnation)>>,
    /// Servers that named a limit which is no number.
    unreadable_limits: RefCell<HashSet<BackendServerId>>,
    broker: RefCell<Broker>,
    rates: Rates,
    reports: RefCell<Reports>,
    /// Versions of the messages that other hosts decode, as they said when they opened their links. A host that was silent keeps its
    /// link, and does not say it again.
    protocol_versions: RefCell<HashMap<HostId, ProtocolVersion>>,
    store: StoreClient,
    store_returns: watch::Sender<()>,
    store_path: RefCell<StorePath>,
    server_paths: RefCell<ServerPaths>,
    server_checks: RefCell<ServerChecks>,
    /// When each server was last heard.
    servers_heard: RefCell<HashMap<BackendServerId, Duration>>,
    /// Hosts through which servers may be reached, and when they were listed.
    server_relays: RefCell<Option<(Duration, Rc<[HostId]>)>>,
    tunnels: Tunnels,
    /// How far this host has followed the servers' entries.
    servers_read: watch::Sender<Option<DirectoryReads>>,
    /// Wakes the reader of the servers' entries.
    pub(crate) servers_behind: Notify,
    /// End of the servers' entries in the store, as last asked for.
    servers_end: tokio::sync::Mutex<Option<EntriesEnd>>,
    /// Whether the store's records named all versions that servers have had; `None` until they have been read.
    versions_recalled: tokio::sync::Mutex<Option<bool>>,
    servers_known: Notify,
    pub(crate) jobs: JobShards,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    stop_began_at: Cell<Option<Duration>>,
    is_config_fetch_pending: Cell<bool>,
    config_fetches: mpsc::UnboundedSender<HostId>,
    open_requests: Cell<usize>,
    request_log: RequestLog,
    deadline_histories: RefCell<HashMap<String, DeadlineHistory>>,
    /// How long requests took lately, by route.
    run_times: RefCell<HashMap<String, RunTimes>>,
    load_logged_at_s: Cell<u64>,
}

impl Gateway {
    /// Creates the state, and the receivers of its background tasks.
    pub(crate) fn new(settings: Settings, dialect: Dialect) -> (Rc<Self>, TaskInputs) {
        let local = HostInfo {
            host: settings.peer_address().to_string(),
            data_centre: settings.data_centre.clone(),
            size: (settings.cpu_share * 1000.0) as u64,
            incarnation: rand::rng().random(),
            knows_servers: false,
        };
        let mut coordination = CoordinatorTracker::new(local.clone());
        for seed in &settings.seeds {
            if seed.ip() != settings.ip {
                coordination.add_address(format!("{}:{}", seed.ip(), settings.peer_port));
            }
        }
        let (phase, _) = watch::channel(Phase::Serving);
        let (config_fetches, config_fetch_queue) = mpsc::unbounded_channel();
        let (link_failures, link_failure_queue) = mpsc::unbounded_channel();
        let metrics = Metrics::default();
        let store_metrics = metrics.store.clone();
        let clock = Clock::start();
        let limits = ResourceLimits::derive(&settings);
        let caller_buffers = BufferBudget::new(limits.caller_bytes);
        let broker = Broker::new(local.host.clone());
        let rates = Rates::new(local.host.clone(), clock.boot_time());
        let gateway = Rc::new(Gateway {
            store: StoreClient::new(settings.store.address, dialect.clone())
                .with_metrics(store_metrics),
            store_returns: watch::Sender::new(()),
            mesh: Mesh::new(
                local.clone(),
                link_failures,
                metrics.peer_bytes.clone(),
                BufferBudget::new(limits.unsent_bytes),
            ),
            local,
            settings,
            dialect,
            clock,
            config: RefCell::new(None),
            config_record: RefCell::new(None),
            former_routes: RefCell::default(),
            directory: RefCell::new(Directory::default()),
            load_balancer: RefCell::new(LoadBalancer::default()),
            pool: ServerPool::default(),
            limits,
            caller_bodies: CallerBodies::new(Arc::clone(&caller_buffers), clock),
            caller_buffers,
            caller_connections: Connections::new(limits.caller_connections, clock),
            host_buffers: BufferBudget::new(limits.host_bytes),
            greeting_buffers: BufferBudget::new(limits.greeting_bytes),
            host_streams: BufferBudget::new(limits.host_stream_bytes),
            host_connections: Connections::new(limits.host_connections, clock),
            server_buffers: BufferBudget::new(limits.server_bytes),
            slot_requests: SlotRequestTable::new(),
            coordination: RefCell::new(coordination),
            stream_origins: RefCell::default(),
            crashes: CrashState::default(),
            briefed_coordinator: RefCell::default(),
            unreadable_limits: RefCell::default(),
            broker: RefCell::new(broker),
            rates,
            reports: RefCell::new(Reports::default()),
            protocol_versions: RefCell::default(),
            store_path: RefCell::default(),
            server_paths: RefCell::default(),
            server_checks: RefCell::default(),
            servers_heard: RefCell::default(),
            server_relays: RefCell::default(),
            tunnels: Tunnels::default(),
            servers_read: watch::Sender::new(None),
            servers_behind: Notify::new(),
            servers_end: tokio::sync::Mutex::new(None),
            versions_recalled: tokio::sync::Mutex::new(None),
            servers_known: Notify::new(),
            jobs: JobShards::new(&limits),
            metrics,
            phase,
            stop_began_at: Cell::new(None),
            is_config_fetch_pending: Cell::new(false),
            config_fetches,
            open_requests: Cell::new(0),
            request_log: RequestLog::default(),
            deadline_histories: RefCell::default(),
            run_times: RefCell::default(),
            load_logged_at_s: Cell::new(0),
        });
        let inputs = TaskInputs {
            config_fetches: config_fetch_queue,
            link_failure_queue,
        };
        (gateway, inputs)
    }

    /// Number of callers' requests in progress.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts and logs that a caller is turned away because a limit of the process is reached.
    pub(crate) fn turn_away(&self, kind: &'static str) {
        let counter = self.metrics.turned_away.get_or_create(&KindLabel { kind });
        counter.inc();
        if self.may_log(LineClass::TurnedAway) {
            log::warn!(
                event = "turned_away", reason = kind, buffered_bytes = self.caller_buffers.used_bytes(),
                connections = self.caller_connections.len();
                "a caller is turned away because a limit of this process is reached"
            );
        }
    }

    /// Whether another line of a class may be logged in this second.
    pub(crate) fn may_log(&self, class: LineClass) -> bool {
        self.request_log.may_write(class, self.clock.now())
    }

    /// Records the deadline that a caller sent for a request of a route. Returns an estimate of how long the caller has
    /// been waiting.
    pub(crate) fn record_deadline(&self, route: &str, deadline: Duration) -> Duration {
        let age = self.clock.now();
        let mut histories = self.deadline_histories.borrow_mut();
        match histories.get_mut(route) {
            Some(history) => history.record(deadline, age),
            None => {
                let history = histories.entry(route.to_owned()).or_default();
                history.record(deadline, age)
            }
        }
    }

    /// Whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Whether this host is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.borrow().is_some() && self.jobs.has_joined()
    }

    /// When a run of a caller's request must have begun, if this host stops and the request is not certain to end before.
    pub(crate) fn run_begins_until(&self, route: &str, deadline: Duration) -> Option<Duration> {
        let began_at = self.stop_began_at.get()?;
        let grace = self.settings.stop_grace();
        if deadline <= began_at + requests_end_at(grace) {
            return None;
        }
        Some(began_at + last_run_start(grace, self.longest_run_time(route)))
    }

    /// Whether to take a request of a route whose response is due at `deadline`.
    pub(crate) fn admits(&self, route: &str, deadline: Duration) -> bool {
        let Some(began_at) = self.stop_began_at.get() else {
            return true;
        };
        let now = self.clock.now();
        let request = ArrivingRequest {
            elapsed: now.saturating_sub(began_at),
            grace: self.settings.stop_grace(),
            time_limit: deadline.saturating_sub(now),
            run_time: self.longest_run_time(route),
        };
        admit_request(&request) == Admission::Serve
    }

    /// Records how long a request of a route took from its first run to the end of its response.
    pub(crate) fn record_run_time(&self, route: &str, run_time: Duration) {
        let mut run_times = self.run_times.borrow_mut();
        match run_times.get_mut(route) {
            Some(run_times) => run_times.record(run_time),
            None => {
                run_times
                    .entry(route.to_owned())
                    .or_default()
                    .record(run_time);
            }
        }
    }

    fn longest_run_time(&self, route: &str) -> Option<Duration> {
        self.run_times.borrow().get(route)?.longest()
    }

    /// Waits until a shutdown has reached a phase.
    pub(crate) async fn wait_for_phase(&self, awaited: Phase) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the process.
        let _ = phase.wait_for(|phase| *phase >= awaited).await;
    }

    /// Whether the open requests are being ended.
    pub(crate) fn is_ending(&self) -> bool {
        *self.phase.borrow() == Phase::Ending
    }

    /// The current configuration.
    pub(crate) fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// The record of the current configuration.
    pub(crate) fn config_record(&self) -> Option<Rc<ConfigRecord>> {
        self.config_record.borrow().clone()
    }

    /// Applies a configuration unless the current one is at least as new.
    pub(crate) fn apply_config(&self, record: ConfigRecord, source: &str) {
        let is_known = |known: &Rc<ConfigRecord>| known.offset >= record.offset;
        if self.config_record.borrow().as_ref().is_some_and(is_known) {
            return;
        }
        let config = match (self.dialect.decode_config)(&record.value) {
            Ok(config) => config,
            Err(error) => {
                log::error!(event = "config_unreadable", source; "cannot parse the configuration: {error:#}");
                return;
            }
        };
        let version = self.config_version();
        if config.version <= version && self.config.borrow().is_some() {
            return;
        }
        log::info!(
            event = "config", version = config.version, before = version, source, routes = config.routes.len();
            "applied a new configuration"
        );
        let routes: HashSet<&str> = config
            .routes
            .iter()
            .map(|route| route.name.as_str())
            .collect();
        self.deadline_histories
            .borrow_mut()
            .retain(|route, _| routes.contains(route.as_str()));
        self.run_times
            .borrow_mut()
            .retain(|route, _| routes.contains(route.as_str()));
        self.metrics
            .config_version
            .set(i64::try_from(config.version).unwrap_or(i64::MAX));
        if let Some(replaced) = self.config() {
            let mut former_routes = self.former_routes.borrow_mut();
            former_routes.record_replaced(&replaced, self.clock.now(), self.results_kept());
        }
        *self.config_record.borrow_mut() = Some(Rc::new(record));
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.update_rates();
        self.refresh_engines();
        self.jobs.config_changed();
        self.update_knows_servers();
    }

    /// Version of the current configuration, 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Updates every known engine at the broker, since its profile may have changed.
    fn refresh_engines(&self) {
        let servers: Vec<Rc<Server>> = self.directory.borrow().iter().cloned().collect();
        for server in servers {
            self.put_engine(&server, false);
        }
    }

    /// Adds or updates a server at the broker if it is a model engine.
    pub(crate) fn put_engine(&self, server: &Server, is_restarted: bool) {
        let Some(config) = self.config() else { return };
        let Some(service) = config.services.get(&server.service) else {
            return;
        };
        let Some(profile) = &service.engine else {
            return;
        };
        let slots = if server.slots > 0 {
            server.slots
        } else {
            profile.slots
        };
        let engine = bamboo_slots::Engine {
            server: server.id.clone(),
            service: server.service.clone(),
            data_centre: server.data_centre.clone(),
            slots: slots as usize,
            is_ready: server.state == bamboo_fleet::ServerState::Ready,
            version: server.version.clone(),
        };
        let now = self.clock.now();
        self.broker
            .borrow_mut()
            .put_engine(engine, is_restarted, now);
        self.send_broker_actions();
    }

    /// Removes a server from the broker.
    pub(crate) fn remove_engine(&self, server: &str) {
        self.forget_limit(server);
        self.broker.borrow_mut().remove_engine(server);
        self.send_broker_actions();
    }

    /// Picks a server by this host's own view of load and health, without the coordinator, among those that name no limit
    /// for their requests. If a version is required, only a server of that version.
    pub(crate) fn pick_server(
        &self,
        service: &str,
        excluded: &[BackendServerId],
        version: Option<&SoftwareVersion>,
    ) -> Option<Rc<Server>> {
        let now = self.clock.now();
        let mut servers = self.directory.borrow().ready(service, now);
        servers.retain(|server| version.is_none_or(|version| *version == server.version));
        servers.retain(|server| !self.broker.borrow().limits().is_limited(&server.id));
        self.load_balancer
            .borrow()
            .pick(&servers, excluded, &self.settings.data_centre, now)
    }

    /// How long results stay readable after their job is complete or cancelled.
    pub(crate) fn results_kept(&self) -> Duration {
        Duration::from_millis((self.settings.promises.results_kept_s * 1000.0) as u64)
    }
}
