//! Outgoing link to one other host.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bamboo_coordination::HostInfo;
use bamboo_types::HostId;
use bytes::Bytes;
use h2::SendStream;
use tokio::sync::mpsc;

use crate::mesh::PeerMessage;
use crate::net;
use crate::task::OwnedTask;

/// Capacity of the send queue. Messages beyond it are dropped; everything that matters is sent again.
const SEND_QUEUE_LEN: usize = 4096;
/// Timeout for establishing the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// HTTP/2 flow-control window in bytes.
pub(super) const FLOW_WINDOW_BYTES: u32 = 8 << 20;
/// Size of the length prefix of a frame in bytes.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;

/// A link to another host. It ends with its connection; the next message opens a new link.
pub(super) struct Link {
    queue: mpsc::Sender<PeerMessage>,
    last_used_at: Cell<Duration>,
    task: OwnedTask,
}

impl Link {
    pub(super) fn open(
        host: &str,
        local: HostInfo,
        link_failures: mpsc::UnboundedSender<HostId>,
    ) -> Self {
        let (queue, messages) = mpsc::channel(SEND_QUEUE_LEN);
        let host: HostId = host.to_owned();
        let task = OwnedTask::spawn(async move {
            if let Err(error) = run(&host, local, messages).await {
                log::info!(event = "link_lost", host = host.as_str(); "link to a host failed: {error:#}");
            }
            // The receiver lives as long as the process.
            let _ = link_failures.send(host);
        });
        Link {
            queue,
            last_used_at: Cell::new(Duration::ZERO),
            task,
        }
    }

    pub(super) fn send(&self, message: PeerMessage, now: Duration) {
        self.last_used_at.set(now);
        if self.queue.try_send(message).is_err() {
            log::debug!("dropped a message because the link is congested or closed");
        }
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
    mut messages: mpsc::Receiver<PeerMessage>,
) -> anyhow::Result<()> {
    let address: SocketAddr = host.parse().context("invalid address of a host")?;
    let stream = net::connect(address, CONNECT_TIMEOUT).await?;
    let (mut sender, connection) = h2::client::Builder::new()
        .initial_window_size(FLOW_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await?;
    let mut connection = std::pin::pin!(connection);
    let request = http::Request::post(format!("http://{host}/messages")).body(())?;
    let (_response, mut body) = sender.send_request(request, false)?;
    send(&mut body, &PeerMessage::Hello(local))?;
    loop {
        tokio::select! {
            ended = &mut connection => return ended.context("connection"),
            message = messages.recv() => {
                let Some(message) = message else { return Ok(()) };
                send(&mut body, &message)?;
                while let Ok(message) = messages.try_recv() {
                    send(&mut body, &message)?;
                }
            }
        }
    }
}

fn send(body: &mut SendStream<Bytes>, message: &PeerMessage) -> anyhow::Result<()> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    bincode::serde::encode_into_std_write(message, &mut frame, bincode::config::standard())?;
    let length = u32::try_from(frame.len() - LENGTH_PREFIX_BYTES)?;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    body.send_data(Bytes::from(frame), false)?;
    Ok(())
}
