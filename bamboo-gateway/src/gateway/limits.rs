//! Limits that servers name for the requests they get from all hosts together. The coordinator counts all requests to such
//! servers: those for which it grants slots, and those of plain services, for which hosts ask it for a permit.

use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_fleet::Server;
use bamboo_slots::LimitChange;
use bamboo_slots::LimitReport;
use bamboo_slots::Permit;
use bamboo_slots::parse_limit;
use bamboo_types::BackendServerId;
use http::HeaderMap;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::SERVER_REPORTS_SINCE;

/// Timeout for asking the coordinator for a permit, as for its reply to a slot request.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);

impl Gateway {
    /// Records what the head of a server's response says of its limit. `sent_at` is when the request was sent.
    pub(crate) fn observe_limit(&self, server: &str, headers: &HeaderMap, sent_at: Duration) {
        let values = headers.get_all(&self.dialect.headers.request_limit);
        let texts = values.iter().filter_map(|value| value.to_str().ok());
        // Of several values the lowest one counts; values that are no number say nothing.
        let limit = texts.filter_map(parse_limit).min();
        if limit.is_none() && headers.contains_key(&self.dialect.headers.request_limit) {
            if self
                .unreadable_limits
                .borrow_mut()
                .insert(server.to_owned())
            {
                log::warn!(event = "limit_unreadable", server; "a server names a limit that is no number");
            }
            return;
        }
        let now = self.clock.now();
        let mut broker = self.broker.borrow_mut();
        let change = broker.limits_mut().observe(server, limit, sent_at, now);
        drop(broker);
        if change == LimitChange::Changed {
            log::info!(
                event = "server_limit", server, limit_per_1000_s = limit;
                "a server names a limit for its requests, or names none any more"
            );
        }
        match (change, self.is_coordinator(&self.local.host)) {
            (LimitChange::Changed, true) => self.pass_on_limits(&self.local.host, now),
            (LimitChange::None, _) | (LimitChange::Renewed, true) => {}
            (LimitChange::Changed | LimitChange::Renewed, false) => {
                let coordinator = self.coordination.borrow().coordinator().clone();
                let reports = self.limit_reports(now);
                let said = reports.into_iter().filter(|report| report.server == server);
                self.send_limit_reports(&coordinator, said.collect());
            }
        }
    }

    /// Takes over what another host knows of limits. The coordinator passes on what has changed.
    pub(super) fn handle_limits(&self, sender: &HostInfo, reports: &[LimitReport], now: Duration) {
        let has_changed = self.broker.borrow_mut().limits_mut().merge(reports, now);
        if has_changed && self.is_coordinator(&self.local.host) {
            self.pass_on_limits(&sender.host, now);
        }
    }

    /// Tells the hosts that this one coordinates of all limits, but not the host that a change is from.
    fn pass_on_limits(&self, source: &str, now: Duration) {
        let reports = self.limit_reports(now);
        let hosts = self.reporting_hosts();
        for host in hosts.iter().filter(|host| *host != source) {
            self.send_limit_reports(host, reports.clone());
        }
    }

    /// Sends all that this host knows of limits to another one.
    pub(super) fn send_limits(&self, host: &str, now: Duration) {
        let reports = self.limit_reports(now);
        self.send_limit_reports(host, reports);
    }

    fn limit_reports(&self, now: Duration) -> Vec<LimitReport> {
        self.broker.borrow().limits().reports(now)
    }

    fn send_limit_reports(&self, host: &str, reports: Vec<LimitReport>) {
        let is_other = host != self.local.host;
        if is_other && !reports.is_empty() && self.decodes_since(host, SERVER_REPORTS_SINCE) {
            self.send_to(host, PeerMessage::Limits(reports));
        }
    }

    /// Forgets the limit of a server that has left or started anew.
    pub(crate) fn forget_limit(&self, server: &str) {
        self.unreadable_limits.borrow_mut().remove(server);
        self.broker.borrow_mut().limits_mut().remove(server);
    }

    /// Chooses one of the servers for a request of any host, as the coordinator.
    pub(super) fn permit(&self, servers: &[BackendServerId], max_wait: Duration) -> Permit {
        let now = self.clock.now();
        let mut broker = self.broker.borrow_mut();
        broker.limits_mut().permit(servers, max_wait, now)
    }

    /// Asks the coordinator for one of the ready servers of a service that name limits. Returns `None` if there is none.
    pub(crate) async fn request_permit(
        &self,
        service: &str,
        excluded: &[BackendServerId],
        max_wait: Duration,
    ) -> Option<Permit> {
        let now = self.clock.now();
        let servers = self.directory.borrow().ready(service, now);
        let is_eligible = |server: &Server| {
            !excluded.contains(&server.id) && self.broker.borrow().limits().is_limited(&server.id)
        };
        let servers = servers.iter().filter(|server| is_eligible(server));
        let servers: Vec<BackendServerId> = servers.map(|server| server.id.clone()).collect();
        if servers.is_empty() {
            return None;
        }
        let coordinator = self.coordination.borrow().coordinator().clone();
        if coordinator == self.local.host || !self.decodes_since(&coordinator, SERVER_REPORTS_SINCE)
        {
            return Some(self.permit(&servers, max_wait));
        }
        let request = PeerRequest::Permit { servers, max_wait };
        let reply = self.mesh.call(&coordinator, request, PERMIT_TIMEOUT, now);
        match reply.await {
            Some(PeerReply::Permit(permit)) => Some(permit),
            // Without the coordinator nobody knows what the other hosts send.
            _ => Some(Permit::Denied {
                retry_after: PERMIT_TIMEOUT,
            }),
        }
    }
}
