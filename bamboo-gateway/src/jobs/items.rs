//! Runs the items of jobs on model engines.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bamboo_fleet::EventCheck;
use bamboo_fleet::EventOrder;
use bamboo_fleet::FleetConfig;
use bamboo_fleet::Route;
use bamboo_shards::AttemptEnd;
use bamboo_shards::ItemAction;
use bamboo_shards::ItemResult;
use bamboo_shards::ItemRun;
use bamboo_shards::JobAge;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::ResultState;
use bamboo_shards::item_text_max_bytes;
use bamboo_shards::retry_pause;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::ItemIndex;
use bamboo_types::StreamOrigin;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use rand::RngExt;

use crate::gateway::Gateway;
use crate::jobs::append::storable_record_max_bytes;
use crate::jobs::item_waits::log_long_wait;
use crate::jobs::item_waits::wait_until_obsolete;
use crate::jobs::shard::OwnedShard;
use crate::jobs::shard::SharedRun;
use crate::jobs::stored::item_body;
use crate::jobs::waiting_items::WaitingItem;
use crate::slot_requests::Slot;
use crate::slot_requests::SlotError;
use crate::slot_requests::acquire_slot;
use crate::task::OwnedTask;
use crate::task::run_despite_panics;
use crate::traffic::EngineRequest;
use crate::traffic::OpenError;
use crate::traffic::ResponseWait;
use crate::traffic::StreamRead;
use crate::traffic::open_stream;
use crate::traffic::run_outcome;
use crate::traffic::shared_part_suspects;

/// Timeout from sending an item to its first event, after which it is retried on another server. Doubles with each silent attempt in
/// a row: all servers may be slower than that.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of times that it doubles.
const TIMEOUT_DOUBLINGS_MAX: u32 = 5;
/// Timeout between two events, after which an item is resumed on another server.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after an attempt that ran at no server.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Failed attempts in a row that brought no event, after which an item begins anew if servers of another version are
/// ready.
const FRUITLESS_ATTEMPTS_MAX: u32 = 3;
/// How long the route of an item may be missing before the item becomes a dead letter. The configuration of this host
/// may be older than the one under which the job was accepted, by 2 s under normal conditions.
const ROUTE_MISSING_TIMEOUT: Duration = Duration::from_secs(5);
/// Estimated number of events per item before any item has completed.
const EVENT_COUNT_INITIAL: f64 = 200.0;
/// Estimated time between events before any item has completed.
const EVENT_INTERVAL_INITIAL: Duration = Duration::from_millis(25);
/// Minimum weight of a new item in the moving averages. The first items have more weight.
const MEAN_WEIGHT_MIN: f64 = 0.05;
/// Time after which an item that has not run gives its place to another one, if one waits.
const PLACE_WAIT_MAX: Duration = Duration::from_secs(5);
/// Time for which an item keeps its turn while it waits for a slot.
const TURN_WAIT_MAX: Duration = Duration::from_secs(1);
/// Pause before an item whose task panicked is begun anew.
const PANIC_PAUSE: Duration = Duration::from_secs(1);
/// Lower bound of the estimated remaining run time of an item.
const REMAINING_TIME_MIN: Duration = Duration::from_millis(100);

/// Estimates the run time of items from moving averages over completed ones.
#[derive(Debug)]
pub(super) struct RunTimeEstimator {
    mean_event_count: Cell<f64>,
    mean_event_interval: Cell<Duration>,
    item_count: Cell<u32>,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        RunTimeEstimator {
            mean_event_count: Cell::new(EVENT_COUNT_INITIAL),
            mean_event_interval: Cell::new(EVENT_INTERVAL_INITIAL),
            item_count: Cell::new(0),
        }
    }
}

impl RunTimeEstimator {
    fn remaining_time(&self, run: &ItemRun) -> Duration {
        let events = self.mean_event_count.get() - f64::from(run.event_count());
        self.mean_event_interval
            .get()
            .mul_f64(events.max(0.0))
            .max(REMAINING_TIME_MIN)
    }

