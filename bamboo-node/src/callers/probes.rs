//! Handlers for liveness, readiness and metrics.

use std::sync::atomic::Ordering;

use actix_web::HttpResponse;
use actix_web::web;

use super::AppState;

/// Liveness probe: succeeds while the process runs.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Readiness probe: succeeds while the host accepts requests.
pub(crate) async fn readyz(app: web::Data<AppState>) -> HttpResponse {
    if app.shared.is_ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Metrics in the OpenMetrics text format.
pub(crate) async fn metrics(app: web::Data<AppState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(app.shared.metrics.to_text())
}
