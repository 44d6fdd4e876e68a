//! Handling of messages from other hosts.

use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::ClusterMap;
use bamboo_coordination::ClusterMapUpdate;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HintAction;
use bamboo_coordination::HostInfo;
use bamboo_coordination::ReservationOutcome;
use bamboo_shards::JobCaller;
use bamboo_slots::Action;
use bamboo_slots::GrantStep;
use bamboo_slots::RequestReport;
use bamboo_slots::RequestTerms;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::QueueKey;
use tokio::sync::mpsc;

use crate::gateway::ConfigRecord;
use crate::gateway::Gateway;
use crate::jobs::JobSubmission;
use crate::mesh::CLUSTER_MAP_CHANGES_SINCE;
use crate::mesh::COMPARED_REPORTS_SINCE;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::ProtocolVersion;
use crate::mesh::REQUEST_TERMS_SINCE;
use crate::mesh::SlotRequestOnTerms;
use crate::request_log::LineClass;
use crate::slot_requests::SlotDecision;

/// Time for this host's own watch to read a new configuration from the store before it is fetched from another host.
const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(300);
/// Timeout for fetching a configuration, which may be large and the link slow. A link that fails ends the fetch sooner.
const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of the request that makes a host connect and name its version.
const VERSION_TIMEOUT: Duration = Duration::from_millis(300);

impl Gateway {
    /// Sends a message to the coordinator, which may be this host.
    pub(crate) fn send_to_coordinator(&self, message: PeerMessage) {
        let current = self.coordination.borrow().coordinator().clone();
        self.send_to(&current, message);
    }

    pub(super) fn send_to(&self, host: &str, message: PeerMessage) {
        match host == self.local.host {
            true => self.handle_message(&self.local, message),
            false => self.mesh.send(host, message, self.clock.now()),
        }
    }

    /// Records a host that opened a connection, and the version of the messages that it decodes.
    pub(crate) fn host_connected(&self, info: &HostInfo, version: ProtocolVersion) {
        self.protocol_versions
            .borrow_mut()
            .insert(info.host.clone(), version);
        self.coordination.borrow_mut().add_host(info);
    }

    /// Handles a message from another host.
    pub(crate) fn handle_peer_message(self: &Rc<Self>, sender: &HostInfo, message: PeerMessage) {
        let knows_servers = match &message {
            PeerMessage::Heartbeat(heartbeat)
            | PeerMessage::HeartbeatWithRequests(heartbeat, _) => heartbeat.knows_servers,
            PeerMessage::Probe(probe) => probe.knows_servers,
            PeerMessage::HeartbeatAck { knows_servers, .. } => *knows_servers,
            _ => false,
        };
        self.record_contact(sender, knows_servers);
        match message {
            PeerMessage::Request { call, request } => {
                let gateway = Rc::clone(self);
                let sender = sender.host.clone();
                actix_rt::spawn(async move {
                    let reply = gateway.handle_peer_request(&sender, request).await;
                    let now = gateway.clock.now();
                    gateway
                        .mesh
                        .send(&sender, PeerMessage::Reply { call, reply }, now);
                });
            }
            PeerMessage::Reply { call, reply } => {
                let late_reply = self.mesh.complete_call(call, reply);
                // Another fetch would have to wait behind this one on the same slow link.
                if let Some(PeerReply::Config(Some(record))) = late_reply {
                    self.apply_config(record, "host");
                }
            }
            PeerMessage::HeartbeatAck {
                cluster_map,
                config_version,
                is_leaving,
                wants_sync,
                knows_servers: _,
                coordinator,
            } => {
                if wants_sync {
                    self.send_slot_requests(&sender.host);
                }
                if is_leaving {
                    self.coordination.borrow_mut().mark_leaving(sender);
                }
                self.follow_coordinator_hint(sender, &coordinator);
                let mut coordination = self.coordination.borrow_mut();
                if coordination.coordinator() == &sender.host
                    && let Some(cluster_map) = cluster_map
                {
                    coordination.set_cluster_map(cluster_map);
                }
                drop(coordination);
                self.brief_coordinator(sender);
                self.request_config_fetch(&sender.host, config_version);
            }
            PeerMessage::ClusterMapChange(change) => {
                let mut coordination = self.coordination.borrow_mut();
                if coordination.coordinator() == &sender.host {
                    coordination.apply_cluster_map(ClusterMapUpdate::Change(change));
                }
            }
            PeerMessage::Probe(probe) => {
                self.follow_coordinator_hint(sender, &probe.coordinator);
                self.acknowledge_heartbeat(sender, None, false, self.clock.now());
            }
            message => self.handle_message(sender, message),
        }
    }

