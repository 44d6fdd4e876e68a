//! Authenticates callers' requests by the keys of the workspaces, and answers those that are refused.

use std::net::IpAddr;

use bamboo_fleet::Authentication;
use bamboo_fleet::AuthenticationFailure;
use bamboo_fleet::FleetConfig;
use bamboo_fleet::authenticate;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::gateway::Gateway;
use crate::request_log::LineClass;
use crate::response_body::ResponseBody;
use crate::traffic::response::text_response;

/// What a request asks for, as far as authentication is concerned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Access<'a> {
    /// Address of the caller.
    pub(crate) caller_address: IpAddr,
    /// Name of the route; empty for a request without one, such as a call about a job.
    pub(crate) route: &'a str,
    /// Whether it needs no key.
    pub(crate) is_public: bool,
}

/// Authenticates a request by its headers. A request that is refused is counted and logged.
///
/// # Errors
/// Fails if the request is refused; the response is [`unauthorized`].
pub(crate) fn authenticate_request(
    gateway: &Gateway,
    config: &FleetConfig,
    headers: &HeaderMap,
    access: Access<'_>,
) -> Result<Authentication, AuthenticationFailure> {
    authenticate(config.workspaces.as_ref(), headers, access.is_public)
        .inspect_err(|failure| record_refusal(gateway, config, headers, access, *failure))
}

fn record_refusal(
    gateway: &Gateway,
    config: &FleetConfig,
    headers: &HeaderMap,
    access: Access<'_>,
    failure: AuthenticationFailure,
) {
    let reason = failure.name();
    gateway.metrics.count_authentication_refusal(reason);
    if !gateway.may_log(LineClass::Unauthenticated) {
        return;
    }
    let id = headers.get(&gateway.dialect.headers.request_id);
    log::info!(
        event = "unauthenticated", request = id.and_then(|id| id.to_str().ok()), route = access.route,
        caller = access.caller_address.to_string().as_str(), reason, config_version = config.version;
        "refused a request without the key of a workspace"
    );
}

/// Response 401. It does not tell why, so that a caller learns nothing about keys.
pub(crate) fn unauthorized() -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::UNAUTHORIZED, "no valid key\n");
    let scheme = HeaderValue::from_static("Bearer");
    let headers = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, scheme);
    response
}