    /// Updates the averages with a completed item, whose last attempt received `run_events` events in `elapsed`.
    fn record_completed(&self, run: &ItemRun, run_events: u32, elapsed: Duration) {
        let count = self.item_count.get() + 1;
        self.item_count.set(count);
        let weight = (1.0 / f64::from(count)).max(MEAN_WEIGHT_MIN);
        let events = f64::from(run.event_count());
        self.mean_event_count
            .set(self.mean_event_count.get() * (1.0 - weight) + events * weight);
        if run_events > 0 {
            let event_interval = elapsed / run_events;
            self.mean_event_interval.set(
                self.mean_event_interval.get().mul_f64(1.0 - weight)
                    + event_interval.mul_f64(weight),
            );
        }
    }
}

/// Starts the items without a result of all jobs in the shard.
pub(super) fn start_open_items(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) {
    let jobs: Vec<Rc<JobRecord>> = shard
        .state
        .borrow()
        .jobs()
        .map(|job| Rc::clone(&job.record))
        .collect();
    for job in jobs {
        start_job(gateway, shard, &job.id, replayed_age(gateway, &job));
    }
}

/// Age of a job that was read from the store just now.
pub(super) fn replayed_age(gateway: &Gateway, job: &JobRecord) -> JobAge {
    let clock = &gateway.clock;
    JobAge::replayed(job.submitted_at_ms, clock.unix_ms(), clock.now())
}

/// Has the items of a job run that have no result, each once there is a place for it.
pub(super) fn start_job(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>, id: &str, age: JobAge) {
    let state = shard.state.borrow();
    let Some(job) = state.job(id).filter(|job| !job.is_cancelled()) else {
        return;
    };
    let now = gateway.clock.now();
    let completion_target = Duration::from_millis(job.record.completion_target_ms);
    let due = (now + completion_target).saturating_sub(age.estimate(now));
    let id: Rc<str> = id.into();
    for item in job.open_items() {
        let job = Rc::clone(&id);
        shard.waiting.add(due, WaitingItem { job, item, age });
    }
}

/// Runs the items of a shard that wait, as places become free, until the shard is lost.
pub(super) async fn run_waiting_items(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) {
    while !shard.is_lost() {
        if !shard.waiting.has_any() {
            shard.waiting.changed().await;
            continue;
        }
        let places = Arc::clone(&gateway.jobs.item_places);
        let Ok(place) = places.acquire_owned().await else {
            return;
        };
        let Some(waiting) = shard.waiting.take_next() else {
            continue;
        };
        let WaitingItem { job, item, age } = waiting;
        let record = shard
            .state
            .borrow()
            .job(&job)
            .filter(|job| !job.is_cancelled())
            .map(|job| Rc::clone(&job.record));
        let Some(record) = record else { continue };
        let (gateway, owned) = (Rc::clone(gateway), Rc::clone(shard));
        shard.add_task(OwnedTask::spawn(async move {
            let run = || run_item(&gateway, &owned, &record, item, age);
            run_despite_panics("item", PANIC_PAUSE, run).await;
            drop(place);
        }));
    }
}

/// Whether an item that has held its place since `placed_at` without running is to give it to another one.
fn gives_way(gateway: &Gateway, placed_at: Duration) -> bool {
    let held_for = gateway.clock.now().saturating_sub(placed_at);
    held_for >= PLACE_WAIT_MAX
        && gateway.jobs.item_places.available_permits() == 0
        && gateway.jobs.has_waiting_items()
}

/// Has an item wait for a place again, behind those that are due by the time that a new job would be.
fn give_way(
    gateway: &Gateway,
    shard: &OwnedShard,
    job: &JobRecord,
    item: ItemIndex,
    age: JobAge,
    run: &SharedRun,
) {
    if run.borrow().is_new() {
        shard.remove_run(&job.id, item);
    }
    let due = gateway.clock.now() + Duration::from_millis(job.completion_target_ms);
    let job = job.id.as_str().into();
    shard.waiting.add(due, WaitingItem { job, item, age });
}

/// Whether an item can run, and if not, why.
enum ItemStatus {
    Runnable {
        service: String,
        due_in: Duration,
    },
    /// The item has a result, its job is cancelled, or the shard is lost.
    Closed,
    /// The retention of the job has passed.
    Expired,
    /// The current configuration has no service for the item.
    NoRoute,
    /// This host has not received a configuration yet, so the route of the item is unknown.
    NoConfig,
}

/// Whether an item still needs a result of this owner.
fn is_open(shard: &OwnedShard, job: &JobRecord, item: ItemIndex) -> bool {
    let state = shard.state.borrow();
    let is_owed = state
        .job(&job.id)
        .is_some_and(|found| !found.is_cancelled() && !found.has_result(item));
    is_owed && !shard.is_lost()
}

