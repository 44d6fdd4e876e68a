//! Handlers of batch jobs: submit, list, get, cancel, results.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bamboo_config::Caller;
use bamboo_host::Answer;
use bamboo_host::Input;
use bamboo_jobs::FinalOutcomeCollector;
use bamboo_jobs::JobState;
use bamboo_jobs::JobView;
use bamboo_log::Entry;
use bamboo_log::ItemBody;
use bamboo_log::ItemOutcome;
use bamboo_log::ItemRunResult;
use bamboo_log::JobSpec;
use bamboo_log::Position;
use bamboo_log::StreamId;
use bamboo_log::UploadId;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::JobId;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_types::format_job_id;
use bamboo_types::job_id;
use bamboo_types::millis;
use bamboo_types::parse_job_id;
use bamboo_types::shard_of_job;
use bamboo_wire::ShardQuery;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::AppState;
use super::auth;
use super::lines::LineReader;
use super::new_request_id;
use crate::platform::PlatformClient;
use crate::reply::error_response;
use crate::reply::unexpected_answer_response;
use crate::shared::OpenRequestGuard;

/// Header with the idempotency key of a job.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Completion window of a job that gives neither a deadline nor a window.
const DEFAULT_COMPLETION_WINDOW: Duration = Duration::from_secs(24 * 3600);
/// Default time for which results stay readable after the job has ended.
const DEFAULT_RESULT_LIFETIME: Duration = Duration::from_secs(7 * 24 * 3600);
/// Maximum number of attempts to append one chunk of an upload.
const CHUNK_ATTEMPTS_MAX: usize = 5;

/// Number of the next upload; unique within the process.
static NEXT_UPLOAD: AtomicU64 = AtomicU64::new(1);

/// Query parameters of a submitted job.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitQuery {
    /// Deadline as an RFC 3339 timestamp.
    deadline: Option<String>,
    /// Time until the deadline, such as `6h`.
    completion_window: Option<String>,
    /// Time for which results stay readable, such as `7days`.
    result_lifetime: Option<String>,
}

