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
const ONLINE_REPORT_TTL: Duration = Duration::from_secs(3);

/// First time without starts after the server failed.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
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
struct OnlineReport {
    in_flight: u32,
    reported_at: Now,
}

/// Batch admission of one server.
#[derive(Debug)]
pub struct ServerOwner {
    options: AdmitOptions,
    online_reports: BTreeMap<HostId, OnlineReport>,
    runs: SlotMap<RunKey, Run>,
    waiting: VecDeque<RunKey>,
    online_idle_since: Option<Now>,
    is_draining: bool,
    consecutive_failures: u32,
    backoff_until: Now,
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
            online_reports: BTreeMap::new(),
            runs: SlotMap::with_key(),
            waiting: VecDeque::new(),
            online_idle_since: None,
            is_draining: false,
            consecutive_failures: 0,
            backoff_until: Duration::ZERO,
        }
    }

    /// Takes changed options.
    pub fn set_options(&mut self, options: AdmitOptions) {
        self.options = options;
    }

    /// Starts nothing from now on, or opens again.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Takes a router's count of its online requests on this server.
    pub fn set_online_count(&mut self, now: Now, router: &str, in_flight: u32) {
        let before = self.online_count(now);
        self.online_reports.insert(
            router.to_owned(),
            OnlineReport {
                in_flight,
                reported_at: now,
            },
        );
        let after = self.online_count(now);
        if after > 0 {
            self.online_idle_since = None;
        } else if before > 0 || self.online_idle_since.is_none() {
            self.online_idle_since = Some(now);
        }
    }

    /// Online requests on the server.
    pub fn online_count(&self, now: Now) -> u32 {
        let fresh = self
            .online_reports
            .values()
            .filter(|report| now.saturating_sub(report.reported_at) < ONLINE_REPORT_TTL);
        fresh.map(|report| report.in_flight).sum()
    }

    /// Routers that have reported a count.
    pub fn reporting_routers(&self) -> impl Iterator<Item = &HostId> {
        self.online_reports.keys()
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
    pub fn enqueue(&mut self, now: Now, item: WorkItem) -> RunKey {
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
    pub fn record_failure(&mut self, now: Now) {
        let backoff = BACKOFF_MIN
            .saturating_mul(1 << self.consecutive_failures.min(6))
            .min(BACKOFF_MAX);
        // Runs that fail together are one failure of the server.
        if now >= self.backoff_until {
            self.consecutive_failures += 1;
            self.backoff_until = now + backoff;
        }
    }

    /// Whether nothing starts because of failures.
    pub fn is_backing_off(&self, now: Now) -> bool {
        now < self.backoff_until
    }

    /// The first token of a run arrived: its prefill is over.
    pub fn record_first_token(&mut self, key: RunKey) {
        self.consecutive_failures = 0;
        if let Some(run) = self.runs.get_mut(key)
            && run.state == RunState::Prefilling
        {
            run.state = RunState::Decoding;
        }
    }

    /// A stopped run has ended at the server; the item waits to be resumed, ahead of new ones.
    pub fn requeue_stopped(&mut self, key: RunKey) {
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
    pub fn held_items(&self, shard: ShardId) -> Vec<(JobId, ItemIndex)> {
        let shard_runs = self.runs.values().filter(|run| run.item.shard == shard);
        shard_runs
            .map(|run| (run.item.job, run.item.item))
            .collect()
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
        let is_match = |run: &Run| run.state == RunState::Waiting && matches(&run.item);
        self.runs
            .iter()
            .filter(|(_, run)| is_match(run))
            .map(|(key, _)| key)
            .collect()
    }

    /// Items that the owner wants beyond those it holds.
    pub fn want_count(&self, now: Now) -> u32 {
        if self.is_draining || self.is_backing_off(now) {
            return 0;
        }
        let target_count = self.batch_limit(now) + self.options.prefetch;
        target_count.saturating_sub(self.runs.len() as u32)
    }

    /// Chooses the next start or stop. Call again until it is idle.
    pub fn step(&mut self, now: Now) -> AdmitStep {
        let allowed = self.batch_limit(now);
        let active = self.active_count();
        if active > allowed && !self.is_draining {
            return self.stop_newest();
        }
        if self.is_draining
            || self.is_backing_off(now)
            || active >= allowed
            || self.prefilling_count() >= self.prefill_limit(now)
        {
            return AdmitStep::Idle;
        }
        self.start_next(now)
    }

    fn start_next(&mut self, now: Now) -> AdmitStep {
        let active = self.active_count();
        let is_exclusive_running = self
            .runs
            .values()
            .any(|run| run.item.must_run_alone && run.state != RunState::Waiting);
        if is_exclusive_running {
            return AdmitStep::Idle;
        }
        let can_start = |key: &RunKey| {
            self.runs
                .get(*key)
                .is_some_and(|run| active == 0 || !run.item.must_run_alone)
        };
        let Some(index) = self.waiting.iter().position(can_start) else {
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
        let capacity_left = self.options.capacity.saturating_sub(online);
        if self.is_online_idle(now) {
            return capacity_left;
        }
        let online_limit =
            (f64::from(self.options.capacity) * self.options.decode_share_online) as u32;
        capacity_left.min(online_limit)
    }

    fn prefill_limit(&self, now: Now) -> u32 {
        if self.is_online_idle(now) {
            self.options.prefill_limit_idle
        } else {
            self.options.prefill_limit_online
        }
    }

    /// Hysteresis: a server counts as free only once no online request has been on it for the hold-off time.
    fn is_online_idle(&self, now: Now) -> bool {
        if self.online_count(now) > 0 {
            return false;
        }
        self.online_idle_since
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
