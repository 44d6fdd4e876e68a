//! Limits on what callers and other hosts can make the process hold, derived from its memory and descriptors.

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::settings::Settings;

/// Memory of a connection besides its read buffer: its task, the state of the HTTP library, and its write buffer.
pub(crate) const CONNECTION_BYTES: usize = 16 << 10;
/// Usual size of the read buffer of a connection, which holds the head of a request.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Memory of an item that runs or competes for a slot: its task, its request without the body, and its slot request.
const ITEM_TASK_BYTES: usize = 24 << 10;
/// Items at once that are possible whatever the memory.
const ITEMS_AT_ONCE_MIN: usize = 16;
/// Memory of a read of many records: the response and its records.
const BULK_READ_BYTES: usize = 4 << 20;
/// Reads of many records at once that are possible whatever the memory.
const BULK_READS_MIN: usize = 2;
/// Part of the memory for indexes that the jobs may take which a host accepts through the store for one shard.
const STORE_SUBMISSION_SHARE: usize = 32;
/// Connections of each of the addresses for readiness and metrics. They have one or two clients.
const ENDPOINT_CONNECTIONS_MAX: usize = 32;
/// Connections from other hosts that are possible whatever the number of descriptors.
const HOST_CONNECTIONS_MIN: usize = 64;

/// Limits of the process, as shares of its memory and descriptors. What one kind of caller can fill leaves room for the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResourceLimits {
    /// Bytes of callers' bodies and connections.
    pub(crate) caller_bytes: usize,
    /// Bytes of servers' responses.
    pub(crate) server_bytes: usize,
    /// Bytes of incomplete messages from other hosts.
    pub(crate) host_bytes: usize,
    /// Bytes of large messages to other hosts that have not been sent.
    pub(crate) unsent_bytes: usize,
    /// Bytes that arrive from hosts that have not said who they are.
    pub(crate) greeting_bytes: usize,
    /// Bytes of streams of connections from other hosts, besides their messages.
    pub(crate) host_stream_bytes: usize,
    /// Bytes of what identifies and schedules the items of accepted jobs.
    pub(crate) job_index_bytes: usize,
    /// Bytes of the bodies of items and of the text of results. Without room, they are read from the store.
    pub(crate) job_contents_bytes: usize,
    /// Bytes, counted like those of the index, of the jobs that are accepted through the store for one shard.
    pub(crate) store_submission_bytes: usize,
    /// Items that run or compete for slots.
    pub(crate) items_at_once: usize,
    /// Reads of many records from the store.
    pub(crate) bulk_reads: usize,
    /// Connections of callers.
    pub(crate) caller_connections: usize,
    /// Connections from other hosts.
    pub(crate) host_connections: usize,
    /// Connections of each of the addresses for readiness and metrics.
    pub(crate) endpoint_connections: usize,
}

impl ResourceLimits {
    /// Derives the limits. A quarter of the descriptors is kept for servers, the store and the process itself.
    pub(crate) fn derive(settings: &Settings) -> Self {
        let memory_bytes = usize::try_from(settings.memory_mb << 20).unwrap_or(usize::MAX);
        let system_max = getrlimit(Resource::Nofile).current;
        let descriptors = settings.descriptors_max.or(system_max);
        let descriptors =
            descriptors.map_or(usize::MAX, |max| usize::try_from(max).unwrap_or(usize::MAX));
        let part = memory_bytes / 32;
        let caller_bytes = part * 9;
        let job_index_bytes = part * 3;
        let by_descriptors = descriptors / 8 * 3;
        let by_memory = caller_bytes / 2 / (CONNECTION_BYTES + READ_BUFFER_BYTES);
        ResourceLimits {
            caller_bytes,
            server_bytes: part * 6,
            host_bytes: part * 3,
            unsent_bytes: part * 2,
            greeting_bytes: part,
            host_stream_bytes: part * 2,
            job_index_bytes,
            job_contents_bytes: part * 2,
            store_submission_bytes: job_index_bytes / STORE_SUBMISSION_SHARE,
            items_at_once: (part * 2 / ITEM_TASK_BYTES).max(ITEMS_AT_ONCE_MIN),
            bulk_reads: (part * 2 / BULK_READ_BYTES).max(BULK_READS_MIN),
            caller_connections: by_descriptors.min(by_memory).max(1),
            host_connections: by_descriptors.max(HOST_CONNECTIONS_MIN),
            endpoint_connections: ENDPOINT_CONNECTIONS_MAX,
        }
    }
}
