//! Histories of slot requests in virtual time. Messages between hosts and coordinators are lost, doubled or late, both are
//! killed and back at once, and the coordinator changes. Once that has ended, every item ends, and both sides agree.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::GrantStep;
use bamboo_slots::HostRequests;
use bamboo_slots::OpenRequest;
use bamboo_slots::PackedReport;
use bamboo_slots::RequestReport;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use bamboo_slots::server_tag;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const HOSTS: usize = 4;
const COORDINATORS: usize = 2;
const ENGINES: usize = 3;
const SLOTS: usize = 2;
const ITEMS_PER_HOST: usize = 30;
/// Online requests of each host. One that gets no decision in time runs at a server of the host's choice; one that waits
/// too long is given up.
const STREAMS_PER_HOST: usize = 20;
const STREAM_DECISION_TIMEOUT: Duration = Duration::from_millis(60);
const STREAM_WAIT: Duration = Duration::from_secs(3);
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Time of a message that is not late, and the longest time of one that is.
const LATENCY: Duration = Duration::from_millis(5);
const LATE_MAX_MS: u64 = 2_000;
const RUN_TIME_MS: std::ops::Range<u64> = 50..700;
/// Time of some online runs, which last until both sides are compared.
const LONG_RUN_MS: u64 = 9_000;
const LONG_RUN_PERCENT: u32 = 30;
/// When faults end, when both sides must agree, and when all work must have ended.
const FAULTS_END: Duration = Duration::from_secs(12);
const AGREE_BY: Duration = Duration::from_secs(17);
const END: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Request,
    Release,
    Heartbeat,
    WantsSync,
    Sync,
    Grant,
    OtherDecision,
}

const KINDS: [Kind; 7] = [
    Kind::Request,
    Kind::Release,
    Kind::Heartbeat,
    Kind::WantsSync,
    Kind::Sync,
    Kind::Grant,
    Kind::OtherDecision,
];

#[derive(Debug, Clone)]
enum Message {
    Request(SlotRequestId, OpenRequest),
    Release(SlotRequestId, Option<String>),
    Heartbeat(PackedReport),
    Sync(Vec<(SlotRequestId, OpenRequest)>),
    WantsSync,
    Decision(Action),
}

impl Message {
    fn kind(&self) -> Kind {
        match self {
            Message::Request(..) => Kind::Request,
            Message::Release(..) => Kind::Release,
            Message::Heartbeat(_) => Kind::Heartbeat,
            Message::Sync(_) => Kind::Sync,
            Message::WantsSync => Kind::WantsSync,
            Message::Decision(Action::Grant { .. }) => Kind::Grant,
            Message::Decision(_) => Kind::OtherDecision,
        }
    }
}

#[derive(Debug, Clone)]
enum Receiver {
    Coordinator(usize, HostInfo),
    Host(usize, usize),
}

/// Faults of a history.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Kind of the messages concerned; all if there is none.
    kind: Option<Kind>,
    lost_percent: u32,
    doubled_percent: u32,
    late_percent: u32,
    /// Probability of a kill, and of a change of the coordinator, in percent of each 100 ms.
    kill_percent: u32,
    move_percent: u32,
}

struct Network {
    faults: Faults,
    rng: ChaCha8Rng,
    in_flight: BTreeMap<(Duration, u64), (Receiver, Message)>,
    sent: u64,
}

impl Network {
    fn send(&mut self, now: Duration, receiver: Receiver, message: Message) {
        let concerned = self.faults.kind.is_none_or(|kind| kind == message.kind());
        let drawn = match now < FAULTS_END && concerned {
            true => self.rng.random_range(0..100),
            false => 100,
        };
        let Faults {
            lost_percent: lost,
            doubled_percent: doubled,
            late_percent: late,
            ..
        } = self.faults;
        if drawn < lost {
            return;
        }
        self.sent += 1;
        let mut arrives_at = now + LATENCY;
        if drawn < lost + doubled {
            let copy_at = arrives_at + self.late();
            let copy = (receiver.clone(), message.clone());
            self.in_flight.insert((copy_at, self.sent), copy);
            self.sent += 1;
        } else if drawn < lost + doubled + late {
            arrives_at += self.late();
        }
        self.in_flight
            .insert((arrives_at, self.sent), (receiver, message));
    }

