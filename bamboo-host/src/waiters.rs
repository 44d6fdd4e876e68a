//! Requests that wait until their record is stored in the log.

use std::collections::BTreeMap;

use bamboo_log::Ticket;
use bamboo_types::JobId;
use bamboo_types::Now;
use bamboo_types::RequestId;

use crate::KeyedRequest;

/// Why a record was appended; decides how its request is answered.
#[derive(Debug)]
pub(crate) enum AppendPurpose {
    /// A chunk of uploaded items.
    Upload,
    /// The submit of a job.
    Submit {
        /// Identifier of the job.
        job: JobId,
        /// Digest of its items.
        digest: u128,
    },
    /// The cancellation of a job.
    Cancel(JobId),
    /// A configuration change, answered when it is read back.
    Propose,
    /// The claim of a keyed call.
    Keyed(Box<KeyedRequest>),
}

/// A request that waits until its record is stored.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) purpose: AppendPurpose,
    pub(crate) deadline: Now,
}

/// All requests that wait for their records, by the ticket of the append.
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

    /// Whether the record of this ticket is a configuration change.
    pub(crate) fn is_config_change(&self, ticket: Ticket) -> bool {
        self.by_ticket
            .get(&ticket)
            .is_some_and(|waiter| matches!(waiter.purpose, AppendPurpose::Propose))
    }

    /// Tickets that match a predicate, in order.
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
