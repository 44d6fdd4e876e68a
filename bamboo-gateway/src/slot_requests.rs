//! Slot requests of this host, which the coordinator grants, queues or refuses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_slots::GrantStep;
use bamboo_slots::HostRequests;
use bamboo_slots::OpenRequest;
use bamboo_slots::RequestReport;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::SlotRequestInfo;
use crate::mesh::SlotRequestOnTerms;
use crate::mesh::TermsInfo;

/// Timeout for the coordinator's first reply to an online request. A round trip between data centres takes 3 ms; the
/// rest allows for a loaded host. It is a fifth of the latency target for the first event.
pub(crate) const DECISION_TIMEOUT: Duration = Duration::from_millis(60);
/// Identifier that no slot request has.
const NO_REQUEST: SlotRequestId = 0;

/// A decision of the coordinator on a slot request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SlotDecision {
    /// The request holds a slot of this server.
    Granted(BackendServerId),
    /// The request is queued.
    Queued,
    /// No slot will be free in time; retry after this time.
    Refused(Duration),
    /// No ready server has the required version.
    NoServer,
    /// The request is over the rate of its workspace; retry after this time.
    RateExceeded(Duration),
}

/// The task that waits for a slot, or holds it.
struct Waiter {
    decisions: mpsc::UnboundedSender<SlotDecision>,
    preempted: Rc<Notify>,
    /// Whether a coordinator has decided on the request.
    is_decided: Cell<bool>,
}

/// Slot requests of this host that have not been released, with the tasks that made them.
pub(crate) struct SlotRequestTable {
    requests: RefCell<HostRequests>,
    waiters: RefCell<HashMap<SlotRequestId, Waiter>>,
}

impl SlotRequestTable {
    /// Creates the table of a process, whose requests are numbered from a random number on.
    pub(crate) fn new() -> Self {
        let last_id = SlotRequestId::from(rand::rng().random::<u32>());
        SlotRequestTable {
            requests: RefCell::new(HostRequests::new(last_id)),
            waiters: RefCell::default(),
        }
    }

    /// Identifiers of all requests, queued and granted.
    pub(crate) fn ids(&self) -> Vec<SlotRequestId> {
        self.requests.borrow().iter().map(|(id, _)| id).collect()
    }

    /// What this host believes of its requests.
    pub(crate) fn report(&self) -> RequestReport {
        self.requests.borrow().report()
    }

    /// Waiting requests that count towards the rate of a workspace, and on which no coordinator has decided.
    pub(crate) fn uncounted(&self) -> Vec<SlotRequestId> {
        let requests = self.requests.borrow();
        requests
            .iter()
            .filter(|(id, request)| self.is_uncounted(*id, request))
            .map(|(id, _)| id)
            .collect()
    }

    fn is_uncounted(&self, id: SlotRequestId, request: &OpenRequest) -> bool {
        let terms = &request.terms;
        let counts = terms.is_counted && terms.workspace.is_some() && request.server.is_none();
        let waiters = self.waiters.borrow();
        counts
            && waiters
                .get(&id)
                .is_some_and(|waiter| !waiter.is_decided.get())
    }

    /// All other requests as they are sent to the coordinator, with times relative to `now`.
    pub(crate) fn infos(&self, now: Duration) -> Vec<SlotRequestOnTerms> {
        let requests = self.requests.borrow();
        requests
            .iter()
            .filter(|(id, request)| !self.is_uncounted(*id, request))
            .map(|(id, request)| request_info(id, request, now))
            .collect()
    }

    /// A request as it is sent to the coordinator.
    pub(crate) fn info(&self, id: SlotRequestId, now: Duration) -> Option<SlotRequestOnTerms> {
        let requests = self.requests.borrow();
        Some(request_info(id, requests.get(id)?, now))
    }

    /// Takes a granted slot, and passes it on to the task that waits for it.
    pub(crate) fn grant(&self, id: SlotRequestId, server: &BackendServerId) -> GrantStep {
        let step = self.requests.borrow_mut().grant(id, server);
        if step == GrantStep::Run {
            self.deliver(id, SlotDecision::Granted(server.clone()));
        }
        step
    }

    /// Passes a decision on to the task that waits for it.
    pub(crate) fn deliver(&self, id: SlotRequestId, decision: SlotDecision) {
        if let Some(waiter) = self.waiters.borrow().get(&id) {
            waiter.is_decided.set(true);
            // A task that no longer waits drops the request.
            let _ = waiter.decisions.send(decision);
        }
    }

    /// Notifies the task of a batch item that it must release its slot.
    pub(crate) fn preempt(&self, id: SlotRequestId) {
        if let Some(waiter) = self.waiters.borrow().get(&id) {
            waiter.preempted.notify_one();
        }
    }
}

