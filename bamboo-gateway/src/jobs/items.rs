//! Runs items of jobs at model engines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::FleetConfig;
use bamboo_shards::AttemptEnd;
use bamboo_shards::ItemAction;
use bamboo_shards::ItemResult;
use bamboo_shards::ItemRun;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::ResultState;
use bamboo_slots::RunOutcome;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::ItemIndex;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use rand::RngExt;

use crate::gateway::Gateway;
use crate::jobs::part::OwnedPart;
use crate::jobs::part::SharedRun;
use crate::slot_requests::Slot;
use crate::slot_requests::acquire_slot;
use crate::task::OwnedTask;
use crate::traffic::EngineRequest;
use crate::traffic::OpenError;
use crate::traffic::StreamRead;
use crate::traffic::open_stream;

/// Time from sending to the first event after which an item is tried elsewhere.
const FIRST_EVENT_MAX: Duration = Duration::from_millis(800);
/// Pause between events after which an item is continued elsewhere.
const GAP_MAX: Duration = Duration::from_millis(500);
/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time without a route after which an item's route is gone: the configuration may be older than the one under which the
/// job was accepted, for 2 s on a calm day.
const ROUTE_GONE_AFTER: Duration = Duration::from_secs(5);
/// Events of an item before any has been seen.
const EVENTS_FIRST_GUESS: f64 = 200.0;
/// Time between events before any has been seen.
const EVENT_TIME_FIRST_GUESS: Duration = Duration::from_millis(25);
/// Least weight of one more item in the running means; the first items weigh more.
const MEAN_WEIGHT_MIN: f64 = 0.05;
/// Shortest time that an item is taken to run.
const LEFT_MIN: Duration = Duration::from_millis(100);

/// How long items run, from those that are done.
#[derive(Debug)]
pub(super) struct ItemTimes {
    events: Cell<f64>,
    event_time: Cell<Duration>,
    item_count: Cell<u32>,
}

impl Default for ItemTimes {
    fn default() -> Self {
        ItemTimes {
            events: Cell::new(EVENTS_FIRST_GUESS),
            event_time: Cell::new(EVENT_TIME_FIRST_GUESS),
            item_count: Cell::new(0),
        }
    }
}

impl ItemTimes {
    fn left(&self, run: &ItemRun) -> Duration {
        let events = self.events.get() - f64::from(run.event_count());
        self.event_time.get().mul_f64(events.max(0.0)).max(LEFT_MIN)
    }

    /// Takes a whole answer, whose last run brought `run_events` events in `took`.
    fn done(&self, run: &ItemRun, run_events: u32, took: Duration) {
        let count = self.item_count.get() + 1;
        self.item_count.set(count);
        let weight = (1.0 / f64::from(count)).max(MEAN_WEIGHT_MIN);
        let events = f64::from(run.event_count());
        self.events
            .set(self.events.get() * (1.0 - weight) + events * weight);
        if run_events > 0 {
            let event_time = took / run_events;
            self.event_time
                .set(self.event_time.get().mul_f64(1.0 - weight) + event_time.mul_f64(weight));
        }
    }
}

/// Starts the items of every open job.
pub(super) fn start_open_items(gateway: &Rc<Gateway>, part: &Rc<OwnedPart>) {
    let jobs: Vec<String> = part
        .shard
        .borrow()
        .jobs()
        .map(|job| job.record.id.clone())
        .collect();
    for job in jobs {
        start_job(gateway, part, &job);
    }
}

/// Starts the open items of a job.
pub(super) fn start_job(gateway: &Rc<Gateway>, part: &Rc<OwnedPart>, id: &str) {
    let shard = part.shard.borrow();
    let Some(job) = shard.job(id).filter(|job| !job.is_cancelled()) else {
        return;
    };
    for item in job.open_items() {
        let run = run_item(
            Rc::clone(gateway),
            Rc::clone(part),
            Rc::clone(&job.record),
            item,
        );
        part.own_task(OwnedTask::spawn(run));
    }
}

