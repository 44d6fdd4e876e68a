//! Pool of connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_relay::ConnectFailure;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio_util::either::Either;

use crate::gateway::Gateway;
use crate::task::OwnedTask;
use crate::traffic::head_limit::HeadLimit;
use crate::traffic::head_limit::HeadLimitedStream;

/// Timeout for connecting: several round trips between data centres, with a margin for a loaded host.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of idle connections per server.
const IDLE_PER_SERVER_MAX: usize = 6;
/// Upper bound for the idle time after which a connection is not reused, and the default if the server states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin subtracted from the keep-alive timeout that the server states.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(900);

/// Maximum size in bytes of the head of a response.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are read until the head of a response is complete: interim responses, the head, and what is
/// read with it of the body.
const HEADS_MAX_BYTES: usize = 2 * HEAD_MAX_BYTES;

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Whether an earlier request used the connection, so that a late copy of its response may still arrive.
    pub(crate) is_reused: bool,
    /// Whether it leads to the server without another host.
    pub(crate) is_direct: bool,
    pub(crate) server: BackendServerId,
    address: SocketAddr,
    head_limit: HeadLimit,
    _task: OwnedTask,
}

impl Connection {
    /// Sends a request, and waits for the head of its response.
    ///
    /// # Errors
    /// Fails if the connection does, also because of what the server sends in place of a head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.ready().await?;
        let _wait = self.head_limit.begin(HEADS_MAX_BYTES);
        self.sender.send_request(request).await
    }
}

struct IdleConnection {
    connection: Connection,
    expires_at: Duration,
}

/// Idle HTTP/1 connections by server.
#[derive(Default)]
pub(crate) struct ServerPool {
    idle: RefCell<HashMap<BackendServerId, Vec<IdleConnection>>>,
}

impl ServerPool {
    /// Takes an idle connection that is still open.
    pub(crate) fn take_idle(
        &self,
        server: &str,
        address: SocketAddr,
        now: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(idle) = connections.pop() {
            let connection = idle.connection;
            if now < idle.expires_at
                && connection.address == address
                && !connection.sender.is_closed()
            {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// Fails if the connection cannot be established. Nothing has been sent then, so a retry is safe.
    pub(crate) async fn connect(
        &self,
        gateway: &Gateway,
        server: &Server,
    ) -> Result<Connection, ConnectFailure> {
        let stream = gateway.connect_server(server, CONNECT_TIMEOUT).await?;
        let is_direct = matches!(stream, Either::Left(_));
        let head_limit = HeadLimit::default();
        let stream = HeadLimitedStream::new(stream, head_limit.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| {
                log::debug!(
                    "no HTTP over the connection to server {}: {error}",
                    server.id
                );
                ConnectFailure::ServerDown
            })?;
        let task = OwnedTask::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a server failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            is_reused: false,
            is_direct,
            head_limit,
            server: server.id.clone(),
            address: server.address,
            _task: task,
        })
    }

    /// Returns a connection to the pool after a complete response, if the response headers allow reuse.
    pub(crate) fn put_idle(&self, mut connection: Connection, headers: &HeaderMap, now: Duration) {
        let Some(idle_timeout) = idle_timeout(headers) else {
            return;
        };
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.server.clone()).or_default();
        if connections.len() < IDLE_PER_SERVER_MAX {
            connections.push(IdleConnection {
                connection,
                expires_at: now + idle_timeout,
            });
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_idle(&self, now: Duration) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// How a run ended that could not begin because its server was not reached.
pub(crate) fn connect_outcome(failure: ConnectFailure) -> RunOutcome {
    match failure {
        ConnectFailure::ServerDown => RunOutcome::Unreachable,
        ConnectFailure::NoPath => RunOutcome::NoPath,
    }
}

/// How long a connection may stay idle before reuse, by the response headers; `None` if it must not be reused.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &http::HeaderValue| value.to_str().ok())
    };
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let server_timeout = text(http::HeaderName::from_static("keep-alive"))
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    match server_timeout {
        Some(timeout) => timeout
            .checked_sub(IDLE_TIMEOUT_MARGIN)
            .map(|time| time.min(IDLE_TIMEOUT)),
        None => Some(IDLE_TIMEOUT),
    }
}
