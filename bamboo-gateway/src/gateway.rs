//! State of the process and the messages between hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::BEAT_INTERVAL;
use bamboo_coordination::Beat;
use bamboo_coordination::Board;
use bamboo_coordination::Coordination;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use bamboo_coordination::Room;
use bamboo_fleet::Directory;
use bamboo_fleet::FleetConfig;
use bamboo_fleet::Server;
use bamboo_slots::Action;
use bamboo_slots::Ask;
use bamboo_slots::AskId;
use bamboo_slots::Broker;
use bamboo_slots::SETTLE;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::asks::AskAnswer;
use crate::asks::AskBook;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::jobs::JobShards;
use crate::mesh::AskNote;
use crate::mesh::Mesh;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::traffic::Picker;
use crate::traffic::ServerPool;

/// Time for a store call that another host makes.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that this host's own watch has to learn of a configuration before it asks another host.
const CONFIG_PATIENCE: Duration = Duration::from_millis(300);
/// Time for asking another host for the configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(800);
/// Age from which an ask that its host does not name any more is dropped: four beats.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(1);

/// What the process is about to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Serves.
    Serving,
    /// Finishes what it has, and still takes requests on open connections.
    Stopping,
    /// Closes connections after their answers.
    Closing,
}

/// Log lines about requests that one second may have.
const REQUEST_LINES_PER_S: u32 = 60;

/// A request that is counted until it ends.
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

/// What tasks of the gateway wait for.
pub(crate) struct Followers {
    /// Hosts to ask for the configuration.
    pub(crate) config_asks: mpsc::UnboundedReceiver<HostId>,
    /// Hosts to which the link broke.
    pub(crate) broken_links: mpsc::UnboundedReceiver<HostId>,
}

/// Bounds the lines of one second.
#[derive(Debug, Default)]
struct LineBudget {
    second: Cell<u64>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

/// All state of the process, on its one thread.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) me: HostInfo,
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    config_bytes: RefCell<Vec<u8>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) picker: RefCell<Picker>,
    pub(crate) pool: ServerPool,
    pub(crate) mesh: Mesh,
    pub(crate) asks: AskBook,
    pub(crate) coordination: RefCell<Coordination>,
    broker: RefCell<Broker>,
    reports: RefCell<Reports>,
    store: StoreClient,
    is_store_reached: Cell<bool>,
    pub(crate) jobs: JobShards,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    is_config_asked: Cell<bool>,
    config_asks: mpsc::UnboundedSender<HostId>,
    open_requests: Cell<usize>,
    lines: LineBudget,
    load_logged_s: Cell<u64>,
}

