//! Requests that wait for a record to be stored.

use std::collections::BTreeMap;

use bamboo_log::Ticket;
use bamboo_types::JobId;
use bamboo_types::Now;
use bamboo_types::RequestId;

use crate::KeyedRequest;

/// What a record was appended for.
#[derive(Debug)]
pub(crate) enum AppendPurpose {
    /// Items of an upload.
    Upload,
    /// A job.
    Submit {
        /// Identifier.
        job: JobId,
        /// Digest of its items.
        digest: u128,
    },
    /// The cancel of a job.
    Cancel(JobId),
    /// A change of configuration; answered when it is read back.
    Propose,
    /// The claim of a keyed call.
    Keyed(Box<KeyedRequest>),
}

/// A request that waits for its record.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) purpose: AppendPurpose,
    pub(crate) deadline: Now,
}

/// All requests that wait for records.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    by_ticket: BTreeMap<Ticket, Waiter>,
}

impl Waiters {
    pub(crate) fn insert(&mut self, ticket: Ticket, waiter: Waiter) {
        self.by_ticket.insert(ticket, waiter);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.by_ticket.remove(&ticket)
    }

    pub(crate) fn deadline(&self, ticket: Ticket) -> Option<Now> {
        self.by_ticket.get(&ticket).map(|waiter| waiter.deadline)
    }

    /// Whether the record is a change of configuration.
    pub(crate) fn is_config_change(&self, ticket: Ticket) -> bool {
        self.by_ticket
            .get(&ticket)
            .is_some_and(|waiter| matches!(waiter.purpose, AppendPurpose::Propose))
    }

    /// Tickets whose waiters are overdue or whose stream matches.
    pub(crate) fn tickets_where<F>(&self, matches: F) -> Vec<Ticket>
    where
        F: Fn(&Ticket, &Waiter) -> bool,
    {
        self.by_ticket
            .iter()
            .filter(|(ticket, waiter)| matches(ticket, waiter))
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    pub(crate) fn count(&self) -> usize {
        self.by_ticket.len()
    }
}
