//! Chooses servers of plain services, from what this host itself sees of them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_slots::Health;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use rand::RngExt;

/// Requests that a server of the own data centre may have more than one elsewhere before it is passed over.
const REMOTE_PENALTY: u32 = 2;

#[derive(Debug, Default)]
struct ServerStats {
    running_count: u32,
    health: Health,
}

/// Load and health of servers, as this host sees them.
#[derive(Debug, Default)]
pub(crate) struct LoadBalancer {
    stats: HashMap<BackendServerId, ServerStats>,
}

impl LoadBalancer {
    /// Picks the least loaded usable server; where none is usable, any that is not excluded.
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
            let is_usable = stats.is_none_or(|stats| stats.health.is_usable(running as usize, now));
            let penalty = u32::from(server.data_centre != data_centre) * REMOTE_PENALTY;
            (!is_usable, running + penalty, rand::rng().random::<u32>())
        };
        servers
            .iter()
            .filter(|server| !excluded.contains(&server.id))
            .min_by_key(|server| load(server))
            .cloned()
    }

    /// A run begins.
    pub(crate) fn run_started(&mut self, server: &str) {
        self.stats
            .entry(server.to_owned())
            .or_default()
            .running_count += 1;
    }

    /// A run ends.
    pub(crate) fn run_ended(&mut self, server: &str, outcome: RunOutcome, now: Duration) {
        if let Some(stats) = self.stats.get_mut(server) {
            stats.running_count = stats.running_count.saturating_sub(1);
            stats.health.record(outcome, now);
        }
    }

    /// Forgets a server.
    pub(crate) fn remove(&mut self, server: &str) {
        self.stats.remove(server);
    }
}
