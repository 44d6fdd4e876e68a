//! Refusals as HTTP answers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bamboo_result::Code;
use bamboo_result::Refusal;
use serde_json::Value;
use serde_json::json;

use crate::shared::Shared;

/// The JSON form of a refusal.
pub(crate) fn error_json(refusal: &Refusal) -> Value {
    json!({ "error": {
        "code": refusal.code.number(),
        "name": refusal.code.name(),
        "message": refusal.message,
        "ran": refusal.code.ran(),
        "retry_after_s": refusal.retry_after_s(),
    }})
}

/// Answers with a refusal.
pub(crate) fn refuse(shared: &Shared, refusal: &Refusal) -> HttpResponse {
    shared.metrics.answered(refusal.code.name());
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(seconds) = refusal.retry_after_s() {
        response.insert_header(("retry-after", seconds.to_string()));
    }
    response.json(error_json(refusal))
}

/// Answers a request that the control thread answered in a form that does not fit.
pub(crate) fn refuse_unexpected(shared: &Shared) -> HttpResponse {
    refuse(
        shared,
        &Refusal::new(Code::OutcomeUnknown, "the request ended without an answer"),
    )
}
