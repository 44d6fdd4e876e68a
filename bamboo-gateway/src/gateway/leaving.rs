//! Servers that say in their responses that they are about to leave.

use bamboo_coordination::HostInfo;
use bamboo_coordination::ServerReports;
use bamboo_fleet::LeavingChange;
use bamboo_fleet::LeavingReport;
use bamboo_fleet::Server;
use bamboo_types::BackendServerId;
use http::HeaderMap;

use crate::gateway::Gateway;
use crate::mesh::COMPARED_REPORTS_SINCE;
use crate::mesh::PeerMessage;
use crate::mesh::SERVER_REPORTS_SINCE;

impl Gateway {
    /// Records whether the head of a server's response says that it leaves, and tells the coordinator.
    pub(crate) fn observe_leaving(&self, server: &Server, headers: &HeaderMap) {
        let value = headers.get(&self.dialect.headers.leaving);
        if value.is_none_or(|value| value != "1") {
            return;
        }
        let report = LeavingReport {
            server: server.id.clone(),
            started_at_ms: server.started_at_ms,
            said_ago_ms: 0,
        };
        self.handle_leaving_reports(&self.local, vec![report]);
    }

    /// Takes over which servers leave, from a host of an earlier version.
    pub(super) fn handle_leaving(&self, sender: &HostInfo, servers: &[BackendServerId]) {
        let (now, directory) = (self.clock.now(), self.directory.borrow());
        let present = servers.iter().filter_map(|id| directory.get(id));
        let reports = present.map(|server| LeavingReport {
            server: server.id.clone(),
            started_at_ms: server.started_at_ms,
            said_ago_ms: 0,
        });
        let reports: Vec<LeavingReport> = reports.collect();
        drop(directory);
        for id in servers {
            // Marks those without an entry. The others are marked below.
            if self.directory.borrow().get(id).is_none() {
                self.directory.borrow_mut().mark_leaving(id, now);
            }
        }
        self.handle_leaving_reports(sender, reports);
    }

    /// Takes over which servers leave, and passes on what is new: the coordinator to all others, others to the coordinator
    /// what they observed themselves.
    pub(super) fn handle_leaving_reports(
        &self,
        source: &HostInfo,
        mut reports: Vec<LeavingReport>,
    ) {
        reports.retain(|report| self.record_leaving(report));
        if reports.is_empty() {
            return;
        }
        let coordinator = self.coordination.borrow().coordinator().clone();
        if coordinator == self.local.host {
            for host in self.reporting_hosts() {
                if host != source.host {
                    self.tell_of_leaving(&host, reports.clone());
                }
            }
        } else if source.host == self.local.host {
            self.tell_of_leaving(&coordinator, reports);
        }
    }

    /// Tells another host of all servers that leave.
    pub(super) fn send_leaving(&self, host: &str) {
        let reports = self.directory.borrow().leaving(self.clock.now());
        self.tell_of_leaving(host, reports);
    }

    /// Lets a process of a server get no more requests. Returns whether that is new.
    fn record_leaving(&self, report: &LeavingReport) -> bool {
        let now = self.clock.now();
        let change = self.directory.borrow_mut().record_leaving(report, now);
        if let LeavingChange::Updated(leaving) = &change {
            log::info!(event = "server_leaving", server = leaving.id.as_str(); "a server says that it leaves");
            self.put_engine(leaving, false);
        }
        change != LeavingChange::Known
    }

    fn tell_of_leaving(&self, host: &str, leaving: Vec<LeavingReport>) {
        if host == self.local.host || leaving.is_empty() {
            return;
        }
        if self.decodes_since(host, COMPARED_REPORTS_SINCE) {
            let limits = Vec::new();
            let message = PeerMessage::ServerReports {
                reports: ServerReports { leaving, limits },
                wants_reply: false,
            };
            self.send_to(host, message);
        } else if self.decodes_since(host, SERVER_REPORTS_SINCE) {
            let servers = leaving.into_iter().map(|report| report.server);
            self.send_to(host, PeerMessage::Leaving(servers.collect()));
        }
    }
}
