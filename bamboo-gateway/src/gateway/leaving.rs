//! Servers that say in their responses that they are about to leave.

use bamboo_coordination::HostInfo;
use bamboo_fleet::DirectoryChange;
use bamboo_types::BackendServerId;
use http::HeaderMap;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::SERVER_REPORTS_SINCE;

impl Gateway {
    /// Records whether the head of a server's response says that it leaves, and tells the coordinator.
    pub(crate) fn observe_leaving(&self, server: &str, headers: &HeaderMap) {
        let value = headers.get(&self.dialect.headers.leaving);
        if value.is_none_or(|value| value != "1") || !self.mark_leaving(server) {
            return;
        }
        let coordinator = self.coordination.borrow().coordinator().clone();
        self.tell_of_leaving(&coordinator, vec![server.to_owned()]);
        if coordinator == self.local.host {
            self.pass_on_leaving(&self.local.host, vec![server.to_owned()]);
        }
    }

    /// Takes over which servers leave. The coordinator passes on what is new.
    pub(super) fn handle_leaving(&self, sender: &HostInfo, mut servers: Vec<BackendServerId>) {
        servers.retain(|server| self.mark_leaving(server));
        if self.is_coordinator(&self.local.host) {
            self.pass_on_leaving(&sender.host, servers);
        }
    }

    /// Tells another host of all servers that leave.
    pub(super) fn send_leaving(&self, host: &str) {
        let servers = self.directory.borrow().leaving();
        self.tell_of_leaving(host, servers);
    }

    /// Lets a server get no more requests. Returns whether that is new.
    fn mark_leaving(&self, server: &str) -> bool {
        let now = self.clock.now();
        let change = self.directory.borrow_mut().mark_leaving(server, now);
        let DirectoryChange::Updated(leaving) = change else {
            return false;
        };
        log::info!(event = "server_leaving", server; "a server says that it leaves");
        self.put_engine(&leaving, false);
        true
    }

    fn pass_on_leaving(&self, source: &str, servers: Vec<BackendServerId>) {
        for host in self.reporting_hosts() {
            if host != source {
                self.tell_of_leaving(&host, servers.clone());
            }
        }
    }

    fn tell_of_leaving(&self, host: &str, servers: Vec<BackendServerId>) {
        let is_other = host != self.local.host;
        if is_other && !servers.is_empty() && self.decodes_since(host, SERVER_REPORTS_SINCE) {
            self.send_to(host, PeerMessage::Leaving(servers));
        }
    }
}