    fn late(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..LATE_MAX_MS))
    }

    fn take_due(&mut self, now: Duration) -> Option<(Receiver, Message)> {
        let entry = self.in_flight.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskKind {
    Item,
    Stream,
}

#[derive(Debug, Clone, Copy)]
struct Task {
    kind: TaskKind,
    opened_at: Duration,
    is_queued: bool,
    ends_at: Option<Duration>,
}

/// The side of a host.
struct Host {
    info: HostInfo,
    coordinator: usize,
    requests: HostRequests,
    tasks: BTreeMap<SlotRequestId, Task>,
    pending: VecDeque<TaskKind>,
    ended_items: usize,
}

impl Host {
    fn start(&mut self, rng: &mut ChaCha8Rng) {
        self.info.incarnation = rng.random();
        self.requests = HostRequests::new(u64::from(rng.random::<u32>()));
        let owed = self
            .tasks
            .values()
            .filter(|task| task.kind == TaskKind::Item);
        self.pending.extend(owed.map(|task| task.kind));
        self.tasks.clear();
    }
}

#[derive(Default)]
struct Coordinator {
    broker: Broker,
    reports: Reports,
}

impl Coordinator {
    /// The coordinator's part of a process that has just started and knows the engines.
    fn start() -> Self {
        let mut coordinator = Coordinator::default();
        for index in 0..ENGINES {
            let engine = engine(index, "v1", SLOTS);
            coordinator.broker.put_engine(engine, false, Duration::ZERO);
        }
        coordinator
    }
}

struct History {
    now: Duration,
    network: Network,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    coordinators: Vec<Coordinator>,
}

fn host_info(index: usize) -> HostInfo {
    HostInfo {
        host: format!("h{index}"),
        data_centre: "a".to_owned(),
        size: 1,
        incarnation: 0,
        knows_servers: true,
    }
}

fn engine(index: usize, version: &str, slots: usize) -> Engine {
    Engine {
        server: format!("s{index}"),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        slots,
        is_ready: true,
        version: version.to_owned(),
    }
}

impl History {
    fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|index| {
            let mut host = Host {
                info: host_info(index),
                coordinator: 0,
                requests: HostRequests::default(),
                tasks: BTreeMap::new(),
                pending: VecDeque::from([TaskKind::Item; ITEMS_PER_HOST]),
                ended_items: 0,
            };
            host.pending.extend([TaskKind::Stream; STREAMS_PER_HOST]);
            host.start(&mut rng);
            host
        });
        let hosts = hosts.collect();
        let coordinators = (0..COORDINATORS).map(|_| Coordinator::start());
        let network = Network {
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed + 1),
            in_flight: BTreeMap::new(),
            sent: 0,
        };
        History {
            now: Duration::ZERO,
            network,
            coordinators: coordinators.collect(),
            rng,
            hosts,
        }
    }

    fn tell_coordinator(&mut self, host: usize, message: Message) {
        let host = &self.hosts[host];
        let receiver = Receiver::Coordinator(host.coordinator, host.info.clone());
        self.network.send(self.now, receiver, message);
    }

    fn open_request(&mut self, host: usize, kind: TaskKind) {
        let now = self.now;
        let work = match kind {
            TaskKind::Item => Work::Batch {
                due: now + Duration::from_secs(10),
                remaining: Duration::from_millis(400),
            },
            TaskKind::Stream => Work::Online {
                start_by: now + Duration::from_millis(300),
                expires_at: now + STREAM_WAIT,
            },
        };
        let request = OpenRequest {
            service: "llm".to_owned(),
            work,
            excluded: Vec::new(),
            version: None,
            terms: RequestTerms::default(),
            server: None,
        };
        let id = self.hosts[host].requests.open(request.clone());
        let task = Task {
            kind,
            opened_at: now,
            is_queued: false,
            ends_at: None,
        };
        self.hosts[host].tasks.insert(id, task);
        self.tell_coordinator(host, Message::Request(id, request));
    }

    fn close_request(&mut self, host: usize, id: SlotRequestId) {
        let closed = self.hosts[host].requests.close(id);
        self.hosts[host].tasks.remove(&id);
        let server = closed.and_then(|request| request.server);
        self.tell_coordinator(host, Message::Release(id, server));
    }

    fn begin_run(&mut self, host: usize, id: SlotRequestId) {
        let now = self.now;
        let Some(task) = self.hosts[host].tasks.get_mut(&id) else {
            return;
        };
        let is_long =
            task.kind == TaskKind::Stream && self.rng.random_range(0..100) < LONG_RUN_PERCENT;
        let run_ms = match is_long {
            true => LONG_RUN_MS,
            false => self.rng.random_range(RUN_TIME_MS),
        };
        task.ends_at = Some(now + Duration::from_millis(run_ms));
    }

    /// Lets streams without a decision run at servers of the host's choice.
    fn place_undecided(&mut self, host: usize) {
        let now = self.now;
        let undecided: Vec<SlotRequestId> = self.hosts[host]
            .tasks
            .iter()
            .filter(|(_, task)| {
                let is_undecided = task.ends_at.is_none() && !task.is_queued;
                is_undecided
                    && task.kind == TaskKind::Stream
                    && task.opened_at + STREAM_DECISION_TIMEOUT <= now
            })
            .map(|(id, _)| *id)
            .collect();
        for id in undecided {
            let server = format!("s{}", self.rng.random_range(0..ENGINES));
            self.hosts[host].requests.place(id, &server);
            self.begin_run(host, id);
            if let Some(request) = self.hosts[host].requests.get(id).cloned() {
                self.tell_coordinator(host, Message::Request(id, request));
            }
        }
    }

    /// Ends what is due at a host, and begins what is pending, a few at a time.
    fn run_tasks(&mut self, host: usize) {
        let now = self.now;
        self.place_undecided(host);
        let due: Vec<(SlotRequestId, Task)> = self.hosts[host]
            .tasks
            .iter()
            .filter(|(_, task)| match task.ends_at {
                Some(ends_at) => ends_at <= now,
                None => task.kind == TaskKind::Stream && task.opened_at + STREAM_WAIT <= now,
            })
            .map(|(id, task)| (*id, *task))
            .collect();
        for (id, task) in due {
            self.hosts[host].ended_items += usize::from(task.kind == TaskKind::Item);
            self.close_request(host, id);
        }
        if self.rng.random_bool(0.02)
            && let Some(kind) = self.hosts[host].pending.pop_front()
        {
            self.open_request(host, kind);
        }
    }

    fn deliver(&mut self, receiver: Receiver, message: Message) {
        match receiver {
            Receiver::Coordinator(index, sender) => self.coordinate(index, &sender, message),
            Receiver::Host(host, from) => self.handle_decision(host, from, message),
        }
    }

    fn coordinate(&mut self, index: usize, sender: &HostInfo, message: Message) {
        let now = self.now;
        let Coordinator { broker, reports } = &mut self.coordinators[index];
        let mut wants_sync = false;
        match message {
            Message::Request(id, request) => {
                reports.record_requests(sender, broker, now);
                put_request(broker, sender, id, request, now);
            }
            Message::Release(id, server) => {
                let outcome = RunOutcome::Done;
                broker.release(&sender.host, id, server.as_deref(), outcome, now);
            }
            Message::Heartbeat(packed) => {
                reports.record_heartbeat(sender, Heartbeat::default(), now);
                let report = RequestReport::try_from(packed).unwrap();
                wants_sync = reports.reconcile_requests(broker, &sender.host, Some(report), now);
            }
            Message::Sync(requests) => {
                reports.record_requests(sender, broker, now);
                let (mut runs, mut waiting) = (Vec::new(), Vec::new());
                for (id, request) in requests {
                    match slot_request(sender, id, request) {
                        (request, Some(server)) => runs.push((request, server)),
                        (request, None) => waiting.push(request),
                    }
                }
                broker.replace_host(&sender.host, runs, waiting, now);
            }
            Message::WantsSync | Message::Decision(_) => {}
        }
        self.send_decisions(index);
        if wants_sync {
            let host = host_index(&sender.host);
            let receiver = Receiver::Host(host, index);
            self.network.send(now, receiver, Message::WantsSync);
        }
    }

    fn send_decisions(&mut self, index: usize) {
        for action in self.coordinators[index].broker.take_actions() {
            let host = match &action {
                Action::Grant { host, .. }
                | Action::Queue { host, .. }
                | Action::Preempt { host, .. }
                | Action::Refuse { host, .. }
                | Action::NoServer { host, .. } => host_index(host),
            };
            let receiver = Receiver::Host(host, index);
            self.network
                .send(self.now, receiver, Message::Decision(action));
        }
    }

    fn handle_decision(&mut self, host: usize, from: usize, message: Message) {
        let now = self.now;
        let is_current = self.hosts[host].coordinator == from;
        match message {
            Message::WantsSync => {
                let requests = self.hosts[host].requests.iter();
                let requests = requests
                    .map(|(id, request)| (id, request.clone()))
                    .collect();
                let receiver = Receiver::Coordinator(from, self.hosts[host].info.clone());
                self.network.send(now, receiver, Message::Sync(requests));
            }
            Message::Decision(Action::Grant {
                request, server, ..
            }) => {
                let step = match is_current {
                    true => self.hosts[host].requests.grant(request, &server),
                    false => GrantStep::Release,
                };
                let receiver = Receiver::Coordinator(from, self.hosts[host].info.clone());
                match step {
                    GrantStep::Run => self.begin_run(host, request),
                    GrantStep::Ignore => {}
                    GrantStep::ReportRun => {
                        if let Some(open) = self.hosts[host].requests.get(request).cloned() {
                            let message = Message::Request(request, open);
                            self.network.send(now, receiver, message);
                        }
                    }
                    GrantStep::Release => {
                        let message = Message::Release(request, Some(server));
                        self.network.send(now, receiver, message);
                    }
                }
            }
            Message::Decision(Action::Queue { request, .. }) if is_current => {
                if let Some(task) = self.hosts[host].tasks.get_mut(&request) {
                    task.is_queued = true;
                }
            }
            Message::Decision(
                Action::Preempt { request, .. }
                | Action::Refuse { request, .. }
                | Action::NoServer { request, .. },
            ) if is_current => {
                if let Some(task) = self.hosts[host].tasks.get(&request).copied() {
                    self.close_request(host, request);
                    if task.kind == TaskKind::Item {
                        self.hosts[host].pending.push_back(TaskKind::Item);
                    }
                }
            }
            _ => {}
        }
    }

    fn heartbeats(&mut self) {
        for host in 0..HOSTS {
            let report = PackedReport::from(&self.hosts[host].requests.report());
            self.tell_coordinator(host, Message::Heartbeat(report));
        }
        for index in 0..COORDINATORS {
            let Coordinator { broker, reports } = &mut self.coordinators[index];
            for lost in reports.remove_silent(self.now) {
                broker.drop_host(&lost, self.now);
            }
            broker.tick(self.now);
            self.send_decisions(index);
        }
    }

    /// Kills hosts and coordinators, which are back at once, and lets hosts follow another coordinator.
    fn inject(&mut self) {
        let faults = self.network.faults;
        for index in 0..COORDINATORS {
            if self.rng.random_range(0..100) < faults.kill_percent {
                self.coordinators[index] = Coordinator::start();
            }
        }
        for host in 0..HOSTS {
            if self.rng.random_range(0..100) < faults.kill_percent {
                self.hosts[host].start(&mut self.rng);
            }
            if self.rng.random_range(0..100) < faults.move_percent {
                self.hosts[host].coordinator = self.rng.random_range(0..COORDINATORS);
                let requests = self.hosts[host].requests.iter();
                let requests = requests
                    .map(|(id, request)| (id, request.clone()))
                    .collect();
                self.tell_coordinator(host, Message::Sync(requests));
            }
        }
    }

    /// Lets all hosts follow the first coordinator again.
    fn settle_coordinator(&mut self) {
        for host in 0..HOSTS {
            if self.hosts[host].coordinator != 0 {
                self.hosts[host].coordinator = 0;
                let requests = self.hosts[host].requests.iter();
                let requests = requests
                    .map(|(id, request)| (id, request.clone()))
                    .collect();
                self.tell_coordinator(host, Message::Sync(requests));
            }
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            while let Some((receiver, message)) = self.network.take_due(self.now) {
                self.deliver(receiver, message);
            }
            for host in 0..HOSTS {
                self.run_tasks(host);
            }
            let is_each =
                |interval: Duration| self.now.as_millis().is_multiple_of(interval.as_millis());
            let (is_heartbeat, is_fault) = (
                is_each(HEARTBEAT_INTERVAL),
                is_each(Duration::from_millis(100)),
            );
            if is_fault && self.now < FAULTS_END {
                self.inject();
            }
            if self.now == FAULTS_END {
                self.settle_coordinator();
            }
            if is_heartbeat {
                self.heartbeats();
            }
            for index in 0..COORDINATORS {
                self.coordinators[index].broker.grant_due(self.now);
                self.send_decisions(index);
            }
        }
    }

    /// Number of requests that the coordinator has and no host, or the other way round. A request that is just being made or
    /// released counts for a moment.
    fn count_difference(&self) -> usize {
        let load = self.coordinators[0].broker.load("llm");
        let known =
            load.online_running + load.online_waiting + load.batch_running + load.batch_waiting;
        let open = self.hosts.iter().map(|host| host.requests.iter().count());
        known.abs_diff(open.sum())
    }

    /// Requests on which the coordinator and a host differ, apart from those concerned by a message under way.
    fn disagreements(&mut self) -> Vec<(usize, SlotRequestId)> {
        let mut found = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let report = host.requests.report();
            let reported: HashSet<SlotRequestId> = report.ids().collect();
            let runs = report.running.into_iter().collect();
            let coordinator = &mut self.coordinators[0];
            let broker = &mut coordinator.broker;
            let differing = broker.reconcile(&host.info.host, &reported, Some(&runs), self.now);
            let repeated = broker
                .take_actions()
                .into_iter()
                .filter_map(|action| match action {
                    Action::Grant { request, .. } => Some(request),
                    _ => None,
                });
            let ids = differing.into_iter().chain(repeated);
            found.extend(ids.map(|id| (index, id)));
        }
        found
    }
}

