//! What hosts tell each other of servers: to whom, and what a new coordinator is told.

use bamboo_coordination::HostInfo;
use bamboo_types::HostId;

use crate::gateway::Gateway;
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
        self.send_limits(&coordinator.host, now);
        self.send_leaving(&coordinator.host);
        self.send_crash_reports(&coordinator.host, now);
    }
}
