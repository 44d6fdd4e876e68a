//! Messages between hosts: one HTTP/2 request per bincode-encoded frame.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bamboo_host::Input;
use bamboo_wire::EncodedFrame;
use bamboo_wire::Frame;
use bamboo_wire::PeerMessage;
use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::shared::ControlHandle;
use crate::shared::Shared;

/// Header with the key that authenticates hosts to each other.
const PEER_KEY_HEADER: &str = "x-peer-key";
/// Flow-control window, bytes, larger than any frame.
const FLOW_CONTROL_WINDOW_BYTES: u32 = 16 << 20;
/// Maximum size of a frame, bytes.
const FRAME_MAX_BYTES: usize = 12 << 20;
/// Batches of messages that may be queued for a slow peer. Further batches are dropped, which is safe because
/// every message that must arrive is resent.
const SEND_QUEUE_CAPACITY: usize = 1024;
/// Timeout of sending one frame, including connecting.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to another host, with a send queue. It is re-established after an error.
pub(crate) struct PeerConnection {
    address: String,
    queue: mpsc::Sender<Vec<PeerMessage>>,
}

impl PeerConnection {
    /// Starts the task that connects to the address and sends what is queued.
    pub(crate) fn open(shared: &Arc<Shared>, address: &str) -> Self {
        let (queue, messages) = mpsc::channel(SEND_QUEUE_CAPACITY);
        actix_rt::spawn(run_connection(
            Arc::clone(shared),
            address.to_owned(),
            messages,
        ));
        PeerConnection {
            address: address.to_owned(),
            queue,
        }
    }

    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Queues messages; drops them if the queue is full.
    pub(crate) fn send(&self, messages: Vec<PeerMessage>) {
        let _ = self.queue.try_send(messages);
    }
}

async fn run_connection(
    shared: Arc<Shared>,
    address: String,
    mut queue: mpsc::Receiver<Vec<PeerMessage>>,
) {
    let mut connection: Option<SendRequest<Bytes>> = None;
    while let Some(mut messages) = queue.recv().await {
        while let Ok(queued) = queue.try_recv() {
            messages.extend(queued);
        }
        let bytes = encode(&shared, messages);
        let sent = tokio::time::timeout(
            SEND_TIMEOUT,
            send_frame(&shared, &address, &mut connection, bytes),
        )
        .await;
        if !matches!(sent, Ok(Ok(()))) {
            connection = None;
        }
    }
}

fn encode(shared: &Shared, messages: Vec<PeerMessage>) -> Bytes {
    for message in &messages {
        let size = bincode::serde::encode_to_vec(message, bincode::config::standard())
            .map_or(0, |bytes| bytes.len());
        shared.metrics.record_message(message.kind(), size);
    }
    let frame = Frame {
        from: shared.settings.host.clone(),
        incarnation: shared.incarnation,
        messages,
    };
    Bytes::from(EncodedFrame::from(&frame).bytes)
}

async fn send_frame(
    shared: &Shared,
    address: &str,
    connection: &mut Option<SendRequest<Bytes>>,
    bytes: Bytes,
) -> anyhow::Result<()> {
    let sender = match connection.take() {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    let mut sender = sender.ready().await?;
    let request = http::Request::post(format!("http://{address}/frames"))
        .header(PEER_KEY_HEADER, &shared.settings.peer_key)
        .body(())?;
    let (response, mut stream) = sender.send_request(request, false)?;
    stream.send_data(bytes, true)?;
    let status = response.await?.status();
    anyhow::ensure!(status.is_success(), "peer answered {status}");
    *connection = Some(sender);
    Ok(())
}

async fn connect(address: &str) -> anyhow::Result<SendRequest<Bytes>> {
    let stream = TcpStream::connect(address)
        .await
        .context("connect to peer")?;
    stream.set_nodelay(true)?;
    let (sender, connection) = h2::client::handshake(stream).await?;
    actix_rt::spawn(async move {
        // If the connection breaks, the next send fails.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Accepts connections from other hosts until the daemon stops.
pub(crate) async fn accept_peers(
    shared: Arc<Shared>,
    control: ControlHandle,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(
                    Arc::clone(&shared),
                    control.clone(),
                    stream,
                ));
            }
            Err(_) => actix_rt::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Converts the peer listener to a non-blocking one on the current runtime.
///
/// # Errors
/// Fails if the listener cannot be converted.
pub(crate) fn nonblocking_listener(listener: std::net::TcpListener) -> anyhow::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener).context("cannot use the peer listener")
}

async fn serve_connection(shared: Arc<Shared>, control: ControlHandle, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(FLOW_CONTROL_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_CONTROL_WINDOW_BYTES);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        // A peer waits for the response to each frame, so its frames arrive in order unless one times out.
        actix_rt::spawn(serve_frame(
            Arc::clone(&shared),
            control.clone(),
            request,
            respond,
        ));
    }
}

async fn serve_frame(
    shared: Arc<Shared>,
    control: ControlHandle,
    request: http::Request<h2::RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
) {
    let key = request
        .headers()
        .get(PEER_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let is_authenticated = bamboo_config::KeyHash::of(&shared.settings.peer_key).matches(key);
    let status = match is_authenticated {
        false => 403,
        true => match read_frame(request.into_body()).await {
            Ok(frame) => {
                control.tell(Input::Frame(frame));
                204
            }
            Err(_) => 400,
        },
    };
    if let Ok(response) = http::Response::builder().status(status).body(()) {
        let _ = respond.send_response(response, true);
    }
}

async fn read_frame(mut body: h2::RecvStream) -> anyhow::Result<Frame> {
    let mut bytes = Vec::new();
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        bytes.extend_from_slice(&data);
        anyhow::ensure!(
            bytes.len() <= FRAME_MAX_BYTES,
            "frame is larger than {FRAME_MAX_BYTES} bytes"
        );
    }
    Ok(Frame::try_from(bytes.as_slice())?)
}
