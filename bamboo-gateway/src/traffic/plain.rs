//! Requests to plain services, whose responses are buffered before they are sent to the caller. An idempotent request whose
//! server is silent is sent to another one, too, and the first response counts.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::RouteKind;
use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_slots::Permit;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Response;
use http::StatusCode;
use http::response;

use crate::gateway::Gateway;
use crate::gateway::Rejection;
use crate::response_body::ResponseBody;
use crate::traffic::engine_run::SilenceNotice;
use crate::traffic::overlap::OPEN_RUNS_MAX;
use crate::traffic::overlap::first_of;
use crate::traffic::overlap::or_pending;
use crate::traffic::plain_send::Attempt;
use crate::traffic::plain_send::send;
use crate::traffic::request::CallerRequest;
use crate::traffic::response::UNFOUNDED_REFUSAL;
use crate::traffic::response::ended_by_stop;
use crate::traffic::response::is_unfounded_refusal;
use crate::traffic::response::not_run;
use crate::traffic::response::over_rate;
use crate::traffic::response::pass_on;
use crate::traffic::response::run_outcome;
use crate::traffic::response::text_response;
use crate::traffic::serve::COMPLETE;
use crate::traffic::serve::RequestRecorder;
use crate::traffic::serve::SERVER_FAILURE;
use crate::traffic::serve::STOPPING;
use crate::traffic::slot_search::RATE_EXCEEDED;

/// Share of the latency target after which an idempotent request is sent to another server, too.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// Number of servers that may reject a request before the caller gets a rejection.
const REFUSALS_MAX: u32 = 6;
/// `Retry-After` of a response if no server can take the request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Counts a run at the load balancer, and reports its outcome on drop.
struct RunGuard<'a> {
    gateway: &'a Rc<Gateway>,
    server: BackendServerId,
    started_at: Duration,
    outcome: RunOutcome,
}

impl<'a> RunGuard<'a> {
    /// Charges a failure to the server, unless it is one of the way to it.
    fn fail(&mut self, server: &Rc<Server>, outcome: RunOutcome) {
        if !self.gateway.may_be_lost_path(outcome) {
            self.outcome = outcome;
            return;
        }
        let (server_id, started_at) = (server.id.clone(), self.started_at);
        self.gateway
            .charge_after_check(server, outcome, move |gateway, outcome| {
                let now = gateway.clock.now();
                let mut load_balancer = gateway.load_balancer.borrow_mut();
                load_balancer.charge(&server_id, outcome, started_at, now);
            });
    }

    fn begin(gateway: &'a Rc<Gateway>, server: &str) -> Self {
        gateway.load_balancer.borrow_mut().run_started(server);
        RunGuard {
            gateway,
            server: server.to_owned(),
            started_at: gateway.clock.now(),
            outcome: RunOutcome::Cancelled,
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.load_balancer.borrow_mut().run_ended(
            &self.server,
            self.outcome,
            self.started_at,
            now,
        );
    }
}

/// Serves a request to a plain service.
pub(crate) async fn serve_plain(
    gateway: Rc<Gateway>,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let mut recorder = RequestRecorder::begin(&gateway, &request);
    if let Err(retry_after) = gateway.count_plain_request(&request).await {
        recorder.reason = RATE_EXCEEDED;
        return recorder.finish(over_rate(retry_after), "refused");
    }
    let mut sends = OpenSends::begin(&gateway, &request);
    let ended = loop {
        let event = sends.next_event().await;
        recorder.attempts = sends.attempts;
        recorder.run_began_at = sends.began_at;
        if let Step::End(ended) = sends.handle(event) {
            break ended;
        }
    };
    let last_tried = sends.excluded.last().cloned();
    recorder.server = ended.server.or(last_tried).unwrap_or_default();
    recorder.reason = ended.reason;
    recorder.finish(ended.response, ended.outcome)
}

/// The response to the caller, and what is logged of it.
struct Ended {
    response: Response<ResponseBody>,
    outcome: &'static str,
    reason: &'static str,
    server: Option<BackendServerId>,
}

impl Ended {
    /// A response that this host generates.
    fn own(response: Response<ResponseBody>, outcome: &'static str, reason: &'static str) -> Self {
        Ended {
            response,
            outcome,
            reason,
            server: None,
        }
    }
}

/// What to do next.
enum Step {
    Wait,
    End(Box<Ended>),
}

impl Step {
    fn end(ended: Ended) -> Self {
        Step::End(Box::new(ended))
    }
}

/// Something that happened to a request.
enum Event {
    /// The attempt at this index ended.
    Ended(usize, Attempt),
    /// A server was chosen for the next attempt.
    Chosen(Result<Rc<Server>, NotSent>),
    /// The server of the newest attempt is silent.
    Silent,
}

/// An attempt in progress.
struct OpenSend<'a> {
    server: Rc<Server>,
    run: RunGuard<'a>,
    notice: Rc<SilenceNotice>,
    end: LocalBoxFuture<'a, Attempt>,
}

