//! Bodies of callers' requests. They count towards one budget by what is allocated for them, and the slowest is evicted for others.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bamboo_fleet::BodyProgress;
use bamboo_fleet::BufferBudget;
use bamboo_fleet::BufferReservation;
use bamboo_fleet::slowest_body;
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::traffic::buffered_body::BodyError;
use crate::traffic::buffered_body::counted_bytes;

/// Bytes that are allocated at first for a body that announces more. What is announced may never arrive.
const FIRST_ALLOCATION_BYTES: usize = 8 << 10;

type BodyId = u64;

/// What is held of a body that is being read.
struct HeldBytes {
    bytes: Vec<u8>,
    reservation: BufferReservation,
}

/// A body that is being read.
struct OpenBody {
    began_at: Duration,
    received_bytes: Cell<usize>,
    /// `None` once the body is whole or has been evicted.
    held: RefCell<Option<HeldBytes>>,
    evicted: Notify,
}

/// All bodies of callers, and the budget for them.
pub(crate) struct CallerBodies {
    budget: Arc<BufferBudget>,
    clock: Clock,
    open: RefCell<BTreeMap<BodyId, Rc<OpenBody>>>,
    next_id: Cell<BodyId>,
}

/// Registration of a body that is being read.
struct Registration<'a> {
    bodies: &'a CallerBodies,
    id: BodyId,
    body: Rc<OpenBody>,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.bodies.open.borrow_mut().remove(&self.id);
    }
}

impl CallerBodies {
    pub(crate) fn new(budget: Arc<BufferBudget>, clock: Clock) -> Self {
        CallerBodies {
            budget,
            clock,
            open: RefCell::default(),
            next_id: Cell::new(0),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    /// Fails if the body is truncated or larger than `max_bytes`, and if it is evicted or finds the budget exhausted. One that
    /// announces more than `max_bytes` is not read at all.
    pub(crate) async fn read_whole(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let announced = body.size_hint().exact();
        if announced.is_some_and(|bytes| bytes > max_bytes as u64) {
            return Err(BodyError::TooLarge(max_bytes));
        }
        let whole_bytes = announced.map(|bytes| bytes as usize);
        let registration = self.register();
        let open = &registration.body;
        loop {
            let frame = tokio::select! {
                biased;
                () = open.evicted.notified() => return Err(BodyError::Evicted),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let received_bytes = open.received_bytes.get() + data.len();
            if received_bytes > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            open.received_bytes.set(received_bytes);
            self.append(&registration, &data, whole_bytes.unwrap_or(max_bytes))?;
        }
        let held = open.held.borrow_mut().take().ok_or(BodyError::Evicted)?;
        Ok(counted_bytes(held.bytes, held.reservation))
    }

    /// Reserves memory for what is derived from a whole body. Returns `None` if the budget is exhausted.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<BufferReservation> {
        loop {
            if let Some(reservation) = self.budget.reserve(bytes) {
                return Some(reservation);
            }
            self.evict_slowest(None).then_some(())?;
        }
    }

    /// Evicts the slowest body that is being read, unless it is `own`. Returns whether one was evicted.
    pub(crate) fn evict_slowest(&self, own: Option<BodyId>) -> bool {
        let open = self.open.borrow();
        let held = open.iter().filter(|(_, body)| body.held.borrow().is_some());
        let progress = held.map(|(id, body)| {
            let progress = BodyProgress {
                began_at: body.began_at,
                received_bytes: body.received_bytes.get(),
            };
            (*id, progress)
        });
        let victim = slowest_body(progress, self.clock.now()).filter(|id| Some(*id) != own);
        let Some(body) = victim.and_then(|id| open.get(&id)) else {
            return false;
        };
        // The memory is free at once, also if the task of the request runs later.
        body.held.borrow_mut().take();
        body.evicted.notify_one();
        true
    }

    fn register(&self) -> Registration<'_> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let held = HeldBytes {
            bytes: Vec::new(),
            reservation: self.budget.begin_counted_body(),
        };
        let body = Rc::new(OpenBody {
            began_at: self.clock.now(),
            received_bytes: Cell::new(0),
            held: RefCell::new(Some(held)),
            evicted: Notify::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&body));
        Registration {
            bodies: self,
            id,
            body,
        }
    }

    /// Appends bytes to a body that may get as large as `whole_bytes`, once memory for them is reserved.
    fn append(
        &self,
        registration: &Registration<'_>,
        data: &[u8],
        whole_bytes: usize,
    ) -> Result<(), BodyError> {
        loop {
            {
                let mut held = registration.body.held.borrow_mut();
                let held = held.as_mut().ok_or(BodyError::Evicted)?;
                let capacity = next_capacity(&held.bytes, data.len(), whole_bytes);
                let growth = capacity - held.bytes.capacity();
                if held.reservation.grow(growth) {
                    held.bytes.reserve_exact(capacity - held.bytes.len());
                    held.bytes.extend_from_slice(data);
                    return Ok(());
                }
            }
            if !self.evict_slowest(Some(registration.id)) {
                return Err(BodyError::BudgetExhausted);
            }
        }
    }
}

/// Capacity that a body needs for further bytes: twice what it has, so that it is seldom moved, but no more than the whole body.
fn next_capacity(bytes: &Vec<u8>, further_bytes: usize, whole_bytes: usize) -> usize {
    let needed = bytes.len() + further_bytes;
    if needed <= bytes.capacity() {
        return bytes.capacity();
    }
    let doubled = (bytes.capacity() * 2).max(FIRST_ALLOCATION_BYTES);
    doubled.min(whole_bytes).max(needed)
}
