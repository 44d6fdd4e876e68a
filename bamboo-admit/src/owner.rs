//! Decides which batch items start and stop on one server.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::Now;
use bamboo_types::ShardId;
use slotmap::SlotMap;

use crate::AdmitOptions;
use crate::RunKey;
use crate::WorkItem;

/// How long a router's count is believed without being renewed.
const COUNT_LIFETIME: Duration = Duration::from_secs(3);

/// First time without starts after the server failed.
const BACKOFF_FIRST: Duration = Duration::from_millis(200);
/// Longest time without starts after the server failed.
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// What to do next on the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitStep {
    /// Start this item, or resume it from the tokens it has.
    Start(RunKey),
    /// Stop this item's stream; it resumes later.
    Stop(RunKey),
    /// Nothing now.
    Idle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    Waiting,
    Prefilling,
    Decoding,
    Stopping,
}

#[derive(Debug)]
struct Run {
    item: WorkItem,
    state: RunState,
    started_at: Now,
}

#[derive(Debug, Clone, Copy)]
struct RouterCount {
    in_flight: u32,
    heard_at: Now,
}

/// Batch admission of one server.
#[derive(Debug)]
pub struct ServerOwner {
    options: AdmitOptions,
    routers: BTreeMap<HostId, RouterCount>,
    runs: SlotMap<RunKey, Run>,
    waiting: VecDeque<RunKey>,
    free_since: Option<Now>,
    is_closed: bool,
    failures: u32,
    blocked_until: Now,
}

impl ServerOwner {
    /// An owner that holds no items.
    ///
    /// ```
    /// use bamboo_admit::{AdmitOptions, AdmitStep, ServerOwner};
    /// let mut owner = ServerOwner::new(AdmitOptions::with_batch_weight(8, 0.5));
    /// assert_eq!(owner.step(std::time::Duration::ZERO), AdmitStep::Idle);
    /// ```
    pub fn new(options: AdmitOptions) -> Self {
        ServerOwner {
            options,
            routers: BTreeMap::new(),
            runs: SlotMap::with_key(),
            waiting: VecDeque::new(),
            free_since: None,
            is_closed: false,
            failures: 0,
            blocked_until: Duration::ZERO,
        }
    }

    /// Takes changed options.
    pub fn set_options(&mut self, options: AdmitOptions) {
        self.options = options;
    }

    /// Starts nothing from now on, or opens again.
    pub fn set_closed(&mut self, is_closed: bool) {
        self.is_closed = is_closed;
    }

    /// Takes a router's count of its online requests on this server.
    pub fn online(&mut self, now: Now, router: &str, in_flight: u32) {
        let before = self.online_count(now);
        self.routers.insert(
            router.to_owned(),
            RouterCount {
                in_flight,
                heard_at: now,
            },
        );
        let after = self.online_count(now);
        if after > 0 {
            self.free_since = None;
        } else if before > 0 || self.free_since.is_none() {
            self.free_since = Some(now);
        }
    }

    /// Online requests on the server.
    pub fn online_count(&self, now: Now) -> u32 {
        let fresh = self
            .routers
            .values()
            .filter(|count| now.saturating_sub(count.heard_at) < COUNT_LIFETIME);
        fresh.map(|count| count.in_flight).sum()
    }

    /// Routers that have reported a count.
    pub fn routers(&self) -> impl Iterator<Item = &HostId> {
        self.routers.keys()
    }

    /// Batch items that run.
    pub fn running_count(&self) -> u32 {
        self.runs
            .values()
            .filter(|run| run.state != RunState::Waiting)
            .count() as u32
    }

    /// Items that the owner holds.
    pub fn held_count(&self) -> usize {
        self.runs.len()
    }

    /// Takes an item that was handed out.
    pub fn take(&mut self, now: Now, item: WorkItem) -> RunKey {
        let key = self.runs.insert(Run {
            item,
            state: RunState::Waiting,
            started_at: now,
        });
        self.waiting.push_back(key);
        key
    }

    /// The item of a key.
    pub fn item(&self, key: RunKey) -> Option<&WorkItem> {
        self.runs.get(key).map(|run| &run.item)
    }

    /// The server failed a run by its own fault: nothing starts there for a while, longer each time.
    pub fn failed(&mut self, now: Now) {
        let wait = BACKOFF_FIRST
            .saturating_mul(1 << self.failures.min(6))
            .min(BACKOFF_MAX);
        // Runs that fail together are one failure of the server.
        if now >= self.blocked_until {
            self.failures += 1;
            self.blocked_until = now + wait;
        }
    }

    /// Whether nothing starts because of failures.
    pub fn is_blocked(&self, now: Now) -> bool {
        now < self.blocked_until
    }

    /// The first token of a run arrived: its prefill is over.
    pub fn first_token(&mut self, key: RunKey) {
        self.failures = 0;
        if let Some(run) = self.runs.get_mut(key)
            && run.state == RunState::Prefilling
        {
            run.state = RunState::Decoding;
        }
    }

