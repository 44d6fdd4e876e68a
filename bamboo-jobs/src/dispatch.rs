//! Dispatches the items of a shard to the server owners that request work.
//!
//! The state is kept in memory only; a new shard owner starts with an empty one and rebuilds it from the lists of
//! held items.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_log::Position;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::Timestamp;

use crate::Job;
use crate::JobRate;
use crate::JobView;
use crate::ShardState;
use crate::slack;

/// Time after which a demand that is not renewed is dropped.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the counts of held items may differ before the server owner is asked for its list.
const MISMATCH_MAX: Duration = Duration::from_secs(2);
/// How long a server owner may go without an active demand before it is asked for its list of held items.
const SILENCE_MAX: Duration = Duration::from_secs(3);
/// Age at which an assigned item missing from its server owner's list is requeued; a younger one may still be in
/// transit.
const IN_TRANSIT_MAX: Duration = Duration::from_secs(2);
/// Most items assigned by one call of [`ItemDispatcher::assign`], which bounds its duration.
const ASSIGN_MAX: usize = 512;

/// A server owner's request for items to run on its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Host of the server owner.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// The backend server.
    pub server: BackendServerId,
    /// Models that the server has loaded.
    pub models: Vec<ModelId>,
    /// Number of items requested.
    pub want_count: u32,
    /// Number of items of this shard that the server owner holds.
    pub held_count: u32,
}

/// What the shard owner does with a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandStep {
    /// The demand is active.
    Accepted,
    /// The counts of held items differ: request the server owner's list before assigning more items to it.
    ListHeldItems,
}

/// The server owner that an item is assigned to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerOwner {
    /// Host of the server owner.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// The backend server.
    pub server: BackendServerId,
}

/// Assignment of an item to a server owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The server owner that receives the item.
    pub owner: ServerOwner,
    /// Job of the item.
    pub job: JobId,
    /// Index of the item within the job.
    pub item: ItemIndex,
    /// Position of the chunk record that holds the item.
    pub chunk: Position,
    /// Index of the item within the chunk.
    pub index_in_chunk: u32,
    /// Model that the item needs.
    pub model: ModelId,
    /// Deadline of the job, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether the item must run with no other batch item on its server.
    pub must_run_alone: bool,
}

#[derive(Debug)]
struct ActiveDemand {
    demand: Demand,
    renewed_at: Timestamp,
    mismatch_since: Option<Timestamp>,
    awaits_held_items: bool,
}

#[derive(Debug)]
struct HeldItem {
    owner: ServerOwner,
    since: Timestamp,
}

#[derive(Debug, Default)]
struct JobProgress {
    next_new_item: ItemIndex,
    requeued: BTreeSet<ItemIndex>,
    held_count: u32,
    rate: JobRate,
}

/// Assigned items and active demands of one shard.
#[derive(Debug, Default)]
pub struct ItemDispatcher {
    held: BTreeMap<(JobId, ItemIndex), HeldItem>,
    held_counts: BTreeMap<ServerOwner, u32>,
    demands: BTreeMap<BackendServerId, ActiveDemand>,
    progress: BTreeMap<JobId, JobProgress>,
    silent_since: BTreeMap<ServerOwner, Timestamp>,
}

impl ItemDispatcher {
    /// Registers or renews the demand of a server.
    pub fn demand(&mut self, now: Timestamp, demand: Demand) -> DemandStep {
        let assigned_count = self
            .held_counts
            .get(&owner_of(&demand))
            .copied()
            .unwrap_or(0);
        let previous = self.demands.get(&demand.server);
        let mismatch_since = match assigned_count == demand.held_count {
            true => None,
            false => Some(
                previous
                    .and_then(|active| active.mismatch_since)
                    .unwrap_or(now),
            ),
        };
        // A short mismatch is normal while items and outcomes are in transit. A new shard owner must not wait it out:
        // it would assign the items that the server owner already holds a second time.
        let is_unknown = assigned_count == 0 && demand.held_count > 0 && previous.is_none();
        let is_overdue =
            mismatch_since.is_some_and(|since| now.saturating_sub(since) >= MISMATCH_MAX);
        let awaits_held_items =
            is_unknown || is_overdue || previous.is_some_and(|active| active.awaits_held_items);
        let server = demand.server.clone();
        self.demands.insert(
            server,
            ActiveDemand {
                demand,
                renewed_at: now,
                mismatch_since,
                awaits_held_items,
            },
        );
        if awaits_held_items {
            DemandStep::ListHeldItems
        } else {
            DemandStep::Accepted
        }
    }

