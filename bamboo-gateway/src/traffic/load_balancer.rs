//! Chooses servers by the load and health that this host observes itself: for plain services, and for engines while the
//! coordinator does not respond.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_slots::Health;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use rand::RngExt;

/// Running requests added to the load of servers in other data centres, so that local servers are preferred.
const REMOTE_PENALTY: u32 = 2;

#[derive(Debug, Default)]
struct ServerStats {
    running_count: u32,
    health: Health,
}

/// Load and health of servers as this host observes them.
#[derive(Debug, Default)]
pub(crate) struct LoadBalancer {
    stats: HashMap<BackendServerId, ServerStats>,
}

impl LoadBalancer {
    /// Picks the least loaded usable server that is not excluded; if none is usable, the least loaded one.
    pub(crate) fn pick(
        &self,
        servers: &[Rc<Server>],
        excluded: &[BackendServerId],
        data_centre: &str,
        now: Duration,
    ) -> Option<Rc<Server>> {
        let load = |server: &Rc<Server>| {
            let stats = self.stats.get(&server.id);
            let running = stats.map_or(0, |stats| stats.running_count);
            let is_usable = self.is_usable(&server.id, now);
            let penalty = u32::from(server.data_centre != data_centre) * REMOTE_PENALTY;
            (!is_usable, running + penalty, rand::rng().random::<u32>())
        };
        servers
            .iter()
            .filter(|server| !excluded.contains(&server.id))
            .min_by_key(|server| load(server))
            .cloned()
    }

    /// Whether the health of a server permits another run.
    pub(crate) fn is_usable(&self, server: &str, now: Duration) -> bool {
        let stats = self.stats.get(server);
        stats.is_none_or(|stats| stats.health.is_usable(stats.running_count as usize, now))
    }

    /// Records the start of a run.
    pub(crate) fn run_started(&mut self, server: &str) {
        self.stats
            .entry(server.to_owned())
            .or_default()
            .running_count += 1;
    }

    /// Records the outcome of a run that began at `started_at`.
    pub(crate) fn run_ended(
        &mut self,
        server: &str,
        outcome: RunOutcome,
        started_at: Duration,
        now: Duration,
    ) {
        if let Some(stats) = self.stats.get_mut(server) {
            stats.running_count = stats.running_count.saturating_sub(1);
            stats.health.record(outcome, started_at, now);
        }
    }

    /// Records the outcome of a run that began at `started_at` and has ended before.
    pub(crate) fn charge(
        &mut self,
        server: &str,
        outcome: RunOutcome,
        started_at: Duration,
        now: Duration,
    ) {
        if let Some(stats) = self.stats.get_mut(server) {
            stats.health.record(outcome, started_at, now);
        }
    }

    /// Removes the load and health of a server.
    pub(crate) fn remove(&mut self, server: &str) {
        self.stats.remove(server);
    }
}