    /// A stopped run has ended at the server; the item waits to be resumed, ahead of new ones.
    pub fn stopped(&mut self, key: RunKey) {
        if let Some(run) = self.runs.get_mut(key)
            && run.state != RunState::Waiting
        {
            run.state = RunState::Waiting;
            self.waiting.push_front(key);
        }
    }

    /// Removes an item that ended or is given back.
    pub fn remove(&mut self, key: RunKey) -> Option<WorkItem> {
        self.waiting.retain(|waiting| *waiting != key);
        self.runs.remove(key).map(|run| run.item)
    }

    /// Items of a shard that the owner holds.
    pub fn held_of(&self, shard: ShardId) -> Vec<(JobId, ItemIndex)> {
        let of_shard = self.runs.values().filter(|run| run.item.shard == shard);
        of_shard.map(|run| (run.item.job, run.item.item)).collect()
    }

    /// Keys of all items that match.
    pub fn keys_where<F>(&self, matches: F) -> Vec<RunKey>
    where
        F: Fn(&WorkItem) -> bool,
    {
        self.runs
            .iter()
            .filter(|(_, run)| matches(&run.item))
            .map(|(key, _)| key)
            .collect()
    }

    /// Keys of items that match and have not started.
    pub fn waiting_where<F>(&self, matches: F) -> Vec<RunKey>
    where
        F: Fn(&WorkItem) -> bool,
    {
        let is_meant = |run: &Run| run.state == RunState::Waiting && matches(&run.item);
        self.runs
            .iter()
            .filter(|(_, run)| is_meant(run))
            .map(|(key, _)| key)
            .collect()
    }

    /// Items that the owner wants beyond those it holds.
    pub fn want_count(&self, now: Now) -> u32 {
        if self.is_closed || self.is_blocked(now) {
            return 0;
        }
        let room = self.batch_limit(now) + self.options.prefetch;
        room.saturating_sub(self.runs.len() as u32)
    }

    /// Chooses the next start or stop. Call again until it is idle.
    pub fn step(&mut self, now: Now) -> AdmitStep {
        let allowed = self.batch_limit(now);
        let active = self.active_count();
        if active > allowed && !self.is_closed {
            return self.stop_newest();
        }
        if self.is_closed
            || self.is_blocked(now)
            || active >= allowed
            || self.prefilling_count() >= self.prefill_limit(now)
        {
            return AdmitStep::Idle;
        }
        self.start_next(now)
    }

    fn start_next(&mut self, now: Now) -> AdmitStep {
        let active = self.active_count();
        let alone_runs = self
            .runs
            .values()
            .any(|run| run.item.must_run_alone && run.state != RunState::Waiting);
        if alone_runs {
            return AdmitStep::Idle;
        }
        let startable = |key: &RunKey| {
            self.runs
                .get(*key)
                .is_some_and(|run| active == 0 || !run.item.must_run_alone)
        };
        let Some(index) = self.waiting.iter().position(startable) else {
            return AdmitStep::Idle;
        };
        let Some(key) = self.waiting.remove(index) else {
            return AdmitStep::Idle;
        };
        if let Some(run) = self.runs.get_mut(key) {
            run.state = RunState::Prefilling;
            run.started_at = now;
        }
        AdmitStep::Start(key)
    }

    fn stop_newest(&mut self) -> AdmitStep {
        let is_active = |run: &Run| matches!(run.state, RunState::Prefilling | RunState::Decoding);
        let newest = self
            .runs
            .iter()
            .filter(|(_, run)| is_active(run))
            .max_by_key(|(_, run)| (run.state == RunState::Prefilling, run.started_at))
            .map(|(key, _)| key);
        let Some(key) = newest else {
            return AdmitStep::Idle;
        };
        if let Some(run) = self.runs.get_mut(key) {
            run.state = RunState::Stopping;
        }
        AdmitStep::Stop(key)
    }

    /// Batch sequences that may be on the server now.
    fn batch_limit(&self, now: Now) -> u32 {
        let online = self.online_count(now);
        let room = self.options.capacity.saturating_sub(online);
        if self.is_free(now) {
            return room;
        }
        let online_limit =
            (f64::from(self.options.capacity) * self.options.decode_share_online) as u32;
        room.min(online_limit)
    }

    fn prefill_limit(&self, now: Now) -> u32 {
        if self.is_free(now) {
            self.options.prefill_limit_idle
        } else {
            self.options.prefill_limit_online
        }
    }

    /// Hysteresis: a server counts as free only once no online request has been on it for the hold-off time.
    fn is_free(&self, now: Now) -> bool {
        if self.online_count(now) > 0 {
            return false;
        }
        self.free_since
            .is_none_or(|since| now.saturating_sub(since) >= self.options.hold_off)
    }

    fn active_count(&self) -> u32 {
        let is_active = |run: &&Run| matches!(run.state, RunState::Prefilling | RunState::Decoding);
        self.runs.values().filter(is_active).count() as u32
    }

    fn prefilling_count(&self) -> u32 {
        self.runs
            .values()
            .filter(|run| run.state == RunState::Prefilling)
            .count() as u32
    }
}
