//! Error responses of both HTTP APIs.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

use crate::callers::AppState;
use crate::shared::Shared;

/// The JSON representation of an error.
pub(crate) fn error_json(error: &ApiError) -> Value {
    json!({ "error": {
        "code": error.code.number(),
        "name": error.code.name(),
        "message": error.message,
        "ran": error.code.execution_status(),
        "retry_after_s": error.retry_after_s(),
    }})
}

/// Builds the response for an error and counts it.
pub(crate) fn error_response(shared: &Shared, error: &ApiError) -> HttpResponse {
    shared.metrics.record_response(error.code.name());
    let status =
        StatusCode::from_u16(error.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(seconds) = error.retry_after_s() {
        response.insert_header(("retry-after", seconds.to_string()));
    }
    response.json(error_json(error))
}

/// Returns the body of a request.
///
/// # Errors
/// Fails if the body is too large or could not be read.
pub(crate) fn checked_body(
    shared: &Shared,
    body: Result<Bytes, actix_web::Error>,
) -> Result<Bytes, ApiError> {
    body.map_err(|error| {
        let is_too_large = error.as_response_error().status_code() == StatusCode::PAYLOAD_TOO_LARGE;
        if is_too_large {
            let max_bytes = shared.settings.body_max_bytes;
            ApiError::new(
                Code::TooLarge,
                format!("the body is larger than {max_bytes} bytes"),
            )
        } else {
            ApiError::new(
                Code::BadRequest,
                format!("the body cannot be read: {error}"),
            )
        }
    })
}

/// Handles requests for unknown paths.
pub(crate) async fn no_such_path(app: web::Data<AppState>, http: HttpRequest) -> HttpResponse {
    let message = format!("no path {} {}", http.method(), http.path());
    error_response(&app.shared, &ApiError::new(Code::NotFound, message))
}

/// Builds the response for a request to which the control thread returned an answer of the wrong kind.
pub(crate) fn unexpected_answer_response(shared: &Shared) -> HttpResponse {
    error_response(
        shared,
        &ApiError::new(Code::OutcomeUnknown, "the request ended without an answer"),
    )
}
