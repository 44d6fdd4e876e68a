//! Ring buffer of events.

use std::collections::VecDeque;

use bamboo_types::HostId;
use bamboo_types::Timestamp;

use crate::Event;
use crate::EventKind;

/// Ring buffer of the most recent events of one process.
#[derive(Debug)]
pub struct EventRing {
    host: HostId,
    capacity: usize,
    next_number: u64,
    events: VecDeque<Event>,
}

impl EventRing {
    /// Creates an empty buffer. A capacity of 0 is raised to 1.
    ///
    /// ```
    /// use bamboo_events::{EventKind, EventRing};
    /// use std::time::Duration;
    /// let mut ring = EventRing::new("h1".into(), 1);
    /// ring.push(Duration::ZERO, EventKind::Readiness, String::new(), "ready".into());
    /// ring.push(Duration::ZERO, EventKind::Readiness, String::new(), "not ready".into());
    /// assert_eq!(ring.events_about("").len(), 1);
    /// ```
    pub fn new(host: HostId, capacity: usize) -> Self {
        EventRing {
            host,
            capacity: capacity.max(1),
            next_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Appends an event. When the buffer is full, the oldest event is dropped.
    pub fn push(&mut self, now: Timestamp, kind: EventKind, subject: String, detail: String) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        let number = self.next_number;
        self.next_number += 1;
        let at_us = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.events.push_back(Event {
            at_us,
            host: self.host.clone(),
            number,
            kind,
            subject,
            detail,
        });
    }

    /// Events of a request, of a job with its items, or of one item, oldest first. An empty subject selects all events.
    pub fn events_about(&self, subject: &str) -> Vec<Event> {
        let item_prefix = format!("{subject}/");
        let matches_subject = |event: &&Event| {
            subject.is_empty()
                || event.subject == subject
                || event.subject.starts_with(&item_prefix)
        };
        self.events
            .iter()
            .filter(matches_subject)
            .cloned()
            .collect()
    }
}
