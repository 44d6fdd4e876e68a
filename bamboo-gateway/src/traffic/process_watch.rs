//! Tells whether the process of a server ended during a response.

use std::time::Duration;

use bamboo_fleet::Server;
use tokio::io::AsyncReadExt;

use crate::gateway::Gateway;
use crate::gateway::ServerStream;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which the ends of all connections of a process arrive.
const ENDS_ARRIVE_WITHIN: Duration = Duration::from_millis(10);

/// What a connection tells of the process that accepted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// The connection is open.
    Running,
    /// The connection has ended: the process has, or it closed an idle connection.
    ConnectionEnded,
    /// There was no connection.
    Unknown,
}

/// A connection on which nothing is sent. The kernel ends all connections of a process with it, those to a process that has
/// crashed and started anew meanwhile, too.
pub(super) struct ProcessWatch {
    stream: ServerStream,
}

impl ProcessWatch {
    /// Connects to a server. Returns `None` if it is not reached.
    pub(super) async fn begin(gateway: &Gateway, server: &Server) -> Option<Self> {
        match gateway.connect_server(server, CONNECT_TIMEOUT).await {
            Ok(stream) => Some(ProcessWatch { stream }),
            Err(failure) => {
                log::debug!(
                    "cannot watch the process of server {}: {failure:?}",
                    server.id
                );
                None
            }
        }
    }

    /// What the connection tells, after another one of the process has ended.
    pub(super) async fn state(&mut self) -> ProcessState {
        let mut byte = [0; 1];
        match tokio::time::timeout(ENDS_ARRIVE_WITHIN, self.stream.read(&mut byte)).await {
            Err(_) | Ok(Ok(1..)) => ProcessState::Running,
            Ok(Ok(0) | Err(_)) => ProcessState::ConnectionEnded,
        }
    }
}
