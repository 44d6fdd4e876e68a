//! Decides which batch items to start and stop on one server.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use slotmap::SlotMap;

use crate::AdmitOptions;
use crate::RunKey;
use crate::WorkItem;

/// How long a router's online count stays valid without being renewed.
const ONLINE_REPORT_TTL: Duration = Duration::from_secs(3);

/// First backoff after the server failed; each further failure doubles it.
const BACKOFF_INITIAL: Duration = Duration::from_millis(200);
/// Upper bound on the backoff after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Next action on the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitStep {
    /// Start this item, or resume it from the tokens generated so far.
    Start(RunKey),
    /// Preempt this item: stop its stream, to be resumed later.
    Stop(RunKey),
    /// Nothing to do now.
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
    started_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct OnlineReport {
    in_flight: u32,
    reported_at: Timestamp,
}

/// Batch admission control of one server.
#[derive(Debug)]
pub struct ServerOwner {
    options: AdmitOptions,
    online_reports: BTreeMap<HostId, OnlineReport>,
    runs: SlotMap<RunKey, Run>,
    waiting: VecDeque<RunKey>,
    online_idle_since: Option<Timestamp>,
    is_draining: bool,
    consecutive_failures: u32,
    backoff_until: Timestamp,
}

impl ServerOwner {
    /// Creates an owner that holds no items.
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

    /// Replaces the options.
    pub fn set_options(&mut self, options: AdmitOptions) {
        self.options = options;
    }

    /// Sets whether the server is draining. A draining server starts no items and lets running ones finish.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Records the number of online requests that a router has in flight on this server.
    pub fn set_online_count(&mut self, now: Timestamp, router: &str, in_flight: u32) {
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

    /// Returns the number of online requests on the server, from counts that have not expired.
    pub fn online_count(&self, now: Timestamp) -> u32 {
        let fresh = self
            .online_reports
            .values()
            .filter(|report| now.saturating_sub(report.reported_at) < ONLINE_REPORT_TTL);
        fresh.map(|report| report.in_flight).sum()
    }

    /// Returns the routers that have reported a count.
    pub fn reporting_routers(&self) -> impl Iterator<Item = &HostId> {
        self.online_reports.keys()
    }

    /// Returns the number of items on the server, including those being stopped.
    pub fn running_count(&self) -> u32 {
        self.runs
            .values()
            .filter(|run| run.state != RunState::Waiting)
            .count() as u32
    }

    /// Returns the number of items held, running or waiting.
    pub fn held_count(&self) -> usize {
        self.runs.len()
    }

    /// Appends an assigned item to the queue.
    pub fn enqueue(&mut self, now: Timestamp, item: WorkItem) -> RunKey {
        let key = self.runs.insert(Run {
            item,
            state: RunState::Waiting,
            started_at: now,
        });
        self.waiting.push_back(key);
        key
    }

    /// Returns the item of a key.
    pub fn item(&self, key: RunKey) -> Option<&WorkItem> {
        self.runs.get(key).map(|run| &run.item)
    }

    /// Records a run that failed through a fault of the server. Starts are suspended for an exponential backoff.
    pub fn record_failure(&mut self, now: Timestamp) {
        let backoff = BACKOFF_INITIAL
            .saturating_mul(1 << self.consecutive_failures.min(6))
            .min(BACKOFF_MAX);
        // Runs that fail during the backoff are attributed to the same failure of the server.
        if now >= self.backoff_until {
            self.consecutive_failures += 1;
            self.backoff_until = now + backoff;
        }
    }

    /// Whether starts are suspended because the server failed.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Records the first token of a run: its prefill is complete, and the server is healthy again.
    pub fn record_first_token(&mut self, key: RunKey) {
        self.consecutive_failures = 0;
        if let Some(run) = self.runs.get_mut(key)
            && run.state == RunState::Prefilling
        {
            run.state = RunState::Decoding;
        }
    }

    /// Puts the item of a stopped run back at the head of the queue, so that it resumes before new items start.
    pub fn requeue_stopped(&mut self, key: RunKey) {
        if let Some(run) = self.runs.get_mut(key)
            && run.state != RunState::Waiting
        {
            run.state = RunState::Waiting;
            self.waiting.push_front(key);
        }
    }

    /// Removes an item that ended or is returned to its shard owner.
    pub fn remove(&mut self, key: RunKey) -> Option<WorkItem> {
        self.waiting.retain(|waiting| *waiting != key);
        self.runs.remove(key).map(|run| run.item)
    }

    /// Returns the held items of a shard.
    pub fn held_items(&self, shard: ShardId) -> Vec<(JobId, ItemIndex)> {
        let shard_runs = self.runs.values().filter(|run| run.item.shard == shard);
        shard_runs
            .map(|run| (run.item.job, run.item.item))
            .collect()
    }

    /// Returns the keys of all held items that match.
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

    /// Returns the keys of waiting items that match, including preempted ones.
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

    /// Returns how many more items the owner requests: up to the batch limit plus the prefetch.
    pub fn want_count(&self, now: Timestamp) -> u32 {
        if self.is_draining || self.is_backing_off(now) {
            return 0;
        }
        let target_count = self.batch_limit(now) + self.options.prefetch;
        target_count.saturating_sub(self.runs.len() as u32)
    }

    /// Returns the next action. Call repeatedly until it returns [`AdmitStep::Idle`].
    pub fn step(&mut self, now: Timestamp) -> AdmitStep {
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

    fn start_next(&mut self, now: Timestamp) -> AdmitStep {
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

    /// Returns the number of batch sequences that may run on the server now.
    fn batch_limit(&self, now: Timestamp) -> u32 {
        let online = self.online_count(now);
        let capacity_left = self.options.capacity.saturating_sub(online);
        if self.is_online_idle(now) {
            return capacity_left;
        }
        let online_limit =
            (f64::from(self.options.capacity) * self.options.decode_share_online) as u32;
        capacity_left.min(online_limit)
    }

    fn prefill_limit(&self, now: Timestamp) -> u32 {
        if self.is_online_idle(now) {
            self.options.prefill_limit_idle
        } else {
            self.options.prefill_limit_online
        }
    }

    /// Whether the server has had no online request for the hold-off time. The delay adds hysteresis.
    fn is_online_idle(&self, now: Timestamp) -> bool {
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
