//! Connections to backend servers through another host: HTTP/2 CONNECT streams (RFC 9113, section 8.5) on a connection apart
//! from that of the messages.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use anyhow::Context as _;
use bamboo_fleet::Server;
use bamboo_relay::ConnectFailure;
use bamboo_types::HostId;
use bytes::Buf;
use bytes::Bytes;
use h2::RecvStream;
use h2::SendStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::gateway::Gateway;
use crate::gateway::OpenRequest;
use crate::net;
use crate::net::ConnectionUse;

/// Header of a CONNECT request that names the backend server.
const SERVER_HEADER: HeaderName = HeaderName::from_static("backend-server");
/// Timeout for connecting to the other host.
const HOST_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for the other host's connection to the server.
const SERVER_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes that either host may send ahead on one tunnel.
pub(super) const WINDOW_BYTES: u32 = 32 << 10;
/// Bytes that it may send ahead on all tunnels, enough for 256 whose callers do not read, so that these do not hold up others.
const CONNECTION_WINDOW_BYTES: u32 = 256 * WINDOW_BYTES;
/// Bytes of a tunnel that wait to be sent.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Buffer for one direction of a tunnel.
const COPY_BUFFER_BYTES: usize = 8 << 10;
/// Time without new tunnels after which a host lets go of its connection to another one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

struct HostConnection {
    sender: SendRequest<Bytes>,
    used_at: Duration,
}

/// Connections to other hosts that carry tunnels.
#[derive(Default)]
pub(crate) struct Tunnels {
    connections: RefCell<HashMap<HostId, HostConnection>>,
}

impl Tunnels {
    /// Opens a tunnel through a host to a server.
    ///
    /// # Errors
    /// Fails with `ServerDown` if the host reaches other servers and not this one, and with `NoPath` if it cannot tell: it is cut
    /// off itself, stops, or does not respond in time.
    pub(crate) async fn open(
        &self,
        host: &str,
        server: &str,
        authority: &str,
        now: Duration,
    ) -> Result<TunnelStream, ConnectFailure> {
        match self.try_open(host, server, authority, now).await {
            Ok(opened) => opened,
            Err(error) => {
                log::debug!("no tunnel through host {host} to server {server}: {error:#}");
                self.connections.borrow_mut().remove(host);
                Err(ConnectFailure::NoPath)
            }
        }
    }

    async fn try_open(
        &self,
        host: &str,
        server: &str,
        authority: &str,
        now: Duration,
    ) -> anyhow::Result<Result<TunnelStream, ConnectFailure>> {
        let sender = self.sender(host, now).await?;
        let mut sender = sender.ready().await?;
        let request = Request::builder()
            .method(Method::CONNECT)
            .uri(authority)
            .header(SERVER_HEADER, server)
            .body(())?;
        let (response, send) = sender.send_request(request, false)?;
        let response = tokio::time::timeout(SERVER_TIMEOUT + HOST_TIMEOUT, response).await??;
        Ok(match response.status() {
            StatusCode::OK => Ok(TunnelStream::new(send, response.into_body())),
            StatusCode::BAD_GATEWAY => Err(ConnectFailure::ServerDown),
            _ => Err(ConnectFailure::NoPath),
        })
    }

    /// The connection to a host, opened if there is none.
    async fn sender(&self, host: &str, now: Duration) -> anyhow::Result<SendRequest<Bytes>> {
        if let Some(connection) = self.connections.borrow_mut().get_mut(host) {
            connection.used_at = now;
            return Ok(connection.sender.clone());
        }
        let address = host.parse().context("invalid address of a host")?;
        let stream = net::connect(address, HOST_TIMEOUT, ConnectionUse::Servers).await?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buffer_size(SEND_BUFFER_BYTES)
            .handshake(stream)
            .await?;
        let name = host.to_owned();
        // Ends once the connection is idle and no longer kept, or fails.
        actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection for tunnels through host {name} failed: {error}");
            }
        });
        let kept = HostConnection {
            sender: sender.clone(),
            used_at: now,
        };
        self.connections.borrow_mut().insert(host.to_owned(), kept);
        Ok(sender)
    }

    /// Lets go of connections that have not been used for a while. Open tunnels keep theirs.
    pub(crate) fn close_idle(&self, now: Duration) {
        self.connections
            .borrow_mut()
            .retain(|_, connection| now.saturating_sub(connection.used_at) < IDLE_TIMEOUT);
    }
}