/// `POST /v1/batches`.
pub(crate) async fn submit(
    app: web::Data<AppState>,
    http: HttpRequest,
    query: Result<web::Query<SubmitQuery>, actix_web::Error>,
    body: web::Payload,
) -> HttpResponse {
    let _open_request_guard = OpenRequestGuard::new(&app.shared);
    let query = match query {
        Ok(query) => query,
        Err(error) => {
            return error_response(
                &app.shared,
                &ApiError::new(Code::BadRequest, error.to_string()),
            );
        }
    };
    match try_submit(&app, &http, &query, body).await {
        Ok(view) => {
            app.shared.metrics.record_response(Code::Accepted.name());
            HttpResponse::Accepted().json(job_json(&view))
        }
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `GET /v1/batches`.
pub(crate) async fn list(app: web::Data<AppState>, http: HttpRequest) -> HttpResponse {
    let caller = match auth::authenticate(&app.shared.config.load(), &http) {
        Ok(caller) => caller,
        Err(error) => return error_response(&app.shared, &error),
    };
    match list_jobs(&app, Some(caller.workspace)).await {
        Ok(views) => {
            let data: Vec<Value> = views.iter().map(job_json).collect();
            HttpResponse::Ok().json(json!({ "object": "list", "data": data }))
        }
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `GET /v1/batches/{job}`.
pub(crate) async fn get(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    match job_in_workspace(&app, &http, &path).await {
        Ok(view) => HttpResponse::Ok().json(job_json(&view)),
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `POST /v1/batches/{job}/cancel`.
pub(crate) async fn cancel(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    let view = match job_in_workspace(&app, &http, &path).await {
        Ok(view) => view,
        Err(error) => return error_response(&app.shared, &error),
    };
    match cancel_job(&app, view.job).await {
        Ok(view) => HttpResponse::Ok().json(job_json(&view)),
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `GET /v1/batches/{job}/results`.
pub(crate) async fn results(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    let view = match job_in_workspace(&app, &http, &path).await {
        Ok(view) => view,
        Err(error) => return error_response(&app.shared, &error),
    };
    respond_results(&app, view.job).await
}

/// Streams a job's results as JSONL.
pub(crate) async fn respond_results(app: &AppState, job: JobId) -> HttpResponse {
    let shard = shard_of_job(job, app.shared.settings.shard_count);
    let request = new_request_id();
    let query = ShardQuery::Results { job };
    match app
        .control
        .ask(
            request,
            Input::Query {
                request,
                shard,
                query,
            },
        )
        .await
    {
        Answer::Results { view, positions } => {
            let lines = result_lines(app.platform.clone(), shard, view, positions);
            HttpResponse::Ok()
                .content_type("application/jsonl")
                .streaming(lines)
        }
        Answer::Refused(error) => error_response(&app.shared, &error),
        _ => unexpected_answer_response(&app.shared),
    }
}

/// Cancels a job, whichever host owns its shard.
///
/// # Errors
/// Fails if the log or the shard's owner does not respond.
pub(crate) async fn cancel_job(app: &AppState, job: JobId) -> Result<JobView, ApiError> {
    let request = new_request_id();
    job_from_answer(
        app.control
            .ask(request, Input::Cancel { request, job })
            .await,
    )
}

/// Returns a job, whichever host owns its shard.
///
/// # Errors
/// Fails if there is no such job or the shard's owner does not respond.
pub(crate) async fn get_job(app: &AppState, job_id: &str) -> Result<JobView, ApiError> {
    let job = parse_job_id(job_id).ok_or_else(|| job_not_found(job_id))?;
    let shard = shard_of_job(job, app.shared.settings.shard_count);
    let request = new_request_id();
    let query = ShardQuery::Job { job, after: None };
    job_from_answer(
        app.control
            .ask(
                request,
                Input::Query {
                    request,
                    shard,
                    query,
                },
            )
            .await,
    )
}

/// Returns the jobs of all shards, newest first.
///
/// # Errors
/// Fails if the owner of a shard does not respond.
pub(crate) async fn list_jobs(
    app: &AppState,
    workspace: Option<String>,
) -> Result<Vec<JobView>, ApiError> {
    let queries = (0..app.shared.settings.shard_count).map(|shard| {
        let request = new_request_id();
        let query = ShardQuery::Jobs {
            workspace: workspace.clone(),
        };
        app.control.ask(
            request,
            Input::Query {
                request,
                shard,
                query,
            },
        )
    });
    let mut views = Vec::new();
    for answer in futures_util::future::join_all(queries).await {
        match answer {
            Answer::Jobs(found) => views.extend(found),
            Answer::Refused(error) => return Err(error),
            _ => {
                return Err(ApiError::new(Code::OutcomeUnknown, "a shard gave no list"));
            }
        }
    }
    views.sort_by_key(|view| (std::cmp::Reverse(view.created_ms), view.job));
    Ok(views)
}

/// The JSON representation of a job.
pub(crate) fn job_json(view: &JobView) -> Value {
    let status = match view.state {
        JobState::Running
            if view.done_count + view.failed_count == 0 && view.running_count == 0 =>
        {
            "queued"
        }
        JobState::Running => "in_progress",
        JobState::Completed => "completed",
        JobState::Cancelled => "cancelled",
    };
    json!({
        "id": format_job_id(view.job),
        "object": "batch",
        "workspace": view.workspace,
        "serving": view.serving,
        "model": view.model,
        "status": status,
        "is_at_risk": view.is_at_risk,
        "created_at_ms": view.created_ms,
        "deadline_ms": view.deadline_ms,
        "ended_at_ms": view.ended_ms,
        "request_counts": {
            "total": view.total_count,
            "completed": view.done_count,
            "failed": view.failed_count,
            "running": view.running_count,
        },
    })
}

async fn try_submit(
    app: &AppState,
    http: &HttpRequest,
    query: &SubmitQuery,
    body: web::Payload,
) -> Result<JobView, ApiError> {
    let caller = auth::authenticate(&app.shared.config.load(), http)?;
    let now_ms = millis(app.shared.clock.now());
    let deadline_ms = deadline_ms(query, now_ms)?;
    let result_lifetime_ms = match &query.result_lifetime {
        Some(text) => millis(parse_duration("result_lifetime", text)?),
        None => millis(DEFAULT_RESULT_LIFETIME),
    };
    let key = idempotency_key(http)?;
    let job = job_id(&caller.workspace, &key);
    let mut upload = Upload::new(app, job);
    let mut lines = LineReader::new();
    upload.append_body(&mut lines, body).await?;
    let spec = JobSpec {
        job,
        workspace: caller.workspace.clone(),
        caller: caller.name.clone(),
        key,
        digest: lines.digest(),
        serving: admitted_serving(app, &caller, &lines)?,
        model: lines.model().unwrap_or_default().to_owned(),
        upload: upload.id,
        chunk_count: upload.chunk_count,
        item_count: lines.item_count(),
        created_ms: now_ms,
        deadline_ms,
        result_lifetime_ms,
    };
    let request = new_request_id();
    job_from_answer(
        app.control
            .ask(request, Input::Submit { request, spec })
            .await,
    )
}

fn admitted_serving(
    app: &AppState,
    caller: &Caller,
    lines: &LineReader,
) -> Result<String, ApiError> {
    let model = lines.model().unwrap_or_default();
    Ok(app
        .shared
        .config
        .load()
        .admit(&caller.name, model)?
        .serving
        .clone())
}

/// An upload that appends a job's items to the log of its shard.
struct Upload<'app> {
    app: &'app AppState,
    id: UploadId,
    shard: ShardId,
    chunk_count: u32,
    next_item: u32,
}

impl<'app> Upload<'app> {
    fn new(app: &'app AppState, job: JobId) -> Self {
        let number = NEXT_UPLOAD.fetch_add(1, Ordering::Relaxed);
        let id = UploadId {
            incarnation: app.shared.incarnation,
            number,
        };
        let shard = shard_of_job(job, app.shared.settings.shard_count);
        Upload {
            app,
            id,
            shard,
            chunk_count: 0,
            next_item: 0,
        }
    }

    async fn append_body(
        &mut self,
        lines: &mut LineReader,
        mut body: web::Payload,
    ) -> Result<(), ApiError> {
        let max_bytes = self.app.shared.settings.job_max_bytes;
        let mut read_bytes = 0;
        while let Some(body_chunk) = body.next().await {
            let body_chunk = body_chunk.map_err(|error| {
                ApiError::new(Code::BadRequest, format!("the body broke off: {error}"))
            })?;
            read_bytes += body_chunk.len() as u64;
            if read_bytes > max_bytes {
                return Err(ApiError::new(
                    Code::TooLarge,
                    format!("the job is larger than {max_bytes} bytes"),
                ));
            }
            for chunk in lines.push(&body_chunk)? {
                self.append_chunk(chunk).await?;
            }
        }
        for chunk in lines.finish()? {
            self.append_chunk(chunk).await?;
        }
        Ok(())
    }

    /// Appends a chunk and waits until it is stored. The body is not read any further until then, which bounds memory use.
    async fn append_chunk(&mut self, items: Vec<ItemBody>) -> Result<(), ApiError> {
        let first_item = self.next_item;
        self.next_item += items.len() as u32;
        self.chunk_count += 1;
        let mut failed_attempts = 0;
        loop {
            let request = new_request_id();
            let (shard, upload) = (self.shard, self.id);
            let input = Input::Upload {
                request,
                shard,
                upload,
                first_item,
                items: items.clone(),
            };
            match self.app.control.ask(request, input).await {
                Answer::Stored => return Ok(()),
                // A full queue drains quickly, so the append is retried. Other errors, such as an outage of the
                // log, are returned at once.
                Answer::Refused(error)
                    if failed_attempts + 1 < CHUNK_ATTEMPTS_MAX && is_transient(&error) =>
                {
                    failed_attempts += 1
                }
                Answer::Refused(error) => return Err(error),
                _ => {
                    return Err(ApiError::new(
                        Code::OutcomeUnknown,
                        "an upload gave no answer",
                    ));
                }
            }
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

fn is_transient(error: &ApiError) -> bool {
    error.code == Code::LimitReached
}

async fn job_in_workspace(
    app: &AppState,
    http: &HttpRequest,
    job_id: &str,
) -> Result<JobView, ApiError> {
    let caller = auth::authenticate(&app.shared.config.load(), http)?;
    let view = get_job(app, job_id).await?;
    // A job of another workspace gets the same error as one that does not exist.
    if view.workspace == caller.workspace {
        Ok(view)
    } else {
        Err(job_not_found(job_id))
    }
}

fn job_from_answer(answer: Answer) -> Result<JobView, ApiError> {
    match answer {
        Answer::Job(view) => Ok(view),
        Answer::Refused(error) => Err(error),
        _ => Err(ApiError::new(
            Code::OutcomeUnknown,
            "the request ended without an answer",
        )),
    }
}

fn job_not_found(job_id: &str) -> ApiError {
    ApiError::new(Code::NotFound, format!("no job '{job_id}'"))
}

fn idempotency_key(http: &HttpRequest) -> Result<String, ApiError> {
    match http.headers().get(IDEMPOTENCY_KEY_HEADER) {
        None => Ok(format!("{:032x}", new_request_id())),
        Some(value) => {
            let key = value
                .to_str()
                .ok()
                .filter(|key| !key.is_empty() && key.len() <= 256);
            let message = format!(
                "the header '{IDEMPOTENCY_KEY_HEADER}' must be 1 to 256 visible characters"
            );
            Ok(key
                .ok_or_else(|| ApiError::new(Code::BadRequest, message))?
                .to_owned())
        }
    }
}

fn deadline_ms(query: &SubmitQuery, now_ms: u64) -> Result<u64, ApiError> {
    let deadline_ms = match (&query.deadline, &query.completion_window) {
        (Some(_), Some(_)) => {
            return Err(ApiError::new(
                Code::BadDeadline,
                "give either 'deadline' or 'completion_window'",
            ));
        }
        (Some(text), None) => {
            let time = humantime::parse_rfc3339(text).map_err(|error| {
                ApiError::new(Code::BadDeadline, format!("deadline '{text}': {error}"))
            })?;
            millis(
                time.duration_since(std::time::SystemTime::UNIX_EPOCH)
                    .unwrap_or_default(),
            )
        }
        (None, Some(text)) => now_ms + millis(parse_duration("completion_window", text)?),
        (None, None) => now_ms + millis(DEFAULT_COMPLETION_WINDOW),
    };
    if deadline_ms <= now_ms {
        return Err(ApiError::new(
            Code::BadDeadline,
            "the deadline lies in the past",
        ));
    }
    Ok(deadline_ms)
}

fn parse_duration(field: &str, text: &str) -> Result<Duration, ApiError> {
    humantime::parse_duration(text)
        .map_err(|error| ApiError::new(Code::BadDeadline, format!("{field} '{text}': {error}")))
}

fn result_lines(
    platform: PlatformClient,
    shard: ShardId,
    view: JobView,
    positions: Vec<Position>,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    let state = ResultReader {
        platform,
        stream: StreamId::Shard(shard),
        collector: FinalOutcomeCollector::new(view.job, view.total_count),
        positions: positions.into_iter(),
        cached_entry: None,
    };
    futures_util::stream::unfold(state, |mut state| async {
        let position = state.positions.next()?;
        Some((state.read_outcomes(position).await, state))
    })
}

/// Reads a job's results from the log, record by record. Caches the last entry read, since it may hold several records.
struct ResultReader {
    platform: PlatformClient,
    stream: StreamId,
    collector: FinalOutcomeCollector,
    positions: std::vec::IntoIter<Position>,
    cached_entry: Option<(Offset, Entry)>,
}

impl ResultReader {
    async fn read_outcomes(&mut self, position: Position) -> Result<Bytes, actix_web::Error> {
        let cached = self
            .cached_entry
            .take()
            .filter(|(offset, _)| *offset == position.offset);
        let entry = match cached {
            Some((_, entry)) => entry,
            None => match self.platform.read_entry(self.stream, position.offset).await {
                Ok(Some(entry)) => entry,
                // Fail the response: ending it here would make truncated results look complete.
                Ok(None) => {
                    return Err(actix_web::error::ErrorBadGateway(
                        "results are no longer kept",
                    ));
                }
                Err(error) => return Err(actix_web::error::ErrorBadGateway(error.to_string())),
            },
        };
        let outcomes = self.collector.collect(&entry, position.index);
        self.cached_entry = Some((position.offset, entry));
        Ok(outcomes.iter().map(result_line).collect::<String>().into())
    }
}

fn result_line(outcome: &ItemOutcome) -> String {
    let error = |code: Code, reason: &str| json!({ "code": code.number(), "name": code.name(), "message": reason });
    let (response, error) = match &outcome.run_result {
        ItemRunResult::Done { answer_json } => (
            serde_json::from_str(answer_json).unwrap_or(Value::Null),
            Value::Null,
        ),
        ItemRunResult::ItemFault { reason } => (Value::Null, error(Code::ItemFailed, reason)),
        ItemRunResult::AttemptsExhausted { reason } | ItemRunResult::ServerFault { reason, .. } => {
            (Value::Null, error(Code::AttemptsUsedUp, reason))
        }
    };
    let line = json!({ "custom_id": outcome.custom_id, "response": response, "error": error });
    format!("{line}\n")
}
