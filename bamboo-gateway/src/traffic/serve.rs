//! Reads a caller's request, matches its route and dispatches it.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::FleetConfig;
use bamboo_fleet::Route;
use bamboo_fleet::RouteKind;
use bamboo_fleet::Workspace;
use bamboo_fleet::authenticate;
use bamboo_quarantine::RequestContent;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use rand::RngExt;

use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::jobs::JobSubmission;
use crate::jobs::reserve_submission;
use crate::metrics::RequestLabels;
use crate::request_log::LineClass;
use crate::response_body::ResponseBody;
use crate::traffic::authentication::Access;
use crate::traffic::authentication::authenticate_request;
use crate::traffic::authentication::unauthorized;
use crate::traffic::buffered_body::BodyError;
use crate::traffic::plain::serve_plain;
use crate::traffic::request::CallerRequest;
use crate::traffic::request::RequestProgress;
use crate::traffic::request::caller_key;
use crate::traffic::request::forwarded_headers;
use crate::traffic::request::request_suspects;
use crate::traffic::response::ended_by_stop;
use crate::traffic::response::not_run;
use crate::traffic::response::text_response;
use crate::traffic::stream::serve_stream;

/// `Retry-After` of a response while the host has no configuration, or the route no service.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a response if the bodies of other requests use up their memory.
const BUFFERS_FULL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout of a request if neither its route nor its headers set one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for reading the body, counted from the headers.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason in the log of a request that is rejected because this host stops.
pub(crate) const STOPPING: &str = "stopping";
/// Outcome in the log of a request that is ended because this host exits.
pub(crate) const STOPPED: &str = "stopped";
/// Outcome in the log of a request whose response is complete.
pub(crate) const COMPLETE: &str = "complete";
/// Outcome in the log of a request that ends with a server's own status, which is no success.
pub(crate) const SERVER_FAILURE: &str = "server_failure";
/// Outcome in the log of a request whose caller has disconnected.
pub(crate) const CALLER_LEFT: &str = "caller_left";

/// Serves one request of a caller. A host that stops ends the connection with the response, so that its caller goes to
/// another host.
pub(crate) async fn serve_request(
    gateway: Rc<Gateway>,
    caller_address: IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let progress = Rc::new(RequestProgress::default());
    let dispatched = dispatch_request(&gateway, caller_address, request, &progress);
    let mut response = tokio::select! {
        biased;
        response = dispatched => response,
        () = gateway.wait_for_phase(Phase::Ending) => ended_by_stop(progress.may_have_run()),
    };
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Matches the route of a request, and serves it by the kind of the route.
async fn dispatch_request(
    gateway: &Rc<Gateway>,
    caller_address: IpAddr,
    request: Request<Incoming>,
    progress: &Rc<RequestProgress>,
) -> Response<ResponseBody> {
    let arrived_at = gateway.clock.now();
    gateway.wait_for_first_reads().await;
    let Some(config) = gateway.config() else {
        return not_run("no configuration yet\n", NO_CONFIG_RETRY_AFTER);
    };
    if header_bytes(&request) > config.limits.header_max_bytes {
        return text_response(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the headers are too large\n",
        );
    }
    let host = host_header(&request);
    let path = request.uri().path();
    // Jobs outlive their routes, so that only their shards know which ones there are.
    let job_call = answer_job_call(gateway, &config, caller_address, &host, &request, progress);
    if let Some(response) = job_call.await {
        return response;
    }
    let Some(route) = config.find_route(&host, path).cloned() else {
        if request.method() == Method::POST {
            return serve_without_route(gateway, &config, caller_address, &host, request).await;
        }
        return no_route(&config, &host, path);
    };
    let access = Access {
        caller_address,
        route: &route.name,
        is_public: route.is_public,
    };
    let authentication = match authenticate_request(gateway, &config, request.headers(), access) {
        Ok(authentication) => authentication,
        Err(_) => return unauthorized(),
    };
    let workspace: Option<Rc<Workspace>> = authentication.workspace().cloned();
    let id =
        header_text(request.headers(), &gateway.dialect.headers.request_id).unwrap_or_default();
    let (head, body) = request.into_parts();
    let body = match read_body(gateway, body, config.limits.body_max_bytes).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if route.is_batch() {
        let copies = reserve_submission(gateway, &body);
        if copies.is_none() && !gateway.jobs.has_accepted(gateway, &id) {
            gateway.turn_away("job_buffers_full");
            return not_run("no memory for the job\n", BUFFERS_FULL_RETRY_AFTER);
        }
        if head.method != Method::POST {
            return text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "jobs are submitted by POST\n",
            );
        }
        let submission = JobSubmission {
            job: id,
            path: head.uri.path().to_owned(),
            workspace: authentication.workspace_name(),
            host,
            body,
        };
        progress.begin_attempt();
        return gateway.jobs.submit(gateway, submission, copies).await;
    }
    let deadline = deadline_header(gateway, &head.headers);
    let timeout = request_timeout(deadline, &route);
    let waited = deadline.map_or(Duration::ZERO, |deadline| {
        gateway.record_deadline(&route.name, deadline)
    });
    let Some(service) = route.pick_service(rand::rng().random()) else {
        return not_run("the route has no service\n", NO_CONFIG_RETRY_AFTER);
    };
    let suspects = request_suspects(&RequestContent {
        method: head.method.as_str(),
        host: &host,
        path: head.uri.path(),
        query: head.uri.query().unwrap_or_default(),
        caller: &caller_key(&authentication, &head.headers, caller_address),
        prompt: &(gateway.dialect.decode_prompt_parts)(&head.headers),
        body: &body,
    });
    let request = CallerRequest {
        id,
        suspects,
        service: service.clone(),
        workspace,
        method: head.method,
        target: head
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned()),
        headers: forwarded_headers(&head.headers, &gateway.dialect.headers, &authentication),
        body,
        arrived_at,
        waited,
        deadline: arrived_at + timeout,
        route: Rc::clone(&route),
        progress: Rc::clone(progress),
    };
    if !gateway.admits(&route.name, request.deadline) {
        let mut recorder = RequestRecorder::begin(gateway, &request);
        recorder.reason = STOPPING;
        return recorder.finish(ended_by_stop(false), "refused");
    }
    match route.kind {
        RouteKind::Streaming { .. } => serve_stream(Rc::clone(gateway), request).await,
        _ => serve_plain(Rc::clone(gateway), request).await,
    }
}

