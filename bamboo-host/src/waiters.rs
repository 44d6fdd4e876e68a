//! Requests that wait until their record is stored in the log.

use std::collections::BTreeMap;

use bamboo_log::RecordHandle;
use bamboo_types::JobId;
use bamboo_types::RequestId;
use bamboo_types::Timestamp;

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
    pub(crate) deadline: Timestamp,
}

/// All requests that wait for their records, by the handle of the record.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    by_handle: BTreeMap<RecordHandle, Waiter>,
}

impl Waiters {
    pub(crate) fn insert(&mut self, handle: RecordHandle, waiter: Waiter) {
        self.by_handle.insert(handle, waiter);
    }

    pub(crate) fn remove(&mut self, handle: RecordHandle) -> Option<Waiter> {
        self.by_handle.remove(&handle)
    }

    pub(crate) fn deadline(&self, handle: RecordHandle) -> Option<Timestamp> {
        self.by_handle.get(&handle).map(|waiter| waiter.deadline)
    }

    /// Whether the record of this handle is a configuration change.
    pub(crate) fn is_config_change(&self, handle: RecordHandle) -> bool {
        self.by_handle
            .get(&handle)
            .is_some_and(|waiter| matches!(waiter.purpose, AppendPurpose::Propose))
    }

    /// Handles that match a predicate, in order.
    pub(crate) fn handles_where<F>(&self, matches: F) -> Vec<RecordHandle>
    where
        F: Fn(&RecordHandle, &Waiter) -> bool,
    {
        self.by_handle
            .iter()
            .filter(|(handle, waiter)| matches(handle, waiter))
            .map(|(handle, _)| *handle)
            .collect()
    }

    pub(crate) fn count(&self) -> usize {
        self.by_handle.len()
    }
}
