//! HTTP API for operators: resources, jobs, status, events, graceful shutdown.

mod resources;
mod state;

use actix_web::HttpRequest;
use actix_web::web;
use bamboo_result::ApiError;
use bamboo_result::Code;

use crate::callers::AppState;
use crate::callers::metrics;
use crate::callers::readyz;
use crate::reply::no_such_path;

/// Registers the routes.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/api/v1/resources/{kind}", web::get().to(resources::list))
        .route(
            "/api/v1/resources/{kind}/{name}",
            web::get().to(resources::get),
        )
        .route(
            "/api/v1/resources/{kind}/{name}",
            web::put().to(resources::put),
        )
        .route(
            "/api/v1/resources/{kind}/{name}",
            web::delete().to(resources::delete),
        )
        .route(
            "/api/v1/resources/{kind}/{name}/status",
            web::get().to(state::describe),
        )
        .route("/api/v1/watch", web::get().to(resources::watch))
        .route("/api/v1/jobs", web::get().to(state::jobs))
        .route("/api/v1/jobs/{job}", web::get().to(state::job))
        .route("/api/v1/jobs/{job}/cancel", web::post().to(state::cancel))
        .route("/api/v1/jobs/{job}/results", web::get().to(state::results))
        .route("/api/v1/status", web::get().to(state::status))
        .route("/api/v1/events", web::get().to(state::events))
        .route("/api/v1/drain", web::post().to(state::drain))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .default_service(web::to(no_such_path));
}

/// Checks the bearer key of an operator's request.
///
/// # Errors
/// Fails if the key is missing or wrong.
fn authenticate_operator(app: &AppState, http: &HttpRequest) -> Result<(), ApiError> {
    let header = http
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = header.and_then(|text| text.strip_prefix("Bearer "));
    match key {
        Some(key) if app.shared.settings.operator_key_sha256.matches(key) => Ok(()),
        _ => Err(ApiError::new(
            Code::Unauthenticated,
            "the operators' bearer key is missing or wrong",
        )),
    }
}