fn host_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

fn slot_request(
    sender: &HostInfo,
    id: SlotRequestId,
    request: OpenRequest,
) -> (SlotRequest, Option<String>) {
    let slot_request = SlotRequest {
        host: sender.host.clone(),
        id,
        service: request.service,
        data_centre: sender.data_centre.clone(),
        work: request.work,
        excluded: request.excluded,
        version: request.version,
        terms: RequestTerms::default(),
    };
    (slot_request, request.server)
}

fn put_request(
    broker: &mut Broker,
    sender: &HostInfo,
    id: SlotRequestId,
    request: OpenRequest,
    now: Duration,
) {
    match slot_request(sender, id, request) {
        (request, Some(server)) => broker.restore_run(request, &server, now),
        (request, None) => broker.request_slot(request, now),
    }
}

/// Plays a history, and panics unless all items end and both sides agree soon after the faults.
fn check(seed: u64, faults: Faults) {
    let mut history = History::new(seed, faults);
    // Counted before the comparison below, which mends what it finds.
    let differences = (0..COUNTS).map(|count| {
        history.run_until(AGREE_BY - COUNT_INTERVAL * (COUNTS - count));
        history.count_difference()
    });
    let least = differences.min();
    assert_eq!(
        least,
        Some(0),
        "seed {seed}: requests that only one side has, {faults:?}"
    );
    history.run_until(AGREE_BY);
    let mut lasting = history.disagreements();
    // A request that is just being granted or released may differ at one moment, not at two.
    history.run_until(AGREE_BY + Duration::from_millis(100));
    let later = history.disagreements();
    lasting.retain(|request| later.contains(request));
    assert_eq!(lasting, [], "seed {seed}: the two sides differ, {faults:?}");
    history.run_until(END);
    for host in &history.hosts {
        assert_eq!(
            host.ended_items, ITEMS_PER_HOST,
            "seed {seed}: items of {} wait for ever, {faults:?}: {:?}",
            host.info.host, host.tasks
        );
    }
    let load = history.coordinators[0].broker.load("llm");
    assert_eq!(
        (load.online_running, load.batch_running, load.batch_waiting),
        (0, 0, 0),
        "seed {seed}: slots are held without a run, {faults:?}"
    );
}