/// A server's own response.
struct ServerAnswer {
    server: BackendServerId,
    head: response::Parts,
    bytes: Bytes,
}

/// The attempts at a request, oldest first, and the choice of the next server.
struct OpenSends<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a CallerRequest,
    open: Vec<OpenSend<'a>>,
    choice: Option<LocalBoxFuture<'a, Result<Rc<Server>, NotSent>>>,
    excluded: Vec<BackendServerId>,
    attempts: u32,
    refusals: u32,
    may_have_run: bool,
    began_at: Option<Duration>,
    /// Error response of a server, kept in case that no other one has a better response.
    answer: Option<ServerAnswer>,
}

impl<'a> OpenSends<'a> {
    fn begin(gateway: &'a Rc<Gateway>, request: &'a CallerRequest) -> Self {
        let mut sends = OpenSends {
            gateway,
            request,
            open: Vec::new(),
            choice: None,
            excluded: Vec::new(),
            attempts: 0,
            refusals: 0,
            may_have_run: false,
            began_at: None,
            answer: None,
        };
        sends.begin_choice();
        sends
    }

    /// Whether the request may be sent once more.
    fn may_send(&self) -> bool {
        let is_idempotent = self.request.route.kind == RouteKind::Idempotent;
        let attempts_max = self.request.route.attempts_max.max(1);
        self.attempts == 0 || (is_idempotent && self.attempts < attempts_max)
    }

    fn begin_choice(&mut self) {
        let choice = choose_server(
            self.gateway,
            self.request,
            self.excluded.clone(),
            self.may_have_run,
        );
        self.choice = Some(choice.boxed_local());
    }

    async fn next_event(&mut self) -> Event {
        let newest = self.open.last().map(|send| Rc::clone(&send.notice));
        let noticed = |notice: Rc<SilenceNotice>| async move { notice.noticed().await };
        tokio::select! {
            biased;
            (index, end) = first_of(self.open.iter_mut().map(|send| &mut send.end)) => Event::Ended(index, end),
            choice = or_pending(self.choice.as_mut()) => Event::Chosen(choice),
            () = or_pending(newest.map(noticed)) => Event::Silent,
        }
    }

    fn handle(&mut self, event: Event) -> Step {
        match event {
            Event::Ended(index, attempt) => {
                let ended = self.open.remove(index);
                self.attempt_ended(ended, attempt)
            }
            Event::Chosen(choice) => {
                self.choice = None;
                match choice {
                    Ok(server) => self.send(server),
                    Err(_) if !self.open.is_empty() => {}
                    Err(reason) => return Step::end(self.not_sent(reason)),
                }
                Step::Wait
            }
            Event::Silent => {
                if let Some(newest) = self.open.last_mut() {
                    newest.run.fail(&newest.server, RunOutcome::Silent);
                    let server = Rc::clone(&newest.server);
                    self.log_failed_run(&server, RunOutcome::Silent);
                }
                self.may_have_run = true;
                self.choose_or_wait();
                Step::Wait
            }
        }
    }

