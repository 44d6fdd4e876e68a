//! Heartbeats, the choice of the coordinator, and the coordinator's periodic work.

use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::StartupStep;
use bamboo_coordination::next_startup_step;
use bamboo_slots::BATCH_GRANT_DELAY;
use bamboo_slots::RefusalCounts;
use bamboo_slots::SlotRequestId;
use tokio::sync::mpsc;

use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::mesh::COMPARED_REPORTS_SINCE;
use crate::mesh::LinkFailure;
use crate::mesh::PeerMessage;
use crate::mesh::REQUEST_REPORTS_SINCE;

/// Time for the first read of the servers before a starting host contacts others.
const SERVERS_GRACE: Duration = Duration::from_millis(80);
/// Interval at which a starting host looks for hosts to probe.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a starting host that found no other one leaves further probes to the heartbeats.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

impl Gateway {
    /// Records that the coordinator did not reply to a slot request in time. A logged wait far above the timeout shows
    /// that this host itself was stalled.
    pub(crate) fn coordinator_timed_out(&self, request: SlotRequestId, requested_at: Duration) {
        let now = self.clock.now();
        let waited = now.saturating_sub(requested_at);
        log::info!(
            event = "coordinator_slow", ask = request, waited_ms = waited.as_millis() as u64;
            "the coordinator did not reply to a slot request in time"
        );
        self.coordination
            .borrow_mut()
            .record_timeout(requested_at, now);
        self.choose_coordinator();
    }

    /// Handles failed links to other hosts until the process ends.
    pub(crate) async fn handle_link_failures(
        self: Rc<Self>,
        mut link_failures: mpsc::UnboundedReceiver<LinkFailure>,
    ) {
        while let Some(failure) = link_failures.recv().await {
            let now = self.clock.now();
            self.mesh.fail_calls(&failure.host);
            let mut coordination = self.coordination.borrow_mut();
            let is_coordinator = match failure.unconnected_since {
                Some(since) => coordination.connect_failed(&failure.host, since, now),
                None => coordination.connection_lost(&failure.host, now),
            };
            drop(coordination);
            if is_coordinator {
                self.choose_coordinator();
            }
        }
    }

    /// Begins the shutdown of this host, and hands the role of the coordinator over to another host.
    pub(crate) fn begin_stop(&self) {
        self.stop_began_at.set(Some(self.clock.now()));
        self.phase.send_replace(Phase::Stopping);
        self.coordination.borrow_mut().mark_leaving(&self.local);
        self.tick();
    }

    pub(super) fn choose_coordinator(&self) {
        let now = self.clock.now();
        let mut coordination = self.coordination.borrow_mut();
        let before = coordination.coordinator().clone();
        if !coordination.update_coordinator(now) {
            return;
        }
        let current = coordination.coordinator().clone();
        drop(coordination);
        self.update_rate_role();
        log::info!(
            event = "coordinator", host = current.as_str(), before = before.as_str();
            "the coordinator changed"
        );
        self.jobs.reset_reservation();
        self.announce_successor(&before, now);
        self.announce_host_count(&current);
        self.send_slot_requests(&current);
    }

    /// Tells the former coordinator and its reporters of the new one, as far as this host knows them.
    fn announce_successor(&self, before: &str, now: Duration) {
        if before != self.local.host {
            let coordination = self.coordination.borrow();
            if coordination.is_live(before, now) {
                self.mesh
                    .send(before, PeerMessage::Probe(coordination.probe()), now);
            }
            return;
        }
        let reporters: Vec<HostInfo> = self.reports.borrow().hosts().cloned().collect();
        for reporter in reporters.iter().filter(|info| info.host != self.local.host) {
            self.acknowledge_heartbeat(reporter, None, false, now);
        }
    }

    /// Probes other hosts at short intervals until one that knows the backend servers is found, or for
    /// [`JOIN_TIMEOUT`] at most.
    pub(crate) async fn join_hosts(self: Rc<Self>) {
        self.wait_for_servers(SERVERS_GRACE).await;
        let deadline = self.clock.now() + JOIN_TIMEOUT;
        loop {
            let now = self.clock.now();
            if now >= deadline || !self.coordination.borrow().is_joining(now) {
                return;
            }
            self.send_probes();
            actix_rt::time::sleep(JOIN_POLL_INTERVAL).await;
        }
    }

    /// Lets a request wait for the first reads of a process that has just started.
    pub(crate) async fn wait_for_first_reads(&self) {
        let knows_servers = self.coordination.borrow().knows_servers();
        match next_startup_step(knows_servers, self.clock.now()) {
            StartupStep::Proceed => {}
            StartupStep::Wait(timeout) => self.wait_for_servers(timeout).await,
        }
    }