    /// Records that a message arrived from a host, and chooses the coordinator again if the host ranks before it.
    fn record_contact(&self, sender: &HostInfo, knows_servers: bool) {
        self.mesh.host_is_up(&sender.host);
        let mut coordination = self.coordination.borrow_mut();
        if knows_servers {
            coordination.record_knows_servers(sender);
        }
        let is_outranked = coordination.record_contact(&sender.host, self.clock.now());
        drop(coordination);
        if is_outranked {
            self.choose_coordinator();
        }
    }

    /// Considers the coordinator of another host, unless that host names itself.
    fn follow_coordinator_hint(&self, sender: &HostInfo, coordinator: &HostInfo) {
        if coordinator.host == sender.host {
            return;
        }
        let now = self.clock.now();
        let mut coordination = self.coordination.borrow_mut();
        let action = coordination.record_coordinator_hint(coordinator, now);
        let probe = coordination.probe();
        drop(coordination);
        match action {
            HintAction::None => {}
            HintAction::ChooseCoordinator => self.choose_coordinator(),
            HintAction::Announce => {
                self.mesh
                    .send(&coordinator.host, PeerMessage::Probe(probe), now);
            }
        }
    }

    /// Handles a message that this host may also have sent to itself.
    pub(super) fn handle_message(&self, sender: &HostInfo, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(sender, heartbeat, None, now);
            }
            PeerMessage::HeartbeatWithRequests(heartbeat, report) => {
                match RequestReport::try_from(report) {
                    Ok(report) => self.handle_heartbeat(sender, heartbeat, Some(report), now),
                    Err(error) => log::warn!(
                        event = "heartbeat_unreadable", host = sender.host.as_str();
                        "cannot read a heartbeat: {error}"
                    ),
                }
            }
            PeerMessage::Sync(infos) => {
                let infos = infos.into_iter().map(SlotRequestOnTerms::from);
                self.replace_requests(sender, infos.collect(), now);
            }
            PeerMessage::SyncOnTerms(infos) => self.replace_requests(sender, infos, now),
            PeerMessage::RequestSlot(info) => {
                self.handle_slot_request(sender, info.into(), now);
            }
            PeerMessage::RequestSlotOnTerms(info) => self.handle_slot_request(sender, info, now),
            PeerMessage::Release {
                request,
                server,
                outcome,
            } => {
                if outcome.is_failure() && self.may_log(LineClass::Other) {
                    log::info!(
                        event = "server_charged", host = sender.host.as_str(), server = server.as_deref(), outcome:?;
                        "a host reports that a run failed"
                    );
                }
                self.refund_rate(&sender.host, request);
                self.broker.borrow_mut().release(
                    &sender.host,
                    request,
                    server.as_deref(),
                    outcome,
                    now,
                );
                self.send_broker_actions();
            }
            PeerMessage::Grant { request, server } => {
                self.handle_grant(&sender.host, request, server)
            }
            PeerMessage::Queued { request } if self.is_coordinator(&sender.host) => {
                self.slot_requests.deliver(request, SlotDecision::Queued);
            }
            PeerMessage::Preempt { request } if self.is_coordinator(&sender.host) => {
                self.slot_requests.preempt(request)
            }
            PeerMessage::Refused {
                request,
                retry_after,
            } if self.is_coordinator(&sender.host) => {
                self.slot_requests
                    .deliver(request, SlotDecision::Refused(retry_after));
            }
            PeerMessage::RateExceeded {
                request,
                retry_after,
            } if self.is_coordinator(&sender.host) => {
                self.slot_requests
                    .deliver(request, SlotDecision::RateExceeded(retry_after));
            }
            PeerMessage::HostCount(hosts)
                if self.is_coordinator(&sender.host) || self.is_coordinator(&self.local.host) =>
            {
                self.record_host_count(hosts);
            }
            PeerMessage::UncountedRun { workspace } => {
                self.record_uncounted_run(&sender.host, &workspace);
            }
            PeerMessage::NoServer { request } if self.is_coordinator(&sender.host) => {
                self.slot_requests.deliver(request, SlotDecision::NoServer);
            }
            PeerMessage::StreamBegan { stream, origin } => {
                self.stream_origins.borrow_mut().record(stream, origin, now);
            }
            PeerMessage::EarlyCrashReport(report) => self.handle_crash_report(&report.into(), now),
            PeerMessage::CrashReport(report) => self.handle_crash_report(&report, now),
            PeerMessage::Quarantine(entries) => self.handle_quarantine(sender, &entries, now),
            PeerMessage::QuarantineAck(digest) => {
                self.crashes.record_ack(&sender.host, digest);
            }
            PeerMessage::Leaving(servers) => self.handle_leaving(sender, &servers),
            PeerMessage::ServerReports {
                reports,
                wants_reply,
            } => self.handle_server_reports(sender, reports, wants_reply, now),
            PeerMessage::ServerReportsDigest(digest) => {
                self.compare_server_reports(sender, digest, now);
            }
            PeerMessage::Limits(reports) => self.handle_limits(sender, &reports, now),
            // Decisions of a former coordinator are ignored.
            PeerMessage::Queued { .. }
            | PeerMessage::Preempt { .. }
            | PeerMessage::NoServer { .. }
            | PeerMessage::Refused { .. }
            | PeerMessage::RateExceeded { .. }
            | PeerMessage::HostCount(_) => {}
            PeerMessage::Hello(_)
            | PeerMessage::Probe(_)
            | PeerMessage::HeartbeatAck { .. }
            | PeerMessage::ClusterMapChange(_)
            | PeerMessage::Request { .. }
            | PeerMessage::Reply { .. } => {}
        }
    }

    /// Sends a slot request of this host to the coordinator.
    pub(crate) fn send_slot_request(&self, request: SlotRequestId) {
        let current = self.coordination.borrow().coordinator().clone();
        self.send_slot_request_to(&current, request);
    }

    fn send_slot_request_to(&self, host: &str, request: SlotRequestId) {
        let Some(info) = self.slot_requests.info(request, self.clock.now()) else {
            return;
        };
        let message = match self.decodes_since(host, REQUEST_TERMS_SINCE) {
            true => PeerMessage::RequestSlotOnTerms(info),
            false => PeerMessage::RequestSlot(info.info),
        };
        self.send_to(host, message);
    }

    /// Sends all slot requests of this host, as they are. Those that no coordinator has counted yet follow one by one, because
    /// requests that are sent together are not counted.
    pub(super) fn send_slot_requests(&self, host: &str) {
        let infos = self.slot_requests.infos(self.clock.now());
        let message = match self.decodes_since(host, REQUEST_TERMS_SINCE) {
            true => PeerMessage::SyncOnTerms(infos),
            false => PeerMessage::Sync(infos.into_iter().map(|info| info.info).collect()),
        };
        self.send_to(host, message);
        for request in self.slot_requests.uncounted() {
            self.send_slot_request_to(host, request);
        }
    }

    /// Replaces the slot requests of a host by those that it reports anew.
    fn replace_requests(&self, sender: &HostInfo, infos: Vec<SlotRequestOnTerms>, now: Duration) {
        self.record_requests(sender, now);
        if !self.is_coordinator(&self.local.host) {
            // The sender follows an outdated hint.
            self.acknowledge_heartbeat(sender, None, false, now);
        }
        let (mut runs, mut waiting) = (Vec::new(), Vec::new());
        for info in infos {
            match slot_request(sender, info, now) {
                (request, Some(server)) => runs.push((request, server)),
                (request, None) => waiting.push(request),
            }
        }
        let mut broker = self.broker.borrow_mut();
        broker.replace_host(&sender.host, runs, waiting, now);
        drop(broker);
        self.send_broker_actions();
    }

    fn record_requests(&self, sender: &HostInfo, now: Duration) {
        let mut broker = self.broker.borrow_mut();
        self.reports
            .borrow_mut()
            .record_requests(sender, &mut broker, now);
    }

    pub(crate) fn is_coordinator(&self, host: &str) -> bool {
        self.coordination.borrow().coordinator() == host
    }

    pub(super) fn handle_grant(
        &self,
        coordinator: &str,
        request: SlotRequestId,
        server: BackendServerId,
    ) {
        let step = match self.is_coordinator(coordinator) {
            true => self.slot_requests.grant(request, &server),
            // The request was moved to another coordinator while the grant was in flight.
            false => GrantStep::Release,
        };
        match step {
            GrantStep::Run | GrantStep::Ignore => return,
            GrantStep::ReportRun => {
                self.send_slot_request_to(coordinator, request);
                return;
            }
            GrantStep::Release => {}
        }
        let release = PeerMessage::Release {
            request,
            server: Some(server),
            outcome: bamboo_slots::RunOutcome::Cancelled,
        };
        self.send_to(coordinator, release);
    }

    fn handle_slot_request(&self, sender: &HostInfo, info: SlotRequestOnTerms, now: Duration) {
        self.record_requests(sender, now);
        let (request, server) = slot_request(sender, info, now);
        if let Err(retry_after) = self.count_slot_request(&request, server.is_some()) {
            let request = request.id;
            let message = PeerMessage::RateExceeded {
                request,
                retry_after,
            };
            self.send_to(&sender.host, message);
            return;
        }
        let mut broker = self.broker.borrow_mut();
        match server {
            Some(server) => broker.restore_run(request, &server, now),
            None => broker.request_slot(request, now),
        }
        drop(broker);
        self.send_broker_actions();
    }

    /// Takes a token for a slot request that counts, unless the broker knows it and thus has counted it. A run that began without
    /// a decision is not refused.
    fn count_slot_request(&self, request: &SlotRequest, is_running: bool) -> Result<(), Duration> {
        let Some(workspace) = &request.terms.workspace else {
            return Ok(());
        };
        let is_known = self.broker.borrow().knows(&request.host, request.id);
        if is_running {
            // It runs, whether or not it gets a slot here.
            self.rate_granted(&request.host, request.id);
        }
        match request.terms.is_counted && !is_known {
            false => Ok(()),
            true if is_running => {
                self.record_uncounted_run(&request.host, workspace);
                Ok(())
            }
            true => self.admit_slot_request(&request.host, request.id, workspace),
        }
    }

    pub(super) fn handle_heartbeat(
        &self,
        sender: &HostInfo,
        heartbeat: Heartbeat,
        report: Option<RequestReport>,
        now: Duration,
    ) {
        let (known_digest, version) = (heartbeat.cluster_map_digest, heartbeat.config_version);
        let mut reports = self.reports.borrow_mut();
        let is_new = reports.record_heartbeat(sender, heartbeat, now);
        let mut broker = self.broker.borrow_mut();
        let wants_sync = reports.reconcile_requests(&mut broker, &sender.host, report, now);
        drop(broker);
        let map_update = match reports.cluster_map_update(known_digest) {
            Some(ClusterMapUpdate::Change(_))
                if !self.decodes_since(&sender.host, CLUSTER_MAP_CHANGES_SINCE) =>
            {
                Some(ClusterMapUpdate::Whole(reports.cluster_map().0.clone()))
            }
            update => update,
        };
        drop(reports);
        if is_new {
            self.crashes.forget_host(&sender.host);
            self.forget_rated_requests(&sender.host);
            if !self.decodes_since(&sender.host, COMPARED_REPORTS_SINCE) {
                self.send_server_reports(sender, now);
            }
            log::info!(event = "host_joined", host = sender.host.as_str(); "a host reports to this coordinator");
        }
        self.record_rate_heartbeat(&sender.host);
        self.send_broker_actions();
        if sender.host == self.local.host {
            if let Some(update) = map_update {
                self.coordination.borrow_mut().apply_cluster_map(update);
            }
            return;
        }
        let cluster_map = match map_update {
            Some(ClusterMapUpdate::Whole(cluster_map)) => Some(cluster_map),
            Some(ClusterMapUpdate::Change(change)) => {
                let message = PeerMessage::ClusterMapChange(change);
                self.mesh.send(&sender.host, message, now);
                None
            }
            None => None,
        };
        self.acknowledge_heartbeat(sender, cluster_map, wants_sync, now);
        self.send_quarantine_unless_known(&sender.host);
        self.request_config_fetch(&sender.host, version);
    }

    /// Whether a host decodes messages that exist since a version.
    pub(crate) fn decodes_since(&self, host: &str, since: ProtocolVersion) -> bool {
        let versions = self.protocol_versions.borrow();
        host == self.local.host || versions.get(host).is_some_and(|version| *version >= since)
    }

    /// Whether a host decodes messages that exist since a version. A host that is not known to decode them is asked, since
    /// hosts name their version only when they connect, and may have been replaced by a later release meanwhile.
    pub(crate) async fn ask_decodes_since(&self, host: &str, since: ProtocolVersion) -> bool {
        if self.decodes_since(host, since) {
            return true;
        }
        // A small request that hosts of all versions answer. The version comes with the connection that brings the reply.
        let request = PeerRequest::StreamOrigin {
            stream: 0,
            services: Vec::new(),
        };
        let now = self.clock.now();
        self.mesh.call(host, request, VERSION_TIMEOUT, now).await;
        self.decodes_since(host, since)
    }

    /// For whom a host passes on a call that names no workspace. Hosts of earlier releases identify none.
    fn caller_without_workspace(&self, host: &str) -> JobCaller {
        match self.decodes_since(host, REQUEST_TERMS_SINCE) {
            true => JobCaller::NoWorkspace,
            false => JobCaller::Unidentified,
        }
    }

    pub(super) fn acknowledge_heartbeat(
        &self,
        sender: &HostInfo,
        cluster_map: Option<ClusterMap>,
        wants_sync: bool,
        now: Duration,
    ) {
        let ack = PeerMessage::HeartbeatAck {
            cluster_map,
            config_version: self.config_version(),
            is_leaving: self.is_stopping(),
            wants_sync,
            knows_servers: self.coordination.borrow().knows_servers(),
            coordinator: self.coordination.borrow().coordinator_info(),
        };
        self.mesh.send(&sender.host, ack, now);
    }

    /// Schedules a fetch of the configuration from a host that has a newer version.
    pub(super) fn request_config_fetch(&self, host: &str, version: u64) {
        if version <= self.config_version() || self.is_config_fetch_pending.replace(true) {
            return;
        }
        // The receiver lives as long as the process.
        let _ = self.config_fetches.send(host.to_owned());
    }

    /// Fetches the configuration from hosts that have a newer one, unless this host's own watch reads it first. Runs
    /// until the process ends.
    pub(crate) async fn fetch_configs(self: Rc<Self>, mut hosts: mpsc::UnboundedReceiver<HostId>) {
        while let Some(host) = hosts.recv().await {
            let before = self.config_version();
            if self.config().is_some() {
                actix_rt::time::sleep(CONFIG_FETCH_DELAY).await;
            }
            if self.config_version() == before {
                let now = self.clock.now();
                let reply = self
                    .mesh
                    .call(&host, PeerRequest::Config, CONFIG_FETCH_TIMEOUT, now)
                    .await;
                if let Some(PeerReply::Config(Some(record))) = reply {
                    self.apply_config(record, "host");
                }
            }
            self.is_config_fetch_pending.set(false);
        }
    }

    pub(super) async fn handle_peer_request(
        self: &Rc<Self>,
        sender: &str,
        request: PeerRequest,
    ) -> PeerReply {
        match request {
            PeerRequest::Submit {
                job,
                host,
                path,
                body,
            } => {
                let submission = JobSubmission {
                    job,
                    host,
                    path,
                    body: body.into(),
                    workspace: None,
                };
                let caller = self.caller_without_workspace(sender);
                self.jobs.submit_for_host(self, &submission, &caller).await
            }
            PeerRequest::SubmitFor {
                workspace,
                job,
                host,
                path,
                body,
            } => {
                let submission = JobSubmission {
                    job,
                    host,
                    path,
                    body: body.into(),
                    workspace: Some(workspace.clone()),
                };
                let caller = JobCaller::Workspace(workspace);
                self.jobs.submit_for_host(self, &submission, &caller).await
            }
            PeerRequest::Job(call) => {
                let caller = self.caller_without_workspace(sender);
                self.jobs.call_as_owner(self, call, &caller).await
            }
            PeerRequest::JobFor { workspace, call } => {
                let caller = JobCaller::Workspace(workspace);
                self.jobs.call_as_owner(self, call, &caller).await
            }
            PeerRequest::FindSubmittedFor { workspace, job } => {
                let caller = JobCaller::Workspace(workspace);
                self.jobs.find_as_owner(self, &job, &caller).await
            }
            PeerRequest::Reserve {
                route,
                tokens,
                max_tokens,
            } => self.reserve(sender, &QueueKey::from(route), None, tokens, max_tokens),
            PeerRequest::ReserveFor {
                job,
                queue,
                tokens,
                max_tokens,
            } => {
                let queue = QueueKey::from(queue);
                self.reserve(sender, &queue, Some(&job), tokens, max_tokens)
            }
            PeerRequest::Store(request) => PeerReply::Store(self.relay_store_call(&request).await),
            PeerRequest::Config => PeerReply::Config(
                self.config_record()
                    .map(|record| ConfigRecord::clone(&record)),
            ),
            PeerRequest::Servers => PeerReply::Servers(self.known_servers()),
            PeerRequest::StreamOrigin { stream, services } => {
                self.answer_stream_origin(stream, &services)
            }
            PeerRequest::RunHistories(suspects) => {
                let reports = self.sound_runs(&suspects).into_iter();
                PeerReply::RunHistories(reports.map(Into::into).collect())
            }
            PeerRequest::SoundRuns(suspects) => PeerReply::SoundRuns(self.sound_runs(&suspects)),
            PeerRequest::WeighEarlyCrash(report) => {
                self.weigh_reported_crash(&report.into()).await;
                PeerReply::CrashWeighed
            }
            PeerRequest::WeighCrash(report) => {
                self.weigh_reported_crash(&report).await;
                PeerReply::CrashWeighed
            }
            PeerRequest::Permit { servers, max_wait } => {
                PeerReply::Permit(self.permit(&servers, max_wait))
            }
            PeerRequest::CountRequest { workspace } => self.answer_count_request(&workspace),
        }
    }

    /// Reserves queue capacity for the tokens of a job, as the coordinator. Hosts of earlier releases do not name the job.
    pub(crate) fn reserve(
        &self,
        host: &str,
        queue: &QueueKey,
        _job: Option<&str>,
        tokens: u64,
        max_tokens: u64,
    ) -> PeerReply {
        let partitions = self.settings.store.shard_count;
        let mut reports = self.reports.borrow_mut();
        match reports.reserve(
            host,
            &String::from(queue),
            tokens,
            max_tokens,
            partitions,
            self.clock.now(),
        ) {
            ReservationOutcome::Reserved(number) => PeerReply::Reserved(Some(number)),
            ReservationOutcome::Full => PeerReply::Reserved(None),
            ReservationOutcome::Undecided => PeerReply::Undecided,
        }
    }

    /// Sends the broker's decisions to the hosts concerned.
    pub(super) fn send_broker_actions(&self) {
        let actions = self.broker.borrow_mut().take_actions();
        for action in actions {
            match &action {
                Action::Grant { host, request, .. } => self.rate_granted(host, *request),
                Action::NoServer { host, request } | Action::Refuse { host, request, .. } => {
                    self.refund_rate(host, *request);
                }
                Action::Queue { .. } | Action::Preempt { .. } => {}
            }
            let (host, message) = match action {
                Action::Grant {
                    host,
                    request,
                    server,
                } => (host, PeerMessage::Grant { request, server }),
                Action::Queue { host, request } => (host, PeerMessage::Queued { request }),
                Action::Preempt { host, request } => (host, PeerMessage::Preempt { request }),
                Action::NoServer { host, request } => (host, PeerMessage::NoServer { request }),
                Action::Refuse {
                    host,
                    request,
                    retry_after,
                } => (
                    host,
                    PeerMessage::Refused {
                        request,
                        retry_after,
                    },
                ),
            };
            self.send_to(&host, message);
        }
    }
}

/// A slot request as the broker takes it, and the server at which it runs already, if any.
fn slot_request(
    sender: &HostInfo,
    request: SlotRequestOnTerms,
    now: Duration,
) -> (SlotRequest, Option<BackendServerId>) {
    let SlotRequestOnTerms { info, terms } = request;
    let due = match info.due_in_ms {
        overdue if overdue < 0 => now.saturating_sub(Duration::from_millis(overdue.unsigned_abs())),
        in_ms => now + Duration::from_millis(in_ms.unsigned_abs()),
    };
    let remaining = Duration::from_millis(info.remaining_ms);
    let work = match info.is_online {
        true => Work::Online {
            start_by: due,
            expires_at: now + remaining,
        },
        false => Work::Batch { due, remaining },
    };
    let request = SlotRequest {
        host: sender.host.clone(),
        id: info.id,
        service: info.service,
        data_centre: sender.data_centre.clone(),
        work,
        excluded: info.excluded,
        version: info.version,
        terms: RequestTerms {
            workspace: terms.workspace,
            rank: terms.rank,
            is_counted: terms.is_counted,
            begin_by: terms
                .begin_in_ms
                .map(|in_ms| now + Duration::from_millis(in_ms)),
        },
    };
    (request, info.server)
}
