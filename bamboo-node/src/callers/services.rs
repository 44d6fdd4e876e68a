//! Proxy for plain services: forwards method, path, query and body, and returns status and body.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use awc::http::Method;
use awc::http::header::HeaderMap;
use awc::http::header::HeaderName;
use awc::http::header::HeaderValue;
use bamboo_config::PlainService;
use bamboo_host::Answer;
use bamboo_host::Input;
use bamboo_host::KeyedRequest;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_route::Target;
use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

use super::AppState;
use super::auth;
use super::new_request_id;
use super::online::OnlineGuard;
use super::online::online_end;
use super::online::request_timeout;
use crate::engine_client::Call;
use crate::engine_client::CallFailure;
use crate::engine_client::read_body;
use crate::engine_client::send;
use crate::reply::checked_body;
use crate::reply::error_response;
use crate::reply::unexpected_answer_response;
use crate::shared::OpenRequestGuard;

/// Header with the idempotency key of a call that must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;
/// Maximum size of a response, bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;
/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    "accept",
    "accept-language",
    IDEMPOTENCY_KEY_HEADER,
];

/// The complete response of a service.
struct ServiceResponse {
    status: u16,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

/// A call with everything needed to send it, also for a second attempt.
struct ServiceCall {
    online: OnlineRequest,
    method: Method,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Any method on `/services/{name}/{path}`.
pub(crate) async fn call(
    app: web::Data<AppState>,
    http: HttpRequest,
    path: web::Path<(String, String)>,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let _open_request_guard = OpenRequestGuard::new(&app.shared);
    let (name, path) = path.into_inner();
    let body = match checked_body(&app.shared, body) {
        Ok(body) => body,
        Err(error) => return error_response(&app.shared, &error),
    };
    let (call, keyed) = match prepare(&app, &http, &name, &path, body) {
        Ok(prepared) => prepared,
        Err(error) => return error_response(&app.shared, &error),
    };
    let request = call.online.id;
    let mut guard = OnlineGuard::new(request, &app.control);
    let input = match keyed {
        Some(keyed) => Input::Keyed(keyed),
        None => Input::Online(call.online.clone()),
    };
    let mut answer = app.control.ask(request, input).await;
    loop {
        let attempt = match answer {
            Answer::Dispatch(attempt) => attempt,
            Answer::Replay { status, body } => {
                guard.disarm();
                app.shared.metrics.record_response(Code::Ok.name());
                return respond(
                    ServiceResponse {
                        status,
                        content_type: None,
                        body: body.into(),
                    },
                    true,
                );
            }
            Answer::Refused(error) => {
                guard.disarm();
                return error_response(&app.shared, &error);
            }
            _ => {
                guard.disarm();
                return unexpected_answer_response(&app.shared);
            }
        };
        answer = match send_call(&app, &call, &attempt.address).await {
            Ok(response) => {
                let (status, body) = (response.status, response.body.to_vec());
                app.control.tell(Input::KeyedAnswer {
                    request,
                    status,
                    body,
                });
                guard.end(OnlineEnd::Whole);
                app.shared.metrics.record_response(Code::Ok.name());
                return respond(response, false);
            }
            Err(failure) => guard.attempt_ended(online_end(failure)).await,
        };
    }
}

async fn send_call(
    app: &AppState,
    call: &ServiceCall,
    address: &str,
) -> Result<ServiceResponse, CallFailure> {
    let deadline = app.shared.clock.instant_at(call.online.deadline);
    let client = if call.online.is_idempotent {
        &app.client
    } else {
        &app.single_use_client
    };
    let backend_call = Call {
        method: call.method.clone(),
        url: format!("http://{address}/{}", call.path_and_query),
        headers: &call.headers,
        body: call.body.clone(),
        request_id: &format!("{:032x}", call.online.id),
        deadline,
    };
    let mut response = send(client, backend_call).await?;
    let status = response.status().as_u16();
    // A service may return 503 after it has done work, so only an idempotent call is retried on another server.
    if status == 503 && call.online.is_idempotent {
        return Err(CallFailure::NotRun {
            reason: "server answered 503".to_owned(),
        });
    }
    let content_type = response.headers().get("content-type").cloned();
    let body = read_body(&mut response, deadline, RESPONSE_MAX_BYTES).await?;
    Ok(ServiceResponse {
        status,
        content_type,
        body,
    })
}

fn prepare(
    app: &AppState,
    http: &HttpRequest,
    name: &str,
    path: &str,
    body: Bytes,
) -> Result<(ServiceCall, Option<KeyedRequest>), ApiError> {
    let table = app.shared.config.load();
    let caller = auth::authenticate(&table, http)?;
    let service = table.service(&caller.name, name)?;
    let timeout =
        request_timeout(&app.shared, http)?.min(Duration::from_millis(service.timeout_ms));
    let method = Method::from_bytes(http.method().as_str().as_bytes())
        .map_err(|_| ApiError::new(Code::BadRequest, "the method is not known"))?;
    let is_idempotent = is_idempotent(service, &method, path);
    let online = OnlineRequest {
        id: new_request_id(),
        caller: caller.name.clone(),
        resource: format!("service {name}"),
        limits: None,
        target: Target::Service(name.to_owned()),
        prefix: None,
        token_count: 0.0,
        deadline: app.shared.clock.now() + timeout,
        is_idempotent,
    };
    let query = http.query_string();
    let path_and_query = if query.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{query}")
    };
    let keyed = match idempotency_key(http)? {
        Some(key) if !is_idempotent => Some(KeyedRequest {
            online: online.clone(),
            workspace: caller.workspace,
            key: format!("{name}/{key}"),
            digest: request_digest(&method, &path_and_query, &body),
        }),
        _ => None,
    };
    let call = ServiceCall {
        online,
        method,
        path_and_query,
        headers: forwarded_headers(http),
        body,
    };
    Ok((call, keyed))
}

fn is_idempotent(service: &PlainService, method: &Method, path: &str) -> bool {
    let path = format!("/{path}");
    let matches = |prefixes: &[String]| {
        prefixes
            .iter()
            .any(|prefix| path.starts_with(prefix.as_str()))
    };
    if matches(&service.non_idempotent_paths) {
        return false;
    }
    matches(&service.idempotent_paths) || method.is_idempotent()
}

fn idempotency_key(http: &HttpRequest) -> Result<Option<String>, ApiError> {
    let Some(value) = http.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .filter(|key| !key.is_empty() && key.len() <= IDEMPOTENCY_KEY_MAX_BYTES);
    let message = format!(
        "the header '{IDEMPOTENCY_KEY_HEADER}' must be 1 to {IDEMPOTENCY_KEY_MAX_BYTES} visible characters"
    );
    Ok(Some(
        key.ok_or_else(|| ApiError::new(Code::BadRequest, message))?
            .to_owned(),
    ))
}

fn request_digest(method: &Method, path_and_query: &str, body: &[u8]) -> u128 {
    let mut bytes = format!("{method} {path_and_query}\n").into_bytes();
    bytes.extend_from_slice(body);
    xxh3_128(&bytes)
}

fn forwarded_headers(http: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        let value = http
            .headers()
            .get(name)
            .and_then(|value| HeaderValue::from_bytes(value.as_bytes()).ok());
        if let Some(value) = value {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    headers
}

fn respond(service_response: ServiceResponse, is_replay: bool) -> HttpResponse {
    let status = StatusCode::from_u16(service_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if let Some(content_type) = service_response
        .content_type
        .as_ref()
        .and_then(|value| value.to_str().ok())
    {
        response.content_type(content_type);
    }
    if is_replay {
        response.insert_header(("idempotent-replay", "true"));
    }
    response.body(service_response.body)
}
