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
use crate::mesh::AskNote;
use crate::mesh::PeerMessage;

/// Time for the coordinator's first answer. A round trip between data centres takes 3 ms; the rest is for a loaded
/// host. A fifth of the time that a first event has.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Answers that may wait for the asking task.
const ANSWER_QUEUE: usize = 4;

/// Answer of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AskAnswer {
    /// A slot of the server.
    Granted(BackendServerId),
    /// Wait.
    Queued,
    /// No slot in time.
    Refused(Duration),
}

struct AskState {
    service: String,
    work: Work,
    excluded: Vec<BackendServerId>,
    server: Option<BackendServerId>,
    answers: mpsc::Sender<AskAnswer>,
    stop: Rc<Notify>,
}

/// Asks of this host.
#[derive(Default)]
pub(crate) struct AskBook {
    asks: RefCell<BTreeMap<SlotRequestId, AskState>>,
    next_ask: Cell<SlotRequestId>,
}

impl AskBook {
    /// Numbers of all asks, waiting and held.
    pub(crate) fn ids(&self) -> Vec<SlotRequestId> {
        self.asks.borrow().keys().copied().collect()
    }

    /// All asks, with times relative to `now`.
    pub(crate) fn notes(&self, now: Duration) -> Vec<AskNote> {
        let asks = self.asks.borrow();
        asks.iter()
            .map(|(ask, state)| note_of(*ask, state, now))
            .collect()
    }

    /// Takes an answer of the coordinator. Returns whether the ask is known.
    pub(crate) fn answer(&self, ask: SlotRequestId, answer: AskAnswer) -> bool {
        let mut asks = self.asks.borrow_mut();
        let Some(state) = asks.get_mut(&ask) else {
            return false;
        };
        if let AskAnswer::Granted(server) = &answer {
            if state.server.is_some() {
                return true;
            }
            state.server = Some(server.clone());
        }
        state.answers.try_send(answer).is_ok()
    }

    /// Tells the holder of a batch item to leave its slot.
    pub(crate) fn stop(&self, ask: SlotRequestId) {
        if let Some(state) = self.asks.borrow().get(&ask) {
            state.stop.notify_one();
        }
    }
}