    /// Reconciles the assignments with the list of items that a server owner holds. Assigned items that are not
    /// listed are requeued, and listed items that were not assigned are recorded as held. Returns the listed jobs
    /// that have ended, so that the server owner can stop their items.
    pub fn reconcile_held_items(
        &mut self,
        now: Timestamp,
        state: &ShardState,
        owner: &ServerOwner,
        items: &[(JobId, ItemIndex)],
    ) -> BTreeSet<JobId> {
        let listed: BTreeSet<(JobId, ItemIndex)> = items.iter().copied().collect();
        let missing: Vec<(JobId, ItemIndex)> = self
            .held
            .iter()
            .filter(|(item_key, held)| held.owner == *owner && !listed.contains(item_key))
            .filter(|(_, held)| now.saturating_sub(held.since) >= IN_TRANSIT_MAX)
            .map(|(item_key, _)| *item_key)
            .collect();
        for (job, item) in missing {
            self.requeue(job, item);
        }
        let mut ended_jobs = BTreeSet::new();
        for (job, item) in listed {
            if state.job(job).is_none_or(|found| !found.is_running()) {
                ended_jobs.insert(job);
            }
            let is_open = state
                .job(job)
                .is_some_and(|found| found.is_running() && !found.ended_items.is_set(item));
            if is_open && !self.held.contains_key(&(job, item)) {
                self.add_held(now, job, item, owner.clone());
            }
        }
        if let Some(active) = self.demands.get_mut(&owner.server) {
            active.mismatch_since = None;
            active.awaits_held_items = false;
        }
        ended_jobs
    }

    /// Requeues an item that its server owner returned without a final outcome.
    pub fn requeue(&mut self, job: JobId, item: ItemIndex) {
        if self.remove_held(job, item) {
            self.progress.entry(job).or_default().requeued.insert(item);
        }
    }

    /// Removes an item that has its final outcome.
    pub fn item_ended(&mut self, now: Timestamp, job: JobId, item: ItemIndex) {
        self.remove_held(job, item);
        let progress = self.progress.entry(job).or_default();
        progress.requeued.remove(&item);
        progress.rate.record_completion(now);
    }

    /// Removes a job that ended. Returns the server owners of its items.
    pub fn job_ended(&mut self, job: JobId) -> Vec<ServerOwner> {
        let item_keys: Vec<(JobId, ItemIndex)> = self
            .held
            .range((job, 0)..=(job, ItemIndex::MAX))
            .map(|(item_key, _)| *item_key)
            .collect();
        let mut owners = BTreeSet::new();
        for (job, item) in item_keys {
            if let Some(held) = self.held.get(&(job, item)) {
                owners.insert(held.owner.clone());
            }
            self.remove_held(job, item);
        }
        self.progress.remove(&job);
        owners.into_iter().collect()
    }

    /// Requeues all items of server owners that are gone, and drops their demands.
    pub fn requeue_items_of<F>(&mut self, is_gone: F)
    where
        F: Fn(&ServerOwner) -> bool,
    {
        let gone: Vec<ServerOwner> = self
            .held_counts
            .keys()
            .filter(|owner| is_gone(owner))
            .cloned()
            .collect();
        for owner in gone {
            let item_keys: Vec<(JobId, ItemIndex)> = self
                .held
                .iter()
                .filter(|(_, held)| held.owner == owner)
                .map(|(item_key, _)| *item_key)
                .collect();
            for (job, item) in item_keys {
                self.requeue(job, item);
            }
            self.demands
                .retain(|_, active| owner_of(&active.demand) != owner);
        }
    }

    /// Server owners with items that have had no active demand for a while and are due to be asked for their list.
    pub fn silent_owners(&mut self, now: Timestamp) -> Vec<ServerOwner> {
        let demands = &self.demands;
        let has_active_demand = |owner: &ServerOwner| {
            demands
                .get(&owner.server)
                .is_some_and(|active| owner_of(&active.demand) == *owner)
        };
        let silent: Vec<ServerOwner> = self
            .held_counts
            .keys()
            .filter(|owner| !has_active_demand(owner))
            .cloned()
            .collect();
        self.silent_since.retain(|owner, _| silent.contains(owner));
        let mut due = Vec::new();
        for owner in silent {
            let since = self.silent_since.entry(owner.clone()).or_insert(now);
            if now.saturating_sub(*since) >= SILENCE_MAX {
                *since = now;
                due.push(owner);
            }
        }
        due
    }

    /// Assigns items to active demands, from the job with the least slack first.
    pub fn assign(&mut self, now: Timestamp, state: &ShardState) -> Vec<Assignment> {
        self.demands
            .retain(|_, active| now.saturating_sub(active.renewed_at) < DEMAND_TIMEOUT);
        let mut assignments = Vec::new();
        if self
            .demands
            .values()
            .all(|active| active.demand.want_count == 0)
        {
            return assignments;
        }
        for job in self.jobs_by_slack(now, state) {
            self.assign_job(now, job, &mut assignments);
            if assignments.len() >= ASSIGN_MAX {
                break;
            }
        }
        assignments
    }

