//! Health, readiness and metrics.

use std::sync::atomic::Ordering;

use actix_web::HttpResponse;
use actix_web::web;

use super::AppState;

/// The process lives.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// The host takes requests.
pub(crate) async fn readyz(app: web::Data<AppState>) -> HttpResponse {
    if app.shared.is_ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Metrics in Prometheus' text form.
pub(crate) async fn metrics(app: web::Data<AppState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(app.shared.metrics.to_text())
}
