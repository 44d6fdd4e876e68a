//! Order of the events of a stream that several servers send one after another.

use crate::SseEvent;

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventCheck {
    /// It is the next one.
    Forward,
    /// The caller already has it.
    Repeated,
    /// It does not go on where the stream broke off, so that the response is of something else.
    Foreign,
}

/// Which events of a stream the caller has.
#[derive(Debug, Clone)]
pub struct EventOrder {
    last_id: Option<u64>,
    /// Whether each identifier is by one greater than the one before, as far as known.
    is_contiguous: bool,
    has_sent: bool,
    /// Whether another server is to go on, and has sent nothing yet.
    is_resuming: bool,
}

impl EventOrder {
    /// A stream of which the caller has the events up to `last_id`.
    ///
    /// ```
    /// assert_eq!(bamboo_fleet::EventOrder::new(Some(4)).last_id(), Some(4));
    /// ```
    pub fn new(last_id: Option<u64>) -> Self {
        EventOrder {
            last_id,
            is_contiguous: true,
            has_sent: false,
            is_resuming: false,
        }
    }

    /// Identifier of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether another server can go on: the caller has nothing of this response, or events with identifiers.
    pub fn can_resume(&self) -> bool {
        self.last_id.is_some() || !self.has_sent
    }

    /// Whether the caller has an event of this response.
    pub fn has_sent(&self) -> bool {
        self.has_sent
    }

    /// Whether the server that goes on has not sent what comes next. A response that ends then says nothing of the end of the
    /// stream.
    pub fn is_resuming(&self) -> bool {
        self.is_resuming
    }

    /// Records that another server goes on.
    ///
    /// ```
    /// use bamboo_fleet::*;
    /// let mut order = EventOrder::new(None);
    /// let mut decoder = SseDecoder::default();
    /// let events = decoder.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: error\n\n").unwrap();
    /// assert_eq!(order.check(&events[0]), EventCheck::Forward);
    /// order.resume();
    /// assert_eq!(order.check(&events[0]), EventCheck::Repeated);
    /// assert_eq!(order.check(&events[2]), EventCheck::Foreign);
    /// assert_eq!(order.check(&events[1]), EventCheck::Forward);
    /// ```
    pub fn resume(&mut self) {
        self.is_resuming = self.has_sent || self.last_id.is_some();
    }

    /// Checks the next event of the response in progress.
    pub fn check(&mut self, event: &SseEvent) -> EventCheck {
        if event.id.is_some() && event.id <= self.last_id {
            return EventCheck::Repeated;
        }
        let next_id = self.last_id.map(|last_id| last_id.saturating_add(1));
        let is_next = event.id.is_some() && event.id == next_id;
        if self.is_resuming && self.last_id.is_some() {
            let may_follow = event.id.is_some() && (is_next || !self.is_contiguous);
            match (may_follow, event.has_data()) {
                (true, _) => {}
                // Comments may precede the first event.
                (false, false) if event.is_comment() => return EventCheck::Forward,
                (false, _) => return EventCheck::Foreign,
            }
        }
        if event.id.is_some() {
            self.is_contiguous &= is_next || self.last_id.is_none();
            self.last_id = event.id;
        }
        self.is_resuming = false;
        self.has_sent = true;
        EventCheck::Forward
    }
}
