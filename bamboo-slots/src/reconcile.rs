//! Compares the broker's requests with those that a host reports. Any message between the two may be lost, late or doubled;
//! what they believe of each request is therefore compared, not what was sent.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::Action;
use crate::Broker;
use crate::RunOutcome;
use crate::ServerTag;
use crate::SlotRequest;
use crate::SlotRequestId;
use crate::request_state::GrantedSlot;
use crate::request_state::RequestKey;
use crate::server_tag;

/// Age from which a request that its host does not list is dropped: four heartbeat intervals.
const UNREPORTED_MAX: Duration = Duration::from_secs(1);
/// Age from which a grant is repeated if its host does not run the request: a heartbeat interval.
const GRANT_REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Age up to which grants are repeated for a host that does not say what it runs.
const BLIND_REPEAT_MAX: Duration = Duration::from_millis(1500);

impl Broker {
    /// Compares the requests of a host with what it reports: all its requests and, if it says so, those that run. Repeats grants
    /// that did not arrive, and drops requests that the host no longer has. Returns the requests on which both still differ,
    /// which a message that is under way may explain.
    pub fn reconcile(
        &mut self,
        host: &str,
        reported: &HashSet<SlotRequestId>,
        runs: Option<&BTreeMap<SlotRequestId, ServerTag>>,
        now: Duration,
    ) -> HashSet<SlotRequestId> {
        let mut differing = self.unknown_requests(host, reported);
        if let Some(runs) = runs {
            differing.extend(self.differing_runs(host, runs));
        }
        self.repeat_grants(host, reported, runs, now);
        self.drop_unreported(host, reported, now);
        differing
    }

    /// Replaces the requests of a host by those that it reports anew. Runs come first: the slots that they hold must not be granted
    /// to requests that wait, of this host or another one. A run that was known keeps the time of its grant.
    pub fn replace_host(
        &mut self,
        host: &str,
        runs: Vec<(SlotRequest, BackendServerId)>,
        waiting: Vec<SlotRequest>,
        now: Duration,
    ) {
        let known: BTreeMap<SlotRequestId, GrantedSlot> = self
            .requests_of(host)
            .filter_map(|(id, key)| Some((id, self.requests.get(key)?.granted.clone()?)))
            .collect();
        self.drop_host(host, now);
        for (request, server) in runs {
            let id = request.id;
            self.restore_run(request, &server, now);
            let granted = known.get(&id).filter(|granted| granted.server == server);
            let key = self.by_id.get(&(host.to_owned(), id)).copied();
            let state = key.and_then(|key| self.requests.get_mut(key));
            if let (Some(granted), Some(state)) = (granted, state) {
                state.granted = Some(granted.clone());
            }
        }
        for request in waiting {
            self.request_slot(request, now);
        }
    }

    /// Returns the reported requests of a host that the broker does not know.
    pub fn unknown_requests(
        &self,
        host: &str,
        reported: &HashSet<SlotRequestId>,
    ) -> HashSet<SlotRequestId> {
        let known: HashSet<SlotRequestId> =
            self.requests_of(host).map(|(request, _)| request).collect();
        reported.difference(&known).copied().collect()
    }

    /// Requests that run at another server than the broker believes, or that it takes for queued.
    fn differing_runs<'a>(
        &'a self,
        host: &'a str,
        runs: &'a BTreeMap<SlotRequestId, ServerTag>,
    ) -> impl Iterator<Item = SlotRequestId> + 'a {
        let differs = |(request, key): &(SlotRequestId, RequestKey)| {
            runs.get(request)
                .is_some_and(|tag| self.granted_tag(*key) != Some(*tag))
        };
        self.requests_of(host)
            .filter(differs)
            .map(|(request, _)| request)
    }

    fn granted_tag(&self, key: RequestKey) -> Option<ServerTag> {
        let granted = self.requests.get(key)?.granted.as_ref()?;
        Some(server_tag(&granted.server))
    }

    /// Grants slots again that a host has been granted, though the request still waits there. A host that does not say what
    /// runs gets the recent grants again.
    fn repeat_grants(
        &mut self,
        host: &str,
        reported: &HashSet<SlotRequestId>,
        runs: Option<&BTreeMap<SlotRequestId, ServerTag>>,
        now: Duration,
    ) {
        let repeated: Vec<Action> = self
            .requests_of(host)
            .filter(|(request, _)| reported.contains(request))
            .filter_map(|(request, key)| {
                let granted = self.requests.get(key)?.granted.as_ref()?;
                let age = now.saturating_sub(granted.granted_at);
                let may_wait = match runs {
                    Some(runs) => !runs.contains_key(&request),
                    None => age <= BLIND_REPEAT_MAX,
                };
                (may_wait && age >= GRANT_REPEAT_AFTER).then(|| Action::Grant {
                    host: host.to_owned(),
                    request,
                    server: granted.server.clone(),
                })
            })
            .collect();
        self.actions.extend(repeated);
    }

    /// Removes requests that their host no longer reports, unless they may be newer than the report.
    fn drop_unreported(&mut self, host: &str, reported: &HashSet<SlotRequestId>, now: Duration) {
        let is_old = |key: RequestKey| {
            self.requests
                .get(key)
                .is_some_and(|state| now.saturating_sub(state.created_at) > UNREPORTED_MAX)
        };
        let stale: Vec<SlotRequestId> = self
            .requests_of(host)
            .filter(|(request, key)| !reported.contains(request) && is_old(*key))
            .map(|(request, _)| request)
            .collect();
        for request in stale {
            self.release(host, request, None, RunOutcome::Cancelled, now);
        }
    }
}
