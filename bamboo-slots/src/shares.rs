//! Max-min fair shares of the slots of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::WorkspaceId;

use crate::Broker;
use crate::SlotRequest;
use crate::order::OnlineOrder;
use crate::order::online_order;
use crate::request_state::RequestKey;

/// Slots that online requests of workspaces hold, by service. Requests without a workspace count as one of their own.
#[derive(Debug, Default)]
pub(crate) struct HeldSlots {
    services: BTreeMap<String, BTreeMap<Option<WorkspaceId>, usize>>,
}

impl HeldSlots {
    /// Records that an online request holds a slot.
    pub(crate) fn hold(&mut self, request: &SlotRequest) {
        let service = self.services.entry(request.service.clone()).or_default();
        *service.entry(request.terms.workspace.clone()).or_default() += 1;
    }

    /// Records that an online request no longer holds a slot.
    pub(crate) fn release(&mut self, request: &SlotRequest) {
        let Some(service) = self.services.get_mut(&request.service) else {
            return;
        };
        if let Some(count) = service.get_mut(&request.terms.workspace) {
            *count -= 1;
            if *count == 0 {
                service.remove(&request.terms.workspace);
            }
        }
    }

    fn of_service(&self, service: &str) -> Option<&BTreeMap<Option<WorkspaceId>, usize>> {
        self.services.get(service)
    }
}

/// Largest share by max-min fairness (water filling): each gets what it asks for up to this share, and all together get
/// `slots`. `None` if there is enough for all.
///
/// ```
/// use bamboo_slots::fair_share;
/// assert_eq!(fair_share(&[2, 10, 10], 12), Some(5.0));
/// assert_eq!(fair_share(&[2, 10], 12), None);
/// ```
pub fn fair_share(demands: &[usize], slots: usize) -> Option<f64> {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();
    let mut left = slots as f64;
    for (index, demand) in sorted.iter().enumerate() {
        let share = left / (sorted.len() - index) as f64;
        if *demand as f64 > share {
            return Some(share);
        }
        left -= *demand as f64;
    }
    None
}

/// The share of each workspace in a service, and what each one holds.
struct Shares<'a> {
    share: f64,
    /// Slots held by each workspace, and those that its requests earlier in the order would hold.
    held: BTreeMap<Option<&'a str>, usize>,
}

impl<'a> Shares<'a> {
    /// Whether the workspace of a request holds its share by the time that the request is granted a slot after the earlier ones.
    fn is_over(&mut self, request: &'a SlotRequest) -> bool {
        let held = self
            .held
            .entry(request.terms.workspace.as_deref())
            .or_default();
        *held += 1;
        // The share need not be a whole number: a workspace goes on until the next slot would exceed it.
        *held as f64 > self.share
    }
}

impl Broker {
    /// The shares in a service, if its requests name workspaces and there is not enough for all.
    fn shares<'a>(&'a self, service: &str, queue: &[&'a SlotRequest]) -> Option<Shares<'a>> {
        let held = self.held_slots.of_service(service);
        let held: BTreeMap<Option<&str>, usize> = held
            .into_iter()
            .flatten()
            .map(|(workspace, count)| (workspace.as_deref(), *count))
            .collect();
        let mut demands = held.clone();
        for request in queue {
            *demands
                .entry(request.terms.workspace.as_deref())
                .or_default() += 1;
        }
        if demands.keys().all(Option::is_none) {
            return None;
        }
        let demands: Vec<usize> = demands.into_values().collect();
        let share = fair_share(&demands, self.online_load(service).slots)?;
        Some(Shares { share, held })
    }

    /// Queued online requests with their places, in the order in which they get slots. `new` is one that has just arrived,
    /// without a key.
    pub(crate) fn ordered_queue<'a>(
        &'a self,
        new: Option<&'a SlotRequest>,
        now: Duration,
    ) -> Vec<(OnlineOrder, Option<RequestKey>)> {
        let queued = self.waiting_online.iter().filter_map(|key| {
            let request = self.requests.get(*key).map(|state| &state.request)?;
            Some((online_order(request, now), Some(*key), request))
        });
        let new = new.map(|request| (online_order(request, now), None, request));
        let mut queue: Vec<_> = queued.chain(new).collect();
        queue.sort_by_key(|(order, ..)| *order);
        let has_workspaces = queue
            .iter()
            .any(|(.., request)| request.terms.workspace.is_some());
        if has_workspaces {
            self.mark_over_share(&mut queue);
            queue.sort_by_key(|(order, ..)| *order);
        }
        let places = queue.into_iter();
        places.map(|(order, key, _)| (order, key)).collect()
    }

    /// Marks the requests whose workspaces hold their share already, given a queue in order.
    fn mark_over_share<'a>(
        &'a self,
        queue: &mut [(OnlineOrder, Option<RequestKey>, &'a SlotRequest)],
    ) {
        let mut services: BTreeMap<&str, Vec<&'a SlotRequest>> = BTreeMap::new();
        for (.., request) in queue.iter() {
            services.entry(&request.service).or_default().push(request);
        }
        let mut shares: BTreeMap<&str, Option<Shares<'a>>> = services
            .into_iter()
            .map(|(service, requests)| (service, self.shares(service, &requests)))
            .collect();
        for (order, _, request) in queue {
            let shares = shares.get_mut(request.service.as_str());
            order.is_over_share = shares
                .and_then(Option::as_mut)
                .is_some_and(|shares| shares.is_over(request));
        }
    }
}