fn note_of(ask: SlotRequestId, state: &AskState, now: Duration) -> AskNote {
    let (is_online, due, left_ms) = match state.work {
        Work::Online {
            start_by,
            expires_at,
        } => (true, start_by, millis(expires_at.saturating_sub(now))),
        Work::Batch { due, remaining } => (false, due, millis(remaining)),
    };
    AskNote {
        ask,
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
pub(crate) enum NoSlot {
    /// The coordinator sees none in time; try again later.
    Refused(Duration),
    /// The coordinator dealt none in time.
    TimeUp,
    /// No server of the service is known.
    NoServer,
}

/// A slot that is held until this is dropped.
pub(crate) struct Slot {
    ask: OpenAsk,
    /// Server of the slot.
    pub(crate) server: Rc<Server>,
    /// Told when a batch item must leave.
    pub(crate) stop: Rc<Notify>,
}

impl Slot {
    /// Notes how the run ended; the coordinator judges servers by it.
    pub(crate) fn set_outcome(&self, outcome: RunOutcome) {
        self.ask.outcome.set(outcome);
    }
}

/// An ask that is released when this is dropped.
struct OpenAsk {
    gateway: Rc<Gateway>,
    ask: SlotRequestId,
    outcome: Cell<RunOutcome>,
}

impl Drop for OpenAsk {
    fn drop(&mut self) {
        let state = self.gateway.asks.asks.borrow_mut().remove(&self.ask);
        let server = state.and_then(|state| state.server);
        let message = PeerMessage::Release {
            ask: self.ask,
            server,
            outcome: self.outcome.get(),
        };
        self.gateway.tell_coordinator(message);
    }
}

/// Asks for a slot and waits until it is granted or refused.
///
/// # Errors
/// Fails if there is none in time, or no server.
pub(crate) async fn ask_slot(
    gateway: &Rc<Gateway>,
    service: &str,
    work: Work,
    mut excluded: Vec<BackendServerId>,
) -> Result<Slot, NoSlot> {
    loop {
        let (open, stop, mut answers) = open_ask(gateway, service, work, &excluded);
        let granted = match wait_for_grant(gateway, &open, work, &mut answers).await? {
            Some(server) => server,
            None => match place_locally(gateway, &open, service, &excluded) {
                Some(server) => server,
                None => return Err(NoSlot::NoServer),
            },
        };
        let server = gateway.directory.borrow().get(&granted).cloned();
        match server {
            Some(server) if server.state == ServerState::Ready => {
                return Ok(Slot {
                    ask: open,
                    server,
                    stop,
                });
            }
            // This host knows more of the server than the coordinator.
            _ => excluded.push(granted),
        }
    }
}

fn open_ask(
    gateway: &Rc<Gateway>,
    service: &str,
    work: Work,
    excluded: &[BackendServerId],
) -> (OpenAsk, Rc<Notify>, mpsc::Receiver<AskAnswer>) {
    let book = &gateway.asks;
    let ask = book.next_ask.get() + 1;
    book.next_ask.set(ask);
    let (answers, receiver) = mpsc::channel(ANSWER_QUEUE);
    let stop = Rc::new(Notify::new());
    let state = AskState {
        service: service.to_owned(),
        work,
        excluded: excluded.to_vec(),
        server: None,
        answers,
        stop: Rc::clone(&stop),
    };
    let note = note_of(ask, &state, gateway.clock.now());
    book.asks.borrow_mut().insert(ask, state);
    let open = OpenAsk {
        gateway: Rc::clone(gateway),
        ask,
        outcome: Cell::new(RunOutcome::Cancelled),
    };
    gateway.tell_coordinator(PeerMessage::Ask(note));
    (open, stop, receiver)
}

/// The granted server; `None` if the coordinator does not answer and the request cannot wait.
async fn wait_for_grant(
    gateway: &Rc<Gateway>,
    open: &OpenAsk,
    work: Work,
    answers: &mut mpsc::Receiver<AskAnswer>,
) -> Result<Option<BackendServerId>, NoSlot> {
    let is_online = matches!(work, Work::Online { .. });
    let mut is_queued = false;
    loop {
        let now = gateway.clock.now();
        let wait = match work {
            Work::Online { .. } if !is_queued => ANSWER_TIMEOUT,
            Work::Online { expires_at, .. } => expires_at.saturating_sub(now),
            Work::Batch { .. } => Duration::MAX,
        };
        let answer = match wait {
            Duration::MAX => answers.recv().await,
            wait => match tokio::time::timeout(wait, answers.recv()).await {
                Ok(answer) => answer,
                Err(_) if is_queued => return Err(NoSlot::TimeUp),
                Err(_) => {
                    gateway.coordinator_is_slow(open.ask, now);
                    return Ok(None);
                }
            },
        };
        match answer {
            Some(AskAnswer::Granted(server)) => return Ok(Some(server)),
            Some(AskAnswer::Refused(retry_after)) if is_online => {
                return Err(NoSlot::Refused(retry_after));
            }
            Some(AskAnswer::Queued) => is_queued = true,
            Some(AskAnswer::Refused(_)) => {}
            None => return Ok(None),
        }
    }
}

/// Chooses a server without the coordinator and reports the run to it.
fn place_locally(
    gateway: &Rc<Gateway>,
    open: &OpenAsk,
    service: &str,
    excluded: &[BackendServerId],
) -> Option<BackendServerId> {
    let server = gateway.pick_server(service, excluded)?;
    let mut asks = gateway.asks.asks.borrow_mut();
    let state = asks.get_mut(&open.ask)?;
    state.server = Some(server.id.clone());
    let note = note_of(open.ask, state, gateway.clock.now());
    drop(asks);
    gateway.tell_coordinator(PeerMessage::Ask(note));
    Some(server.id.clone())
}
