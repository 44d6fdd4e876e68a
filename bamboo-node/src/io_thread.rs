//! The thread of links: appends, reads and host list at the platform, and messages to other hosts.

use std::collections::HashMap;
use std::sync::Arc;

use bamboo_host::Input;
use bamboo_log::AppendAnswer;
use bamboo_log::StreamId;
use bamboo_types::HostId;
use bamboo_types::Offset;
use bamboo_wire::PeerMessage;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::peers::PeerConnection;
use crate::platform::PlatformClient;
use crate::shared::ControlHandle;
use crate::shared::Shared;

/// What the control thread wants from the links.
pub(crate) enum IoCommand {
    /// Append to a stream.
    Append {
        /// Stream.
        stream: StreamId,
        /// Entry.
        bytes: Vec<u8>,
    },
    /// Read a stream.
    Read {
        /// Stream.
        stream: StreamId,
        /// First offset.
        from: Offset,
    },
    /// Read one entry.
    ReadEntry {
        /// Stream.
        stream: StreamId,
        /// Offset.
        offset: Offset,
    },
    /// Send messages to a host.
    Send {
        /// Receiver.
        to: HostId,
        /// Its address.
        address: String,
        /// Messages.
        messages: Vec<PeerMessage>,
    },
}

/// Carries out commands until the daemon stops.
pub(crate) async fn run_io_thread(
    shared: Arc<Shared>,
    control: ControlHandle,
    mut commands: UnboundedReceiver<IoCommand>,
) {
    let settings = &shared.settings;
    let platform = PlatformClient::new(&settings.log_url, &settings.host_list_url);
    actix_rt::spawn(poll_host_list(
        Arc::clone(&shared),
        platform.clone(),
        control.clone(),
    ));
    let mut peers: HashMap<HostId, PeerConnection> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            IoCommand::Append { stream, bytes } => {
                actix_rt::spawn(append(
                    Arc::clone(&shared),
                    platform.clone(),
                    control.clone(),
                    stream,
                    bytes,
                ));
            }
            IoCommand::Read { stream, from } => {
                actix_rt::spawn(read(platform.clone(), control.clone(), stream, from));
            }
            IoCommand::ReadEntry { stream, offset } => {
                actix_rt::spawn(read_entry(
                    platform.clone(),
                    control.clone(),
                    stream,
                    offset,
                ));
            }
            IoCommand::Send {
                to,
                address,
                messages,
            } => {
                let connection = peers
                    .entry(to)
                    .or_insert_with(|| PeerConnection::open(&shared, &address));
                if connection.address() != address {
                    *connection = PeerConnection::open(&shared, &address);
                }
                connection.send(messages);
            }
        }
    }
}

async fn append(
    shared: Arc<Shared>,
    platform: PlatformClient,
    control: ControlHandle,
    stream: StreamId,
    bytes: Vec<u8>,
) {
    let size = bytes.len();
    let answer = platform.append(stream, bytes).await;
    let kind = match answer {
        AppendAnswer::Stored(_) => "stored",
        AppendAnswer::Refused(_) => "refused",
        AppendAnswer::Unknown => "unknown",
    };
    shared.metrics.record_append(kind, size);
    control.tell(Input::AppendAnswered { stream, answer });
}

async fn read(platform: PlatformClient, control: ControlHandle, stream: StreamId, from: Offset) {
    match platform.read(stream, from, true).await {
        Ok(answer) => control.tell(Input::ReadAnswered { stream, answer }),
        Err(_) => control.tell(Input::ReadFailed { stream }),
    }
}

async fn read_entry(
    platform: PlatformClient,
    control: ControlHandle,
    stream: StreamId,
    offset: Offset,
) {
    let entry = platform.read_entry(stream, offset).await.ok().flatten();
    control.tell(Input::EntryRead {
        stream,
        offset,
        entry,
    });
}

async fn poll_host_list(shared: Arc<Shared>, platform: PlatformClient, control: ControlHandle) {
    let mut is_failing = false;
    loop {
        match platform.host_list().await {
            Ok((hosts, leaving_servers)) => {
                if is_failing {
                    log::info!("the host list answers again");
                }
                is_failing = false;
                control.tell(Input::HostList {
                    hosts,
                    leaving_servers,
                });
            }
            Err(error) => {
                if !is_failing {
                    log::warn!("the host list fails: {error}");
                }
                is_failing = true;
            }
        }
        actix_rt::time::sleep(shared.settings.host_list_interval).await;
    }
}