/// Whether a request from another host opens a tunnel.
pub(super) fn is_tunnel(request: &Request<RecvStream>) -> bool {
    request.method() == Method::CONNECT
}

/// Serves a tunnel for another host: connects to the server and copies bytes until either side ends.
///
/// # Errors
/// Fails if the stream of the other host fails.
pub(super) async fn serve_tunnel(
    gateway: Rc<Gateway>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> anyhow::Result<()> {
    let mut reject = |status| -> anyhow::Result<()> {
        let response = Response::builder().status(status).body(())?;
        respond.send_response(response, true)?;
        Ok(())
    };
    let server = request
        .headers()
        .get(SERVER_HEADER)
        .and_then(|id| gateway.directory.borrow().get(id.to_str().ok()?).cloned());
    let Some(server) = server.filter(|_| !gateway.is_stopping() && !gateway.is_cut_off()) else {
        return reject(StatusCode::SERVICE_UNAVAILABLE);
    };
    let _open = OpenRequest::begin(&gateway);
    // A tunnel goes directly to the server, so that tunnels do not form a chain.
    let mut stream =
        match net::connect(server.address, SERVER_TIMEOUT, ConnectionUse::Servers).await {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!(
                    "no connection for another host to server {}: {error:#}",
                    server.id
                );
                return reject(match gateway.reaches_only_others(&server).await {
                    true => StatusCode::BAD_GATEWAY,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                });
            }
        };
    gateway.record_direct_connection(&server);
    gateway.metrics.tunnels.inc();
    let response = Response::builder().status(StatusCode::OK).body(())?;
    let send = respond.send_response(response, false)?;
    let mut tunnel = TunnelStream::new(send, request.into_body());
    let copied = tokio::io::copy_bidirectional_with_sizes(
        &mut tunnel,
        &mut stream,
        COPY_BUFFER_BYTES,
        COPY_BUFFER_BYTES,
    );
    let copied = copied.await;
    if let Ok((to_server, from_server)) = &copied {
        count_bytes(&gateway, &server, to_server + from_server);
    } else {
        // Neither side may take what it got for the whole: the stream is reset, and so is the connection to the server.
        tunnel.reset();
    }
    Ok(())
}

fn count_bytes(gateway: &Gateway, server: &Server, bytes: u64) {
    let is_remote = server.data_centre != gateway.settings.data_centre;
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    gateway.metrics.count_server_bytes(is_remote, bytes);
}

/// One end of a tunnel. Dropping it resets the stream unless both directions have ended.
pub(crate) struct TunnelStream {
    send: SendStream<Bytes>,
    receive: RecvStream,
    unread: Bytes,
}

impl TunnelStream {
    fn new(send: SendStream<Bytes>, receive: RecvStream) -> Self {
        TunnelStream {
            send,
            receive,
            unread: Bytes::new(),
        }
    }

    fn reset(&mut self) {
        self.send.send_reset(h2::Reason::CONNECT_ERROR);
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.receive.poll_data(context)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                Some(Ok(data)) => self.unread = data,
            }
        }
        let count = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        let released = self.receive.flow_control().release_capacity(count);
        Poll::Ready(released.map_err(io::Error::other))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        if data.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.send.reserve_capacity(data.len());
        while self.send.capacity() == 0 {
            match ready!(self.send.poll_capacity(context)) {
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                Some(Ok(_)) => {}
            }
        }
        let count = self.send.capacity().min(data.len());
        let part = Bytes::copy_from_slice(&data[..count]);
        let sent = self.send.send_data(part, false);
        Poll::Ready(sent.map(|()| count).map_err(io::Error::other))
    }

    /// Without it, the HTTP library copies whole bodies into a buffer before it writes them.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = buffers.iter().find(|buffer| !buffer.is_empty());
        self.poll_write(context, first.map_or(&[], |buffer| &**buffer))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ended = self.send.send_data(Bytes::new(), true);
        Poll::Ready(ended.map_err(io::Error::other))
    }
}
