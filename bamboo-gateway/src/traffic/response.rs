//! Answers that the gateway makes itself.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response;

use crate::gateway::Gateway;
use crate::response_body::ResponseBody;

/// An answer without a server's part.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

/// Says that the request did not run, and when to come back.
pub(crate) fn not_run(text: &'static str, retry_after: Duration) -> Response<ResponseBody> {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, text, retry_after)
}

/// A refusal with a time to come back.
pub(crate) fn retry_later(
    status: StatusCode,
    text: &'static str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    let mut response = text_response(status, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64().max(0.05));
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Whether an answer is the server's own answer to this request: it names no other request, is not encoded, and bears
/// the server's stamp if it is a success.
pub(crate) fn belongs_to_request(gateway: &Gateway, id: &str, head: &response::Parts) -> bool {
    let names = &gateway.dialect.headers;
    let echoed = head.headers.get(&names.request_id);
    let is_other = echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes());
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    let is_unstamped = head.status.is_success() && !head.headers.contains_key(&names.server_stamp);
    let is_foreign = is_other || is_encoded || is_unstamped;
    if is_foreign {
        log::info!(
            event = "foreign_answer", request = id, status = head.status.as_u16(), is_other, is_encoded, is_unstamped;
            "an answer is not this request's and is thrown away"
        );
    }
    !is_foreign
}
