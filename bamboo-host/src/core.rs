//! The host core: one step function over all roles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_config::ConfigState;
use bamboo_events::EventKind;
use bamboo_log::Appender;
use bamboo_log::NextAppend;
use bamboo_log::RecordId;
use bamboo_log::StreamId;
use bamboo_log::Writer;
use bamboo_member::Claimant;
use bamboo_member::HostLoss;
use bamboo_member::MemberView;
use bamboo_member::rendezvous_owner;
use bamboo_result::ApiError;
use bamboo_route::Router;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_wire::Frame;
use bamboo_wire::PeerMessage;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Answer;
use crate::HostOptions;
use crate::Input;
use crate::Output;
use crate::asks::Asks;
use crate::asks::shard_name;
use crate::config_role::ConfigRole;
use crate::keyed::KeyedRuns;
use crate::servers::ServerTable;
use crate::shard_role::ShardRole;
use crate::waiters::Waiters;

/// Interval of looking which hosts are live.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between steps from which on the host counts as having been paused.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// A shard as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardStatus {
    /// Shard.
    pub shard: ShardId,
    /// Epoch, if this host owns it.
    pub epoch: Option<Offset>,
    /// Next offset of its fold.
    pub next_offset: Offset,
    /// Jobs in it.
    pub job_count: usize,
    /// Items handed out.
    pub held_count: usize,
}

/// A host core as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostStatus {
    /// Host.
    pub host: HostId,
    /// Whether it takes callers' requests.
    pub is_ready: bool,
    /// Whether it is stopping.
    pub is_draining: bool,
    /// Next offset of its configuration.
    pub config_offset: Offset,
    /// Live hosts as it sees them.
    pub live_hosts: Vec<HostId>,
    /// Shards that it reads.
    pub shards: Vec<ShardStatus>,
    /// Backend servers that it owns, with online and batch counts.
    pub servers: Vec<(BackendServerId, u32, u32)>,
    /// Online requests in flight here.
    pub online_count: usize,
    /// Records that wait for the log.
    pub unconfirmed_count: usize,
    /// Outcomes that wait to be committed.
    pub unsettled_count: usize,
}

/// Everything that one host decides.
#[derive(Debug)]
pub struct HostCore {
    pub(crate) options: HostOptions,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) members: MemberView,
    pub(crate) live: Vec<HostId>,
    pub(crate) firsts: Vec<Option<HostId>>,
    pub(crate) writes_images: bool,
    looked_at: Now,
    pub(crate) appender: Appender,
    pub(crate) config: ConfigRole,
    pub(crate) shards: Vec<ShardRole>,
    pub(crate) servers: ServerTable,
    pub(crate) router: Router,
    pub(crate) asks: Asks,
    pub(crate) waiters: Waiters,
    pub(crate) keyed: KeyedRuns,
    pub(crate) addresses: BTreeMap<HostId, String>,
    pub(crate) touched: BTreeSet<BackendServerId>,
    is_ready: bool,
    is_accepting: bool,
    accept_until: Option<Now>,
    stepped_at: Option<Now>,
    resumed_at: Option<Now>,
    heartbeat_at: Now,
    must_announce: bool,
    is_drained: bool,
    sends: BTreeMap<HostId, Vec<PeerMessage>>,
    to_self: Vec<PeerMessage>,
    outputs: Vec<Output>,
}

impl HostCore {
    /// A core that knows nothing yet.
    ///
    /// ```
    /// use bamboo_host::{HostCore, HostOptions, Input, Output};
    /// let mut core = HostCore::new(HostOptions::new("h1".into(), 1, 7));
    /// let outputs = core.step(std::time::Duration::ZERO, Input::Tick);
    /// assert!(outputs.iter().any(|output| matches!(output, Output::Read { .. })));
    /// ```
    pub fn new(options: HostOptions) -> Self {
        let claimant = || {
            Claimant::new(
                options.host.clone(),
                options.incarnation,
                options.claims.clone(),
            )
        };
        let shards = (0..options.shard_count)
            .map(|shard| ShardRole::new(shard, claimant()))
            .collect();
        HostCore {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            members: MemberView::new(options.host.clone(), options.members.clone()),
            live: Vec::new(),
            firsts: Vec::new(),
            writes_images: false,
            looked_at: Now::ZERO,
            appender: Appender::new(
                options.host.clone(),
                options.incarnation,
                options.appender.clone(),
            ),
            config: ConfigRole::default(),
            shards,
            servers: ServerTable::default(),
            router: Router::new(options.choice.clone()),
            asks: Asks::default(),
            waiters: Waiters::default(),
            keyed: KeyedRuns::default(),
            addresses: BTreeMap::new(),
            touched: BTreeSet::new(),
            is_ready: false,
            is_accepting: false,
            accept_until: None,
            stepped_at: None,
            resumed_at: None,
            heartbeat_at: Now::ZERO,
            must_announce: true,
            is_drained: false,
            sends: BTreeMap::new(),
            to_self: Vec::new(),
            outputs: Vec::new(),
            options,
        }
    }

