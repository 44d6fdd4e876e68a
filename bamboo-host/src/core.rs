//! The host core: one step function that drives the roles of a host.

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
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_wire::Frame;
use bamboo_wire::PeerMessage;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Answer;
use crate::HostOptions;
use crate::Input;
use crate::Output;
use crate::config_role::ConfigRole;
use crate::keyed::KeyedRuns;
use crate::servers::ServerTable;
use crate::shard_queries::ShardQueries;
use crate::shard_queries::shard_name;
use crate::shard_role::ShardRole;
use crate::waiters::Waiters;

/// Interval between updates of the set of live hosts.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two steps at which the process counts as paused. Items that arrive within the same time after a pause
/// are returned.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// State of a shard at this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardStatus {
    /// Shard.
    pub shard: ShardId,
    /// Epoch, if this host owns it.
    pub epoch: Option<Offset>,
    /// Next offset that the replayed state expects.
    pub next_offset: Offset,
    /// Number of jobs in the replayed state.
    pub job_count: usize,
    /// Number of items assigned to server owners.
    pub held_count: usize,
}

/// State of a host core for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostStatus {
    /// Host.
    pub host: HostId,
    /// Whether the host is ready for callers' requests.
    pub is_ready: bool,
    /// Whether the host is draining.
    pub is_draining: bool,
    /// Next offset that the configuration expects.
    pub config_offset: Offset,
    /// Hosts that this host considers live.
    pub live_hosts: Vec<HostId>,
    /// Shards whose streams this host reads.
    pub shards: Vec<ShardStatus>,
    /// Backend servers that this host owns, with their counts of running online requests and batch items.
    pub servers: Vec<(BackendServerId, u32, u32)>,
    /// Online requests that this host has in flight.
    pub online_count: usize,
    /// Records that the log has not confirmed.
    pub unconfirmed_count: usize,
    /// Outcomes that their shard owners have not yet acknowledged as committed or ignored.
    pub unacknowledged_count: usize,
}

/// The state machine of one host: router, server owner and shard owner.
#[derive(Debug)]
pub struct HostCore {
    pub(crate) options: HostOptions,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) members: MemberView,
    pub(crate) live_hosts: Vec<HostId>,
    /// Rendezvous owner of each shard among the live hosts.
    pub(crate) rendezvous_owners: Vec<Option<HostId>>,
    pub(crate) writes_config_snapshots: bool,
    members_checked_at: Timestamp,
    pub(crate) appender: Appender,
    pub(crate) config: ConfigRole,
    pub(crate) shards: Vec<ShardRole>,
    pub(crate) servers: ServerTable,
    pub(crate) router: Router,
    pub(crate) queries: ShardQueries,
    pub(crate) waiters: Waiters,
    pub(crate) keyed: KeyedRuns,
    pub(crate) addresses: BTreeMap<HostId, String>,
    /// Servers whose in-flight count has to be reported to their owner.
    pub(crate) unreported_counts: BTreeSet<BackendServerId>,
    is_ready: bool,
    is_accepting: bool,
    accept_until: Option<Timestamp>,
    last_step_at: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
    next_heartbeat_at: Timestamp,
    must_announce_alive: bool,
    is_drained: bool,
    outgoing: BTreeMap<HostId, Vec<PeerMessage>>,
    /// Messages that this host sent to itself, handled before the step ends.
    self_messages: Vec<PeerMessage>,
    outputs: Vec<Output>,
}

