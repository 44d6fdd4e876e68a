//! Slot requests of this host, which the coordinator grants, queues or refuses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::SlotRequestInfo;

/// Timeout for the coordinator's first reply to an online request. A round trip between data centres takes 3 ms; the
/// rest allows for a loaded host. It is a fifth of the latency target for the first event.
const DECISION_TIMEOUT: Duration = Duration::from_millis(60);
/// Identifier that no slot request has.
const NO_REQUEST: SlotRequestId = 0;
/// Capacity of the queue of decisions for one request.
const DECISION_QUEUE_LEN: usize = 4;

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
}

struct SlotRequestState {
    service: String,
    work: Work,
    excluded: Vec<BackendServerId>,
    version: Option<SoftwareVersion>,
    server: Option<BackendServerId>,
    decisions: mpsc::Sender<SlotDecision>,
    preempted: Rc<Notify>,
}

/// Slot requests of this host that have not been released.
#[derive(Default)]
pub(crate) struct SlotRequestTable {
    requests: RefCell<BTreeMap<SlotRequestId, SlotRequestState>>,
    next_id: Cell<SlotRequestId>,
}

impl SlotRequestTable {
    /// Identifiers of all requests, queued and granted.
    pub(crate) fn ids(&self) -> Vec<SlotRequestId> {
        self.requests.borrow().keys().copied().collect()
    }

    /// All requests as they are sent to the coordinator, with times relative to `now`.
    pub(crate) fn infos(&self, now: Duration) -> Vec<SlotRequestInfo> {
        let requests = self.requests.borrow();
        requests
            .iter()
            .map(|(id, state)| request_info(*id, state, now))
            .collect()
    }

    /// Passes a decision on to the task that waits for it. Returns whether the request still exists and the decision
    /// was delivered.
    pub(crate) fn deliver(&self, id: SlotRequestId, decision: SlotDecision) -> bool {
        let mut requests = self.requests.borrow_mut();
        let Some(state) = requests.get_mut(&id) else {
            return false;
        };
        if let SlotDecision::Granted(server) = &decision {
            if state.server.is_some() {
                return true;
            }
            state.server = Some(server.clone());
        }
        state.decisions.try_send(decision).is_ok()
    }

    /// Notifies the task of a batch item that it must release its slot.
    pub(crate) fn preempt(&self, id: SlotRequestId) {
        if let Some(state) = self.requests.borrow().get(&id) {
            state.preempted.notify_one();
        }
    }
}

fn request_info(id: SlotRequestId, state: &SlotRequestState, now: Duration) -> SlotRequestInfo {
    let (is_online, due, remaining_ms) = match state.work {
        Work::Online {
            start_by,
            expires_at,
        } => (true, start_by, millis(expires_at.saturating_sub(now))),
        Work::Batch { due, remaining } => (false, due, millis(remaining)),
    };
    SlotRequestInfo {
        id,
        service: state.service.clone(),
        is_online,
        due_in_ms: due.as_millis() as i64 - now.as_millis() as i64,
        remaining_ms,
        excluded: state.excluded.clone(),
        server: state.server.clone(),
        version: state.version.clone(),
    }
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
        let state = self
            .gateway
            .slot_requests
            .requests
            .borrow_mut()
            .remove(&self.id);
        let server = state.and_then(|state| state.server);
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
) -> Result<Slot, SlotError> {
    loop {
        let (request, preempted, mut decisions) =
            send_request(gateway, service, work, &excluded, version);
        let granted = match wait_for_grant(gateway, &request, work, &mut decisions).await? {
            Some(server) => server,
            None => match place_locally(gateway, &request, service, &excluded, version) {
                Some(server) => server,
                None => return Err(SlotError::NoServer),
            },
        };
        let server = gateway.directory.borrow().get(&granted).cloned();
        match server {
            Some(server)
                if server.state == ServerState::Ready
                    && version.is_none_or(|version| *version == server.version) =>
            {
                return Ok(Slot {
                    request,
                    server,
                    preempted,
                });
            }
            // The coordinator has not yet seen that this server is draining, gone or of another version.
            _ => excluded.push(granted),
        }
    }
}

fn send_request(
    gateway: &Rc<Gateway>,
    service: &str,
    work: Work,
    excluded: &[BackendServerId],
    version: Option<&SoftwareVersion>,
) -> (SlotRequestGuard, Rc<Notify>, mpsc::Receiver<SlotDecision>) {
    let table = &gateway.slot_requests;
    let id = table.next_id.get() + 1;
    table.next_id.set(id);
    let (decisions, receiver) = mpsc::channel(DECISION_QUEUE_LEN);
    let preempted = Rc::new(Notify::new());
    let state = SlotRequestState {
        service: service.to_owned(),
        work,
        excluded: excluded.to_vec(),
        version: version.cloned(),
        server: None,
        decisions,
        preempted: Rc::clone(&preempted),
    };
    let info = request_info(id, &state, gateway.clock.now());
    table.requests.borrow_mut().insert(id, state);
    let request = SlotRequestGuard {
        gateway: Rc::clone(gateway),
        id,
        outcome: Cell::new(RunOutcome::Cancelled),
    };
    gateway.send_to_coordinator(PeerMessage::RequestSlot(info));
    (request, preempted, receiver)
}

/// Waits for the granted server. Returns `None` if the coordinator does not reply in time and an online request cannot
/// wait any longer.
async fn wait_for_grant(
    gateway: &Rc<Gateway>,
    request: &SlotRequestGuard,
    work: Work,
    decisions: &mut mpsc::Receiver<SlotDecision>,
) -> Result<Option<BackendServerId>, SlotError> {
    let is_online = matches!(work, Work::Online { .. });
    let mut is_queued = false;
    loop {
        let now = gateway.clock.now();
        let wait = match work {
            Work::Online { .. } if !is_queued => DECISION_TIMEOUT,
            Work::Online { expires_at, .. } => expires_at.saturating_sub(now),
            Work::Batch { .. } => Duration::MAX,
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
    let mut requests = gateway.slot_requests.requests.borrow_mut();
    let state = requests.get_mut(&request.id)?;
    state.server = Some(server.id.clone());
    let info = request_info(request.id, state, gateway.clock.now());
    drop(requests);
    gateway.send_to_coordinator(PeerMessage::RequestSlot(info));
    Some(server.id.clone())
}