/// Moments at which the requests of both sides are counted, and the time between two.
const COUNTS: u32 = 10;
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 0..12;

/// Guards against an item that waits for ever, or a slot that is never released, because one kind of message was lost.
#[test]
fn work_ends_although_messages_of_any_one_kind_are_lost() {
    for kind in KINDS {
        for seed in SEEDS {
            let faults = Faults {
                kind: Some(kind),
                lost_percent: 40,
                ..Faults::default()
            };
            check(seed, faults);
        }
    }
}

/// The same for messages that arrive twice, or after later ones.
#[test]
fn work_ends_although_messages_of_any_one_kind_are_doubled_or_late() {
    for kind in KINDS {
        for seed in SEEDS {
            let faults = Faults {
                kind: Some(kind),
                doubled_percent: 20,
                late_percent: 20,
                ..Faults::default()
            };
            check(seed, faults);
        }
    }
}

/// The same for all kinds at once, beside hosts that are killed and back at once, and coordinators that change.
#[test_case(0, 0; "messages only")]
#[test_case(2, 0; "hosts are killed")]
#[test_case(0, 2; "the coordinator changes")]
#[test_case(2, 2; "hosts are killed and the coordinator changes")]
fn work_ends_although_any_messages_are_lost_doubled_or_late(kill_percent: u32, move_percent: u32) {
    for seed in SEEDS {
        let faults = Faults {
            kind: None,
            lost_percent: 15,
            doubled_percent: 10,
            late_percent: 10,
            kill_percent,
            move_percent,
        };
        check(seed, faults);
    }
}

