//! The I/O thread: appends to and reads from the log service, polls the host list and sends messages to other hosts.

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

/// A command from the control thread to the I/O thread.
pub(crate) enum IoCommand {
    /// Append an encoded entry to a stream.
    Append { stream: StreamId, bytes: Vec<u8> },
    /// Read a stream from an offset on.
    Read { stream: StreamId, from: Offset },
    /// Read one entry.
    ReadEntry { stream: StreamId, offset: Offset },
    /// Send messages to another host.
    Send {
        to: HostId,
        address: String,
        messages: Vec<PeerMessage>,
    },
}

/// Executes commands until the daemon stops.
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
                    log::info!("the host list is reachable again");
                }
                is_failing = false;
                control.tell(Input::HostList {
                    hosts,
                    leaving_servers,
                });
            }
            Err(error) => {
                if !is_failing {
                    log::warn!("reading the host list failed, retrying: {error}");
                }
                is_failing = true;
            }
        }
        actix_rt::time::sleep(shared.settings.host_list_interval).await;
    }
}