/// What an item waits for, or that it needs no more runs.
enum Standing {
    Runnable {
        service: String,
        due_in: Duration,
    },
    Closed,
    Expired,
    /// The configuration that this host has names no service for it.
    NoRoute,
    /// This host knows no configuration yet, which says nothing of the item.
    NoConfig,
}

fn standing(gateway: &Gateway, part: &OwnedPart, job: &JobRecord, item: ItemIndex) -> Standing {
    let shard = part.shard.borrow();
    let is_open = shard
        .job(&job.id)
        .is_some_and(|found| !found.is_cancelled() && !found.has_result(item));
    if !is_open || part.is_lost() {
        return Standing::Closed;
    }
    let age_ms = gateway.clock.unix_ms().saturating_sub(job.submitted_at_ms);
    if age_ms >= job.retention_ms {
        return Standing::Expired;
    }
    let Some(config) = gateway.config() else {
        return Standing::NoConfig;
    };
    match service_of(&config, job, item) {
        Some(service) => Standing::Runnable {
            service,
            due_in: Duration::from_millis(job.completion_target_ms.saturating_sub(age_ms)),
        },
        None => Standing::NoRoute,
    }
}

/// Service of an item by the configuration in force; `None` if its route is gone.
fn service_of(config: &FleetConfig, job: &JobRecord, item: ItemIndex) -> Option<String> {
    let path = &job.items[item as usize].path;
    let route = config.find_route(&job.host, path)?;
    route.pick_service(rand::rng().random()).cloned()
}

