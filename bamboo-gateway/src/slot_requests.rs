//! Slots of model engines, as a host asks the coordinator for them.

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
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::SlotRequestInfo;

/// Time for the coordinator's first answer. A round trip between data centres takes 3 ms; the rest is for a loaded
/// host. A fifth of the time that a first event has.
const DECISION_TIMEOUT: Duration = Duration::from_millis(60);
/// Answers that may wait for the asking task.
const DECISION_QUEUE_LEN: usize = 4;

/// Answer of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SlotDecision {
    /// A slot of the server.
    Granted(BackendServerId),
    /// Wait.
    Queued,
    /// No slot in time.
    Refused(Duration),
}

struct SlotRequestState {
    service: String,
    work: Work,
    excluded: Vec<BackendServerId>,
    server: Option<BackendServerId>,
    decisions: mpsc::Sender<SlotDecision>,
    preempted: Rc<Notify>,
}

/// Asks of this host.
#[derive(Default)]
pub(crate) struct SlotRequestTable {
    requests: RefCell<BTreeMap<SlotRequestId, SlotRequestState>>,
    next_id: Cell<SlotRequestId>,
}

impl SlotRequestTable {
    /// Numbers of all asks, waiting and held.
    pub(crate) fn ids(&self) -> Vec<SlotRequestId> {
        self.requests.borrow().keys().copied().collect()
    }

    /// All asks, with times relative to `now`.
    pub(crate) fn infos(&self, now: Duration) -> Vec<SlotRequestInfo> {
        let requests = self.requests.borrow();
        requests
            .iter()
            .map(|(id, state)| request_info(*id, state, now))
            .collect()
    }

    /// Takes an answer of the coordinator. Returns whether the ask is known.
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

    /// Tells the holder of a batch item to leave its slot.
    pub(crate) fn preempt(&self, id: SlotRequestId) {
        if let Some(state) = self.requests.borrow().get(&id) {
            state.preempted.notify_one();
        }
    }
}

fn request_info(id: SlotRequestId, state: &SlotRequestState, now: Duration) -> SlotRequestInfo {
    let (is_online, due, left_ms) = match state.work {
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
        left_ms,
        excluded: state.excluded.clone(),
        server: state.server.clone(),
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Why there is no slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SlotError {
    /// The coordinator sees none in time; try again later.
    Refused(Duration),
    /// The coordinator dealt none in time.
    TimedOut,
    /// No server of the service is known.
    NoServer,
}

/// A slot that is held until this is dropped.
pub(crate) struct Slot {
    request: SlotRequestGuard,
    /// Server of the slot.
    pub(crate) server: Rc<Server>,
    /// Told when a batch item must leave.
    pub(crate) preempted: Rc<Notify>,
}

impl Slot {
    /// Notes how the run ended; the coordinator judges servers by it.
    pub(crate) fn set_outcome(&self, outcome: RunOutcome) {
        self.request.outcome.set(outcome);
    }
}

/// An ask that is released when this is dropped.
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
            outcome: self.outcome.get(),
        };
        self.gateway.send_to_coordinator(message);
    }
}

/// Asks for a slot and waits until it is granted or refused.
///
/// # Errors
/// Fails if there is none in time, or no server.
pub(crate) async fn acquire_slot(
    gateway: &Rc<Gateway>,
    service: &str,
    work: Work,
    mut excluded: Vec<BackendServerId>,
) -> Result<Slot, SlotError> {
    loop {
        let (request, preempted, mut decisions) = send_request(gateway, service, work, &excluded);
        let granted = match wait_for_grant(gateway, &request, work, &mut decisions).await? {
            Some(server) => server,
            None => match place_locally(gateway, &request, service, &excluded) {
                Some(server) => server,
                None => return Err(SlotError::NoServer),
            },
        };
        let server = gateway.directory.borrow().get(&granted).cloned();
        match server {
            Some(server) if server.state == ServerState::Ready => {
                return Ok(Slot {
                    request,
                    server,
                    preempted,
                });
            }
            // This host knows more of the server than the coordinator.
            _ => excluded.push(granted),
        }
    }
}

fn send_request(
    gateway: &Rc<Gateway>,
    service: &str,
    work: Work,
    excluded: &[BackendServerId],
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

/// The granted server; `None` if the coordinator does not answer and the request cannot wait.
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
            Some(SlotDecision::Queued) => is_queued = true,
            Some(SlotDecision::Refused(_)) => {}
            None => return Ok(None),
        }
    }
}

/// Chooses a server without the coordinator and reports the run to it.
fn place_locally(
    gateway: &Rc<Gateway>,
    request: &SlotRequestGuard,
    service: &str,
    excluded: &[BackendServerId],
) -> Option<BackendServerId> {
    let server = gateway.pick_server(service, excluded)?;
    let mut requests = gateway.slot_requests.requests.borrow_mut();
    let state = requests.get_mut(&request.id)?;
    state.server = Some(server.id.clone());
    let info = request_info(request.id, state, gateway.clock.now());
    drop(requests);
    gateway.send_to_coordinator(PeerMessage::RequestSlot(info));
    Some(server.id.clone())
}
