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
const FAR_PENALTY: u32 = 2;

#[derive(Debug, Default)]
struct Seen {
    running_count: u32,
    health: Health,
}

/// Load and health of servers, as this host sees them.
#[derive(Debug, Default)]
pub(crate) struct Picker {
    seen: HashMap<BackendServerId, Seen>,
}

impl Picker {
    /// Picks the least loaded usable server; where none is usable, any that is not excluded.
    pub(crate) fn pick(
        &self,
        servers: &[Rc<Server>],
        excluded: &[BackendServerId],
        data_centre: &str,
        now: Duration,
    ) -> Option<Rc<Server>> {
        let load = |server: &Rc<Server>| {
            let seen = self.seen.get(&server.id);
            let running = seen.map_or(0, |seen| seen.running_count);
            let is_usable = seen.is_none_or(|seen| seen.health.is_usable(running as usize, now));
            let far = u32::from(server.data_centre != data_centre) * FAR_PENALTY;
            (!is_usable, running + far, rand::rng().random::<u32>())
        };
        servers
            .iter()
            .filter(|server| !excluded.contains(&server.id))
            .min_by_key(|server| load(server))
            .cloned()
    }

    /// A run begins.
    pub(crate) fn begin(&mut self, server: &str) {
        self.seen
            .entry(server.to_owned())
            .or_default()
            .running_count += 1;
    }

    /// A run ends.
    pub(crate) fn end(&mut self, server: &str, outcome: RunOutcome, now: Duration) {
        if let Some(seen) = self.seen.get_mut(server) {
            seen.running_count = seen.running_count.saturating_sub(1);
            seen.health.record(outcome, now);
        }
    }

    /// Forgets a server.
    pub(crate) fn forget(&mut self, server: &str) {
        self.seen.remove(server);
    }
}
