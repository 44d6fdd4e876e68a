//! Bound for the bytes of all bodies that a process buffers at once.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes of each body that do not count towards the budget, so that small bodies pass while large ones fill it.
pub const UNCOUNTED_BODY_BYTES: usize = 64 << 10;

/// Budget for buffered bodies, shared by all requests of a process.
#[derive(Debug)]
pub struct BufferBudget {
    used_bytes: AtomicUsize,
    max_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget.
    ///
    /// ```
    /// use bamboo_fleet::{BufferBudget, UNCOUNTED_BODY_BYTES};
    /// let budget = BufferBudget::new(1_000);
    /// let mut first = budget.begin_body();
    /// assert!(first.grow(UNCOUNTED_BODY_BYTES + 1_000));
    /// let mut second = budget.begin_body();
    /// assert!(second.grow(UNCOUNTED_BODY_BYTES));
    /// assert!(!second.grow(1));
    /// drop(first);
    /// assert!(second.grow(1));
    /// ```
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(BufferBudget {
            used_bytes: AtomicUsize::new(0),
            max_bytes,
        })
    }

    /// Begins to buffer a body whose first bytes do not count.
    pub fn begin_body(self: &Arc<Self>) -> BufferReservation {
        self.begin(UNCOUNTED_BODY_BYTES)
    }

    /// Begins to buffer a body that counts from its first byte on, as a crowd of small ones uses up the memory, too.
    ///
    /// ```
    /// use bamboo_fleet::BufferBudget;
    /// let budget = BufferBudget::new(1_000);
    /// let mut body = budget.begin_counted_body();
    /// assert!(!body.grow(1_001));
    /// assert!(body.grow(1_000));
    /// assert_eq!(budget.used_bytes(), 1_000);
    /// ```
    pub fn begin_counted_body(self: &Arc<Self>) -> BufferReservation {
        self.begin(0)
    }

    /// Reserves room for a number of bytes. Returns `None` if the budget is exhausted.
    ///
    /// ```
    /// use bamboo_fleet::BufferBudget;
    /// let budget = BufferBudget::new(1_000);
    /// let first = budget.reserve(700);
    /// assert!(first.is_some());
    /// assert!(budget.reserve(400).is_none());
    /// ```
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<BufferReservation> {
        let mut reservation = self.begin_counted_body();
        reservation.grow(bytes).then_some(reservation)
    }

    fn begin(self: &Arc<Self>, uncounted_bytes: usize) -> BufferReservation {
        BufferReservation {
            budget: Arc::clone(self),
            uncounted_bytes,
            body_bytes: 0,
            counted_bytes: 0,
        }
    }

    /// Counted bytes of all bodies, at most the budget.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    fn try_add(&self, bytes: usize) -> bool {
        let add = |used: usize| {
            used.checked_add(bytes)
                .filter(|used| *used <= self.max_bytes)
        };
        self.used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }
}

/// Share of one body in the budget, returned on drop.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Arc<BufferBudget>,
    uncounted_bytes: usize,
    body_bytes: usize,
    counted_bytes: usize,
}

impl BufferReservation {
    /// Reserves room for further bytes of the body. Returns `false`, and reserves nothing, if the budget is exhausted.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let body_bytes = self.body_bytes.saturating_add(bytes);
        let counted_bytes = body_bytes.saturating_sub(self.uncounted_bytes);
        if !self.budget.try_add(counted_bytes - self.counted_bytes) {
            return false;
        }
        self.body_bytes = body_bytes;
        self.counted_bytes = counted_bytes;
        true
    }

    /// Returns what exceeds this number of bytes of the body.
    ///
    /// ```
    /// use bamboo_fleet::BufferBudget;
    /// let budget = BufferBudget::new(1_000);
    /// let mut body = budget.begin_counted_body();
    /// assert!(body.grow(1_000));
    /// body.shrink_to(300);
    /// assert_eq!(budget.used_bytes(), 300);
    /// ```
    pub fn shrink_to(&mut self, body_bytes: usize) {
        self.body_bytes = self.body_bytes.min(body_bytes);
        let counted_bytes = self.body_bytes.saturating_sub(self.uncounted_bytes);
        let returned = self.counted_bytes - counted_bytes;
        self.counted_bytes = counted_bytes;
        self.budget
            .used_bytes
            .fetch_sub(returned, Ordering::Relaxed);
    }

    /// Number of bytes of the body.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}