impl Gateway {
    /// State of a process that begins, and what its tasks wait for.
    pub(crate) fn new(settings: Settings, dialect: Dialect) -> (Rc<Self>, Followers) {
        let me = HostInfo {
            host: settings.peer_address().to_string(),
            data_centre: settings.data_centre.clone(),
            size: (settings.cpu_share * 1000.0) as u64,
            run: rand::rng().random(),
        };
        let mut coordination = Coordination::new(me.clone());
        for seed in &settings.seeds {
            if seed.ip() != settings.ip {
                coordination.learn_address(format!("{}:{}", seed.ip(), settings.peer_port));
            }
        }
        let (phase, _) = watch::channel(Phase::Serving);
        let (config_asks, asked) = mpsc::unbounded_channel();
        let (links, broken) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway {
            store: StoreClient::new(settings.store.address, dialect.clone()),
            mesh: Mesh::new(me.clone(), links),
            me,
            settings,
            dialect,
            clock: Clock::start(),
            config: RefCell::new(None),
            config_bytes: RefCell::new(Vec::new()),
            directory: RefCell::new(Directory::default()),
            picker: RefCell::new(Picker::default()),
            pool: ServerPool::default(),
            asks: AskBook::default(),
            coordination: RefCell::new(coordination),
            broker: RefCell::new(Broker::default()),
            reports: RefCell::new(Reports::default()),
            is_store_reached: Cell::new(true),
            jobs: JobShards::default(),
            metrics: Metrics::default(),
            phase,
            is_config_asked: Cell::new(false),
            config_asks,
            open_requests: Cell::new(0),
            lines: LineBudget::default(),
            load_logged_s: Cell::new(0),
        });
        let followers = Followers {
            config_asks: asked,
            broken_links: broken,
        };
        (gateway, followers)
    }

    /// Requests of callers that are being served.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Whether one more line about a request may be written in this second; counts those that may not.
    pub(crate) fn may_log(&self) -> bool {
        let lines = &self.lines;
        let second = self.clock.now().as_secs();
        if lines.second.replace(second) != second {
            let dropped = lines.dropped.replace(0);
            if dropped > 0 {
                log::warn!(event = "lines_dropped", dropped; "lines about requests were left out");
            }
            lines.written.set(0);
        }
        if lines.written.get() >= REQUEST_LINES_PER_S {
            lines.dropped.set(lines.dropped.get() + 1);
            return false;
        }
        lines.written.set(lines.written.get() + 1);
        true
    }

    /// Whether the process is about to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Whether this host can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.borrow().is_some() && self.jobs.has_joined()
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Takes a configuration unless it is older than the one in force.
    pub(crate) fn take_config(&self, bytes: &[u8], source: &str) {
        let config = match (self.dialect.config)(bytes) {
            Ok(config) => config,
            Err(error) => {
                log::error!(event = "config_unreadable", source; "configuration cannot be read: {error:#}");
                return;
            }
        };
        let version = self.config_version();
        if config.version <= version && self.config.borrow().is_some() {
            return;
        }
        log::info!(
            event = "config", version = config.version, before = version, source, routes = config.routes.len();
            "configuration in force"
        );
        *self.config_bytes.borrow_mut() = bytes.to_vec();
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.refresh_engines();
        self.jobs.config_changed();
    }

    /// Version of the configuration in force, 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Puts every known engine into the broker.
    fn refresh_engines(&self) {
        let servers: Vec<Rc<Server>> = self.directory.borrow().iter().cloned().collect();
        for server in servers {
            self.put_engine(&server, false);
        }
    }

    /// Puts a server into the broker if it is a model engine.
    pub(crate) fn put_engine(&self, server: &Server, is_new_run: bool) {
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
        };
        let now = self.clock.now();
        self.broker.borrow_mut().put_engine(engine, is_new_run, now);
        self.carry_out();
    }

    /// Takes a server that is gone out of the broker.
    pub(crate) fn remove_engine(&self, server: &str) {
        self.broker.borrow_mut().remove_engine(server);
        self.carry_out();
    }

    /// A server for a request without the coordinator.
    pub(crate) fn pick_server(
        &self,
        service: &str,
        excluded: &[BackendServerId],
    ) -> Option<Rc<Server>> {
        let now = self.clock.now();
        let servers = self.directory.borrow().ready(service, now);
        self.picker
            .borrow()
            .pick(&servers, excluded, &self.settings.data_centre, now)
    }

    /// Makes a call of the store, through another host if this one cannot reach it.
    ///
    /// # Errors
    /// Fails if neither way gives an answer.
    pub(crate) async fn store_call(
        &self,
        request: &StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        let direct = self.store.call(request).await;
        let error = match direct {
            Ok(reply) => {
                if !self.is_store_reached.replace(true) {
                    log::info!(event = "store_regained"; "the store answers again");
                }
                return Ok(reply);
            }
            Err(error) => error,
        };
        if self.is_store_reached.replace(false) {
            log::warn!(event = "store_lost"; "the store gives no answer: {error}");
        }
        let others = self.coordination.borrow().others(self.clock.now());
        if others.is_empty() {
            return Err(error);
        }
        let other = &others[rand::rng().random_range(0..others.len())];
        let relayed = PeerRequest::Store(request.clone());
        let now = self.clock.now();
        match self.mesh.call(other, relayed, RELAY_TIMEOUT, now).await {
            Some(PeerReply::Store(Ok(reply))) => Ok(reply),
            Some(PeerReply::Store(Err(StoreError::Refused(_)))) => Err(error),
            _ => Err(StoreError::Unknown(error.to_string())),
        }
    }

    /// Counts of store calls: made, and without an answer.
    pub(crate) fn store_counts(&self) -> (u64, u64) {
        self.store.counts()
    }

    /// How long calls of the store have taken lately.
    pub(crate) fn store_lately(&self) -> Duration {
        self.store.lately()
    }

    /// How long results stay readable after submission, milliseconds.
    pub(crate) fn results_kept_ms(&self) -> u64 {
        (self.settings.promises.results_kept_s * 1000.0) as u64
    }

    /// Sends a message to the coordinator, which may be this host.
    pub(crate) fn tell_coordinator(&self, message: PeerMessage) {
        let current = self.coordination.borrow().current().clone();
        self.tell(&current, message);
    }

    fn tell(&self, host: &str, message: PeerMessage) {
        match host == self.me.host {
            true => self.handle(&self.me, message),
            false => self.mesh.send(host, message, self.clock.now()),
        }
    }

    /// Takes note of a host that connected.
    pub(crate) fn host_connected(&self, info: &HostInfo) {
        self.coordination.borrow_mut().learn(info);
    }

    /// Takes a message of another host.
    pub(crate) fn peer_message(self: &Rc<Self>, sender: &HostInfo, message: PeerMessage) {
        self.coordination
            .borrow_mut()
            .heard(&sender.host, self.clock.now());
        match message {
            PeerMessage::Request { call, request } => {
                let gateway = Rc::clone(self);
                let sender = sender.host.clone();
                actix_rt::spawn(async move {
                    let reply = gateway.answer_request(&sender, request).await;
                    let now = gateway.clock.now();
                    gateway
                        .mesh
                        .send(&sender, PeerMessage::Reply { call, reply }, now);
                });
            }
            PeerMessage::Reply { call, reply } => self.mesh.answered(call, reply),
            PeerMessage::BeatSeen {
                board,
                config_version,
                is_leaving,
                wants_sync,
                coordinator,
            } => {
                if wants_sync {
                    let notes = self.asks.notes(self.clock.now());
                    self.tell(&sender.host, PeerMessage::Sync(notes));
                }
                let now = self.clock.now();
                let mut coordination = self.coordination.borrow_mut();
                if is_leaving {
                    coordination.is_leaving(sender);
                }
                if coordinator.host != sender.host {
                    coordination.named_by_other(&coordinator, now);
                }
                if coordination.current() == &sender.host
                    && let Some(board) = board
                {
                    coordination.take_board(board);
                }
                drop(coordination);
                self.learn_config(&sender.host, config_version);
            }
            message => self.handle(sender, message),
        }
    }

    /// Messages that a host may also send to itself.
    fn handle(&self, sender: &HostInfo, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Beat(beat) => self.take_beat(sender, beat, now),
            PeerMessage::Sync(notes) => {
                self.broker.borrow_mut().drop_host(&sender.host, now);
                for note in notes {
                    self.take_ask(sender, note, now);
                }
                self.carry_out();
            }
            PeerMessage::Ask(note) => {
                self.take_ask(sender, note, now);
                self.carry_out();
            }
            PeerMessage::Release {
                ask,
                server,
                outcome,
            } => {
                self.broker.borrow_mut().release(
                    &sender.host,
                    ask,
                    server.as_deref(),
                    outcome,
                    now,
                );
                self.carry_out();
            }
            PeerMessage::Grant { ask, server } => self.take_grant(&sender.host, ask, server),
            PeerMessage::Queued { ask } if self.is_coordinator(&sender.host) => {
                self.asks.answer(ask, AskAnswer::Queued);
            }
            PeerMessage::Stop { ask } if self.is_coordinator(&sender.host) => self.asks.stop(ask),
            PeerMessage::Refused { ask, retry_after } if self.is_coordinator(&sender.host) => {
                self.asks.answer(ask, AskAnswer::Refused(retry_after));
            }
            // What a host says that is no longer the coordinator comes too late.
            PeerMessage::Queued { .. } | PeerMessage::Stop { .. } | PeerMessage::Refused { .. } => {
            }
            PeerMessage::Hello(_)
            | PeerMessage::BeatSeen { .. }
            | PeerMessage::Request { .. }
            | PeerMessage::Reply { .. } => {}
        }
    }

    fn is_coordinator(&self, host: &str) -> bool {
        self.coordination.borrow().current() == host
    }

    fn take_grant(&self, coordinator: &str, ask: AskId, server: BackendServerId) {
        let granted = AskAnswer::Granted(server.clone());
        if self.is_coordinator(coordinator) && self.asks.answer(ask, granted) {
            return;
        }
        // The ask was withdrawn, or went to another coordinator, while the grant was on its way.
        let release = PeerMessage::Release {
            ask,
            server: Some(server),
            outcome: bamboo_slots::RunOutcome::Cancelled,
        };
        self.tell(coordinator, release);
    }

    fn take_ask(&self, sender: &HostInfo, note: AskNote, now: Duration) {
        let due = match note.due_in_ms {
            late if late < 0 => now.saturating_sub(Duration::from_millis(late.unsigned_abs())),
            left => now + Duration::from_millis(left.unsigned_abs()),
        };
        let left = Duration::from_millis(note.left_ms);
        let work = match note.is_online {
            true => Work::Online {
                start_by: due,
                give_up: now + left,
            },
            false => Work::Batch { due, left },
        };
        let ask = Ask {
            host: sender.host.clone(),
            ask: note.ask,
            service: note.service,
            data_centre: sender.data_centre.clone(),
            work,
            excluded: note.excluded,
        };
        let mut broker = self.broker.borrow_mut();
        match note.server {
            Some(server) => broker.hold(ask, &server, now),
            None => broker.ask(ask, now),
        }
    }

    fn take_beat(&self, sender: &HostInfo, beat: Beat, now: Duration) {
        if beat.is_probe {
            self.answer_beat(sender, None, false, now);
            return;
        }
        let asks: HashSet<AskId> = beat.asks.iter().copied().collect();
        let (known_board, version) = (beat.board, beat.config_version);
        let unknown = self.broker.borrow().unknown_asks(&sender.host, &asks);
        let mut reports = self.reports.borrow_mut();
        let is_new = reports.take(sender, beat, now);
        let wants_sync = reports.lacks_asks(&sender.host, unknown);
        let board = reports.board();
        drop(reports);
        if is_new {
            log::info!(event = "host_joined", host = sender.host.as_str(); "a host reports to this coordinator");
        }
        self.broker
            .borrow_mut()
            .reconcile(&sender.host, &asks, FORGOTTEN_AFTER, now);
        self.carry_out();
        if sender.host == self.me.host {
            self.coordination.borrow_mut().take_board(board);
            return;
        }
        let is_same = board.digest() == known_board;
        self.answer_beat(sender, (!is_same).then_some(board), wants_sync, now);
        self.learn_config(&sender.host, version);
    }

    fn answer_beat(
        &self,
        sender: &HostInfo,
        board: Option<Board>,
        wants_sync: bool,
        now: Duration,
    ) {
        let seen = PeerMessage::BeatSeen {
            board,
            config_version: self.config_version(),
            is_leaving: self.is_stopping(),
            wants_sync,
            coordinator: self.coordination.borrow().current_info(),
        };
        self.mesh.send(&sender.host, seen, now);
    }

    /// Fetches a newer configuration from another host unless this host's own watch brings it soon.
    fn learn_config(&self, host: &str, version: u64) {
        if version <= self.config_version() || self.is_config_asked.replace(true) {
            return;
        }
        // The receiver lives as long as the process.
        let _ = self.config_asks.send(host.to_owned());
    }

    /// Fetches the configuration from other hosts that have a newer one, until the process ends.
    pub(crate) async fn fetch_configs(self: Rc<Self>, mut hosts: mpsc::UnboundedReceiver<HostId>) {
        while let Some(host) = hosts.recv().await {
            let before = self.config_version();
            actix_rt::time::sleep(CONFIG_PATIENCE).await;
            if self.config_version() == before {
                let now = self.clock.now();
                let reply = self
                    .mesh
                    .call(&host, PeerRequest::Config, CONFIG_TIMEOUT, now)
                    .await;
                if let Some(PeerReply::Config(bytes)) = reply {
                    self.take_config(&bytes, "host");
                }
            }
            self.is_config_asked.set(false);
        }
    }

    async fn answer_request(self: &Rc<Self>, sender: &str, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Submit {
                job,
                host,
                path,
                body,
            } => self.jobs.submit_here(self, &job, &host, &path, &body).await,
            PeerRequest::Job(call) => self.jobs.call_here(self, call).await,
            PeerRequest::Reserve {
                route,
                tokens,
                max_tokens,
            } => self.reserve(sender, &route, tokens, max_tokens),
            PeerRequest::Store(request) => PeerReply::Store(self.store.call(&request).await),
            PeerRequest::Config => PeerReply::Config(self.config_bytes.borrow().clone()),
        }
    }

    /// Reserves room for waiting tokens as the coordinator.
    pub(crate) fn reserve(
        &self,
        host: &str,
        route: &str,
        tokens: u64,
        max_tokens: u64,
    ) -> PeerReply {
        let partitions = self.settings.store.shard_count;
        let mut reports = self.reports.borrow_mut();
        match reports.reserve(host, route, tokens, max_tokens, partitions) {
            Room::Reserved(number) => PeerReply::Reserved(Some(number)),
            Room::Full => PeerReply::Reserved(None),
            Room::NotSure => PeerReply::NotSure,
        }
    }

    /// Takes note that the coordinator missed an answer. `waited` shows whether this host itself was held up.
    pub(crate) fn coordinator_is_slow(&self, ask: AskId, waited: Duration) {
        let now = self.clock.now();
        log::info!(
            event = "coordinator_slow", ask, waited_ms = waited.as_millis() as u64;
            "the coordinator did not answer an ask in time"
        );
        self.coordination.borrow_mut().missed_answer(now);
        self.choose_coordinator();
    }

    /// Takes note of broken links to other hosts, until the process ends.
    pub(crate) async fn follow_links(self: Rc<Self>, mut broken: mpsc::UnboundedReceiver<HostId>) {
        while let Some(host) = broken.recv().await {
            let now = self.clock.now();
            self.mesh.fail_calls(&host);
            if self.coordination.borrow_mut().link_broken(&host, now) {
                self.choose_coordinator();
            }
        }
    }

    /// Takes note that this host is about to stop, and lets another coordinate.
    pub(crate) fn begin_stop(&self) {
        self.phase.send_replace(Phase::Stopping);
        self.coordination.borrow_mut().is_leaving(&self.me);
        self.beat();
    }

    fn choose_coordinator(&self) {
        let now = self.clock.now();
        let mut coordination = self.coordination.borrow_mut();
        let before = coordination.current().clone();
        if !coordination.choose(now) {
            return;
        }
        let current = coordination.current().clone();
        drop(coordination);
        log::info!(
            event = "coordinator", host = current.as_str(), before = before.as_str();
            "another host coordinates slots"
        );
        self.jobs.forget_reservation();
        self.tell(&current, PeerMessage::Sync(self.asks.notes(now)));
    }

    /// Signs of life, coordinator and broker, until the process ends.
    pub(crate) async fn beat_forever(self: Rc<Self>) {
        loop {
            self.beat();
            actix_rt::time::sleep(BEAT_INTERVAL).await;
        }
    }

    /// Deals settled slots between signs of life, until the process ends.
    pub(crate) async fn settle_forever(self: Rc<Self>) {
        loop {
            let has_waiting = self.broker.borrow_mut().settle(self.clock.now());
            self.carry_out();
            let pause = if has_waiting { SETTLE } else { BEAT_INTERVAL };
            actix_rt::time::sleep(pause).await;
        }
    }

    fn beat(&self) {
        let now = self.clock.now();
        self.choose_coordinator();
        let beat = Beat {
            partitions: self.jobs.owned(),
            waiting_tokens: self.jobs.waiting_tokens(),
            reservation: self.jobs.reservation(),
            asks: self.asks.ids(),
            board: self.coordination.borrow().board_digest(),
            config_version: self.config_version(),
            is_leaving: self.is_stopping(),
            is_probe: false,
        };
        let probes = self.coordination.borrow_mut().probes(now);
        for host in probes {
            let probe = Beat {
                is_probe: true,
                ..Beat::default()
            };
            self.mesh.send(&host, PeerMessage::Beat(probe), now);
        }
        self.tell_coordinator(PeerMessage::Beat(beat));
        for lost in self.reports.borrow_mut().drop_lost(now) {
            log::warn!(event = "host_lost", host = lost.as_str(); "a host has fallen silent");
            self.broker.borrow_mut().drop_host(&lost, now);
        }
        self.broker.borrow_mut().tick(now);
        self.carry_out();
        self.log_load(now);
        self.directory.borrow_mut().expire(now);
        self.pool.close_idle(now);
        self.mesh.close_idle(now);
        if let Some((host, version)) = self.reports.borrow().newest_config() {
            self.learn_config(&host, version);
        }
    }

    /// Writes the load of the model services once a second, where this host coordinates others.
    fn log_load(&self, now: Duration) {
        let second = now.as_secs();
        if self.reports.borrow().host_count() < 2 || self.load_logged_s.replace(second) == second {
            return;
        }
        let Some(config) = self.config() else { return };
        for service in config
            .services
            .values()
            .filter(|service| service.engine.is_some())
        {
            let load = self.broker.borrow().load(&service.name);
            log::info!(
                event = "load", service = service.name.as_str(), slots = load.slots,
                online_running = load.online_running, online_waiting = load.online_waiting,
                batch_running = load.batch_running, batch_waiting = load.batch_waiting; "slots of a model service"
            );
        }
    }

    /// Tells hosts what the broker decided.
    fn carry_out(&self) {
        let actions = self.broker.borrow_mut().take_actions();
        for action in actions {
            let (host, message) = match action {
                Action::Grant { host, ask, server } => (host, PeerMessage::Grant { ask, server }),
                Action::Queue { host, ask } => (host, PeerMessage::Queued { ask }),
                Action::Stop { host, ask } => (host, PeerMessage::Stop { ask }),
                Action::Refuse {
                    host,
                    ask,
                    retry_after,
                } => (host, PeerMessage::Refused { ask, retry_after }),
            };
            self.tell(&host, message);
        }
    }
}