/// Guards against a request of a new process that is taken for one of the former process of its host.
#[test]
fn work_ends_although_hosts_are_killed_again_and_again() {
    for seed in SEEDS {
        let faults = Faults {
            kill_percent: 8,
            ..Faults::default()
        };
        check(seed, faults);
    }
}

/// Guards against a slot that is held for a run which goes on at another server, as the report of that run was lost.
#[test]
fn a_run_at_another_server_than_granted_is_reported_again() {
    let mut history = History::new(0, Faults::default());
    let Coordinator { broker, reports } = &mut history.coordinators[0];
    let request = OpenRequest {
        service: "llm".to_owned(),
        work: Work::Online {
            start_by: Duration::from_secs(1),
            expires_at: STREAM_WAIT,
        },
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
        server: None,
    };
    let sender = host_info(0);
    put_request(broker, &sender, 7, request, Duration::ZERO);
    let Some(Action::Grant { server, .. }) = broker.take_actions().pop() else {
        panic!("a free slot is not granted");
    };
    let heard = |server: &str, reports: &mut Reports, broker: &mut Broker| {
        reports.record_heartbeat(&sender, Heartbeat::default(), HEARTBEAT_INTERVAL);
        let report = RequestReport {
            waiting: Vec::new(),
            running: vec![(7, server_tag(server))],
        };
        reports.reconcile_requests(broker, &sender.host, Some(report), HEARTBEAT_INTERVAL)
    };
    assert!(!heard(&server, reports, broker));
    assert!(!heard(&server, reports, broker));
    assert!(!heard("another", reports, broker), "it may be under way");
    assert!(heard("another", reports, broker));
}

