//! The slot requests of one host, as that host sees them.

use std::collections::BTreeMap;

use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use bamboo_types::rendezvous_weight;
use serde::Deserialize;
use serde::Serialize;

use crate::RequestTerms;
use crate::SlotRequestId;
use crate::Work;

/// Digest of a server's identifier, by which a host and its coordinator compare where a request runs.
pub type ServerTag = u8;

/// Digest of a server's identifier.
///
/// ```
/// assert_eq!(bamboo_slots::server_tag("s1"), bamboo_slots::server_tag("s1"));
/// ```
pub fn server_tag(server: &str) -> ServerTag {
    rendezvous_weight(server, "run") as ServerTag
}

/// What a host believes of its slot requests.
///
/// ```
/// use bamboo_slots::{PackedReport, RequestReport};
/// let report = RequestReport {
///     waiting: vec![1_000, 1_002],
///     running: vec![(1_001, 7), (1_005, 9)],
/// };
/// let packed = PackedReport::from(&report);
/// assert_eq!(RequestReport::try_from(packed), Ok(report));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestReport {
    /// Requests that wait for a slot, in ascending order.
    pub waiting: Vec<SlotRequestId>,
    /// Requests that run, in ascending order, each with the server that runs it.
    pub running: Vec<(SlotRequestId, ServerTag)>,
}

impl RequestReport {
    /// Identifiers of all requests.
    pub fn ids(&self) -> impl Iterator<Item = SlotRequestId> {
        let running = self.running.iter().map(|(id, _)| *id);
        self.waiting.iter().copied().chain(running)
    }
}

/// A [`RequestReport`] as it is sent: identifiers as the difference to the previous one, which take a byte each as a rule.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedReport {
    waiting: Vec<SlotRequestId>,
    running: Vec<(SlotRequestId, ServerTag)>,
}

/// Differences between identifiers and their predecessors.
fn differences<I>(ids: I) -> impl Iterator<Item = SlotRequestId>
where
    I: Iterator<Item = SlotRequestId>,
{
    let mut last = 0;
    ids.map(move |id| id.wrapping_sub(std::mem::replace(&mut last, id)))
}

/// Identifiers with these differences.
fn sums<I>(differences: I) -> Result<Vec<SlotRequestId>, ReportOutOfOrder>
where
    I: Iterator<Item = SlotRequestId>,
{
    let mut last: SlotRequestId = 0;
    let ids = differences.map(|difference| {
        last = last.checked_add(difference).ok_or(ReportOutOfOrder)?;
        Ok(last)
    });
    ids.collect()
}

impl From<&RequestReport> for PackedReport {
    fn from(report: &RequestReport) -> Self {
        let (ids, tags): (Vec<_>, Vec<_>) = report.running.iter().copied().unzip();
        PackedReport {
            waiting: differences(report.waiting.iter().copied()).collect(),
            running: differences(ids.into_iter()).zip(tags).collect(),
        }
    }
}

/// A report whose identifiers are not in ascending order, or too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportOutOfOrder;

impl std::fmt::Display for ReportOutOfOrder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("identifiers of slot requests are not in ascending order")
    }
}

impl std::error::Error for ReportOutOfOrder {}

impl TryFrom<PackedReport> for RequestReport {
    type Error = ReportOutOfOrder;

    fn try_from(packed: PackedReport) -> Result<Self, ReportOutOfOrder> {
        let waiting = sums(packed.waiting.into_iter())?;
        let (differences, tags): (Vec<_>, Vec<_>) = packed.running.into_iter().unzip();
        let running = sums(differences.into_iter())?
            .into_iter()
            .zip(tags)
            .collect();
        Ok(RequestReport { waiting, running })
    }
}

/// A slot request that has not been released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequest {
    /// Service whose engines can run the work.
    pub service: String,
    /// Work to run. All instants are on the host's clock.
    pub work: Work,
    /// Servers whose slots must not be granted.
    pub excluded: Vec<BackendServerId>,
    /// Version of the software that the server must have, if any.
    pub version: Option<SoftwareVersion>,
    /// For whom it is, and how it competes with others. All instants are on the host's clock.
    pub terms: RequestTerms,
    /// Server that runs it; `None` while the request waits.
    pub server: Option<BackendServerId>,
}

/// What to do with a slot that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantStep {
    /// The request has waited for it, and runs from now on.
    Run,
    /// The request holds the slot already.
    Ignore,
    /// The request runs at another server, of which the coordinator is to be told.
    ReportRun,
    /// The request has ended; the slot is to be released.
    Release,
}

/// Slot requests of a host that have not been released.
#[derive(Debug, Default)]
pub struct HostRequests {
    requests: BTreeMap<SlotRequestId, OpenRequest>,
    last_id: SlotRequestId,
}

impl HostRequests {
    /// Creates the table of a process. The numbers of its requests follow `last_id`, which differs from process to process, so
    /// that a decision for a former process of the host is not taken for one of this process.
    pub fn new(last_id: SlotRequestId) -> Self {
        HostRequests {
            requests: BTreeMap::new(),
            last_id,
        }
    }

    /// Adds a request and returns its identifier.
    pub fn open(&mut self, request: OpenRequest) -> SlotRequestId {
        self.last_id += 1;
        self.requests.insert(self.last_id, request);
        self.last_id
    }

    /// Removes a request and returns it.
    pub fn close(&mut self, id: SlotRequestId) -> Option<OpenRequest> {
        self.requests.remove(&id)
    }

    /// A request.
    pub fn get(&self, id: SlotRequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// All requests with their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (SlotRequestId, &OpenRequest)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// Takes a slot that the coordinator granted. A grant may come more than once, and late.
    ///
    /// ```
    /// use bamboo_slots::{GrantStep, HostRequests, OpenRequest, RequestTerms, Work};
    /// use std::time::Duration;
    /// let mut requests = HostRequests::new(100);
    /// let work = Work::Batch { due: Duration::from_secs(9), remaining: Duration::from_secs(2) };
    /// let id = requests.open(OpenRequest {
    ///     service: "llm".into(),
    ///     work,
    ///     excluded: vec![],
    ///     version: None,
    ///     terms: RequestTerms::default(),
    ///     server: None,
    /// });
    /// assert_eq!(requests.grant(id, "s1"), GrantStep::Run);
    /// assert_eq!(requests.grant(id, "s1"), GrantStep::Ignore);
    /// assert_eq!(requests.grant(id, "s2"), GrantStep::ReportRun);
    /// requests.close(id);
    /// assert_eq!(requests.grant(id, "s1"), GrantStep::Release);
    /// ```
    pub fn grant(&mut self, id: SlotRequestId, server: &str) -> GrantStep {
        let Some(request) = self.requests.get_mut(&id) else {
            return GrantStep::Release;
        };
        match &request.server {
            None => {
                request.server = Some(server.to_owned());
                GrantStep::Run
            }
            Some(current) if current == server => GrantStep::Ignore,
            Some(_) => GrantStep::ReportRun,
        }
    }

    /// Records that a request runs at a server that this host chose itself.
    pub fn place(&mut self, id: SlotRequestId, server: &str) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.server = Some(server.to_owned());
        }
    }

    /// What this host believes of its requests.
    pub fn report(&self) -> RequestReport {
        let mut report = RequestReport::default();
        for (id, request) in &self.requests {
            match &request.server {
                Some(server) => report.running.push((*id, server_tag(server))),
                None => report.waiting.push(*id),
            }
        }
        report
    }
}
