//! Deterministic simulation of hosts, log, network, engines and callers in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bamboo_config::ConfigState;
use bamboo_host::Answer;
use bamboo_host::HostCore;
use bamboo_host::HostOptions;
use bamboo_host::Input;
use bamboo_host::ItemEnd;
use bamboo_host::KeyedRequest;
use bamboo_host::Output;
use bamboo_host::RunRef;
use bamboo_log::AppendAnswer;
use bamboo_log::ConfigChange;
use bamboo_log::Entry;
use bamboo_log::ItemBody;
use bamboo_log::ItemRunResult;
use bamboo_log::JobSpec;
use bamboo_log::StreamId;
use bamboo_log::UploadId;
use bamboo_member::HostEntry;
use bamboo_member::HostState;
use bamboo_member::MemberViewOptions;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_route::Target;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::RequestId;
use bamboo_types::Timestamp;
use bamboo_types::job_id;
use bamboo_types::shard_of_job;
use bamboo_wire::Frame;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fake_log::FakeLog;
use super::matrix;
use super::matrix::PendingFault;

/// Start time of the simulation since the Unix epoch.
pub const START_TIME: Duration = Duration::from_secs(1_000_000);
/// Interval of ticks.
const TICK: Duration = Duration::from_millis(20);
/// Latency of one message.
const MESSAGE_LATENCY: Duration = Duration::from_millis(2);
/// Maximum time that a long poll waits for entries.
const READ_WAIT: Duration = Duration::from_millis(400);
/// Time after which an append without an answer is answered as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the plain service takes to answer a call.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Model of all engines.
pub const MODEL: &str = "narrador";

/// Fault injected into appends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AppendFault {
    #[default]
    None,
    /// Stored in time, but answered as unknown.
    LoseAnswer,
    /// Answered as unknown at the timeout, and stored after it.
    Late,
    /// Refused without being stored.
    Refuse,
}

#[derive(Debug)]
enum Event {
    Tick(String),
    Input(String, u64, Box<Input>),
    Store {
        host: String,
        incarnation: u64,
        stream: StreamId,
        bytes: Vec<u8>,
        is_answered: bool,
    },
    Poll {
        host: String,
        incarnation: u64,
        stream: StreamId,
        from: u64,
        until: Timestamp,
    },
    RunEnded {
        host: String,
        incarnation: u64,
        run: RunRef,
        number: u64,
    },
    CallExecuted(String, u64, RequestId),
    Resume(String),
    Restart(String),
}