/// Guards against a request of a new process that is taken for the one which a former process of the host made under the same
/// number, and waits for ever where that one would wait.
#[test_case("gone", None; "for another service")]
#[test_case("llm", Some("v0"); "for another version")]
fn a_request_of_a_new_process_is_not_taken_for_one_of_the_former(
    former_service: &str,
    former_version: Option<&str>,
) {
    let mut history = History::new(0, Faults::default());
    let Coordinator { broker, reports } = &mut history.coordinators[0];
    let mut request = OpenRequest {
        service: former_service.to_owned(),
        work: Work::Batch {
            due: Duration::from_secs(9),
            remaining: Duration::from_secs(1),
        },
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
        server: None,
    };
    let former = host_info(0);
    if let Some(version) = former_version {
        // The engines are of this version when the former process asks.
        for index in 0..ENGINES {
            broker.put_engine(engine(index, version, 0), false, Duration::ZERO);
        }
        request.version = Some(version.to_owned());
    }
    reports.record_requests(&former, broker, Duration::ZERO);
    put_request(broker, &former, 1, request.clone(), Duration::ZERO);
    for index in 0..ENGINES {
        broker.put_engine(engine(index, "v1", SLOTS), false, Duration::ZERO);
    }
    broker.take_actions();
    let restarted = HostInfo {
        incarnation: 1,
        ..host_info(0)
    };
    request.service = "llm".to_owned();
    request.version = None;
    reports.record_requests(&restarted, broker, HEARTBEAT_INTERVAL);
    put_request(broker, &restarted, 1, request, HEARTBEAT_INTERVAL);
    let actions = broker.take_actions();
    assert!(
        matches!(actions[..], [Action::Grant { request: 1, .. }]),
        "{actions:?}"
    );
}

