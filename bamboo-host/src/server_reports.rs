//! Periodic messages of a server owner: demands and outcomes to shard owners, loads to routers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_log::ItemOutcome;
use bamboo_types::HostId;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_wire::PeerMessage;
use bamboo_wire::ServerLoad;

use crate::HostCore;
use crate::servers::OwnedServer;
use crate::servers::UNACKNOWLEDGED_MAX;

/// Interval between demands of a server that wants items.
const DEMAND_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between demands of a server that wants none; they renew the count of held items.
const IDLE_DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// How long a shard that assigned items is preferred for further demands.
const RECENT_SHARD_TTL: Duration = Duration::from_secs(2);
/// Maximum number of shards that a server sends its demand to at a time.
const DEMAND_SHARDS_MAX: usize = 4;
/// Interval between load reports to routers.
const LOADS_INTERVAL: Duration = Duration::from_millis(250);
/// Number of live hosts up to which loads are sent to all of them.
const LOADS_TO_ALL_MAX: usize = 16;
/// Time after which an unacknowledged outcome is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl HostCore {
    pub(crate) fn send_demands(&mut self, now: Timestamp, server: &str) {
        let shard_count = self.options.shard_count;
        let is_full = self.servers.unacknowledged_count() >= UNACKNOWLEDGED_MAX;
        let Some(owned) = self.servers.owned.get_mut(server) else {
            return;
        };
        let want = if is_full || !owned.has_cleared_orphans {
            0
        } else {
            owned.owner.want_count(now)
        };
        let interval = if want > 0 {
            DEMAND_INTERVAL
        } else {
            IDLE_DEMAND_INTERVAL
        };
        if now.saturating_sub(owned.last_demand_at) < interval {
            return;
        }
        owned.last_demand_at = now;
        let models = owned.models.clone();
        let shares = split_demand(owned, now, want, shard_count);
        for (shard, want_count) in shares {
            let held_count = self.servers.held_items_of(server, shard).len() as u32;
            let message = PeerMessage::Demand {
                shard,
                server: server.to_owned(),
                models: models.clone(),
                want_count,
                held_count,
            };
            if let Some(owner) = self.shard_owner(now, shard) {
                self.send(&owner, message);
            }
        }
    }

    pub(crate) fn send_loads(&mut self, now: Timestamp) {
        if now.saturating_sub(self.servers.loads_sent_at) < LOADS_INTERVAL {
            return;
        }
        self.servers.loads_sent_at = now;
        let mut changed = Vec::new();
        for (server, owned) in &mut self.servers.owned {
            let load = ServerLoad {
                server: server.clone(),
                online_count: owned.owner.online_count(now),
                batch_count: owned.owner.running_count(),
            };
            let is_unchanged = owned.last_load.as_ref() == Some(&load);
            // The load of a busy server is sent even if unchanged, since routers drop counts that are not renewed.
            if !is_unchanged || load.online_count > 0 {
                owned.last_load = Some(load.clone());
                changed.push(load);
            }
        }
        if changed.is_empty() {
            return;
        }
        for host in self.load_recipients() {
            self.send(&host, PeerMessage::Loads(changed.clone()));
        }
    }

    /// Hosts that loads are sent to: all live hosts of a small fleet, else those with requests on servers owned here.
    pub(crate) fn load_recipients(&self) -> Vec<HostId> {
        if self.live_hosts.len() <= LOADS_TO_ALL_MAX {
            return self.live_hosts.clone();
        }
        let recipients: BTreeSet<&HostId> = self
            .servers
            .owned
            .values()
            .flat_map(|owned| owned.owner.reporting_routers())
            .collect();
        recipients.into_iter().cloned().collect()
    }

    pub(crate) fn report_outcomes(&mut self, now: Timestamp) {
        let mut due: BTreeMap<ShardId, Vec<ItemOutcome>> = BTreeMap::new();
        for ((shard, _, _), unacknowledged) in &mut self.servers.unacknowledged {
            if unacknowledged
                .reported_at
                .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL)
            {
                unacknowledged.reported_at = Some(now);
                due.entry(*shard)
                    .or_default()
                    .push(unacknowledged.outcome.clone());
            }
        }
        for (shard, outcomes) in due {
            if let Some(owner) = self.shard_owner(now, shard) {
                self.send(&owner, PeerMessage::Outcomes { shard, outcomes });
            }
        }
    }

    /// Sends in-flight counts again at the interval of the loads, since server owners drop counts that are not renewed.
    pub(crate) fn renew_counts(&mut self, now: Timestamp) {
        if self.servers.loads_sent_at == now {
            self.unreported_counts
                .extend(self.router.busy_servers().map(|(server, _)| server.clone()));
        }
    }
}

/// Splits a server's demand over shards: mostly over those that assigned items recently, with at most one item for
/// each further shard, which are probed in turn.
fn split_demand(
    owned: &mut OwnedServer,
    now: Timestamp,
    want: u32,
    shard_count: u16,
) -> Vec<(ShardId, u32)> {
    owned
        .recent_shards
        .retain(|_, at| now.saturating_sub(*at) < RECENT_SHARD_TTL);
    let mut shards: Vec<ShardId> = owned
        .recent_shards
        .keys()
        .copied()
        .take(DEMAND_SHARDS_MAX - 1)
        .collect();
    let probe_count = DEMAND_SHARDS_MAX - shards.len();
    for _ in 0..probe_count.min(usize::from(shard_count)) {
        owned.next_probed_shard = (owned.next_probed_shard + 1) % shard_count.max(1);
        if !shards.contains(&owned.next_probed_shard) {
            shards.push(owned.next_probed_shard);
        }
    }
    let recent_count = owned.recent_shards.len().min(DEMAND_SHARDS_MAX - 1) as u32;
    let share = want.div_ceil(recent_count.max(1));
    let is_recent = |shard: &ShardId| recent_count == 0 || owned.recent_shards.contains_key(shard);
    shards
        .into_iter()
        .map(|shard| {
            let want_count = if is_recent(&shard) {
                share
            } else {
                share.min(1)
            };
            (shard, want_count)
        })
        .collect()
}
