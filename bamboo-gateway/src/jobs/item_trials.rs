//! Runs of items whose prompts have a part in quarantine.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use bamboo_fleet::ServiceId;
use bamboo_quarantine::SuspectId;
use tokio::sync::Mutex;
use tokio::sync::OwnedMutexGuard;

use crate::gateway::Gateway;

/// Lets one such item run at a time at each service, until one has begun. An accepted item is owed even if requests with a part of its
/// prompt crash servers, and it does not crash them by itself; should it do so after all, one server at a time is lost.
#[derive(Debug, Default)]
pub(crate) struct ItemTrials {
    turns: RefCell<HashMap<ServiceId, Arc<Mutex<()>>>>,
    /// Parts with which items have begun at this host although they were in quarantine.
    cleared: RefCell<HashSet<SuspectId>>,
}

impl ItemTrials {
    /// Waits until an item with these suspects may run at a service. Returns its turn, to be kept during the run, if it needs
    /// one.
    pub(super) async fn wait_for_turn(
        &self,
        gateway: &Gateway,
        service: &str,
        suspects: &[SuspectId],
    ) -> Option<OwnedMutexGuard<()>> {
        if !self.needs_turn(gateway, suspects) {
            return None;
        }
        let turn = {
            let mut turns = self.turns.borrow_mut();
            Arc::clone(turns.entry(service.to_owned()).or_default())
        };
        let turn = turn.lock_owned().await;
        self.needs_turn(gateway, suspects).then_some(turn)
    }

    /// Records that the run of an item in its turn has begun.
    pub(super) fn record_begun(&self, suspects: &[SuspectId]) {
        self.cleared.borrow_mut().extend(suspects);
    }

    fn needs_turn(&self, gateway: &Gateway, suspects: &[SuspectId]) -> bool {
        let cleared = self.cleared.borrow();
        let unclear = suspects.iter().filter(|suspect| !cleared.contains(suspect));
        let unclear: Vec<SuspectId> = unclear.copied().collect();
        gateway.rejection(&unclear).is_some()
    }
}