impl HostCore {
    /// Creates a core without hosts, configuration or shards.
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
            live_hosts: Vec::new(),
            rendezvous_owners: Vec::new(),
            writes_config_snapshots: false,
            members_checked_at: Timestamp::ZERO,
            appender: Appender::new(
                options.host.clone(),
                options.incarnation,
                options.appender.clone(),
            ),
            config: ConfigRole::default(),
            shards,
            servers: ServerTable::default(),
            router: Router::new(options.choice.clone()),
            queries: ShardQueries::default(),
            waiters: Waiters::default(),
            keyed: KeyedRuns::default(),
            addresses: BTreeMap::new(),
            unreported_counts: BTreeSet::new(),
            is_ready: false,
            is_accepting: false,
            accept_until: None,
            last_step_at: None,
            resumed_at: None,
            next_heartbeat_at: Timestamp::ZERO,
            must_announce_alive: true,
            is_drained: false,
            outgoing: BTreeMap::new(),
            self_messages: Vec::new(),
            outputs: Vec::new(),
            options,
        }
    }

    /// Handles an input and returns the outputs to carry out, in order.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.detect_pause(now);
        self.handle_input(now, input);
        self.deliver_self_messages(now);
        self.send_due_appends(now);
        self.report_counts();
        self.deliver_self_messages(now);
        self.flush_outgoing();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the state for operators.
    pub fn status(&self, now: Timestamp) -> HostStatus {
        let shards = self.shards.iter().filter(|role| role.reader.is_some());
        HostStatus {
            host: self.options.host.clone(),
            is_ready: self.is_ready,
            is_draining: self.members.is_draining(),
            config_offset: self.config.state().next_offset(),
            live_hosts: self.members.live_hosts(now),
            shards: shards
                .map(|role| ShardStatus {
                    shard: role.shard,
                    epoch: role.owned_epoch,
                    next_offset: role.replay.state().next_offset(),
                    job_count: role.replay.state().jobs().count(),
                    held_count: role.dispatcher.held_count(),
                })
                .collect(),
            servers: self.servers.counts(now),
            online_count: self.router.in_flight_count(),
            unconfirmed_count: self.appender.unconfirmed(),
            unacknowledged_count: self.servers.unacknowledged_count(),
        }
    }

    /// Returns the active configuration.
    pub fn config(&self) -> &ConfigState {
        self.config.state()
    }

    /// Returns the replayed state of a shard while this host reads its stream.
    pub fn shard_state(&self, shard: ShardId) -> Option<&bamboo_jobs::ShardState> {
        let role = self.shards.get(usize::from(shard))?;
        role.reader.as_ref().map(|_| role.replay.state())
    }

    fn handle_input(&mut self, now: Timestamp, input: Input) {
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
            Input::Frame(frame) => self.handle_frame(now, frame),
            Input::AppendAnswered { stream, answer } => {
                self.handle_append_answer(now, stream, answer)
            }
            Input::ReadAnswered { stream, answer } => self.handle_read_answer(now, stream, answer),
            Input::EntryRead {
                stream,
                offset,
                entry,
            } => self.handle_entry_read(now, stream, offset, entry),
            Input::ReadFailed { stream } => self.handle_read_failure(now, stream),
            Input::Online(request) => self.handle_online(now, request),
            Input::Keyed(request) => self.handle_keyed_call(now, request),
            Input::KeyedAnswer {
                request,
                status,
                body,
            } => self.keyed.record_answer(request, status, body),
            Input::OnlineEnded { request, end } => self.handle_online_end(now, request, end),
            Input::Upload {
                request,
                shard,
                upload,
                first_item,
                items,
            } => {
                self.handle_upload(now, request, shard, upload, first_item, items);
            }
            Input::Submit { request, spec } => self.handle_submit(now, request, spec),
            Input::Cancel { request, job } => self.handle_cancel(now, request, job),
            Input::Query {
                request,
                shard,
                query,
            } => self.query_shard(
                now,
                request,
                shard,
                query,
                crate::shard_queries::QueryPurpose::Forward,
            ),
            Input::Propose { request, change } => self.handle_propose(now, request, change),
            Input::ItemFirstToken(run) => self.handle_first_token(&run),
            Input::ItemEnded { run, end } => self.handle_item_end(now, run, end),
            Input::OrphanedRunsCancelled { server } => {
                self.handle_orphaned_runs_cancelled(now, &server)
            }
            Input::Drain => self.drain(now),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if now.saturating_sub(self.members_checked_at) >= MEMBER_CHECK_INTERVAL {
            self.check_members(now);
        }
        self.send_heartbeats(now);
        self.tick_config(now);
        self.tick_shards(now);
        self.tick_servers(now);
        self.tick_queries(now);
        self.tick_waiters(now);
        self.update_readiness(now);
        self.check_drained();
    }

    /// Detects that the process was paused, and returns the items that have not started: other hosts may have taken
    /// over its shards and servers meanwhile.
    fn detect_pause(&mut self, now: Timestamp) {
        let was_paused = self
            .last_step_at
            .is_some_and(|at| now.saturating_sub(at) >= PAUSE_THRESHOLD);
        self.last_step_at = Some(now);
        if was_paused {
            self.resumed_at = Some(now);
            self.return_all_waiting(now);
        }
    }

    /// Whether arriving messages may still have been sent before or during a pause of this host.
    pub(crate) fn is_resuming(&self, now: Timestamp) -> bool {
        self.resumed_at
            .is_some_and(|at| now.saturating_sub(at) < PAUSE_THRESHOLD)
    }

    /// Updates the set of live hosts, and with it the rendezvous owners.
    fn check_members(&mut self, now: Timestamp) {
        self.members_checked_at = now;
        self.announce_losses(now);
        self.verify_reported_losses(now);
        if !self.members.live_hosts_eq(now, &self.live_hosts) {
            let live = self.members.live_hosts(now);
            self.set_live_hosts(now, live);
        }
    }

    fn set_live_hosts(&mut self, now: Timestamp, live: Vec<HostId>) {
        self.live_hosts = live;
        let owner =
            |shard| rendezvous_owner(&self.live_hosts, &shard_name(shard)).map(str::to_owned);
        self.rendezvous_owners = (0..self.options.shard_count).map(owner).collect();
        let config = StreamId::Config.to_string();
        self.writes_config_snapshots =
            rendezvous_owner(&self.live_hosts, &config) == Some(&self.options.host);
        self.refresh_servers(now);
    }

    /// Sends heartbeats to the watchers of this host, or to all hosts if its start, a drain or a false loss report has
    /// to be announced.
    fn send_heartbeats(&mut self, now: Timestamp) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.options.heartbeat;
        let must_send_to_all = self.must_announce_alive && !self.addresses.is_empty();
        self.must_announce_alive &= !must_send_to_all;
        let hosts: Vec<HostId> = match must_send_to_all {
            true => self.addresses.keys().cloned().collect(),
            false => self.members.watchers().cloned().collect(),
        };
        let is_draining = self.members.is_draining();
        let config_offset = self.config.state().next_offset();
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

    /// Announces the losses of watched hosts to all hosts.
    fn announce_losses(&mut self, now: Timestamp) {
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

    /// Probes hosts that others reported lost. A live one refutes the report by a heartbeat to all hosts.
    fn verify_reported_losses(&mut self, now: Timestamp) {
        for loss in self.members.take_losses_to_verify(now) {
            let HostLoss { host, incarnation } = loss;
            let to = host.clone();
            self.send(&to, PeerMessage::HostLost { host, incarnation });
        }
    }

    /// Applies a loss report. If it is about this host, the next heartbeat goes to all hosts at once.
    fn handle_loss_report(&mut self, now: Timestamp, loss: HostLoss) {
        if self.members.apply_loss_report(&loss) {
            self.must_announce_alive = true;
            self.next_heartbeat_at = now;
        }
    }

    fn handle_frame(&mut self, now: Timestamp, frame: Frame) {
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
            self.handle_message(now, &frame.from, frame.incarnation, message);
        }
    }

    fn handle_message(
        &mut self,
        now: Timestamp,
        from: &str,
        incarnation: u64,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Heartbeat { config_offset, .. } => {
                self.handle_config_offset(now, from, config_offset)
            }
            PeerMessage::HostLost { host, incarnation } => {
                self.handle_loss_report(now, HostLoss { host, incarnation });
            }
            PeerMessage::OnlineCount { server, in_flight } => {
                self.handle_online_count(now, from, &server, in_flight)
            }
            PeerMessage::Loads(loads) => self.handle_loads(now, loads),
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
                self.handle_demand(now, shard, demand);
            }
            PeerMessage::HeldItemsRequest { shard, server } => {
                self.handle_held_items_request(from, shard, &server)
            }
            PeerMessage::HeldItems {
                shard,
                server,
                items,
            } => {
                let owner = bamboo_jobs::ServerOwner {
                    host: from.to_owned(),
                    incarnation,
                    server,
                };
                self.handle_held_items(now, shard, &owner, &items);
            }
            PeerMessage::AssignedItems {
                shard,
                epoch,
                items,
            } => self.handle_assigned_items(now, from, shard, epoch, items),
            PeerMessage::ReturnedItems { shard, items } => {
                self.handle_returned_items(shard, &items)
            }
            PeerMessage::Outcomes { shard, outcomes } => {
                self.handle_outcomes(now, from, shard, outcomes)
            }
            PeerMessage::OutcomesAcknowledged { shard, items } => {
                self.servers.remove_acknowledged(shard, &items)
            }
            PeerMessage::ShardOwner { shard, owner } => self.handle_owner_hint(shard, owner),
            PeerMessage::StopJob { shard, job } => self.handle_stop_job(shard, job),
            PeerMessage::Query {
                request,
                shard,
                query,
            } => self.handle_query(now, from, request, shard, query),
            PeerMessage::Reply { request, reply } => self.handle_reply(now, request, reply),
            PeerMessage::ConfigRequest { next_offset } => {
                self.handle_config_snapshot_request(from, next_offset)
            }
            PeerMessage::ConfigSnapshot(bytes) => self.handle_config_snapshot(now, &bytes),
        }
    }

    /// Handles messages that this host sent to itself as if they had arrived from the network.
    fn deliver_self_messages(&mut self, now: Timestamp) {
        let host = self.options.host.clone();
        let incarnation = self.options.incarnation;
        while !self.self_messages.is_empty() {
            for message in std::mem::take(&mut self.self_messages) {
                self.handle_message(now, &host, incarnation, message);
            }
        }
    }

    fn send_due_appends(&mut self, now: Timestamp) {
        while let NextAppend::Send { stream, bytes } = self.appender.next(now) {
            self.outputs.push(Output::Append { stream, bytes });
        }
    }

    fn flush_outgoing(&mut self) {
        for (to, messages) in std::mem::take(&mut self.outgoing) {
            if let Some(address) = self.addresses.get(&to).cloned() {
                self.outputs.push(Output::Send {
                    to,
                    address,
                    messages,
                });
            }
        }
    }

    fn update_readiness(&mut self, now: Timestamp) {
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

    fn drain(&mut self, now: Timestamp) {
        if self.members.is_draining() {
            return;
        }
        self.members.start_draining();
        self.accept_until = Some(now + self.options.drain_wait);
        self.next_heartbeat_at = now;
        self.must_announce_alive = true;
        let live = self.members.live_hosts(now);
        self.set_live_hosts(now, live);
        self.update_readiness(now);
    }

    fn check_drained(&mut self) {
        let is_idle = self.members.is_draining()
            && !self.is_accepting
            && self.router.in_flight_count() == 0
            && self.servers.is_empty()
            && self.servers.unacknowledged_count() == 0
            && self.waiters.count() == 0
            && self.keyed.is_empty()
            && self.appender.unconfirmed() == 0
            && self.shards.iter().all(|role| role.owned_epoch.is_none());
        if is_idle && !self.is_drained {
            self.is_drained = true;
            self.outputs.push(Output::Drained);
        }
    }

    /// Whether callers' requests are accepted: while ready, and in a drain until the load balancer has noticed it.
    pub(crate) fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    pub(crate) fn send(&mut self, to: &str, message: PeerMessage) {
        if to == self.options.host {
            self.self_messages.push(message);
        } else {
            self.outgoing
                .entry(to.to_owned())
                .or_default()
                .push(message);
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

    /// Identity of a record that this incarnation of the host writes.
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
