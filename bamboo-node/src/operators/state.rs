//! Handlers of runtime state: jobs, host status, events, and graceful shutdown.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bamboo_config::ResourceKind;
use bamboo_host::HostStatus;
use bamboo_host::Input;
use bamboo_result::ApiError;
use bamboo_result::Code;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::authenticate_operator;
use crate::callers::AppState;
use crate::callers::cancel_job;
use crate::callers::get_job;
use crate::callers::job_json;
use crate::callers::list_jobs;
use crate::callers::respond_results;
use crate::control::GetStatus;
use crate::reply::error_response;

#[derive(Deserialize)]
pub(super) struct EventsQuery {
    #[serde(default)]
    about: String,
}

/// `GET /api/v1/jobs`.
pub(super) async fn jobs(app: web::Data<AppState>, http: HttpRequest) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    match list_jobs(&app, None).await {
        Ok(views) => HttpResponse::Ok().json(views.iter().map(job_json).collect::<Vec<Value>>()),
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `GET /api/v1/jobs/{job}`.
pub(super) async fn job(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    match get_job(&app, &path).await {
        Ok(view) => HttpResponse::Ok().json(job_json(&view)),
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `POST /api/v1/jobs/{job}/cancel`.
pub(super) async fn cancel(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let cancelled = match get_job(&app, &path).await {
        Ok(view) => cancel_job(&app, view.job).await,
        Err(error) => Err(error),
    };
    match cancelled {
        Ok(view) => HttpResponse::Ok().json(job_json(&view)),
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `GET /api/v1/jobs/{job}/results`.
pub(super) async fn results(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<String>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    match get_job(&app, &path).await {
        Ok(view) => respond_results(&app, view.job).await,
        Err(error) => error_response(&app.shared, &error),
    }
}

/// `GET /api/v1/resources/{kind}/{name}/status`: a resource with its jobs and its history of changes.
pub(super) async fn describe(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    let (kind, name) = path.into_inner();
    let table = app.shared.config.load_full();
    let Some(stored) = ResourceKind::parse(&kind).and_then(|kind| table.state.get(kind, &name))
    else {
        return error_response(
            &app.shared,
            &ApiError::new(Code::NotFound, format!("no {kind} '{name}'")),
        );
    };
    let jobs = match list_jobs(&app, None).await {
        Ok(views) => views,
        Err(error) => return error_response(&app.shared, &error),
    };
    let belongs_to_resource =
        |serving: &str| kind == ResourceKind::Serving.name() && serving == name;
    let jobs: Vec<Value> = jobs
        .iter()
        .filter(|view| belongs_to_resource(&view.serving))
        .map(job_json)
        .collect();
    let changes = table
        .state
        .history_from(0)
        .into_iter()
        .filter(|change| change.kind == kind && change.name == name);
    HttpResponse::Ok().json(json!({
        "revision": stored.revision,
        "resource": stored.resource,
        "jobs": jobs,
        "changes": changes.collect::<Vec<_>>(),
    }))
}

/// `GET /api/v1/status`.
pub(super) async fn status(app: web::Data<AppState>, http: HttpRequest) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    match app.control.address.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status_json(&status)),
        Err(_) => error_response(
            &app.shared,
            &ApiError::new(Code::NotReady, "the daemon is stopping"),
        ),
    }
}

/// `GET /api/v1/events?about=SUBJECT`.
pub(super) async fn events(
    app: web::Data<AppState>,
    http: HttpRequest,
    query: web::Query<EventsQuery>,
) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    HttpResponse::Ok().json(app.shared.events_about(&query.about))
}

/// `POST /api/v1/drain`: starts a graceful shutdown.
pub(super) async fn drain(app: web::Data<AppState>, http: HttpRequest) -> HttpResponse {
    if let Err(error) = authenticate_operator(&app, &http) {
        return error_response(&app.shared, &error);
    }
    app.control.tell(Input::Drain);
    HttpResponse::Accepted().finish()
}

fn status_json(status: &HostStatus) -> Value {
    let shards = status.shards.iter().map(|shard| {
        json!({
            "shard": shard.shard,
            "epoch": shard.epoch,
            "next_offset": shard.next_offset,
            "jobs": shard.job_count,
            "held_items": shard.held_count,
        })
    });
    let servers = status.servers.iter().map(
        |(server, online, batch)| json!({ "server": server, "online": online, "batch": batch }),
    );
    json!({
        "host": status.host,
        "is_ready": status.is_ready,
        "is_draining": status.is_draining,
        "config_offset": status.config_offset,
        "live_hosts": status.live_hosts,
        "shards": shards.collect::<Vec<Value>>(),
        "servers": servers.collect::<Vec<Value>>(),
        "online_requests": status.online_count,
        "unconfirmed_records": status.unconfirmed_count,
        "unsettled_outcomes": status.unacknowledged_count,
    })
}