/// A simulated host process.
#[derive(Debug)]
struct Host {
    core: Option<HostCore>,
    incarnation: u64,
    is_frozen: bool,
    queued_inputs: VecDeque<Input>,
    runs: BTreeMap<RunRef, ActiveRun>,
    config_offsets: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
struct ActiveRun {
    job: JobId,
    item: ItemIndex,
    number: u64,
}

/// State of the simulation, and the observations that the checks evaluate at its end.
pub struct Simulation {
    pub now: Timestamp,
    pub log: FakeLog,
    pub rng: ChaCha8Rng,
    pub answers: BTreeMap<RequestId, Answer>,
    pub accepted: BTreeMap<JobId, u32>,
    pub cancelled: BTreeSet<JobId>,
    pub applied_changes: Vec<(String, u64)>,
    /// Configuration that each incarnation of a host has published.
    published: BTreeMap<(String, u64), Arc<ConfigState>>,
    /// Changes of the configuration that were answered before they were published at that host.
    pub unpublished_answers: Vec<RequestId>,
    pub append_fault: AppendFault,
    pub append_fault_until: Timestamp,
    pub read_delay: Duration,
    pub cut_links: BTreeSet<(String, String)>,
    pub item_run_counts: BTreeMap<(JobId, ItemIndex), u32>,
    pub failing_items: BTreeSet<(JobId, ItemIndex)>,
    pub cancel_answered_at: BTreeMap<JobId, Timestamp>,
    pub late_start_count: u32,
    pub steps: u64,
    pub call_run_counts: BTreeMap<RequestId, u32>,
    pub call_keys: BTreeMap<RequestId, String>,
    pub drained: Vec<String>,
    pub pending_fault: Option<PendingFault>,
    pub injected_at: Option<Timestamp>,
    pub kill_after_answer: Option<String>,
    pub must_resend: bool,
    hosts: BTreeMap<String, Host>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    next_request: u128,
    next_upload: u64,
    next_run: u64,
    host_count: usize,
    pub retention: Duration,
    pub snapshot_every: u64,
    pub members: MemberViewOptions,
}

impl Simulation {
    /// Starts hosts `h0`, `h1`, … with engines `e0`, `e1`, … in the configuration.
    pub fn new(seed: u64, host_count: usize, engine_count: usize) -> Self {
        let mut sim = Simulation {
            now: START_TIME,
            log: FakeLog::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            answers: BTreeMap::new(),
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            applied_changes: Vec::new(),
            append_fault: AppendFault::None,
            append_fault_until: Duration::ZERO,
            read_delay: Duration::ZERO,
            cut_links: BTreeSet::new(),
            item_run_counts: BTreeMap::new(),
            failing_items: BTreeSet::new(),
            cancel_answered_at: BTreeMap::new(),
            published: BTreeMap::new(),
            unpublished_answers: Vec::new(),
            late_start_count: 0,
            steps: 0,
            call_run_counts: BTreeMap::new(),
            call_keys: BTreeMap::new(),
            drained: Vec::new(),
            pending_fault: None,
            injected_at: None,
            kill_after_answer: None,
            must_resend: false,
            hosts: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_request: 1,
            next_upload: 1,
            next_run: 1,
            host_count,
            retention: Duration::from_secs(24 * 3600),
            snapshot_every: 2000,
            members: MemberViewOptions::default(),
        };
        for index in 0..host_count {
            sim.start(&format!("h{index}"));
        }
        for index in 0..engine_count {
            sim.declare_engine(index);
        }
        sim
    }

    /// Sets the retention of the log and restarts all hosts.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
        self.snapshot_every = 40;
        for name in self.host_names() {
            self.kill(&name);
            self.start(&name);
        }
    }

    /// Starts a host, or restarts it with a new incarnation.
    pub fn start(&mut self, name: &str) {
        let incarnation = self.hosts.get(name).map_or(1, |host| host.incarnation + 1);
        let seed = self.rng.random();
        let options = HostOptions {
            shard_count: 2,
            retention: self.retention,
            members: self.members.clone(),
            snapshot_every_entries: self.snapshot_every,
            ..HostOptions::new(name.to_owned(), incarnation, seed)
        };
        let host = Host {
            core: Some(HostCore::new(options)),
            incarnation,
            is_frozen: false,
            queued_inputs: VecDeque::new(),
            runs: BTreeMap::new(),
            config_offsets: Vec::new(),
        };
        self.hosts.insert(name.to_owned(), host);
        self.schedule(Duration::ZERO, Event::Tick(name.to_owned()));
        let list = self.host_list();
        self.schedule_input(name, Duration::ZERO, list);
    }

