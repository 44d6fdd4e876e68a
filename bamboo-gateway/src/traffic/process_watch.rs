//! Tells whether the process of a server ended during a response without a length or chunks, whose end looks the same if the process
//! crashed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bamboo_fleet::Server;
use bamboo_relay::ConnectFailure;
use tokio::io::AsyncReadExt;

use crate::gateway::Gateway;
use crate::task::OwnedTask;
use crate::traffic::pool::CONNECT_TIMEOUT;

/// Time within which the ends of all connections of a process arrive.
const ENDS_ARRIVE_WITHIN: Duration = Duration::from_millis(10);
/// Time between the noticed ends of two connections that one event may have ended. This host may be busy in between.
const SAME_EVENT_WITHIN: Duration = Duration::from_millis(250);

/// What a connection tells of the process that accepted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// The connection is open.
    Running,
    /// The server took no connection during the response.
    Down,
    /// The connection ended with that of the response. The process may have ended, or closed an idle connection.
    EndedTogether,
    /// There was no connection, or it ended long before.
    Unknown,
}

/// A connection on which nothing is sent. The kernel ends all connections of a process with it, those to a process that has
/// crashed and started anew meanwhile, too.
struct OpenConnection {
    ended_at: Rc<Cell<Option<Instant>>>,
    _task: OwnedTask,
}

/// Watches the process of a server by a connection of its own.
pub(super) struct ProcessWatch {
    connection: Result<OpenConnection, ConnectFailure>,
}

impl ProcessWatch {
    /// Connects to a server.
    pub(super) async fn begin(gateway: &Gateway, server: &Server) -> Self {
        let connected = gateway.connect_server(server, CONNECT_TIMEOUT).await;
        let connection = connected.map(|mut stream| {
            let ended_at = Rc::new(Cell::new(None));
            let noticed = Rc::clone(&ended_at);
            let task = OwnedTask::spawn(async move {
                // Whatever the server says here, nobody has asked.
                while matches!(stream.read(&mut [0; 64]).await, Ok(1..)) {}
                noticed.set(Some(Instant::now()));
            });
            OpenConnection {
                ended_at,
                _task: task,
            }
        });
        ProcessWatch { connection }
    }

    /// What the connection tells, just after that of the response has ended.
    pub(super) async fn state(&self) -> ProcessState {
        let response_ended_at = Instant::now();
        let connection = match &self.connection {
            Ok(connection) => connection,
            Err(ConnectFailure::ServerDown) => return ProcessState::Down,
            Err(ConnectFailure::NoPath) => return ProcessState::Unknown,
        };
        actix_rt::time::sleep(ENDS_ARRIVE_WITHIN).await;
        match connection.ended_at.get() {
            None => ProcessState::Running,
            Some(at) if at + SAME_EVENT_WITHIN >= response_ended_at => ProcessState::EndedTogether,
            Some(_) => ProcessState::Unknown,
        }
    }
}
