//! Handlers of resources: read, change with optimistic concurrency control, and watch the history of changes.

use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bamboo_config::ChangeOutcome;
use bamboo_config::ResourceKind;
use bamboo_config::StoredResource;
use bamboo_config::parse_resource;
use bamboo_host::Answer;
use bamboo_host::Input;
use bamboo_log::ConfigChange;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::authenticate_operator;
use crate::callers::AppState;
use crate::callers::new_request_id;
use crate::reply::error_json;
use crate::reply::error_response;
use crate::reply::unexpected_answer_response;

/// Maximum time that a watch request is held open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Interval at which a watch request checks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
pub(super) struct ChangeQuery {
    #[serde(default)]
    based_on: u64,
}

#[derive(Deserialize)]
pub(super) struct WatchQuery {
    #[serde(default)]
    from: u64,
}

/// `GET /api/v1/resources/{kind}`.
pub(super) async fn list(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let Some(kind) = ResourceKind::parse(&path) else {
        return error_response(&app.shared, &unknown_kind(&path));
    };
    let table = app.shared.config.load();
    let items: Vec<Value> = table.state.list(kind).map(stored_json).collect();
    HttpResponse::Ok().json(json!({ "items": items, "offset": table.state.next_offset() }))
}

/// `GET /api/v1/resources/{kind}/{name}`.
pub(super) async fn get(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let (kind, name) = path.into_inner();
    let Some(kind) = ResourceKind::parse(&kind) else {
        return error_response(&app.shared, &unknown_kind(&kind));
    };
    match app.shared.config.load().state.get(kind, &name) {
        Some(stored) => HttpResponse::Ok().json(stored_json(stored)),
        None => error_response(
            &app.shared,
            &ApiError::new(Code::NotFound, format!("no {kind} '{name}'")),
        ),
    }
}

/// `PUT /api/v1/resources/{kind}/{name}?based_on=REVISION`.
pub(super) async fn put(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<ChangeQuery>,
    body: Bytes,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    if let Err(faults) = parse_resource(&text) {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let error = ApiError::new(Code::BadResource, lines.join("; "));
        let mut answer = error_json(&error);
        answer["error"]["faults"] = json!(faults);
        return HttpResponse::UnprocessableEntity().json(answer);
    }
    let (kind, name) = path.into_inner();
    propose(
        &app,
        ConfigChange {
            kind,
            name,
            based_on: query.based_on,
            resource_json: Some(text),
        },
    )
    .await
}

/// `DELETE /api/v1/resources/{kind}/{name}?based_on=REVISION`.
pub(super) async fn delete(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<ChangeQuery>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let (kind, name) = path.into_inner();
    propose(
        &app,
        ConfigChange {
            kind,
            name,
            based_on: query.based_on,
            resource_json: None,
        },
    )
    .await
}

/// `GET /api/v1/watch?from=OFFSET`: long poll for changes, applied or not, from an offset on.
pub(super) async fn watch(
    app: web::Data<AppState>,
    http: HttpRequest,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let deadline = Instant::now() + WATCH_WAIT;
    loop {
        let table = app.shared.config.load_full();
        let changes = table.state.history_from(query.from);
        if !changes.is_empty() || Instant::now() >= deadline {
            return HttpResponse::Ok()
                .json(json!({ "changes": changes, "next": table.state.next_offset() }));
        }
        actix_rt::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn propose(app: &AppState, change: ConfigChange) -> HttpResponse {
    if ResourceKind::parse(&change.kind).is_none() {
        return error_response(&app.shared, &unknown_kind(&change.kind));
    }
    let request = new_request_id();
    match app
        .control
        .ask(request, Input::Propose { request, change })
        .await
    {
        Answer::Config(ChangeOutcome::Applied { revision }) => {
            HttpResponse::Ok().json(json!({ "revision": revision }))
        }
        Answer::Config(ChangeOutcome::Conflict {
            current_revision,
            current,
        }) => {
            let message = format!("the resource has revision {current_revision}");
            let mut answer = error_json(&ApiError::new(Code::Conflict, message));
            answer["error"]["current_revision"] = json!(current_revision);
            answer["error"]["current"] = json!(current);
            HttpResponse::Conflict().json(answer)
        }
        Answer::Config(ChangeOutcome::Refused { faults }) => error_response(
            &app.shared,
            &ApiError::new(Code::BadResource, faults.join("; ")),
        ),
        Answer::Refused(error) => error_response(&app.shared, &error),
        _ => unexpected_answer_response(&app.shared),
    }
}

fn stored_json(stored: &StoredResource) -> Value {
    json!({ "revision": stored.revision, "resource": stored.resource })
}

fn unknown_kind(kind: &str) -> ApiError {
    let known: Vec<&str> = ResourceKind::ALL.iter().map(|kind| kind.name()).collect();
    ApiError::new(
        Code::BadRequest,
        format!("kind = {kind}: must be one of {}", known.join(", ")),
    )
}
