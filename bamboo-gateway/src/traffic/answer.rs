//! Answers that the gateway makes itself.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::body::AnswerBody;

/// An answer without a server's part.
pub(crate) fn own_answer(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

/// Says that the request did not run, and when to come back.
pub(crate) fn not_run(text: &'static str, retry_after: Duration) -> Response<AnswerBody> {
    refused(StatusCode::SERVICE_UNAVAILABLE, text, retry_after)
}

/// A refusal with a time to come back.
pub(crate) fn refused(
    status: StatusCode,
    text: &'static str,
    retry_after: Duration,
) -> Response<AnswerBody> {
    let mut response = own_answer(status, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64().max(0.05));
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
