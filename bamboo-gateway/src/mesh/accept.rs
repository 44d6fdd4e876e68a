//! Accepts connections from other hosts and reads their messages.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use bamboo_coordination::HostInfo;
use bamboo_types::decode_bincode;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::ProtocolVersion;
use crate::mesh::link::FLOW_WINDOW_BYTES;
use crate::mesh::link::LENGTH_PREFIX_BYTES;
use crate::mesh::protocol_version;
use crate::mesh::tunnel::WINDOW_BYTES;
use crate::mesh::tunnel::is_tunnel;
use crate::mesh::tunnel::serve_tunnel;
use crate::net;
use crate::net::ConnectionUse;
use crate::traffic::Admission;
use crate::traffic::ConnectionPermit;

/// Maximum size of a frame in bytes. The largest message is a job submission.
const FRAME_MAX_BYTES: usize = 32 << 20;
/// Maximum size of the first frame of a stream, in bytes. It only names the host.
const FIRST_FRAME_MAX_BYTES: usize = 64 << 10;
/// Memory of a stream besides its messages: its task, and its state in the HTTP library.
const STREAM_BYTES: usize = 8 << 10;
/// Maximum size of the headers of a request from another host, in bytes.
const HEADERS_MAX_BYTES: u32 = 16 << 10;
/// Time in which a host that connects must have sent a request. It does so at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections from other hosts until the process ends.
pub(crate) async fn accept_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let permit = match gateway.host_connections.admit(|| false).await {
                    Admission::Free(permit) | Admission::Replaces(permit) => Rc::new(permit),
                    Admission::Full => {
                        gateway.turn_away("host_connections_full");
                        continue;
                    }
                };
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move {
                    let served = tokio::select! {
                        served = serve(gateway, stream, &permit) => served,
                        () = permit.closed_for_another() => Ok(()),
                    };
                    if let Err(error) = served {
                        log::debug!("connection from host {address} failed: {error:#}");
                    }
                });
            }
            Err(error) => {
                log::warn!("cannot accept a connection from another host: {error}");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    permit: &Rc<ConnectionPermit>,
) -> anyhow::Result<()> {
    net::set_options(&stream, ConnectionUse::Messages)?;
    let handshake = h2::server::Builder::new()
        .max_header_list_size(HEADERS_MAX_BYTES)
        .initial_window_size(FLOW_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_WINDOW_BYTES)
        .handshake::<_, Bytes>(stream);
    let mut connection = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, handshake).await??;
    let mut accepted = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, connection.accept()).await?;
    // A host that has sent a request is connected for good, whether it has much to say or not.
    let _in_use = permit.begin_use();
    let mut has_tunnel_windows = false;
    while let Some(request) = accepted {
        let (request, mut respond) = request?;
        let is_tunnel = is_tunnel(&request);
        let stream_bytes = match is_tunnel {
            true => STREAM_BYTES + WINDOW_BYTES as usize,
            false => STREAM_BYTES,
        };
        let Some(stream_memory) = gateway.host_streams.reserve(stream_bytes) else {
            gateway.turn_away("host_streams_full");
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            accepted = connection.accept().await;
            continue;
        };
        if is_tunnel {
            // What a server does not read waits here. Fails until the first settings are acknowledged.
            has_tunnel_windows =
                has_tunnel_windows || connection.set_initial_window_size(WINDOW_BYTES).is_ok();
            let gateway = Rc::clone(&gateway);
            actix_rt::spawn(async move {
                if let Err(error) = serve_tunnel(gateway, request, respond).await {
                    log::debug!("tunnel for another host failed: {error:#}");
                }
                drop(stream_memory);
            });
            accepted = connection.accept().await;
            continue;
        }
        let path = request.uri().path();
        let version = protocol_version(path).with_context(|| format!("unknown path {path}"))?;
        let gateway = Rc::clone(&gateway);
        actix_rt::spawn(async move {
            if let Err(error) = read_messages(gateway, request.into_body(), version).await {
                log::info!(event = "messages_unreadable", version; "message stream from another host failed: {error:#}");
            }
            // Dropped earlier, it would reset the stream of the messages.
            drop(respond);
            drop(stream_memory);
        });
        accepted = connection.accept().await;
    }
    Ok(())
}

async fn read_messages(
    gateway: Rc<Gateway>,
    mut body: h2::RecvStream,
    version: ProtocolVersion,
) -> anyhow::Result<()> {
    let mut buffer = BytesMut::new();
    let mut sender: Option<HostInfo> = None;
    // Until the sender has said who it is, anyone may have sent it.
    let mut reservation = gateway.greeting_buffers.begin_counted_body();
    while let Some(chunk) = body.data().await {
        // A connection that ends is no fault of the messages.
        let Ok(chunk) = chunk else { return Ok(()) };
        body.flow_control().release_capacity(chunk.len())?;
        anyhow::ensure!(
            reservation.grow(chunk.len()),
            "messages of hosts use up their memory"
        );
        buffer.extend_from_slice(&chunk);
        loop {
            let frame_max_bytes = match sender {
                Some(_) => FRAME_MAX_BYTES,
                None => FIRST_FRAME_MAX_BYTES,
            };
            let Some(message) = next_message(&mut buffer, frame_max_bytes)? else {
                break;
            };
            match (&sender, message) {
                (_, PeerMessage::Hello(info)) => {
                    gateway.host_connected(&info, version);
                    sender = Some(info);
                    reservation = gateway.host_buffers.begin_body();
                }
                (Some(sender), message) => gateway.handle_peer_message(sender, message),
                (None, _) => anyhow::bail!("the first message of the stream is not Hello"),
            }
        }
        // What is left is the beginning of a message, or was counted before the sender was known.
        reservation.shrink_to(buffer.len());
        if buffer.is_empty() && buffer.capacity() > FIRST_FRAME_MAX_BYTES {
            // Frees what a large message has taken.
            buffer = BytesMut::new();
        }
    }
    Ok(())
}

fn next_message(
    buffer: &mut BytesMut,
    frame_max_bytes: usize,
) -> anyhow::Result<Option<PeerMessage>> {
    if buffer.len() < LENGTH_PREFIX_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    anyhow::ensure!(
        length <= frame_max_bytes,
        "frame of {length} bytes exceeds the limit of {frame_max_bytes}"
    );
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let frame = buffer.split_to(length);
    let message = decode_bincode(&frame).context("cannot decode the frame")?;
    Ok(Some(message))
}