    /// Sends the request to a server. At most two work on it at a time.
    fn send(&mut self, server: Rc<Server>) {
        if self.open.len() >= OPEN_RUNS_MAX {
            self.open.remove(0);
        }
        self.attempts += 1;
        self.began_at.get_or_insert(self.gateway.clock.now());
        self.excluded.push(server.id.clone());
        self.request.progress.begin_attempt();
        let target = self.request.route.target_latency;
        let notice = Rc::new(SilenceNotice::new(match self.may_send() {
            true => target.mul_f64(ATTEMPT_TIMEOUT_SHARE),
            false => Duration::MAX,
        }));
        let (gateway, request) = (self.gateway, self.request);
        let (sent_to, told) = (Rc::clone(&server), Rc::clone(&notice));
        let end = async move { send(gateway, request, &sent_to, &told).await };
        self.open.push(OpenSend {
            run: RunGuard::begin(gateway, &server.id),
            server,
            notice,
            end: end.boxed_local(),
        });
    }

    /// Has another server chosen, if the request may be sent once more. Returns whether there is anything to wait for.
    fn choose_or_wait(&mut self) -> bool {
        if self.choice.is_none() && self.may_send() {
            self.begin_choice();
        }
        self.choice.is_some() || !self.open.is_empty()
    }

    fn attempt_ended(&mut self, mut ended: OpenSend<'a>, attempt: Attempt) -> Step {
        match attempt {
            Attempt::Answered(head, bytes) => {
                ended.run.outcome = run_outcome(head.status);
                let answer = ServerAnswer {
                    server: ended.server.id.clone(),
                    head,
                    bytes,
                };
                let is_idempotent = self.request.route.kind == RouteKind::Idempotent;
                let (id, status) = (&self.request.id, answer.head.status);
                if is_unfounded_refusal(self.gateway, id, &answer.server, status, is_idempotent) {
                    let response = unknown("the server failed the request\n", UNFOUNDED_REFUSAL);
                    return Step::end(response);
                }
                if !is_idempotent || !answer.head.status.is_server_error() {
                    return Step::end(end_with(answer));
                }
                self.answer = Some(answer);
                self.may_have_run = true;
            }
            Attempt::NotRun(outcome) => {
                ended.run.outcome = outcome;
                self.request.progress.attempt_did_not_run();
                self.attempts -= 1;
                self.refusals += 1;
                if self.refusals >= REFUSALS_MAX && !self.may_have_run && self.open.is_empty() {
                    let response = not_run("all servers are busy\n", BUSY_RETRY_AFTER);
                    return Step::end(Ended::own(response, "refused", ""));
                }
            }
            Attempt::Failed(outcome) => {
                ended.run.fail(&ended.server, outcome);
                self.log_failed_run(&ended.server, outcome);
                self.may_have_run = true;
            }
        }
        drop(ended);
        match self.choose_or_wait() {
            true => Step::Wait,
            false => Step::end(self.last_answer()),
        }
    }

    fn log_failed_run(&self, server: &Server, outcome: RunOutcome) {
        log::info!(
            event = "run_failed", request = self.request.id.as_str(), server = server.id.as_str(),
            outcome:? = outcome, attempt = self.attempts, may_retry = self.may_send(); "the server did not respond"
        );
    }

    /// The response if no attempt is left to wait for.
    fn last_answer(&mut self) -> Ended {
        if let Some(answer) = self.answer.take() {
            return end_with(answer);
        }
        match self.gateway.clock.now() >= self.request.deadline {
            true => Ended::own(
                text_response(StatusCode::GATEWAY_TIMEOUT, "time is up\n"),
                "timed_out",
                "",
            ),
            false => unknown("no answer of the server\n", ""),
        }
    }

