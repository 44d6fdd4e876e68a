//! TCP connections with options that detect dead peers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time without a sign of a host or the store after which a connection to it is closed. A network partition shows no other
/// sign, and what was sent is sent again.
const HOST_SILENCE_MAX: Duration = Duration::from_millis(1500);
/// The same for servers. A sound one may fall silent for a second or so, and a request that may run once is lost with its
/// connection; the timers of a request notice a cut sooner.
const SERVER_SILENCE_MAX: Duration = Duration::from_secs(5);
/// The same for callers. The kernel also counts the time in which a caller reads nothing, although it answers each probe; a
/// stream ends by its deadline.
const CALLER_SILENCE_MAX: Duration = Duration::from_secs(30);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection carries, which decides how long the other side may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// Messages between hosts, and calls to the store.
    Messages,
    /// Requests to servers, also through other hosts.
    Servers,
    /// Requests of callers.
    Callers,
}

/// Connects within `timeout`.
///
/// # Errors
/// Fails if the connection is not established in time. Nothing has been sent then, so a retry is safe.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    usage: ConnectionUse,
) -> anyhow::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .context("connect timed out")?
        .context("connect")?;
    set_options(&stream, usage).context("socket options")?;
    Ok(stream)
}

/// Sets the socket options of a connection. With a user timeout, the kernel also ends a connection by it whose keepalive probes
/// or window probes get no answer, whatever their number.
///
/// # Errors
/// Fails if the socket rejects an option.
pub(crate) fn set_options(stream: &TcpStream, usage: ConnectionUse) -> std::io::Result<()> {
    let silence_max = match usage {
        ConnectionUse::Messages => HOST_SILENCE_MAX,
        ConnectionUse::Servers => SERVER_SILENCE_MAX,
        ConnectionUse::Callers => CALLER_SILENCE_MAX,
    };
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence_max))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL),
    )
}
