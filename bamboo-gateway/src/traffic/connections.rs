//! Bound for the connections of one listener.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::response_body::ResponseBody;

/// Time for which a connection must have been idle before it is closed for a new one.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Time that a connection that is closed for a new one has to end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

type ConnectionId = u64;

struct OpenConnection {
    /// `None` while it serves a request.
    idle_since: Cell<Option<Duration>>,
    is_closing: Cell<bool>,
    close: Notify,
}

/// Connections of a listener.
pub(crate) struct Connections {
    max: usize,
    clock: Clock,
    open: RefCell<BTreeMap<ConnectionId, Rc<OpenConnection>>>,
    next_id: Cell<ConnectionId>,
    ended: Notify,
}

/// What happens to a new connection.
pub(crate) enum Admission {
    /// There is room for it.
    Free(ConnectionPermit),
    /// Another one was closed for it.
    Replaces(ConnectionPermit),
    /// All others are in use.
    Full,
}

/// Counts a connection until dropped, which must not be before it is closed.
pub(crate) struct ConnectionPermit {
    connections: Rc<Connections>,
    id: ConnectionId,
    connection: Rc<OpenConnection>,
}

impl Connections {
    pub(crate) fn new(max: usize, clock: Clock) -> Rc<Self> {
        Rc::new(Connections {
            max,
            clock,
            open: RefCell::default(),
            next_id: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Makes room for a new connection: closes the one that has been idle longest, or else what `close_other` closes.
    pub(crate) async fn admit<F>(self: &Rc<Self>, close_other: F) -> Admission
    where
        F: FnOnce() -> bool,
    {
        if self.len() < self.max {
            return Admission::Free(self.register());
        }
        if !self.close_idle() && !close_other() {
            return Admission::Full;
        }
        let ended = async {
            while self.len() >= self.max {
                self.ended.notified().await;
            }
        };
        match tokio::time::timeout(CLOSE_TIMEOUT, ended).await {
            Ok(()) => Admission::Replaces(self.register()),
            Err(_) => Admission::Full,
        }
    }

    /// Closes the connection that has been idle longest. Returns whether there is one.
    fn close_idle(&self) -> bool {
        let now = self.clock.now();
        let open = self.open.borrow();
        let idle = open
            .values()
            .filter(|connection| !connection.is_closing.get());
        let idle = idle.filter_map(|connection| Some((connection.idle_since.get()?, connection)));
        let longest = idle.min_by_key(|(since, _)| *since);
        let Some((_, connection)) =
            longest.filter(|(since, _)| now.saturating_sub(*since) >= IDLE_GRACE)
        else {
            return false;
        };
        connection.is_closing.set(true);
        connection.close.notify_one();
        true
    }

    fn register(self: &Rc<Self>) -> ConnectionPermit {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(OpenConnection {
            idle_since: Cell::new(Some(self.clock.now())),
            is_closing: Cell::new(false),
            close: Notify::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&connection));
        ConnectionPermit {
            connections: Rc::clone(self),
            id,
            connection,
        }
    }
}

impl ConnectionPermit {
    /// Records that a request is being served, until the result is dropped.
    pub(crate) fn begin_use(self: &Rc<Self>) -> InUse {
        self.connection.idle_since.set(None);
        InUse(Rc::clone(self))
    }

    /// Waits until the connection is to be closed for another one. A request that has arrived meanwhile is served.
    pub(crate) async fn closed_for_another(&self) {
        loop {
            self.connection.close.notified().await;
            if self.connection.idle_since.get().is_some() {
                return;
            }
            self.connection.is_closing.set(false);
        }
    }
}

/// A request that a connection serves.
pub(crate) struct InUse(Rc<ConnectionPermit>);

impl Drop for InUse {
    fn drop(&mut self) {
        let now = self.0.connections.clock.now();
        self.0.connection.idle_since.set(Some(now));
    }
}

/// Body of a response, until whose end its connection is in use.
pub(crate) struct InUseBody {
    body: ResponseBody,
    _in_use: InUse,
}

impl InUseBody {
    pub(crate) fn new(body: ResponseBody, in_use: InUse) -> Self {
        InUseBody {
            body,
            _in_use: in_use,
        }
    }
}

impl Body for InUseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        self.connections.ended.notify_one();
    }
}