/// Answers a call about a job. Returns `None` if the request is none, or if its route is to serve it.
async fn answer_job_call(
    gateway: &Rc<Gateway>,
    config: &FleetConfig,
    caller_address: IpAddr,
    host: &str,
    request: &Request<Incoming>,
    progress: &RequestProgress,
) -> Option<Response<ResponseBody>> {
    let (method, target) = (request.method(), request.uri());
    let call = (gateway.dialect.parse_job_call)(method, target, request.headers())?;
    let handler = job_call_handler(gateway, config, host, target.path());
    if handler == JobCallHandler::Route {
        return None;
    }
    let access = Access {
        caller_address,
        route: "",
        is_public: gateway
            .former_routes
            .borrow()
            .job_calls_are_public(config, host),
    };
    let workspace = match handler {
        // The route may be public although calls about jobs are not.
        JobCallHandler::ShardsFirst => {
            let workspaces = config.workspaces.as_ref();
            let authentication = authenticate(workspaces, request.headers(), access.is_public);
            authentication.ok()?.workspace_name()
        }
        _ => match authenticate_request(gateway, config, request.headers(), access) {
            Ok(authentication) => authentication.workspace_name(),
            Err(_) => return Some(unauthorized()),
        },
    };
    if method != Method::GET {
        progress.begin_attempt();
    }
    let response = gateway.jobs.call(gateway, call, workspace).await;
    let is_unknown = response.status() == StatusCode::NOT_FOUND;
    (handler == JobCallHandler::Shards || !is_unknown).then_some(response)
}

