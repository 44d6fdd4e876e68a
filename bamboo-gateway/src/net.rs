//! TCP connections with options that detect dead peers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time that sent data may stay unacknowledged before the connection is closed. A network partition shows no other
/// sign.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects within `timeout`.
///
/// # Errors
/// Fails if the connection is not established in time. Nothing has been sent then, so a retry is safe.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> anyhow::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .context("connect timed out")?
        .context("connect")?;
    set_options(&stream).context("socket options")?;
    Ok(stream)
}

/// Sets the socket options that every connection uses.
///
/// # Errors
/// Fails if the socket rejects an option.
pub(crate) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL),
    )
}
