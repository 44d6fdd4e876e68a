//! Outgoing link to one other host.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bamboo_coordination::HostInfo;
use bamboo_fleet::BufferBudget;
use bamboo_fleet::BufferReservation;
use bamboo_types::HostId;
use bytes::Bytes;
use h2::SendStream;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::mesh::PeerMessage;
use crate::mesh::messages_path;
use crate::metrics::KindLabel;
use crate::metrics::PeerBytes;
use crate::net;
use crate::net::ConnectionUse;
use crate::task::OwnedTask;

/// Capacity of the send queue. Messages beyond it are dropped; what is said regularly makes up for them.
const SEND_QUEUE_LEN: usize = 4096;
/// Timeouts of the attempts to establish the connection. Packets to a host without power are lost, so that a connection
/// attempt begun before its start would hang until the kernel retransmits.
const CONNECT_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(220),
];
/// HTTP/2 flow-control window in bytes.
pub(super) const FLOW_WINDOW_BYTES: u32 = 8 << 20;
/// Part of a message that is given to the HTTP library at once.
const PART_BYTES: usize = 64 << 10;
/// Size of the length prefix of a frame in bytes.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;

/// The end of a link.
#[derive(Debug)]
pub(crate) struct LinkFailure {
    /// Host at the other end.
    pub(crate) host: HostId,
    /// When the link was opened, if its connection was never established.
    pub(crate) unconnected_since: Option<Duration>,
}

/// State that a link shares with its task.
#[derive(Default)]
struct Shared {
    is_established: Cell<bool>,
    is_host_up: Notify,
}

/// A message in the queue, with the room that its payload takes.
struct QueuedMessage {
    message: PeerMessage,
    room: BufferReservation,
}

/// A link to another host. It ends with its connection; the next message opens a new link.
pub(super) struct Link {
    host: HostId,
    queue: mpsc::Sender<QueuedMessage>,
    unsent: Arc<BufferBudget>,
    is_congested: Cell<bool>,
    last_used_at: Cell<Duration>,
    shared: Rc<Shared>,
    task: OwnedTask,
}

impl Link {
    pub(super) fn open(
        host: &str,
        local: HostInfo,
        link_failures: mpsc::UnboundedSender<LinkFailure>,
        sent_bytes: PeerBytes,
        unsent: Arc<BufferBudget>,
        now: Duration,
    ) -> Self {
        let (queue, messages) = mpsc::channel(SEND_QUEUE_LEN);
        let host: HostId = host.to_owned();
        let task_host = host.clone();
        let shared = Rc::new(Shared::default());
        let task_shared = Rc::clone(&shared);
        let task = OwnedTask::spawn(async move {
            if let Err(error) = run(&task_host, local, messages, &task_shared, &sent_bytes).await {
                log::info!(event = "link_lost", host = task_host.as_str(); "link to a host failed: {error:#}");
            }
            let unconnected_since = (!task_shared.is_established.get()).then_some(now);
            // The receiver lives as long as the process.
            let _ = link_failures.send(LinkFailure {
                host: task_host,
                unconnected_since,
            });
        });
        Link {
            host,
            queue,
            unsent,
            is_congested: Cell::new(false),
            last_used_at: Cell::new(now),
            shared,
            task,
        }
    }

    /// Tells the link that a message arrived from the host. A connection attempt from before its start is repeated.
    pub(super) fn host_is_up(&self) {
        if !self.shared.is_established.get() {
            self.shared.is_host_up.notify_one();
        }
    }

    /// Queues a message. Returns whether it is queued; otherwise it is lost.
    pub(super) fn send(&self, message: PeerMessage, now: Duration) -> bool {
        self.last_used_at.set(now);
        let kind = message.kind();
        let room = self.unsent.reserve(message.payload_bytes());
        let is_queued = room.is_some_and(|room| {
            let queued = QueuedMessage { message, room };
            self.queue.try_send(queued).is_ok()
        });
        if !is_queued && !self.is_congested.get() {
            let host = self.host.as_str();
            log::warn!(event = "messages_dropped", host, kind; "messages are dropped because the link is congested or closed");
        }
        self.is_congested.set(!is_queued);
        is_queued
    }

    pub(super) fn last_used_at(&self) -> Duration {
        self.last_used_at.get()
    }

    pub(super) fn is_broken(&self) -> bool {
        self.task.is_finished()
    }
}

async fn run(
    host: &str,
    local: HostInfo,
    mut messages: mpsc::Receiver<QueuedMessage>,
    shared: &Shared,
    sent_bytes: &PeerBytes,
) -> anyhow::Result<()> {
    let address: SocketAddr = host.parse().context("invalid address of a host")?;
    let stream = connect(address, shared).await?;
    shared.is_established.set(true);
    let (mut sender, connection) = h2::client::Builder::new()
        .initial_window_size(FLOW_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await?;
    let mut connection = std::pin::pin!(connection);
    let path = messages_path();
    let request = http::Request::post(format!("http://{host}{path}")).body(())?;
    let (_response, mut body) = sender.send_request(request, false)?;
    let sending = async {
        send(&mut body, &PeerMessage::Hello(local), sent_bytes).await?;
        while let Some(QueuedMessage { message, room }) = messages.recv().await {
            send(&mut body, &message, sent_bytes).await?;
            drop(room);
        }
        anyhow::Ok(())
    };
    tokio::select! {
        ended = &mut connection => ended.context("connection"),
        sent = sending => sent,
    }
}

/// Connects to a host. An attempt that times out is repeated; one during which the host turns out to be up is begun again
/// at once, but only the first time, because each message from the host shows that.
async fn connect(address: SocketAddr, shared: &Shared) -> anyhow::Result<TcpStream> {
    let mut has_restarted = false;
    let mut last_error = anyhow::anyhow!("no attempt to connect");
    for timeout in CONNECT_TIMEOUTS {
        let connected = tokio::select! {
            connected = net::connect(address, timeout, ConnectionUse::Messages) => connected,
            () = shared.is_host_up.notified(), if !has_restarted => {
                has_restarted = true;
                net::connect(address, timeout, ConnectionUse::Messages).await
            }
        };
        match connected {
            Ok(stream) => return Ok(stream),
            Err(error) if error.is::<tokio::time::error::Elapsed>() => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

/// Sends a message once the connection takes it, so that what is not sent stays in the queue, where it is counted.
async fn send(
    body: &mut SendStream<Bytes>,
    message: &PeerMessage,
    sent_bytes: &PeerBytes,
) -> anyhow::Result<()> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    bincode::serde::encode_into_std_write(message, &mut frame, bincode::config::standard())?;
    let length = u32::try_from(frame.len() - LENGTH_PREFIX_BYTES)?;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    let kind = message.kind();
    // The counter is a lock on its family, which must not be held while this waits.
    sent_bytes
        .get_or_create(&KindLabel { kind })
        .inc_by(frame.len() as u64);
    let mut frame = Bytes::from(frame);
    while !frame.is_empty() {
        body.reserve_capacity(frame.len().min(PART_BYTES));
        while body.capacity() == 0 {
            // Returns only once the capacity has grown.
            let grown = poll_fn(|context| body.poll_capacity(context)).await;
            grown.context("the stream has ended")??;
        }
        let part = frame.split_to(body.capacity().min(frame.len()));
        body.send_data(part, false)?;
    }
    Ok(())
}