    /// Kills a host.
    pub fn kill(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.core = None;
            host.runs.clear();
        }
    }

    /// Kills a host and restarts it after a time.
    pub fn kill_for(&mut self, name: &str, time: Duration) {
        self.kill(name);
        self.schedule(time, Event::Restart(name.to_owned()));
    }

    /// Pauses a host for a time; inputs that arrive meanwhile are queued.
    pub fn freeze(&mut self, name: &str, time: Duration) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.is_frozen = true;
        }
        self.schedule(time, Event::Resume(name.to_owned()));
    }

    /// Cuts or restores the network between a host and all others.
    pub fn isolate(&mut self, name: &str, is_cut: bool) {
        let others: Vec<String> = self
            .hosts
            .keys()
            .filter(|other| *other != name)
            .cloned()
            .collect();
        for other in others {
            for pair in [
                (name.to_owned(), other.clone()),
                (other.clone(), name.to_owned()),
            ] {
                if is_cut {
                    self.cut_links.insert(pair);
                } else {
                    self.cut_links.remove(&pair);
                }
            }
        }
    }

    pub fn is_up(&self, name: &str) -> bool {
        self.hosts
            .get(name)
            .is_some_and(|host| host.core.is_some() && !host.is_frozen)
    }

    pub fn core(&self, name: &str) -> Option<&HostCore> {
        self.hosts.get(name)?.core.as_ref()
    }

    pub fn host_names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// The next log offset after each configuration that a host activated, in order of activation.
    pub fn config_offsets(&self, name: &str) -> &[u64] {
        self.hosts
            .get(name)
            .map(|host| host.config_offsets.as_slice())
            .unwrap_or_default()
    }

    /// The host that considers itself owner of a shard; the one with the highest epoch if there are several.
    pub fn shard_owner(&self, shard: u16) -> Option<String> {
        let owns = |host: &Host| {
            let status = host.core.as_ref()?.status(self.now);
            status
                .shards
                .into_iter()
                .find(|of| of.shard == shard)?
                .epoch
        };
        let owners = self
            .hosts
            .iter()
            .filter_map(|(name, host)| Some((owns(host)?, name.clone())));
        owners.max().map(|(_, name)| name)
    }

    /// Sends an input to a host without delay.
    pub fn send_input(&mut self, name: &str, input: Input) {
        self.schedule_input(name, Duration::ZERO, input);
    }

    pub fn next_request_id(&mut self) -> RequestId {
        self.next_request += 1;
        self.next_request
    }

    /// Uploads and submits a job through a host; returns the request of the submit.
    pub fn submit(&mut self, host: &str, key: &str, item_count: u32) -> (RequestId, JobId) {
        let job = job_id("workspace", key);
        let shard = shard_of_job(job, 2);
        self.next_upload += 1;
        let upload = UploadId {
            incarnation: self.next_upload,
            number: 1,
        };
        let bodies = (0..item_count).map(|item| ItemBody {
            custom_id: format!("i{item}"),
            body_json: "{}".into(),
        });
        let items = bodies.collect();
        let request = self.next_request_id();
        self.send_input(
            host,
            Input::Upload {
                request,
                shard,
                upload,
                first_item: 0,
                items,
            },
        );
        let now_ms = bamboo_types::millis(self.now);
        let spec = JobSpec {
            job,
            workspace: "workspace".into(),
            caller: "caller".into(),
            key: key.into(),
            digest: u128::from(item_count),
            serving: "serving".into(),
            model: MODEL.into(),
            upload,
            chunk_count: 1,
            item_count,
            created_ms: now_ms,
            deadline_ms: now_ms + 3_600_000,
            result_lifetime_ms: 3_600_000,
        };
        let request = self.next_request_id();
        self.schedule_input(host, MESSAGE_LATENCY, Input::Submit { request, spec });
        (request, job)
    }

    /// Cancels a job through a host.
    pub fn cancel(&mut self, host: &str, job: JobId) -> RequestId {
        let request = self.next_request_id();
        self.send_input(host, Input::Cancel { request, job });
        request
    }

    /// Sends a non-idempotent call with an idempotency key through a host.
    pub fn keyed_call(&mut self, host: &str, key: &str) -> RequestId {
        let request = self.next_request_id();
        self.call_keys.insert(request, key.to_owned());
        let online = OnlineRequest {
            id: request,
            caller: "caller".into(),
            resource: "service ledger".into(),
            limits: None,
            target: Target::Service("ledger".into()),
            prefix: None,
            token_count: 0.0,
            deadline: self.now + Duration::from_secs(20),
            is_idempotent: false,
        };
        let workspace = "workspace".into();
        let keyed = KeyedRequest {
            online,
            workspace,
            key: key.to_owned(),
            digest: 1,
        };
        self.send_input(host, Input::Keyed(keyed));
        request
    }

    /// Proposes a model resource, a configuration change that affects no server.
    pub fn propose(&mut self, host: &str, name: &str, based_on: u64, version: u64) -> RequestId {
        let request = self.next_request_id();
        let json = format!(r#"{{"kind":"model","name":"{name}","versions":["{version}"]}}"#);
        let change = ConfigChange {
            kind: "model".into(),
            name: name.into(),
            based_on,
            resource_json: Some(json),
        };
        self.send_input(host, Input::Propose { request, change });
        request
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time, |_| false);
    }

    /// Runs the simulation until a condition holds or a point in time; returns whether the condition held.
    pub fn run_until<F>(&mut self, until: Timestamp, is_met: F) -> bool
    where
        F: Fn(&Simulation) -> bool,
    {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
            if is_met(self) {
                return true;
            }
        }
        self.now = self.now.max(until);
        false
    }

    fn declare_engine(&mut self, index: usize) {
        let json = format!(
            r#"{{"kind":"backend_server","name":"e{index}","data_centre":"d{index}","address":"127.0.0.1:{}",
            "role":{{"engine":{{"models":[{{"model":"{MODEL}","version":"1"}}],"max_sequences":4}}}}}}"#,
            index + 1
        );
        self.declare_server(index as u64 + 1, &format!("e{index}"), json);
    }

    /// Adds one server of the plain service to the configuration.
    pub fn declare_plain_server(&mut self) {
        let json = r#"{"kind":"backend_server","name":"p0","data_centre":"d0","address":"127.0.0.1:99",
            "role":{"plain":{"service":"ledger","max_requests":8}}}"#;
        self.declare_server(100, "p0", json.to_owned());
    }

    fn declare_server(&mut self, first_sequence: u64, name: &str, json: String) {
        let change = ConfigChange {
            kind: "backend_server".into(),
            name: name.to_owned(),
            based_on: 0,
            resource_json: Some(json),
        };
        let bodies = vec![bamboo_log::RecordBody::Config(change)];
        let entry = Entry {
            host: "setup".into(),
            incarnation: 1,
            at_ms: 0,
            first_sequence,
            bodies,
        };
        self.log.append(
            self.now,
            StreamId::Config,
            bamboo_log::EncodedEntry::from(&entry).bytes,
        );
    }

    fn host_list(&self) -> Input {
        let entry = |index: usize| HostEntry {
            host: format!("h{index}"),
            data_centre: format!("d{index}"),
            peer_address: format!("h{index}"),
            state: HostState::Live,
        };
        Input::HostList {
            hosts: (0..self.host_count).map(entry).collect(),
            leaving_servers: Vec::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    fn schedule_input(&mut self, host: &str, after: Duration, input: Input) {
        let incarnation = self.hosts.get(host).map_or(0, |host| host.incarnation);
        self.schedule(
            after,
            Event::Input(host.to_owned(), incarnation, Box::new(input)),
        );
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                if self
                    .hosts
                    .get(&host)
                    .is_some_and(|host| host.core.is_some())
                {
                    let frozen = self.hosts.get(&host).is_some_and(|host| host.is_frozen);
                    if !frozen {
                        self.step(&host, Input::Tick);
                    }
                    self.log
                        .trim_before(self.now.saturating_sub(self.retention));
                    self.schedule(TICK, Event::Tick(host));
                }
            }
            Event::Input(host, incarnation, input) => {
                let is_same_incarnation = self
                    .hosts
                    .get(&host)
                    .is_some_and(|host| host.incarnation == incarnation);
                if is_same_incarnation {
                    self.step(&host, *input);
                }
            }
            Event::Store {
                host,
                incarnation,
                stream,
                bytes,
                is_answered,
            } => {
                let offset = self.log.append(self.now, stream, bytes);
                if is_answered {
                    let input = Input::AppendAnswered {
                        stream,
                        answer: AppendAnswer::Stored(offset),
                    };
                    self.schedule(
                        MESSAGE_LATENCY,
                        Event::Input(host, incarnation, Box::new(input)),
                    );
                }
            }
            Event::Poll {
                host,
                incarnation,
                stream,
                from,
                until,
            } => self.poll(host, incarnation, stream, from, until),
            Event::RunEnded {
                host,
                incarnation,
                run,
                number,
            } => self.handle_run_end(&host, incarnation, run, number),
            Event::CallExecuted(host, incarnation, request) => {
                self.execute_call(&host, incarnation, request)
            }
            Event::Resume(host) => self.resume(&host),
            Event::Restart(host) => self.start(&host),
        }
    }

    fn step(&mut self, name: &str, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.is_frozen {
            host.queued_inputs.push_back(input);
            return;
        }
        let Some(core) = host.core.as_mut() else {
            return;
        };
        self.steps += 1;
        let outputs = core.step(now, input);
        let offset = core.config().next_offset();
        if host.config_offsets.last() != Some(&offset) {
            host.config_offsets.push(offset);
        }
        let incarnation = host.incarnation;
        for output in outputs {
            let is_fault_due = self
                .pending_fault
                .as_ref()
                .is_some_and(|pending_fault| pending_fault.step.matches(&output));
            let is_up = self.hosts.get(name).is_some_and(|host| host.core.is_some());
            if !is_up {
                return;
            }
            if is_fault_due && let Some(pending_fault) = self.pending_fault.take() {
                self.injected_at = Some(self.now);
                matrix::inject_fault(self, name, pending_fault, |sim| {
                    sim.execute(name, incarnation, output)
                });
                continue;
            }
            self.execute(name, incarnation, output);
        }
    }

    fn execute(&mut self, host: &str, incarnation: u64, output: Output) {
        match output {
            Output::Append { stream, bytes } => self.append(host, incarnation, stream, bytes),
            Output::Read { stream, from } => {
                let until = self.now + READ_WAIT;
                let host = host.to_owned();
                let delay = MESSAGE_LATENCY + self.read_delay;
                self.schedule(
                    delay,
                    Event::Poll {
                        host,
                        incarnation,
                        stream,
                        from,
                        until,
                    },
                );
            }
            Output::ReadEntry { stream, offset } => {
                let entry = self.log.entry(stream, offset);
                self.schedule_input(
                    host,
                    MESSAGE_LATENCY,
                    Input::EntryRead {
                        stream,
                        offset,
                        entry,
                    },
                );
            }
            Output::Send { to, messages, .. } => {
                if !self.cut_links.contains(&(host.to_owned(), to.clone())) {
                    let frame = Frame {
                        from: host.to_owned(),
                        incarnation,
                        messages,
                    };
                    self.schedule_input(&to, MESSAGE_LATENCY, Input::Frame(frame));
                }
            }
            Output::Answer { request, answer } => {
                self.handle_answer(host, incarnation, request, answer)
            }
            Output::StartItem { run, item, .. } => {
                self.start_item(host, incarnation, run, item.job, item.item)
            }
            Output::StopItem { run } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.runs.remove(&run);
                }
                self.schedule_input(
                    host,
                    MESSAGE_LATENCY,
                    Input::ItemEnded {
                        run,
                        end: ItemEnd::Stopped,
                    },
                );
            }
            Output::DropItem { run } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.runs.remove(&run);
                }
            }
            Output::CancelOrphanedRuns { server, .. } => self.schedule_input(
                host,
                MESSAGE_LATENCY,
                Input::OrphanedRunsCancelled { server },
            ),
            Output::Drained => self.drained.push(host.to_owned()),
            Output::PublishConfig(state) => {
                self.published.insert((host.to_owned(), incarnation), state);
            }
            Output::Ready(_) | Output::Event { .. } => {}
        }
    }

    fn handle_answer(&mut self, host: &str, incarnation: u64, request: RequestId, answer: Answer) {
        if let Answer::Dispatch(_) = &answer {
            self.schedule(
                SERVICE_TIME,
                Event::CallExecuted(host.to_owned(), incarnation, request),
            );
        }
        if let Answer::Config(outcome) = &answer {
            let published = self.published.get(&(host.to_owned(), incarnation));
            let changes = published.map(|state| state.history_from(0));
            let mut changes = changes.into_iter().flatten();
            if !changes.any(|change| change.outcome == *outcome) {
                self.unpublished_answers.push(request);
            }
        }
        if self.kill_after_answer.as_deref() == Some(host) {
            self.kill_after_answer = None;
            self.kill_for(host, Duration::from_secs(8));
        }
        // The caller was answered before the end of the call, so keep that answer.
        if answer != Answer::Done {
            self.answers.insert(request, answer);
        }
    }

    /// Executes a call at the plain service and returns its answer to the host.
    fn execute_call(&mut self, host: &str, incarnation: u64, request: RequestId) {
        *self.call_run_counts.entry(request).or_default() += 1;
        for input in [
            Input::KeyedAnswer {
                request,
                status: 200,
                body: b"done".to_vec(),
            },
            Input::OnlineEnded {
                request,
                end: OnlineEnd::Whole,
            },
        ] {
            self.schedule(
                MESSAGE_LATENCY,
                Event::Input(host.to_owned(), incarnation, Box::new(input)),
            );
        }
    }

    fn append(&mut self, host: &str, incarnation: u64, stream: StreamId, bytes: Vec<u8>) {
        let fault = if self.now < self.append_fault_until {
            self.append_fault
        } else {
            AppendFault::None
        };
        let host_name = host.to_owned();
        let store = |is_answered| Event::Store {
            host: host_name.clone(),
            incarnation,
            stream,
            bytes,
            is_answered,
        };
        let unknown = Input::AppendAnswered {
            stream,
            answer: AppendAnswer::Unknown,
        };
        match fault {
            AppendFault::None => self.schedule(MESSAGE_LATENCY, store(true)),
            AppendFault::LoseAnswer => {
                self.schedule(MESSAGE_LATENCY, store(false));
                self.schedule_input(host, APPEND_TIMEOUT, unknown);
            }
            AppendFault::Late => {
                self.schedule(APPEND_TIMEOUT + Duration::from_secs(1), store(false));
                self.schedule_input(host, APPEND_TIMEOUT, unknown);
            }
            AppendFault::Refuse => {
                let answer = AppendAnswer::Refused(Duration::from_millis(200));
                self.schedule_input(
                    host,
                    MESSAGE_LATENCY,
                    Input::AppendAnswered { stream, answer },
                );
            }
        }
    }

    fn poll(
        &mut self,
        host: String,
        incarnation: u64,
        stream: StreamId,
        from: u64,
        until: Timestamp,
    ) {
        if !self.log.has_entries_from(stream, from) && self.now < until {
            let again = Duration::from_millis(10);
            self.schedule(
                again,
                Event::Poll {
                    host,
                    incarnation,
                    stream,
                    from,
                    until,
                },
            );
            return;
        }
        let answer = self.log.read(stream, from);
        let input = Input::ReadAnswered { stream, answer };
        self.schedule(
            MESSAGE_LATENCY,
            Event::Input(host, incarnation, Box::new(input)),
        );
    }

    fn start_item(
        &mut self,
        host: &str,
        incarnation: u64,
        run: RunRef,
        job: JobId,
        item: ItemIndex,
    ) {
        let time = Duration::from_millis(self.rng.random_range(30..200));
        self.next_run += 1;
        let number = self.next_run;
        if self
            .cancel_answered_at
            .get(&job)
            .is_some_and(|at| self.now > *at + Duration::from_secs(5))
        {
            if super::trace::is_enabled() {
                println!(
                    "{:?} late start of {job:x}/{item} at {host}, cancel seen {:?}",
                    self.now,
                    self.cancel_answered_at.get(&job)
                );
            }
            self.late_start_count += 1;
        }
        if let Some(state) = self.hosts.get_mut(host) {
            state
                .runs
                .insert(run.clone(), ActiveRun { job, item, number });
        }
        self.schedule(
            time,
            Event::RunEnded {
                host: host.to_owned(),
                incarnation,
                run,
                number,
            },
        );
    }

    fn handle_run_end(&mut self, name: &str, incarnation: u64, run: RunRef, number: u64) {
        let Some(host) = self
            .hosts
            .get_mut(name)
            .filter(|host| host.incarnation == incarnation)
        else {
            return;
        };
        let Some(active) = host
            .runs
            .get(&run)
            .copied()
            .filter(|active| active.number == number)
        else {
            return;
        };
        host.runs.remove(&run);
        *self
            .item_run_counts
            .entry((active.job, active.item))
            .or_default() += 1;
        let custom_id = format!("i{}", active.item);
        let run_result = match self.failing_items.contains(&(active.job, active.item)) {
            true => ItemRunResult::ItemFault {
                reason: "cannot be done".into(),
            },
            false => ItemRunResult::Done {
                answer_json: format!("\"run {number}\""),
            },
        };
        self.step(
            name,
            Input::ItemEnded {
                run,
                end: ItemEnd::Finished {
                    custom_id,
                    run_result,
                },
            },
        );
    }

    fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.is_frozen = false;
        for input in std::mem::take(&mut host.queued_inputs) {
            self.step(name, input);
        }
    }
}