    /// Number of items assigned at present.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Whether the job is predicted to miss its deadline at its measured rate.
    pub fn is_at_risk(&self, now: Timestamp, job: &Job) -> bool {
        let Some(progress) = self.progress.get(&job.spec.job) else {
            return job.spec.deadline_ms < bamboo_types::millis(now);
        };
        slack(now, job, &progress.rate) < 0
    }

    /// Status of a job as shown to callers.
    pub fn view(&self, now: Timestamp, job: &Job) -> JobView {
        let running_count = self
            .progress
            .get(&job.spec.job)
            .map_or(0, |progress| progress.held_count);
        JobView::new(job, running_count, self.is_at_risk(now, job))
    }

    fn jobs_by_slack<'state>(&self, now: Timestamp, state: &'state ShardState) -> Vec<&'state Job> {
        let unmeasured = JobRate::default();
        let mut jobs: Vec<(i64, &Job)> = state
            .jobs()
            .filter(|job| job.is_running())
            .map(|job| {
                let rate = self
                    .progress
                    .get(&job.spec.job)
                    .map_or(&unmeasured, |progress| &progress.rate);
                (slack(now, job, rate), job)
            })
            .collect();
        jobs.sort_by_key(|(slack, job)| (*slack, job.spec.job));
        jobs.into_iter().map(|(_, job)| job).collect()
    }

    fn assign_job(&mut self, now: Timestamp, job: &Job, assignments: &mut Vec<Assignment>) {
        let servers: Vec<BackendServerId> = self
            .demands
            .iter()
            .filter(|(_, active)| !active.awaits_held_items && active.demand.want_count > 0)
            .filter(|(_, active)| active.demand.models.contains(&job.spec.model))
            .map(|(server, _)| server.clone())
            .collect();
        let mut open_servers: Vec<BackendServerId> = servers;
        // Round-robin, one item per server and round, so that servers with equal demands get equal work.
        while !open_servers.is_empty() && assignments.len() < ASSIGN_MAX {
            let mut remaining_servers = Vec::new();
            for server in open_servers {
                match self.assign_one(now, job, &server) {
                    Some((assignment, wants_more)) => {
                        assignments.push(assignment);
                        if wants_more {
                            remaining_servers.push(server);
                        }
                    }
                    None => return,
                }
            }
            open_servers = remaining_servers;
        }
    }

    fn assign_one(
        &mut self,
        now: Timestamp,
        job: &Job,
        server: &BackendServerId,
    ) -> Option<(Assignment, bool)> {
        let item = self.next_item(job)?;
        let chunk = *job.chunk_of(item)?;
        let active = self.demands.get_mut(server)?;
        let owner = owner_of(&active.demand);
        active.demand.want_count -= 1;
        active.demand.held_count += 1;
        let wants_more = active.demand.want_count > 0;
        self.add_held(now, job.spec.job, item, owner.clone());
        let assignment = Assignment {
            owner,
            job: job.spec.job,
            item,
            chunk: chunk.position,
            index_in_chunk: item - chunk.first_item,
            model: job.spec.model.clone(),
            deadline_ms: job.spec.deadline_ms,
            must_run_alone: job
                .attempts
                .get(&item)
                .is_some_and(|attempts| attempts.is_suspect()),
        };
        Some((assignment, wants_more))
    }

    fn next_item(&mut self, job: &Job) -> Option<ItemIndex> {
        let progress = self.progress.entry(job.spec.job).or_default();
        while let Some(item) = progress.requeued.pop_first() {
            if !job.ended_items.is_set(item) && !self.held.contains_key(&(job.spec.job, item)) {
                return Some(item);
            }
        }
        while let Some(item) = job
            .ended_items
            .next_unset(progress.next_new_item, job.spec.item_count)
        {
            progress.next_new_item = item + 1;
            if !self.held.contains_key(&(job.spec.job, item)) {
                return Some(item);
            }
        }
        None
    }

    fn add_held(&mut self, now: Timestamp, job: JobId, item: ItemIndex, owner: ServerOwner) {
        *self.held_counts.entry(owner.clone()).or_default() += 1;
        self.held
            .insert((job, item), HeldItem { owner, since: now });
        self.progress.entry(job).or_default().held_count += 1;
    }

    fn remove_held(&mut self, job: JobId, item: ItemIndex) -> bool {
        let Some(HeldItem { owner, .. }) = self.held.remove(&(job, item)) else {
            return false;
        };
        if let Some(count) = self.held_counts.get_mut(&owner) {
            *count -= 1;
            if *count == 0 {
                self.held_counts.remove(&owner);
            }
        }
        if let Some(progress) = self.progress.get_mut(&job) {
            progress.held_count = progress.held_count.saturating_sub(1);
        }
        true
    }
}

fn owner_of(demand: &Demand) -> ServerOwner {
    ServerOwner {
        host: demand.host.clone(),
        incarnation: demand.incarnation,
        server: demand.server.clone(),
    }
}