fn request_info(id: SlotRequestId, state: &OpenRequest, now: Duration) -> SlotRequestOnTerms {
    let (is_online, due, remaining_ms) = match state.work {
        Work::Online {
            start_by,
            expires_at,
        } => (true, start_by, millis(expires_at.saturating_sub(now))),
        Work::Batch { due, remaining } => (false, due, millis(remaining)),
    };
    let info = SlotRequestInfo {
        id,
        service: state.service.clone(),
        is_online,
        due_in_ms: due.as_millis() as i64 - now.as_millis() as i64,
        remaining_ms,
        excluded: state.excluded.clone(),
        server: state.server.clone(),
        version: state.version.clone(),
    };
    let terms = &state.terms;
    let begin_by = terms.begin_by;
    let terms = TermsInfo {
        workspace: terms.workspace.clone(),
        rank: terms.rank,
        is_counted: terms.is_counted,
        begin_in_ms: begin_by.map(|begin_by| millis(begin_by.saturating_sub(now))),
    };
    SlotRequestOnTerms { info, terms }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Why no slot was acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SlotError {
    /// The coordinator expects no free slot in time; retry after this time.
    Refused(Duration),
    /// The request was queued, and no slot was granted before it expired.
    TimedOut,
    /// No server of the service, or of the required version, is available.
    NoServer,
    /// The request is over the rate of its workspace; retry after this time.
    RateExceeded(Duration),
}

/// A granted slot, released on drop.
pub(crate) struct Slot {
    request: SlotRequestGuard,
    /// Server whose slot is held.
    pub(crate) server: Rc<Server>,
    /// Notified when a batch item must release the slot.
    pub(crate) preempted: Rc<Notify>,
}

impl Slot {
    /// Sets how the run ended. The coordinator gets the outcome with the release, and rates the server's health by it; that of a
    /// failure which may be one of the way to the server follows once the server has been checked.
    pub(crate) fn set_outcome(&self, outcome: RunOutcome) {
        let gateway = &self.request.gateway;
        if !gateway.may_be_lost_path(outcome) {
            self.request.outcome.set(outcome);
            return;
        }
        let server = self.server.id.clone();
        gateway.charge_after_check(&self.server, outcome, move |gateway, outcome| {
            charge_server(gateway, server, outcome);
        });
    }
}

/// Tells the coordinator of the failure of a run whose slot is released already.
fn charge_server(gateway: &Gateway, server: BackendServerId, outcome: RunOutcome) {
    if outcome.is_failure() {
        gateway.send_to_coordinator(PeerMessage::Release {
            request: NO_REQUEST,
            server: Some(server),
            outcome,
        });
    }
}

/// A slot request, released at the coordinator on drop.
struct SlotRequestGuard {
    gateway: Rc<Gateway>,
    id: SlotRequestId,
    outcome: Cell<RunOutcome>,
}

impl Drop for SlotRequestGuard {
    fn drop(&mut self) {
        let table = &self.gateway.slot_requests;
        table.waiters.borrow_mut().remove(&self.id);
        let request = table.requests.borrow_mut().close(self.id);
        let server = request.and_then(|request| request.server);
        let message = PeerMessage::Release {
            request: self.id,
            server,
            outcome: self.outcome.get().told(),
        };
        self.gateway.send_to_coordinator(message);
    }
}

/// Requests a slot from the coordinator and waits until it is granted or refused. Falls back to a server of this host's
/// own choice if the coordinator does not reply to an online request in time. If a version is required, only a slot of a
/// server of that version is acquired.
///
/// # Errors
/// Fails if no slot is granted in time or no server is available.
pub(crate) async fn acquire_slot(
    gateway: &Rc<Gateway>,
    service: &str,
    work: Work,
    mut excluded: Vec<BackendServerId>,
    version: Option<&SoftwareVersion>,
    mut terms: RequestTerms,
) -> Result<Slot, SlotError> {
    loop {
        let counted = match terms.is_counted {
            true => terms.workspace.clone(),
            false => None,
        };
        let applies_rates = gateway.coordinator_applies_rates();
        if let Some(workspace) = counted.as_deref().filter(|_| !applies_rates) {
            gateway
                .admit_alone(workspace)
                .map_err(SlotError::RateExceeded)?;
            terms.is_counted = false;
        }
        let open_request = OpenRequest {
            service: service.to_owned(),
            work,
            excluded: excluded.clone(),
            version: version.cloned(),
            terms: terms.clone(),
            server: None,
        };
        // A request that is made anew has been counted.
        terms.is_counted = false;
        let wait_until = wait_end(work, &terms);
        let (request, preempted, mut decisions) = send_request(gateway, open_request);
        let granted = match wait_for_grant(gateway, &request, wait_until, &mut decisions).await? {
            Some(server) => server,
            None => {
                if let Some(workspace) = counted.as_deref().filter(|_| applies_rates) {
                    gateway
                        .admit_alone(workspace)
                        .map_err(SlotError::RateExceeded)?;
                }
                match place_locally(gateway, &request, service, &excluded, version) {
                    Some(server) => server,
                    None => return Err(SlotError::NoServer),
                }
            }
        };
        let server = gateway.directory.borrow().get(&granted).cloned();
        match server {
            Some(server)
                if server.state == ServerState::Ready
                    && server.service == service
                    && version.is_none_or(|version| *version == server.version) =>
            {
                return Ok(Slot {
                    request,
                    server,
                    preempted,
                });
            }
            // The coordinator has not yet seen that this server is draining, gone, or of another service or version.
            _ => excluded.push(granted),
        }
    }
}

fn send_request(
    gateway: &Rc<Gateway>,
    open_request: OpenRequest,
) -> (
    SlotRequestGuard,
    Rc<Notify>,
    mpsc::UnboundedReceiver<SlotDecision>,
) {
    let table = &gateway.slot_requests;
    let (decisions, receiver) = mpsc::unbounded_channel();
    let preempted = Rc::new(Notify::new());
    let id = table.requests.borrow_mut().open(open_request);
    let waiter = Waiter {
        decisions,
        preempted: Rc::clone(&preempted),
        is_decided: Cell::new(false),
    };
    table.waiters.borrow_mut().insert(id, waiter);
    let request = SlotRequestGuard {
        gateway: Rc::clone(gateway),
        id,
        outcome: Cell::new(RunOutcome::Cancelled),
    };
    gateway.send_slot_request(id);
    (request, preempted, receiver)
}

/// When an online request stops waiting for a slot: when its caller leaves or it expires. A refusal that was lost is noticed then.
/// A batch item may wait for minutes in turn: a decision that was lost is sent again (`Broker::reconcile`), and the item
/// itself gives a wait up that is of no use any more.
fn wait_end(work: Work, terms: &RequestTerms) -> Option<Duration> {
    match work {
        Work::Online { expires_at, .. } => Some(
            terms
                .begin_by
                .map_or(expires_at, |begin_by| begin_by.min(expires_at)),
        ),
        Work::Batch { .. } => None,
    }
}

/// Waits for the granted server, until `wait_until` if it is an online request. Returns `None` if the coordinator does not reply
/// in time and an online request cannot wait any longer.
async fn wait_for_grant(
    gateway: &Rc<Gateway>,
    request: &SlotRequestGuard,
    wait_until: Option<Duration>,
    decisions: &mut mpsc::UnboundedReceiver<SlotDecision>,
) -> Result<Option<BackendServerId>, SlotError> {
    let is_online = wait_until.is_some();
    let mut is_queued = false;
    loop {
        let now = gateway.clock.now();
        let wait = match wait_until {
            Some(_) if !is_queued => DECISION_TIMEOUT,
            Some(wait_until) => wait_until.saturating_sub(now),
            None => Duration::MAX,
        };
        let decision = match wait {
            Duration::MAX => decisions.recv().await,
            wait => match tokio::time::timeout(wait, decisions.recv()).await {
                Ok(decision) => decision,
                Err(_) if is_queued => return Err(SlotError::TimedOut),
                Err(_) => {
                    gateway.coordinator_timed_out(request.id, now);
                    return Ok(None);
                }
            },
        };
        match decision {
            Some(SlotDecision::Granted(server)) => return Ok(Some(server)),
            Some(SlotDecision::Refused(retry_after)) if is_online => {
                return Err(SlotError::Refused(retry_after));
            }
            Some(SlotDecision::RateExceeded(retry_after)) => {
                return Err(SlotError::RateExceeded(retry_after));
            }
            Some(SlotDecision::NoServer) => return Err(SlotError::NoServer),
            Some(SlotDecision::Queued) => is_queued = true,
            Some(SlotDecision::Refused(_)) => {}
            None => return Ok(None),
        }
    }
}

/// Picks a server without the coordinator, and reports the run to the coordinator so that it counts the slot as used.
fn place_locally(
    gateway: &Rc<Gateway>,
    request: &SlotRequestGuard,
    service: &str,
    excluded: &[BackendServerId],
    version: Option<&SoftwareVersion>,
) -> Option<BackendServerId> {
    let server = gateway.pick_server(service, excluded, version)?;
    let table = &gateway.slot_requests;
    table.requests.borrow_mut().place(request.id, &server.id);
    gateway.send_slot_request(request.id);
    Some(server.id.clone())
}