/// Whether an item may be given up because of its age.
fn is_expired(job: &JobRecord, age: JobAge, now: Duration) -> bool {
    age.minimum(now) >= Duration::from_millis(job.retention_ms)
}

fn item_status(
    gateway: &Gateway,
    shard: &OwnedShard,
    job: &JobRecord,
    item: ItemIndex,
    age: JobAge,
    origin: Option<&StreamOrigin>,
) -> ItemStatus {
    let now = gateway.clock.now();
    if !is_open(shard, job, item) {
        return ItemStatus::Closed;
    }
    if is_expired(job, age, now) {
        return ItemStatus::Expired;
    }
    let Some(config) = gateway.config() else {
        return ItemStatus::NoConfig;
    };
    match service_of(&config, job, item, origin) {
        Some(service) => ItemStatus::Runnable {
            service,
            due_in: Duration::from_millis(job.completion_target_ms)
                .saturating_sub(age.estimate(now)),
        },
        None => ItemStatus::NoRoute,
    }
}

/// The route of an item in a configuration: that of its job.
fn item_route<'a>(
    config: &'a FleetConfig,
    job: &JobRecord,
    item: ItemIndex,
) -> Option<&'a Rc<Route>> {
    config.find_job_route(&job.host, &job.route, &job.items[item as usize].path)
}

/// Picks a service for an item by the current configuration: the one that began it, if its route still leads there.
/// `None` if its route is missing.
fn service_of(
    config: &FleetConfig,
    job: &JobRecord,
    item: ItemIndex,
    origin: Option<&StreamOrigin>,
) -> Option<String> {
    let route = item_route(config, job, item)?;
    let began = origin.map(|origin| &origin.service);
    began
        .filter(|service| route.leads_to(service))
        .or_else(|| route.pick_service(rand::rng().random()))
        .cloned()
}

