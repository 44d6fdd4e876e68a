//! A caller's request as it is forwarded to servers.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Authentication;
use bamboo_fleet::Route;
use bamboo_fleet::Workspace;
use bamboo_quarantine::RequestContent;
use bamboo_quarantine::SuspectId;
use bamboo_quarantine::part_suspect;
use bamboo_slots::Rank;
use bamboo_slots::RequestTerms;
use bamboo_types::PromptPartId;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;

use crate::dialect::HeaderNames;

/// Hop-by-hop headers, which must not be forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request whose headers and body have been read.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Identifier of the request.
    pub(crate) id: String,
    /// Route that the request matches.
    pub(crate) route: Rc<Route>,
    /// Service picked by the weights of the route.
    pub(crate) service: String,
    /// Workspace of the caller, if the configuration has workspaces.
    pub(crate) workspace: Option<Rc<Workspace>>,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// What it has in common with other requests and may crash servers, the widest first. The last one is its whole
    /// content.
    pub(crate) suspects: Rc<[SuspectId]>,
    /// When its headers had been received.
    pub(crate) arrived_at: Duration,
    /// Estimate of how long the caller had been waiting before, if it is a retry.
    pub(crate) waited: Duration,
    /// When the response is due, by the caller's deadline and the route's timeout.
    pub(crate) deadline: Duration,
    /// Whether it may have run.
    pub(crate) progress: Rc<RequestProgress>,
}

/// How far a request has come, for the answer to its caller if it is ended from outside.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    attempts: Cell<u32>,
}

impl RequestProgress {
    /// Records that the request is about to be sent.
    pub(crate) fn begin_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Records that an attempt did not run the request.
    pub(crate) fn attempt_did_not_run(&self) {
        self.attempts.set(self.attempts.get().saturating_sub(1));
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.get() > 0
    }
}

impl CallerRequest {
    /// For whom the request is, and how it competes with others for a slot.
    pub(crate) fn terms(&self) -> RequestTerms {
        let workspace = self.workspace.as_ref();
        RequestTerms {
            workspace: workspace.map(|workspace| workspace.name.clone()),
            rank: Rank {
                workspace: workspace.map_or(0, |workspace| workspace.priority),
                route: self.route.priority,
            },
            is_counted: false,
            begin_by: None,
        }
    }

    /// The whole content of the request.
    pub(crate) fn content(&self) -> SuspectId {
        self.suspects.last().copied().unwrap_or_default()
    }
}

/// The parts of a prompt that other requests may have, too, as suspects. The last part is the request's own.
pub(crate) fn shared_part_suspects(
    parts: &[PromptPartId],
) -> impl Iterator<Item = SuspectId> + use<'_> {
    let shared = parts.split_last().map_or(&[][..], |(_own, shared)| shared);
    shared.iter().map(|part| part_suspect(*part))
}

/// What a caller's request has in common with others, the widest first.
pub(crate) fn request_suspects(content: &RequestContent<'_>) -> Rc<[SuspectId]> {
    shared_part_suspects(content.prompt)
        .chain(content.suspects())
        .collect()
}

/// Who sent a request, as far as it matters for requests that crash servers: its workspace, or its address. Without
/// workspaces, its credentials come before the address.
pub(crate) fn caller_key(
    authentication: &Authentication,
    headers: &HeaderMap,
    address: IpAddr,
) -> String {
    let credentials = || headers.get(header::AUTHORIZATION);
    match authentication {
        Authentication::Known(workspace) => workspace.name.clone(),
        Authentication::Anonymous => address.to_string(),
        Authentication::Off => credentials().map_or_else(
            || address.to_string(),
            |credentials| String::from_utf8_lossy(credentials.as_bytes()).into_owned(),
        ),
    }
}

/// Returns the headers without the hop-by-hop ones, including those that the `Connection` header lists.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP_HEADERS.contains(name)
            || listed.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection";
        if !is_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the request headers to forward, without those that the gateway sets itself and without the key of a workspace.
pub(crate) fn forwarded_headers(
    headers: &HeaderMap,
    names: &HeaderNames,
    authentication: &Authentication,
) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    forwarded.remove(&names.deadline_ms);
    forwarded.remove(&names.expected_server);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(header::EXPECT);
    authentication.rewrite_headers(&mut forwarded, &names.workspace);
    forwarded
}