    /// Takes one thing that happened and returns what to do about it.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.notice_pause(now);
        self.take(now, input);
        self.deliver_to_self(now);
        self.advance_appends(now);
        self.report_counts();
        self.deliver_to_self(now);
        self.flush_sends();
        std::mem::take(&mut self.outputs)
    }

    /// The state that operators see.
    pub fn status(&self, now: Now) -> HostStatus {
        let shards = self.shards.iter().filter(|role| role.reader.is_some());
        HostStatus {
            host: self.options.host.clone(),
            is_ready: self.is_ready,
            is_draining: self.members.is_draining(),
            config_offset: self.config.fold().next_offset(),
            live_hosts: self.members.live_hosts(now),
            shards: shards
                .map(|role| ShardStatus {
                    shard: role.shard,
                    epoch: role.owned,
                    next_offset: role.stream.state().next_offset(),
                    job_count: role.stream.state().jobs().count(),
                    held_count: role.hand_out.held_count(),
                })
                .collect(),
            servers: self.servers.counts(now),
            online_count: self.router.in_flight_count(),
            unconfirmed_count: self.appender.unconfirmed(),
            unsettled_count: self.servers.unsettled_count(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &ConfigState {
        self.config.fold()
    }

    /// The shard as this host has folded it, while it reads it.
    pub fn shard_fold(&self, shard: ShardId) -> Option<&bamboo_jobs::ShardState> {
        let role = self.shards.get(usize::from(shard))?;
        role.reader.as_ref().map(|_| role.stream.state())
    }

    fn take(&mut self, now: Now, input: Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::HostList {
                hosts,
                leaving_servers,
            } => {
                self.members.apply_host_list(now, hosts);
                self.addresses = self
                    .members
                    .peers()
                    .map(|peer| (peer.host.clone(), peer.peer_address.clone()))
                    .collect();
                if self.servers.set_leaving(leaving_servers) {
                    self.refresh_servers(now);
                }
            }
            Input::Frame(frame) => self.take_frame(now, frame),
            Input::AppendAnswered { stream, answer } => self.append_answered(now, stream, answer),
            Input::ReadAnswered { stream, answer } => self.read_answered(now, stream, answer),
            Input::EntryRead {
                stream,
                offset,
                entry,
            } => self.entry_read(now, stream, offset, entry),
            Input::ReadFailed { stream } => self.read_failed(now, stream),
            Input::Online(request) => self.online_arrived(now, request),
            Input::Keyed(request) => self.keyed_arrived(now, request),
            Input::KeyedAnswer {
                request,
                status,
                body,
            } => self.keyed.answered(request, status, body),
            Input::OnlineEnded { request, end } => self.online_ended(now, request, end),
            Input::Upload {
                request,
                shard,
                upload,
                first_item,
                items,
            } => {
                self.upload_arrived(now, request, shard, upload, first_item, items);
            }
            Input::Submit { request, spec } => self.submit_arrived(now, request, spec),
            Input::Cancel { request, job } => self.cancel_arrived(now, request, job),
            Input::Ask {
                request,
                shard,
                question,
            } => self.ask(now, request, shard, question, crate::asks::Purpose::Plain),
            Input::Propose { request, change } => self.propose_arrived(now, request, change),
            Input::ItemFirstToken(run) => self.item_first_token(&run),
            Input::ItemEnded { run, end } => self.item_ended(now, run, end),
            Input::StraysCancelled { server } => self.strays_cancelled(now, &server),
            Input::Drain => self.drain(now),
        }
    }

    fn tick(&mut self, now: Now) {
        if now.saturating_sub(self.looked_at) >= LOOK_INTERVAL {
            self.look_at_members(now);
        }
        self.send_heartbeats(now);
        self.tick_config(now);
        self.tick_shards(now);
        self.tick_servers(now);
        self.tick_asks(now);
        self.tick_waiters(now);
        self.update_readiness(now);
        self.check_drained();
    }

    /// A host that was paused acts on nothing it was given before: its place may have been taken meanwhile.
    fn notice_pause(&mut self, now: Now) {
        let was_paused = self
            .stepped_at
            .is_some_and(|at| now.saturating_sub(at) >= PAUSE_MIN);
        self.stepped_at = Some(now);
        if was_paused {
            self.resumed_at = Some(now);
            self.return_all_waiting(now);
        }
    }

    /// Whether what arrives may still stem from before a pause of this host.
    pub(crate) fn is_resuming(&self, now: Now) -> bool {
        self.resumed_at
            .is_some_and(|at| now.saturating_sub(at) < PAUSE_MIN)
    }

    /// Notices which hosts are live, and who is first for each shard then.
    fn look_at_members(&mut self, now: Now) {
        self.looked_at = now;
        self.announce_losses(now);
        self.ask_doubted(now);
        if !self.members.live_hosts_eq(now, &self.live) {
            let live = self.members.live_hosts(now);
            self.set_live(now, live);
        }
    }

    fn set_live(&mut self, now: Now, live: Vec<HostId>) {
        self.live = live;
        let first = |shard| rendezvous_owner(&self.live, &shard_name(shard)).map(str::to_owned);
        self.firsts = (0..self.options.shard_count).map(first).collect();
        let config = StreamId::Config.to_string();
        self.writes_images = rendezvous_owner(&self.live, &config) == Some(&self.options.host);
        self.refresh_servers(now);
    }

    /// Tells the watchers that this host lives, and all hosts when that is news.
    fn send_heartbeats(&mut self, now: Now) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.options.heartbeat;
        let has_news = self.must_announce && !self.addresses.is_empty();
        self.must_announce &= !has_news;
        let hosts: Vec<HostId> = match has_news {
            true => self.addresses.keys().cloned().collect(),
            false => self.members.watchers().cloned().collect(),
        };
        let is_draining = self.members.is_draining();
        let config_offset = self.config.fold().next_offset();
        for host in hosts {
            self.send(
                &host,
                PeerMessage::Heartbeat {
                    is_draining,
                    config_offset,
                },
            );
        }
    }

    /// Announces to all hosts which of the watched ones are lost.
    fn announce_losses(&mut self, now: Now) {
        for loss in self.members.take_unannounced_losses(now) {
            self.members.apply_loss_report(&loss);
            let hosts: Vec<HostId> = self.addresses.keys().cloned().collect();
            for host in hosts {
                let (lost, incarnation) = (loss.host.clone(), loss.incarnation);
                self.send(
                    &host,
                    PeerMessage::HostLost {
                        host: lost,
                        incarnation,
                    },
                );
            }
        }
    }

    /// Asks hosts that were reported lost; one that lives speaks to all then.
    fn ask_doubted(&mut self, now: Now) {
        for loss in self.members.take_losses_to_verify(now) {
            let HostLoss { host, incarnation } = loss;
            let to = host.clone();
            self.send(&to, PeerMessage::HostLost { host, incarnation });
        }
    }

    /// A host that is taken as lost and lives says so to all.
    fn loss_heard(&mut self, now: Now, loss: HostLoss) {
        if self.members.apply_loss_report(&loss) {
            self.must_announce = true;
            self.heartbeat_at = now;
        }
    }

    fn take_frame(&mut self, now: Now, frame: Frame) {
        if !self
            .members
            .record_contact(now, &frame.from, frame.incarnation)
        {
            return;
        }
        if self.members.retract_loss(&frame.from) {
            let (host, incarnation) = (frame.from.clone(), frame.incarnation);
            self.send(&frame.from, PeerMessage::HostLost { host, incarnation });
        }
        for message in frame.messages {
            if let PeerMessage::Heartbeat { is_draining, .. } = message {
                self.members.set_peer_draining(&frame.from, is_draining);
            }
            self.take_message(now, &frame.from, frame.incarnation, message);
        }
    }

    fn take_message(&mut self, now: Now, from: &str, incarnation: u64, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat { config_offset, .. } => {
                self.config_heard(now, from, config_offset)
            }
            PeerMessage::HostLost { host, incarnation } => {
                self.loss_heard(now, HostLoss { host, incarnation });
            }
            PeerMessage::OnlineCount { server, in_flight } => {
                self.online_count_heard(now, from, &server, in_flight)
            }
            PeerMessage::Loads(loads) => self.loads_heard(now, loads),
            PeerMessage::Demand {
                shard,
                server,
                models,
                want_count,
                held_count,
            } => {
                let demand = bamboo_jobs::Demand {
                    host: from.to_owned(),
                    incarnation,
                    server,
                    models,
                    want_count,
                    held_count,
                };
                self.demand_heard(now, shard, demand);
            }
            PeerMessage::HeldItemsRequest { shard, server } => {
                self.recount_heard(from, shard, &server)
            }
            PeerMessage::HeldItems {
                shard,
                server,
                items,
            } => {
                let holder = bamboo_jobs::Holder {
                    host: from.to_owned(),
                    incarnation,
                    server,
                };
                self.holding_heard(now, shard, &holder, &items);
            }
            PeerMessage::AssignedItems {
                shard,
                epoch,
                items,
            } => self.items_heard(now, from, shard, epoch, items),
            PeerMessage::ReturnedItems { shard, items } => self.return_heard(shard, &items),
            PeerMessage::Outcomes { shard, outcomes } => {
                self.outcomes_heard(now, from, shard, outcomes)
            }
            PeerMessage::OutcomesAcknowledged { shard, items } => {
                self.servers.settled(shard, &items)
            }
            PeerMessage::ShardOwner { shard, owner } => self.holder_heard(shard, owner),
            PeerMessage::StopJob { shard, job } => self.stop_job_heard(shard, job),
            PeerMessage::Query {
                request,
                shard,
                query: question,
            } => self.ask_heard(now, from, request, shard, question),
            PeerMessage::Reply { request, reply } => self.reply_heard(now, request, reply),
            PeerMessage::ConfigRequest { next_offset } => self.config_asked(from, next_offset),
            PeerMessage::ConfigSnapshot(bytes) => self.config_image_heard(now, &bytes),
        }
    }

    /// Messages to the own host take the same way as others, without a socket.
    fn deliver_to_self(&mut self, now: Now) {
        let host = self.options.host.clone();
        let incarnation = self.options.incarnation;
        while !self.to_self.is_empty() {
            for message in std::mem::take(&mut self.to_self) {
                self.take_message(now, &host, incarnation, message);
            }
        }
    }

    fn advance_appends(&mut self, now: Now) {
        while let NextAppend::Send { stream, bytes } = self.appender.next(now) {
            self.outputs.push(Output::Append { stream, bytes });
        }
    }

    fn flush_sends(&mut self) {
        for (to, messages) in std::mem::take(&mut self.sends) {
            if let Some(address) = self.addresses.get(&to).cloned() {
                self.outputs.push(Output::Send {
                    to,
                    address,
                    messages,
                });
            }
        }
    }

    fn update_readiness(&mut self, now: Now) {
        let has_config = self.config.is_ready(now, self.options.stale_config_max);
        let is_ready = has_config && !self.members.is_draining();
        self.is_accepting = has_config && self.accept_until.is_none_or(|until| now < until);
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            self.outputs.push(Output::Ready(is_ready));
            let detail = if is_ready { "ready" } else { "not ready" };
            self.event(EventKind::Readiness, String::new(), detail.to_owned());
        }
    }

    fn drain(&mut self, now: Now) {
        if self.members.is_draining() {
            return;
        }
        self.members.start_draining();
        self.accept_until = Some(now + self.options.drain_wait);
        self.heartbeat_at = now;
        self.must_announce = true;
        let live = self.members.live_hosts(now);
        self.set_live(now, live);
        self.update_readiness(now);
    }

    fn check_drained(&mut self) {
        let is_idle = self.members.is_draining()
            && !self.is_accepting
            && self.router.in_flight_count() == 0
            && self.servers.is_empty()
            && self.servers.unsettled_count() == 0
            && self.waiters.count() == 0
            && self.keyed.is_empty()
            && self.appender.unconfirmed() == 0
            && self.shards.iter().all(|role| role.owned.is_none());
        if is_idle && !self.is_drained {
            self.is_drained = true;
            self.outputs.push(Output::Drained);
        }
    }

    /// Whether callers' requests are taken: while ready, and during a planned stop until the balancer has noticed.
    pub(crate) fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    pub(crate) fn send(&mut self, to: &str, message: PeerMessage) {
        if to == self.options.host {
            self.to_self.push(message);
        } else {
            self.sends.entry(to.to_owned()).or_default().push(message);
        }
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: Answer) {
        self.outputs.push(Output::Answer { request, answer });
    }

    pub(crate) fn refuse(&mut self, request: RequestId, refusal: ApiError) {
        let detail = refusal.to_string();
        self.event(EventKind::Refused, format!("{request:032x}"), detail);
        self.answer(request, Answer::Refused(refusal));
    }

    pub(crate) fn event(&mut self, kind: EventKind, subject: String, detail: String) {
        self.outputs.push(Output::Event {
            kind,
            subject,
            detail,
        });
    }

    /// Identity under which this run writes records.
    pub(crate) fn record_id(&self, sequence: u64) -> RecordId {
        let writer = Writer {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
        };
        RecordId { writer, sequence }
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