/// Runs an item until it has a result.
async fn run_item(
    gateway: &Rc<Gateway>,
    shard: &Rc<OwnedShard>,
    job: &Rc<JobRecord>,
    item: ItemIndex,
    age: JobAge,
) {
    let run = shard.shared_run(&job.id, item);
    let mut excluded: Vec<BackendServerId> = Vec::new();
    let mut request = engine_request(gateway, job, item);
    let mut placed_at = gateway.clock.now();
    let mut route_missing_since = None;
    let mut fruitless_attempts = 0;
    let mut silent_in_a_row = 0;
    let mut broken_in_a_row = 0;
    loop {
        let origin = run.borrow().origin().cloned();
        let status = item_status(gateway, shard, job, item, age, origin.as_ref());
        let now = gateway.clock.now();
        route_missing_since = match status {
            ItemStatus::NoRoute => route_missing_since.or(Some(now)),
            _ => None,
        };
        let is_route_missing = route_missing_since
            .is_some_and(|since| now.saturating_sub(since) >= ROUTE_MISSING_TIMEOUT);
        let (service, due_in) = match status {
            ItemStatus::Closed => return shard.remove_run(&job.id, item),
            ItemStatus::NoRoute if is_route_missing => {
                return record_result(gateway, shard, job, item, &run, ResultState::DeadLetter);
            }
            ItemStatus::Expired => {
                return record_result(gateway, shard, job, item, &run, ResultState::DeadLetter);
            }
            _ if gives_way(gateway, placed_at) => {
                return give_way(gateway, shard, job, item, age, &run);
            }
            ItemStatus::NoRoute | ItemStatus::NoConfig => {
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            ItemStatus::Runnable { service, due_in } => (service, due_in),
        };
        if origin
            .as_ref()
            .is_some_and(|origin| origin.service != service)
        {
            restart_item(gateway, job, &request, &run, "other_service");
            continue;
        }
        let trials = &gateway.jobs.item_trials;
        let may_run = || may_run_at(gateway, shard, job, item, age, &service);
        let may_wait = || may_run() && !gives_way(gateway, placed_at);
        let turn = trials.wait_for_turn(gateway, &service, &request.suspects);
        let turn = log_long_wait(gateway, job, &request, "turn", turn);
        let turn = tokio::select! {
            turn = turn => turn,
            () = wait_until_obsolete(&may_wait) => continue,
        };
        let work = Work::Batch {
            due: gateway.clock.now() + due_in,
            remaining: gateway
                .jobs
                .run_time_estimator
                .remaining_time(&run.borrow()),
        };
        let version = origin.as_ref().map(|origin| &origin.version);
        let excluded_now = std::mem::take(&mut excluded);
        let acquired = acquire_slot(
            gateway,
            &service,
            work,
            excluded_now,
            version,
            item_terms(job),
        );
        let acquired = log_long_wait(gateway, job, &request, &service, acquired);
        let acquired = tokio::select! {
            acquired = acquired => acquired,
            () = wait_until_obsolete(&may_wait) => continue,
            // Others that wait for the turn may need a server of another version.
            () = actix_rt::time::sleep(TURN_WAIT_MAX), if turn.is_some() => continue,
        };
        let slot = match acquired {
            Ok(slot) => slot,
            Err(SlotError::NoServer) if version.is_some() => {
                restart_item(gateway, job, &request, &run, "no_server");
                continue;
            }
            Err(_) => {
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        // The wait may have been long. Without the slot, the loop decides anew.
        if !may_run() {
            continue;
        }
        request.body = match item_body(gateway, shard, &job.id, item).await {
            Ok(body) => body,
            Err(_) => {
                drop(slot);
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        set_workspace(gateway, job, &mut request.headers);
        let server = slot.server.id.clone();
        let (started_at, events_before) = (gateway.clock.now(), run.borrow().event_count());
        let retention_left =
            Duration::from_millis(job.retention_ms).saturating_sub(age.minimum(started_at));
        let doublings = TIMEOUT_DOUBLINGS_MAX.min(silent_in_a_row);
        let limits = AttemptLimits {
            first_event_timeout: FIRST_EVENT_TIMEOUT * 2_u32.pow(doublings),
            deadline: started_at + retention_left,
        };
        let attempt = run_attempt(gateway, shard, job, &slot, &request, &run, limits);
        // On the heap, so that items that wait take less memory.
        let (end, outcome) = Box::pin(attempt).await;
        request.body = Bytes::new();
        placed_at = gateway.clock.now();
        slot.set_outcome(outcome);
        drop(slot);
        if !matches!(outcome, RunOutcome::Done | RunOutcome::Cancelled) {
            excluded.push(server.clone());
        }
        if end != AttemptEnd::Whole && outcome != RunOutcome::Cancelled {
            log::info!(
                event = "item_attempt", job = job.id.as_str(), item = request.id.as_str(), server = server.as_str(),
                end:? = end, outcome:? = outcome, events = run.borrow().event_count();
                "attempt at an item ended before its response was complete"
            );
        }
        let is_fruitless = run.borrow().event_count() == events_before;
        if turn.is_some() && !is_fruitless {
            trials.record_begun(&request.suspects);
        }
        drop(turn);
        broken_in_a_row = match outcome {
            RunOutcome::Broken if is_fruitless => broken_in_a_row + 1,
            _ if is_fruitless => broken_in_a_row,
            _ => 0,
        };
        silent_in_a_row = match outcome {
            RunOutcome::Silent if is_fruitless => silent_in_a_row + 1,
            _ if is_fruitless => silent_in_a_row,
            _ => 0,
        };
        fruitless_attempts = match outcome {
            RunOutcome::Done => 0,
            RunOutcome::Cancelled | RunOutcome::Full => fruitless_attempts,
            _ if is_fruitless => fruitless_attempts + 1,
            _ => 0,
        };
        if fruitless_attempts >= FRUITLESS_ATTEMPTS_MAX
            && origin.is_some_and(|origin| has_other_version(gateway, &service, &origin))
        {
            fruitless_attempts = 0;
            restart_item(gateway, job, &request, &run, "no_event");
        }
        let next = run.borrow_mut().finish_attempt(end, job.attempts_max);
        match next {
            ItemAction::Complete => {
                let elapsed = gateway.clock.now().saturating_sub(started_at);
                let run_events = run.borrow().event_count().saturating_sub(events_before);
                gateway.jobs.run_time_estimator.record_completed(
                    &run.borrow(),
                    run_events,
                    elapsed,
                );
                return record_result(gateway, shard, job, item, &run, ResultState::Done);
            }
            ItemAction::DeadLetter => {
                return record_result(gateway, shard, job, item, &run, ResultState::DeadLetter);
            }
            ItemAction::Retry if outcome == RunOutcome::Cancelled => {
                gateway.metrics.count_item("preempted")
            }
            ItemAction::Retry => {
                gateway.metrics.count_item("retried");
                let pause = match outcome {
                    RunOutcome::Broken => retry_pause(broken_in_a_row),
                    _ => RETRY_PAUSE,
                };
                actix_rt::time::sleep(pause).await;
            }
        }
    }
}

/// Whether an item may run at a service: it has no result, may not be given up, and its route leads there.
fn may_run_at(
    gateway: &Gateway,
    shard: &OwnedShard,
    job: &JobRecord,
    item: ItemIndex,
    age: JobAge,
    service: &str,
) -> bool {
    if !is_open(shard, job, item) || is_expired(job, age, gateway.clock.now()) {
        return false;
    }
    let config = gateway.config();
    let route = config
        .as_ref()
        .and_then(|config| item_route(config, job, item));
    route.is_some_and(|route| route.leads_to(service))
}

/// Whether the service has a ready server of another version than the one that began an item.
fn has_other_version(gateway: &Gateway, service: &str, origin: &StreamOrigin) -> bool {
    let ready = gateway
        .directory
        .borrow()
        .ready(service, gateway.clock.now());
    ready.iter().any(|server| server.version != origin.version)
}

/// Discards the output of an item, so that it begins anew at any version.
fn restart_item(
    gateway: &Gateway,
    job: &JobRecord,
    request: &EngineRequest,
    run: &SharedRun,
    reason: &'static str,
) {
    let mut run = run.borrow_mut();
    log::info!(
        event = "item_restarted", job = job.id.as_str(), item = request.id.as_str(), reason,
        version = run.origin().map(|origin| origin.version.as_str()), events = run.event_count();
        "item begins anew at any version"
    );
    gateway.metrics.count_item("restarted");
    run.restart();
}

fn record_result(
    gateway: &Gateway,
    shard: &OwnedShard,
    job: &JobRecord,
    item: ItemIndex,
    run: &SharedRun,
    state: ResultState,
) {
    gateway.metrics.count_item(match state {
        ResultState::Done => "done",
        ResultState::DeadLetter => "dead_letter",
    });
    if state == ResultState::DeadLetter {
        log::info!(
            event = "item_given_up", job = job.id.as_str(), item = job.items[item as usize].id.as_str();
            "item became a dead letter"
        );
    }
    let text = match state {
        ResultState::Done => run.borrow().text(),
        ResultState::DeadLetter => String::new(),
    };
    shard.remove_run(&job.id, item);
    shard.append(Record::Results {
        job: job.id.clone(),
        results: vec![ItemResult { item, state, text }],
    });
}

/// Terms of the slot requests of a job's items. Items do not count towards the rate of their workspace.
fn item_terms(job: &JobRecord) -> RequestTerms {
    RequestTerms {
        workspace: job.workspace.clone(),
        ..RequestTerms::default()
    }
}

/// Has the headers of an item name the workspace of its job to the server, whatever the submitter put there. Headers of an item
/// stay as they were submitted if neither the job nor the configuration has workspaces.
fn set_workspace(gateway: &Gateway, job: &JobRecord, headers: &mut HeaderMap) {
    let config = gateway.config();
    let has_workspaces = config.is_none_or(|config| config.workspaces.is_some());
    if job.workspace.is_none() && !has_workspaces {
        return;
    }
    headers.remove(header::AUTHORIZATION);
    // It could declare the workspace a header of the connection, which servers may drop.
    headers.remove(header::CONNECTION);
    let name = &gateway.dialect.headers.workspace;
    headers.remove(name);
    let Some(workspace) = &job.workspace else {
        return;
    };
    match HeaderValue::from_bytes(workspace.as_bytes()) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(_) => log::warn!(
            event = "workspace_header", job = job.id.as_str();
            "the name of the job's workspace is no header value; its items are sent without it"
        ),
    }
}

fn engine_request(gateway: &Gateway, job: &JobRecord, item: ItemIndex) -> EngineRequest {
    let item = &job.items[item as usize];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        match (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            (Ok(name), Ok(value)) => {
                headers.append(name, value);
            }
            _ => {
                log::warn!(
                    event = "item_header", item = item.id.as_str(), name = name.as_str();
                    "invalid header of an item is not sent"
                )
            }
        }
    }
    if let Ok(id) = HeaderValue::from_str(&item.id) {
        headers.insert(&gateway.dialect.headers.request_id, id);
    }
    if let Ok(host) = HeaderValue::from_str(&job.host) {
        headers.insert(header::HOST, host);
    }
    let parts = (gateway.dialect.decode_prompt_parts)(&headers);
    EngineRequest {
        id: item.id.clone(),
        method: Method::POST,
        target: item.path.clone(),
        headers,
        // Filled in for each attempt.
        body: Bytes::new(),
        is_retryable: true,
        suspects: shared_part_suspects(&parts).collect(),
        content: None,
    }
}

/// How long an attempt at an item may take.
#[derive(Debug, Clone, Copy)]
struct AttemptLimits {
    first_event_timeout: Duration,
    deadline: Duration,
}

/// Runs one attempt at an item until it completes, fails or is preempted, its job is cancelled or removed, or the deadline
/// passes.
async fn run_attempt(
    gateway: &Rc<Gateway>,
    shard: &OwnedShard,
    job: &JobRecord,
    slot: &Slot,
    request: &EngineRequest,
    run: &SharedRun,
    limits: AttemptLimits,
) -> (AttemptEnd, RunOutcome) {
    let job_ended = async {
        loop {
            shard.state_changed.notified().await;
            let state = shard.state.borrow();
            if state.job(&job.id).is_none_or(|found| found.is_cancelled()) {
                return;
            }
        }
    };
    tokio::select! {
        biased;
        () = slot.preempted.notified() => (AttemptEnd::Interrupted, RunOutcome::Cancelled),
        () = job_ended => (AttemptEnd::Interrupted, RunOutcome::Cancelled),
        ended = read_events(gateway, &job.id, slot, request, run, limits) => ended,
    }
}

async fn read_events(
    gateway: &Rc<Gateway>,
    job: &str,
    slot: &Slot,
    request: &EngineRequest,
    run: &SharedRun,
    limits: AttemptLimits,
) -> (AttemptEnd, RunOutcome) {
    let last_event = run.borrow().last_event_id();
    let opened = open_stream(
        gateway,
        &slot.server,
        request,
        last_event,
        None,
        ResponseWait {
            timeout: limits.first_event_timeout,
            notice: None,
        },
    )
    .await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(OpenError::NotRun(outcome) | OpenError::Failed(outcome)) => {
            return (AttemptEnd::Interrupted, outcome);
        }
        Err(OpenError::Answered(head, _)) => {
            let end = match head.status {
                StatusCode::UNPROCESSABLE_ENTITY => AttemptEnd::Unprocessable,
                StatusCode::INTERNAL_SERVER_ERROR => AttemptEnd::Failed,
                _ => AttemptEnd::Interrupted,
            };
            return (end, run_outcome(head.status));
        }
    };
    let origin = StreamOrigin {
        service: slot.server.service.clone(),
        version: slot.server.version.clone(),
    };
    let record_max_bytes = storable_record_max_bytes(&gateway.settings.store);
    let text_max_bytes = item_text_max_bytes(record_max_bytes, job, &origin);
    run.borrow_mut().begin_response(origin);
    let events_before = run.borrow().event_count();
    let mut order = EventOrder::new(last_event);
    order.resume();
    let mut timeout = limits.first_event_timeout;
    loop {
        match stream.next(gateway, timeout, limits.deadline).await {
            StreamRead::Event(event) => {
                let data = event.data();
                if data.is_some() {
                    timeout = EVENT_GAP_TIMEOUT;
                }
                let is_next = order.check(&event) == EventCheck::Forward
                    && run.borrow_mut().push_event(event.id, data)
                    && run.borrow().text_bytes() <= text_max_bytes;
                if !is_next {
                    run.borrow_mut().restart();
                    return (AttemptEnd::Interrupted, RunOutcome::Broken);
                }
            }
            StreamRead::End if run.borrow().event_count() > events_before => {
                stream.finish(gateway);
                return (AttemptEnd::Whole, RunOutcome::Done);
            }
            StreamRead::End => {
                // The server may have had nothing to add, or nothing of this item, so that the next attempt begins anew.
                run.borrow_mut().restart();
                return (AttemptEnd::Interrupted, RunOutcome::Broken);
            }
            StreamRead::Broken => return (AttemptEnd::Interrupted, RunOutcome::Broken),
            StreamRead::Silent => return (AttemptEnd::Interrupted, RunOutcome::Silent),
        }
    }
}
