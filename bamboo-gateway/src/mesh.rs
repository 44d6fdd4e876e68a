//! Messages between hosts: one HTTP/2 stream per direction, carrying length-prefixed bincode frames.

mod accept;
mod link;
mod message;
mod tunnel;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_fleet::BufferBudget;
use bamboo_types::HostId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub(crate) use accept::accept_peers;
use link::Link;
pub(crate) use link::LinkFailure;
pub(crate) use message::PeerMessage;
pub(crate) use message::PeerReply;
pub(crate) use message::PeerRequest;
pub(crate) use message::SlotRequestInfo;
pub(crate) use message::SlotRequestOnTerms;
pub(crate) use message::TermsInfo;
pub(crate) use tunnel::TunnelStream;
pub(crate) use tunnel::Tunnels;

use crate::metrics::PeerBytes;

/// Version of the messages between hosts. A host names it when it opens a link, and gets no message that it cannot decode.
pub(crate) type ProtocolVersion = u32;

/// First version whose hosts decode changes of the cluster map.
pub(crate) const CLUSTER_MAP_CHANGES_SINCE: ProtocolVersion = 2;
/// First version whose hosts tell each other of crashes under prompts, of servers' limits and of servers that leave.
pub(crate) const SERVER_REPORTS_SINCE: ProtocolVersion = 3;
/// First version whose hosts reply to the report of a crash once it has been weighed.
pub(crate) const CRASH_VERDICTS_SINCE: ProtocolVersion = 4;
/// First version whose hosts report crashes under runs that have begun.
pub(crate) const LATE_CRASHES_SINCE: ProtocolVersion = 5;
/// First version whose hosts say what they believe of their slot requests.
pub(crate) const REQUEST_REPORTS_SINCE: ProtocolVersion = 6;
/// First version whose hosts compare what they know of servers.
pub(crate) const COMPARED_REPORTS_SINCE: ProtocolVersion = 7;
/// First version whose hosts tell for which workspace a request is, and how it competes with others.
pub(crate) const REQUEST_TERMS_SINCE: ProtocolVersion = 8;
/// Version of this build.
const PROTOCOL_VERSION: ProtocolVersion = 8;
/// Path of a stream of messages, followed by the version. Version 1 had none.
const MESSAGES_PATH: &str = "/messages";

/// Path of a stream of messages of this build.
fn messages_path() -> String {
    format!("{MESSAGES_PATH}/{PROTOCOL_VERSION}")
}

/// Version of the sender of a stream of messages; `None` if the path is not that of such a stream.
fn protocol_version(path: &str) -> Option<ProtocolVersion> {
    match path.strip_prefix(MESSAGES_PATH)? {
        "" => Some(1),
        version => version.strip_prefix('/')?.parse().ok(),
    }
}

/// Time without messages after which a link is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A call that waits for its reply.
struct PendingCall {
    host: HostId,
    reply: oneshot::Sender<PeerReply>,
}

/// Forgets a call when its caller no longer waits for the reply.
struct CallGuard<'a> {
    mesh: &'a Mesh,
    call: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.mesh.pending.borrow_mut().remove(&self.call);
    }
}

/// Links to other hosts, and the calls that wait for replies.
pub(crate) struct Mesh {
    local: HostInfo,
    links: RefCell<HashMap<HostId, Link>>,
    pending: RefCell<HashMap<u64, PendingCall>>,
    next_call: Cell<u64>,
    link_failures: mpsc::UnboundedSender<LinkFailure>,
    sent_bytes: PeerBytes,
    unsent: Arc<BufferBudget>,
}

impl Mesh {
    pub(crate) fn new(
        local: HostInfo,
        link_failures: mpsc::UnboundedSender<LinkFailure>,
        sent_bytes: PeerBytes,
        unsent: Arc<BufferBudget>,
    ) -> Self {
        Mesh {
            links: RefCell::new(HashMap::new()),
            pending: RefCell::new(HashMap::new()),
            // Call numbers must not repeat those of a previous process, because replies to its calls may still arrive.
            next_call: Cell::new(local.incarnation),
            local,
            link_failures,
            sent_bytes,
            unsent,
        }
    }

    /// Queues a message, opening a link if necessary. The message is lost if the connection fails.
    pub(crate) fn send(&self, host: &str, message: PeerMessage, now: Duration) {
        // A message that cannot be queued has been logged.
        let _ = self.try_send(host, message, now);
    }

    /// Queues a message like [`send`](Self::send). Returns whether it is queued.
    fn try_send(&self, host: &str, message: PeerMessage, now: Duration) -> bool {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(host.to_owned())
            .or_insert_with(|| self.open_link(host, now));
        if link.is_broken() {
            *link = self.open_link(host, now);
        }
        link.send(message, now)
    }

    fn open_link(&self, host: &str, now: Duration) -> Link {
        let (local, link_failures) = (self.local.clone(), self.link_failures.clone());
        let unsent = Arc::clone(&self.unsent);
        Link::open(
            host,
            local,
            link_failures,
            self.sent_bytes.clone(),
            unsent,
            now,
        )
    }

    /// Records that a message arrived from a host, which is therefore up.
    pub(crate) fn host_is_up(&self, host: &str) {
        if let Some(link) = self.links.borrow().get(host) {
            link.host_is_up();
        }
    }

    /// Sends a request to another host and waits for the reply; `None` if none arrives in time.
    pub(crate) async fn call(
        &self,
        host: &str,
        request: PeerRequest,
        timeout: Duration,
        now: Duration,
    ) -> Option<PeerReply> {
        let call = self.next_call.get();
        self.next_call.set(call.wrapping_add(1));
        let (reply_sender, reply_receiver) = oneshot::channel();
        let pending = PendingCall {
            host: host.to_owned(),
            reply: reply_sender,
        };
        self.pending.borrow_mut().insert(call, pending);
        let _guard = CallGuard { mesh: self, call };
        if !self.try_send(host, PeerMessage::Request { call, request }, now) {
            return None;
        }
        let reply = tokio::time::timeout(timeout, reply_receiver).await;
        reply.ok()?.ok()
    }

    /// Passes a reply on to the call that waits for it. Returns the reply if the call has timed out.
    pub(crate) fn complete_call(&self, call: u64, reply: PeerReply) -> Option<PeerReply> {
        match self.pending.borrow_mut().remove(&call) {
            Some(pending) => pending.reply.send(reply).err(),
            None => Some(reply),
        }
    }

    /// Fails the pending calls to a host whose link failed.
    pub(crate) fn fail_calls(&self, host: &str) {
        self.pending
            .borrow_mut()
            .retain(|_, pending| pending.host != host);
    }

    /// Closes idle links.
    pub(crate) fn close_idle(&self, now: Duration) {
        self.links
            .borrow_mut()
            .retain(|_, link| now.saturating_sub(link.last_used_at()) < LINK_IDLE_TIMEOUT);
    }
}