/// Guards against a lost grant to a host of a former build, which lists its requests and does not say which run.
#[test]
fn a_host_that_only_lists_its_requests_gets_recent_grants_again() {
    let mut history = History::new(0, Faults::default());
    let Coordinator { broker, reports } = &mut history.coordinators[0];
    let request = OpenRequest {
        service: "llm".to_owned(),
        work: Work::Batch {
            due: Duration::from_secs(9),
            remaining: Duration::from_secs(1),
        },
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
        server: None,
    };
    let sender = host_info(0);
    put_request(broker, &sender, 7, request, Duration::ZERO);
    assert_eq!(broker.take_actions().len(), 1, "a free slot is granted");
    let heartbeat = Heartbeat {
        requests: vec![7],
        ..Heartbeat::default()
    };
    reports.record_heartbeat(&sender, heartbeat, HEARTBEAT_INTERVAL);
    assert!(!reports.reconcile_requests(broker, &sender.host, None, HEARTBEAT_INTERVAL));
    let actions = broker.take_actions();
    assert!(
        matches!(actions[..], [Action::Grant { request: 7, .. }]),
        "{actions:?}"
    );
}

/// Guards against heartbeats that exceed what a host may send for control: 4 kB a second, at four heartbeats a second, with the
/// runs and waiting items of a host at the size of docs/CAPACITY.md.
#[test]
fn a_report_of_all_requests_of_a_host_is_small() {
    const RUNNING: u64 = 66;
    const WAITING: u64 = 400;
    let first = u64::from(u32::MAX);
    let report = RequestReport {
        waiting: (0..WAITING).map(|index| first + 3 * index).collect(),
        running: (0..RUNNING)
            .map(|index| (first + 7 * index, server_tag(&format!("s{index}"))))
            .collect(),
    };
    let packed = PackedReport::from(&report);
    let bytes = bincode::serde::encode_to_vec(&packed, bincode::config::standard()).unwrap();
    assert!(bytes.len() <= 1_000, "{} bytes", bytes.len());
}

/// Guards against a slot that is granted twice, because the run that holds it is reported anew after a request that waits.
#[test]
fn a_slot_whose_run_is_reported_anew_is_not_granted_to_another_request() {
    let online = |id| SlotRequest {
        host: "h0".to_owned(),
        id,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work: Work::Online {
            start_by: Duration::from_secs(1),
            expires_at: STREAM_WAIT,
        },
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
    };
    let mut broker = Broker::default();
    broker.put_engine(engine(0, "v1", 1), false, Duration::ZERO);
    broker.request_slot(online(9), Duration::ZERO);
    broker.request_slot(online(5), Duration::ZERO);
    let other = SlotRequest {
        host: "h1".to_owned(),
        ..online(1)
    };
    broker.request_slot(other, Duration::ZERO);
    broker.take_actions();
    let runs = vec![(online(9), "s0".to_owned())];
    broker.replace_host("h0", runs, vec![online(5)], HEARTBEAT_INTERVAL);
    let granted = broker.take_actions().into_iter();
    let granted: Vec<Action> = granted
        .filter(|action| matches!(action, Action::Grant { .. }))
        .collect();
    assert_eq!(granted, []);
    assert_eq!(broker.load("llm").online_running, 1);
}