    /// Waits until this host knows the configuration and the backend servers. A host that joins others before would
    /// change the coordinator twice.
    async fn wait_for_servers(&self, timeout: Duration) {
        if self.coordination.borrow().knows_servers() {
            return;
        }
        // After a timeout the host goes on without knowing the servers.
        let _ = tokio::time::timeout(timeout, self.servers_known.notified()).await;
    }

    /// Runs [`tick`](Self::tick) at the heartbeat interval until the process ends.
    pub(crate) async fn tick_forever(self: Rc<Self>) {
        self.wait_for_servers(SERVERS_GRACE).await;
        loop {
            self.tick();
            actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Grants slots that become available between heartbeats until the process ends.
    pub(crate) async fn run_due_grants(self: Rc<Self>) {
        loop {
            let is_more_due = self.broker.borrow_mut().grant_due(self.clock.now());
            self.send_broker_actions();
            let pause = if is_more_due {
                BATCH_GRANT_DELAY
            } else {
                HEARTBEAT_INTERVAL
            };
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Sends heartbeats and probes, chooses the coordinator, and expires state that has timed out.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        self.choose_coordinator();
        self.tick_rates();
        let coordinator = self.coordination.borrow().coordinator().clone();
        let report = self
            .decodes_since(&coordinator, REQUEST_REPORTS_SINCE)
            .then(|| self.slot_requests.report());
        let heartbeat = Heartbeat {
            partitions: self.jobs.owned_partitions(),
            waiting_tokens: self.jobs.waiting_tokens(),
            reservation: self.jobs.last_reservation(),
            requests: match &report {
                Some(_) => Vec::new(),
                None => self.slot_requests.ids(),
            },
            cluster_map_digest: self.coordination.borrow().cluster_map_digest(),
            config_version: self.config_version(),
            is_leaving: self.is_stopping(),
            knows_servers: self.coordination.borrow().knows_servers(),
        };
        self.send_probes();
        if self.decodes_since(&coordinator, COMPARED_REPORTS_SINCE) {
            self.send_to(&coordinator, self.server_reports_digest(now));
        }
        let message = match report {
            Some(report) => PeerMessage::HeartbeatWithRequests(heartbeat, (&report).into()),
            None => PeerMessage::Heartbeat(heartbeat),
        };
        self.send_to(&coordinator, message);
        for lost in self.reports.borrow_mut().remove_silent(now) {
            log::warn!(event = "host_lost", host = lost.as_str(); "no heartbeats from a host");
            self.crashes.forget_host(&lost);
            self.broker.borrow_mut().drop_host(&lost, now);
            self.forget_rated_requests(&lost);
        }
        self.broker.borrow_mut().tick(now);
        self.send_broker_actions();
        self.log_load(now);
        self.directory.borrow_mut().expire(now);
        self.stream_origins.borrow_mut().expire(now);
        self.crashes.expire(now);
        self.broker.borrow_mut().limits_mut().expire(now);
        self.pool.close_idle(now);
        self.mesh.close_idle(now);
        self.tunnels.close_idle(now);
        if let Some((host, version)) = self.reports.borrow().newest_config() {
            self.request_config_fetch(&host, version);
        }
    }

    /// Probes the hosts that are due.
    pub(crate) fn send_probes(&self) {
        let now = self.clock.now();
        let mut coordination = self.coordination.borrow_mut();
        let due = coordination.due_probes(now);
        let probe = coordination.probe();
        drop(coordination);
        for host in due {
            self.mesh
                .send(&host, PeerMessage::Probe(probe.clone()), now);
        }
    }

    /// Logs the load of the model services once a second while this host coordinates others.
    pub(super) fn log_load(&self, now: Duration) {
        let second = now.as_secs();
        if self.reports.borrow().host_count() < 2 || self.load_logged_at_s.replace(second) == second
        {
            return;
        }
        let Some(config) = self.config() else { return };
        let mut refused = RefusalCounts::default();
        for service in config
            .services
            .values()
            .filter(|service| service.engine.is_some())
        {
            let broker = self.broker.borrow();
            let load = broker.load(&service.name);
            let ejected = broker.ejected_count(&service.name, now);
            refused = refused.plus(&load.refused);
            log::info!(
                event = "load", service = service.name.as_str(), slots = load.slots, ejected,
                online_running = load.online_running, online_waiting = load.online_waiting,
                batch_running = load.batch_running, batch_waiting = load.batch_waiting,
                refused_deadline = load.refused.deadline, refused_start = load.refused.start,
                refused_overtaken = load.refused.overtaken, refused_expired = load.refused.expired; "slot usage of a model service"
            );
        }
        for (reason, count) in refused.by_reason() {
            self.metrics.set_slot_refusals(reason.name(), count);
        }
    }
}
