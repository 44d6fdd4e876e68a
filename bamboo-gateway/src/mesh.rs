//! Messages between hosts: one h2 stream a direction with length-prefixed bincode frames.

mod accept;
mod link;
mod message;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_types::HostId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub(crate) use accept::accept_peers;
use link::Link;
pub(crate) use message::PeerMessage;
pub(crate) use message::PeerReply;
pub(crate) use message::PeerRequest;
pub(crate) use message::SlotRequestInfo;

/// Time that a link without traffic is kept.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A call that waits for its answer.
struct PendingCall {
    host: HostId,
    reply: oneshot::Sender<PeerReply>,
}

/// Links to other hosts and the calls that wait for their answers.
pub(crate) struct Mesh {
    local: HostInfo,
    links: RefCell<HashMap<HostId, Link>>,
    pending: RefCell<HashMap<u64, PendingCall>>,
    next_call: Cell<u64>,
    broken: mpsc::UnboundedSender<HostId>,
}

impl Mesh {
    pub(crate) fn new(local: HostInfo, broken: mpsc::UnboundedSender<HostId>) -> Self {
        Mesh {
            links: RefCell::new(HashMap::new()),
            pending: RefCell::new(HashMap::new()),
            // Numbers of another run's calls must not be met again: answers to them may still arrive.
            next_call: Cell::new(local.incarnation),
            local,
            broken,
        }
    }

    /// Queues a message; it is lost if no connection comes about.
    pub(crate) fn send(&self, host: &str, message: PeerMessage, now: Duration) {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(host.to_owned())
            .or_insert_with(|| Link::open(host, self.local.clone(), self.broken.clone()));
        if link.is_broken() {
            *link = Link::open(host, self.local.clone(), self.broken.clone());
        }
        link.send(message, now);
    }

    /// Calls another host and waits for its answer; `None` if there is none in time.
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
        self.send(host, PeerMessage::Request { call, request }, now);
        let reply = tokio::time::timeout(timeout, reply_receiver).await;
        self.pending.borrow_mut().remove(&call);
        reply.ok()?.ok()
    }

    /// Passes an answer on to the call that waits for it.
    pub(crate) fn complete_call(&self, call: u64, reply: PeerReply) {
        if let Some(pending) = self.pending.borrow_mut().remove(&call) {
            // The caller may have given up meanwhile.
            let _ = pending.reply.send(reply);
        }
    }

    /// Ends calls to a host whose link broke: their answers will not come.
    pub(crate) fn fail_calls(&self, host: &str) {
        self.pending
            .borrow_mut()
            .retain(|_, pending| pending.host != host);
    }

    /// Closes links that carry nothing.
    pub(crate) fn close_idle(&self, now: Duration) {
        self.links
            .borrow_mut()
            .retain(|_, link| now.saturating_sub(link.last_used_at()) < LINK_IDLE_TIMEOUT);
    }
}