/// Runs an item until it has a result.
async fn run_item(gateway: Rc<Gateway>, part: Rc<OwnedPart>, job: Rc<JobRecord>, item: ItemIndex) {
    let run = part.shared_run(&job.id, item);
    let mut excluded: Vec<BackendServerId> = Vec::new();
    let request = engine_request(&gateway, &job, item);
    let mut no_route_since = None;
    loop {
        let standing_now = standing(&gateway, &part, &job, item);
        let now = gateway.clock.now();
        no_route_since = match standing_now {
            Standing::NoRoute => no_route_since.or(Some(now)),
            _ => None,
        };
        let is_route_gone =
            no_route_since.is_some_and(|since| now.saturating_sub(since) >= ROUTE_GONE_AFTER);
        let (service, due_in) = match standing_now {
            Standing::Runnable { service, due_in } => (service, due_in),
            Standing::Closed => return part.forget_run(&job.id, item),
            Standing::NoRoute if is_route_gone => {
                return list(&gateway, &part, &job, item, &run, ResultState::DeadLetter);
            }
            Standing::Expired => {
                return list(&gateway, &part, &job, item, &run, ResultState::DeadLetter);
            }
            Standing::NoRoute | Standing::NoConfig => {
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let work = Work::Batch {
            due: gateway.clock.now() + due_in,
            remaining: gateway.jobs.item_times.left(&run.borrow()),
        };
        let Ok(slot) = acquire_slot(&gateway, &service, work, std::mem::take(&mut excluded)).await
        else {
            actix_rt::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if matches!(standing(&gateway, &part, &job, item), Standing::Closed) {
            return;
        }
        let server = slot.server.id.clone();
        let (started, events_before) = (gateway.clock.now(), run.borrow().event_count());
        let (end, outcome) = attempt(&gateway, &part, &job, &slot, &request, &run).await;
        slot.set_outcome(outcome);
        drop(slot);
        if !matches!(outcome, RunOutcome::Done | RunOutcome::Cancelled) {
            excluded.push(server.clone());
        }
        if end != AttemptEnd::Whole && outcome != RunOutcome::Cancelled {
            log::info!(
                event = "item_attempt", job = job.id.as_str(), item = request.id.as_str(), server = server.as_str(),
                end:? = end, outcome:? = outcome, events = run.borrow().event_count(); "an attempt at an item ended early"
            );
        }
        let next = run.borrow_mut().finish_attempt(end, job.attempts_max);
        match next {
            ItemAction::Complete => {
                let took = gateway.clock.now().saturating_sub(started);
                let run_events = run.borrow().event_count().saturating_sub(events_before);
                gateway
                    .jobs
                    .item_times
                    .done(&run.borrow(), run_events, took);
                return list(&gateway, &part, &job, item, &run, ResultState::Done);
            }
            ItemAction::DeadLetter => {
                return list(&gateway, &part, &job, item, &run, ResultState::DeadLetter);
            }
            ItemAction::Retry if outcome == RunOutcome::Cancelled => {
                gateway.metrics.count_item("preempted")
            }
            ItemAction::Retry => {
                gateway.metrics.count_item("retried");
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn list(
    gateway: &Gateway,
    part: &OwnedPart,
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
            "an item is given up"
        );
    }
    let text = match state {
        ResultState::Done => run.borrow().text(),
        ResultState::DeadLetter => String::new(),
    };
    part.forget_run(&job.id, item);
    part.append(Record::Results {
        job: job.id.clone(),
        results: vec![ItemResult { item, state, text }],
    });
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
                log::warn!(event = "item_header", item = item.id.as_str(), name = name.as_str(); "a header of an item cannot be sent")
            }
        }
    }
    if let Ok(id) = HeaderValue::from_str(&item.id) {
        headers.insert(&gateway.dialect.headers.request_id, id);
    }
    if let Ok(host) = HeaderValue::from_str(&job.host) {
        headers.insert(header::HOST, host);
    }
    EngineRequest {
        id: item.id.clone(),
        method: Method::POST,
        target: item.path.clone(),
        headers,
        body: Bytes::from(item.body.clone()),
        is_retryable: true,
    }
}

/// One attempt at an item: until it is whole, fails, is stopped, or its job ends.
async fn attempt(
    gateway: &Rc<Gateway>,
    part: &OwnedPart,
    job: &JobRecord,
    slot: &Slot,
    request: &EngineRequest,
    run: &SharedRun,
) -> (AttemptEnd, RunOutcome) {
    let is_over = async {
        loop {
            part.listed.notified().await;
            let shard = part.shard.borrow();
            if shard.job(&job.id).is_none_or(|found| found.is_cancelled()) {
                return;
            }
        }
    };
    tokio::select! {
        biased;
        () = slot.preempted.notified() => (AttemptEnd::Interrupted, RunOutcome::Cancelled),
        () = is_over => (AttemptEnd::Interrupted, RunOutcome::Cancelled),
        ended = read_events(gateway, slot, request, run) => ended,
    }
}

async fn read_events(
    gateway: &Rc<Gateway>,
    slot: &Slot,
    request: &EngineRequest,
    run: &SharedRun,
) -> (AttemptEnd, RunOutcome) {
    let last_event = run.borrow().last_event_id();
    let opened = open_stream(
        gateway,
        &slot.server,
        request,
        last_event,
        None,
        FIRST_EVENT_MAX,
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
            return (end, RunOutcome::Done);
        }
    };
    let mut silence = FIRST_EVENT_MAX;
    loop {
        match stream.next(gateway, silence).await {
            StreamRead::Event(event) => {
                silence = GAP_MAX;
                let is_next = run.borrow_mut().push_event(event.id, event.data());
                if !is_next {
                    run.borrow_mut().restart();
                    return (AttemptEnd::Interrupted, RunOutcome::Broken);
                }
            }
            StreamRead::End if run.borrow().event_count() > 0 => {
                stream.finish(gateway);
                return (AttemptEnd::Whole, RunOutcome::Done);
            }
            StreamRead::End | StreamRead::Broken => {
                return (AttemptEnd::Interrupted, RunOutcome::Broken);
            }
            StreamRead::Silent => return (AttemptEnd::Interrupted, RunOutcome::Silent),
        }
    }
}