/// Answers a POST request without a route. It may submit a job again that was accepted on a batch route which the configuration does
/// not have any more: such a job is still accepted. This host may have started after the route was removed, so that the request is
/// known by its body.
async fn serve_without_route(
    gateway: &Rc<Gateway>,
    config: &FleetConfig,
    caller_address: IpAddr,
    host: &str,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let is_former_route = gateway.former_routes.borrow().matches(host, path);
    let Some(id) = header_text(&head.headers, &gateway.dialect.headers.request_id) else {
        return no_route(config, host, path);
    };
    // The caller sends the whole body before it reads the response.
    let body = match read_body(gateway, body, config.limits.body_max_bytes).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(_copies) = reserve_submission(gateway, &body) else {
        gateway.turn_away("job_buffers_full");
        return not_run("no memory for the job\n", BUFFERS_FULL_RETRY_AFTER);
    };
    let is_submission = || (gateway.dialect.decode_job_items)(&body).is_ok();
    if !is_former_route && !is_submission() {
        return no_route(config, host, path);
    }
    let is_public = {
        let former_routes = gateway.former_routes.borrow();
        match is_former_route {
            true => former_routes.is_public(host, path),
            false => former_routes.job_calls_are_public(config, host),
        }
    };
    let access = Access {
        caller_address,
        route: "",
        is_public,
    };
    match authenticate_request(gateway, config, &head.headers, access) {
        Ok(authentication) => {
            let workspace = authentication.workspace_name();
            gateway.jobs.find_submitted(gateway, id, workspace).await
        }
        Err(_) => unauthorized(),
    }
}

fn no_route(config: &FleetConfig, host: &str, path: &str) -> Response<ResponseBody> {
    log::info!(event = "no_route", host, path, version = config.version; "no route matches");
    text_response(StatusCode::NOT_FOUND, "no route\n")
}

/// Size in bytes of the request target and the headers, including separators.
fn header_bytes(request: &Request<Incoming>) -> usize {
    const SEPARATOR_BYTES: usize = 4;
    let target = request
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum();
    target + headers
}

fn host_header(request: &Request<Incoming>) -> String {
    header_text(request.headers(), &header::HOST)
        .or_else(|| request.uri().host().map(str::to_owned))
        .unwrap_or_default()
}

fn header_text(headers: &HeaderMap, name: &http::HeaderName) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// What handles a request whose path is that of a call about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobCallHandler {
    /// The shard of the job.
    Shards,
    /// The shard, and the route of the request if there is no such job.
    ShardsFirst,
    /// The route of the request.
    Route,
}

/// Chooses what handles a request whose path is that of a call about a job. A route for online requests may have that path,
/// also one that came after the jobs of its `Host` were accepted.
fn job_call_handler(
    gateway: &Gateway,
    config: &FleetConfig,
    host: &str,
    path: &str,
) -> JobCallHandler {
    let has_jobs = || {
        let mut routes = config.routes.iter();
        routes.any(|route| route.host == host && route.is_batch())
            || gateway.former_routes.borrow().has_host(host)
    };
    match config.find_route(host, path) {
        None => JobCallHandler::Shards,
        Some(route) if route.is_batch() => JobCallHandler::Shards,
        Some(_) if has_jobs() => JobCallHandler::ShardsFirst,
        Some(_) => JobCallHandler::Route,
    }
}

/// Time for which the caller will wait.
fn deadline_header(gateway: &Gateway, headers: &HeaderMap) -> Option<Duration> {
    header_text(headers, &gateway.dialect.headers.deadline_ms)
        .and_then(|text| text.trim().parse().ok())
        .map(Duration::from_millis)
}

/// Timeout of the request: the smaller of the caller's deadline and the route's timeout.
fn request_timeout(deadline: Option<Duration>, route: &Route) -> Duration {
    match (deadline, route.timeout) {
        (Some(deadline), Some(timeout)) => deadline.min(timeout),
        (Some(time), None) | (None, Some(time)) => time,
        (None, None) => DEFAULT_TIMEOUT,
    }
}

async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Response<ResponseBody>> {
    let collected = gateway.caller_bodies.read_whole(body, max_bytes);
    let (reason, mut response) = match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(BodyError::TooLarge(_))) => (
            "body_too_large",
            text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        ),
        Ok(Err(BodyError::BudgetExhausted)) => (
            "buffers_full",
            not_run("no memory for the body\n", BUFFERS_FULL_RETRY_AFTER),
        ),
        Ok(Err(BodyError::Evicted)) => (
            "body_evicted",
            not_run("no memory for a slow body\n", BUFFERS_FULL_RETRY_AFTER),
        ),
        Ok(Err(BodyError::Truncated(_))) => {
            return Err(text_response(
                StatusCode::BAD_REQUEST,
                "the body is broken\n",
            ));
        }
        Err(_) => (
            "body_late",
            text_response(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time\n",
            ),
        ),
    };
    gateway.turn_away(reason);
    // What is left of the body is not read.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    Err(response)
}