    /// The response if the request is not sent any more.
    fn not_sent(&mut self, reason: NotSent) -> Ended {
        if let Some(answer) = self.answer.take() {
            return end_with(answer);
        }
        match reason {
            NotSent::TimedOut if self.may_have_run => self.last_answer(),
            NotSent::TimedOut => {
                Ended::own(not_run("time is up\n", BUSY_RETRY_AFTER), "timed_out", "")
            }
            NotSent::Rejected(rejection) => {
                self.gateway.metrics.count_run(rejection.reason);
                match self.may_have_run {
                    true => unknown(rejection.text, rejection.reason),
                    false => Ended::own(
                        not_run(rejection.text, rejection.retry_after),
                        "refused",
                        rejection.reason,
                    ),
                }
            }
            NotSent::Stopping if self.may_have_run => {
                unknown("no answer of the server\n", STOPPING)
            }
            NotSent::Stopping => Ended::own(ended_by_stop(false), "refused", STOPPING),
            NotSent::Refuse(_) if self.may_have_run => {
                unknown("no answer of a server\n", "no_server")
            }
            NotSent::Refuse(retry_after) => Ended::own(
                not_run("no server can take the request\n", retry_after),
                "refused",
                "no_server",
            ),
        }
    }
}

/// The end of a request with a server's own response.
fn end_with(answer: ServerAnswer) -> Ended {
    Ended {
        outcome: match answer.head.status.is_success() {
            true => COMPLETE,
            false => SERVER_FAILURE,
        },
        response: pass_on(&answer.head, ResponseBody::full(answer.bytes)),
        reason: "",
        server: Some(answer.server),
    }
}

/// The response to a request that may have run.
fn unknown(text: &'static str, reason: &'static str) -> Ended {
    let response = text_response(StatusCode::BAD_GATEWAY, text);
    Ended::own(response, "unknown", reason)
}

/// Why a request is not sent.
enum NotSent {
    /// No server can take it in time; retry after this time.
    Refuse(Duration),
    /// It crashes servers.
    Rejected(Rejection),
    /// This host stops before the response would be complete.
    Stopping,
    /// The deadline has passed.
    TimedOut,
}

/// Decides whether to send the request once more, and chooses a server.
async fn choose_server(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    excluded: Vec<BackendServerId>,
    may_have_run: bool,
) -> Result<Rc<Server>, NotSent> {
    if may_have_run {
        gateway.wait_for_verdicts(request.deadline).await;
    }
    let now = gateway.clock.now();
    if now >= request.deadline {
        return Err(NotSent::TimedOut);
    }
    if let Some(rejection) = gateway.rejection(&request.suspects) {
        return Err(NotSent::Rejected(rejection));
    }
    let until = gateway.run_begins_until(&request.route.name, request.deadline);
    if until.is_some_and(|until| now > until) {
        return Err(NotSent::Stopping);
    }
    pick_server(gateway, request, &excluded).await
}

/// Chooses a server: one without a limit, if one is usable, then one whose limit allows the request soon enough for a
/// response that is on time.
async fn pick_server(
    gateway: &Gateway,
    request: &CallerRequest,
    excluded: &[BackendServerId],
) -> Result<Rc<Server>, NotSent> {
    let unlimited = gateway.pick_server(&request.service, excluded, None);
    let is_usable = |server: &Rc<Server>| {
        let now = gateway.clock.now();
        gateway.load_balancer.borrow().is_usable(&server.id, now)
    };
    if let Some(server) = unlimited.as_ref().filter(|server| is_usable(server)) {
        return Ok(Rc::clone(server));
    }
    let on_time_for = request
        .route
        .target_latency
        .mul_f64(1.0 - ATTEMPT_TIMEOUT_SHARE);
    let send_by = (request.arrived_at + on_time_for).saturating_sub(request.waited);
    let until = gateway
        .run_begins_until(&request.route.name, request.deadline)
        .unwrap_or(Duration::MAX);
    let max_wait = send_by.min(until).saturating_sub(gateway.clock.now());
    let permit = gateway.request_permit(&request.service, excluded, max_wait);
    match (permit.await, unlimited) {
        (Some(Permit::Granted { server, wait }), _) => {
            actix_rt::time::sleep(wait).await;
            match gateway.directory.borrow().get(&server) {
                Some(server) if server.state == ServerState::Ready => Ok(Rc::clone(server)),
                _ => Err(NotSent::Refuse(BUSY_RETRY_AFTER)),
            }
        }
        (_, Some(unlimited)) => Ok(unlimited),
        (Some(Permit::Denied { retry_after }), None) => Err(NotSent::Refuse(retry_after)),
        (None, None) => Err(NotSent::Refuse(BUSY_RETRY_AFTER)),
    }
}
