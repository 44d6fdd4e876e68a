//! What hosts tell each other of servers: to whom, and what a new coordinator is told.

use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_coordination::ServerReports;
use bamboo_types::HostId;

use crate::gateway::Gateway;
use crate::mesh::COMPARED_REPORTS_SINCE;
use crate::mesh::PeerMessage;
use crate::mesh::SERVER_REPORTS_SINCE;

impl Gateway {
    /// Other hosts that report to this one.
    pub(super) fn reporting_hosts(&self) -> Vec<HostId> {
        let reports = self.reports.borrow();
        let hosts = reports.hosts().map(|info| info.host.clone());
        hosts.filter(|host| *host != self.local.host).collect()
    }

    /// Tells a coordinator that is new to this host what it knows of servers and of prompts that crash them.
    pub(super) fn brief_coordinator(&self, coordinator: &HostInfo) {
        let current = (coordinator.host.clone(), coordinator.incarnation);
        let is_briefed = self.briefed_coordinator.borrow().as_ref() == Some(&current);
        if is_briefed
            || !self.is_coordinator(&coordinator.host)
            || !self.decodes_since(&coordinator.host, SERVER_REPORTS_SINCE)
        {
            return;
        }
        *self.briefed_coordinator.borrow_mut() = Some(current);
        let now = self.clock.now();
        self.send_server_reports(coordinator, now);
        self.send_crash_reports(&coordinator.host, now);
    }

    /// Tells a host that is new to this one what this one knows of servers. The host tells what it knows beyond.
    pub(super) fn send_server_reports(&self, host: &HostInfo, now: Duration) {
        if self.decodes_since(&host.host, COMPARED_REPORTS_SINCE) {
            let reports = self.server_reports(now);
            let wants_reply = true;
            return self.send_to(
                &host.host,
                PeerMessage::ServerReports {
                    reports,
                    wants_reply,
                },
            );
        }
        self.send_limits(&host.host, now);
        self.send_leaving(&host.host);
    }

    /// Digest of what this host knows of servers, for the coordinator.
    pub(super) fn server_reports_digest(&self, now: Duration) -> PeerMessage {
        PeerMessage::ServerReportsDigest(self.server_reports(now).digest())
    }

    /// Compares what another host knows of servers with what this one knows.
    pub(super) fn compare_server_reports(&self, sender: &HostInfo, digest: u64, now: Duration) {
        if sender.host != self.local.host && self.server_reports(now).digest() != digest {
            self.send_server_reports(sender, now);
        }
    }

    /// Takes over what another host knows of servers.
    pub(super) fn handle_server_reports(
        &self,
        sender: &HostInfo,
        received: ServerReports,
        wants_reply: bool,
        now: Duration,
    ) {
        let digest = received.digest();
        self.handle_limits(sender, &received.limits, now);
        self.handle_leaving_reports(sender, received.leaving);
        let reports = self.server_reports(now);
        if wants_reply && reports.digest() != digest {
            let wants_reply = false;
            self.send_to(
                &sender.host,
                PeerMessage::ServerReports {
                    reports,
                    wants_reply,
                },
            );
        }
    }

    /// What this host knows of the servers that it has entries of, and of those that left recently.
    fn server_reports(&self, now: Duration) -> ServerReports {
        let directory = self.directory.borrow();
        let limits = self.broker.borrow().limits().reports(now).into_iter();
        ServerReports {
            leaving: directory.leaving(now),
            limits: limits
                .filter(|report| directory.get(&report.server).is_some())
                .collect(),
        }
    }
}