/// What the caller of a stream has got so far.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    /// Identifier of the last event that was passed on.
    pub(crate) last_event: Cell<Option<u64>>,
    /// When the last event arrived from a server.
    pub(crate) heard_at: Cell<Option<Duration>>,
}

impl StreamProgress {
    /// Whether the caller has got an event.
    fn has_begun(&self) -> bool {
        self.heard_at.get().is_some()
    }
}

/// Class of the line that a request leaves.
fn line_class(status: StatusCode, outcome: &str) -> LineClass {
    match outcome {
        COMPLETE | SERVER_FAILURE => LineClass::Served,
        CALLER_LEFT => LineClass::CallerLeft,
        _ if status == StatusCode::SERVICE_UNAVAILABLE => LineClass::Refused,
        _ => LineClass::Failed,
    }
}

/// Records the metrics of a request and logs it when it ends. If dropped unrecorded, the caller has disconnected, or this host
/// has ended the request because it exits.
pub(crate) struct RequestRecorder {
    gateway: Rc<Gateway>,
    id: String,
    route: String,
    arrived_at: Duration,
    waited: Duration,
    first_byte: Option<Duration>,
    /// When its first run began.
    pub(crate) run_began_at: Option<Duration>,
    /// Number of attempts that may have run.
    pub(crate) attempts: u32,
    /// Server that responded.
    pub(crate) server: String,
    /// Why the request was rejected, or why its stream does not go on; empty otherwise.
    pub(crate) reason: &'static str,
    /// What the caller has got of a stream.
    pub(crate) stream: Rc<StreamProgress>,
    is_recorded: bool,
}

impl RequestRecorder {
    pub(crate) fn begin(gateway: &Rc<Gateway>, request: &CallerRequest) -> Self {
        RequestRecorder {
            gateway: Rc::clone(gateway),
            id: request.id.clone(),
            route: request.route.name.clone(),
            arrived_at: request.arrived_at,
            waited: request.waited,
            first_byte: None,
            run_began_at: None,
            attempts: 0,
            server: String::new(),
            reason: "",
            stream: Rc::default(),
            is_recorded: false,
        }
    }

    /// Records the time to the first byte of the response.
    pub(crate) fn record_first_byte(&mut self) {
        let elapsed = self.gateway.clock.now().saturating_sub(self.arrived_at);
        self.first_byte = Some(elapsed);
        self.gateway
            .metrics
            .first_byte_s
            .observe(elapsed.as_secs_f64());
    }

    /// Records a response that is sent as a whole, and returns it.
    pub(crate) fn finish(
        mut self,
        response: Response<ResponseBody>,
        outcome: &'static str,
    ) -> Response<ResponseBody> {
        self.record_first_byte();
        self.record(response.status(), outcome);
        response
    }

    /// Counts and logs the request.
    pub(crate) fn record(&mut self, status: StatusCode, outcome: &'static str) {
        self.is_recorded = true;
        let labels = RequestLabels {
            route: self.route.clone(),
            status: status.as_u16(),
        };
        self.gateway.metrics.requests.get_or_create(&labels).inc();
        let now = self.gateway.clock.now();
        if let Some(began_at) = self.run_began_at.filter(|_| outcome == COMPLETE) {
            let run_time = now.saturating_sub(began_at);
            self.gateway.record_run_time(&self.route, run_time);
        }
        let first_byte_ms = self.first_byte.map(|time| time.as_millis() as u64);
        if self.stream.has_begun() {
            self.gateway.metrics.count_stream_end(outcome);
        }
        if !self.gateway.may_log(line_class(status, outcome)) {
            return;
        }
        log::info!(
            event = "request", request = self.id.as_str(), route = self.route.as_str(), status = status.as_u16(),
            outcome, reason = self.reason, attempts = self.attempts, server = self.server.as_str(),
            waited_ms = self.waited.as_millis() as u64, first_byte_ms,
            total_ms = now.saturating_sub(self.arrived_at).as_millis() as u64,
            last_event = self.stream.last_event.get(),
            silent_ms = self.stream.heard_at.get().map(|at| now.saturating_sub(at).as_millis() as u64),
            config_version = self.gateway.config_version(); "request ended"
        );
    }
}

impl Drop for RequestRecorder {
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        match self.gateway.is_ending() {
            true => self.record(StatusCode::GATEWAY_TIMEOUT, STOPPED),
            false => self.record(StatusCode::OK, CALLER_LEFT),
        }
    }
}
