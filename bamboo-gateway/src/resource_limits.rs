//! Limits on what callers and other hosts can make the process hold, derived from its memory and descriptors.

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::settings::Settings;

/// Memory of a connection besides its read buffer: its task, the state of the HTTP library, and its write buffer.
pub(crate) const CONNECTION_BYTES: usize = 16 << 10;
/// Usual size of the read buffer of a connection, which holds the head of a request.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Connections of each of the addresses for readiness and metrics. They have one or two clients.
const ENDPOINT_CONNECTIONS_MAX: usize = 32;
/// Connections from other hosts that are possible whatever the number of descriptors.
const HOST_CONNECTIONS_MIN: usize = 64;

/// Limits of the process. A quarter of the memory is left to the process itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResourceLimits {
    /// Bytes of callers' bodies and connections.
    pub(crate) caller_bytes: usize,
    /// Bytes of servers' responses.
    pub(crate) server_bytes: usize,
    /// Bytes of incomplete messages from other hosts.
    pub(crate) host_bytes: usize,
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
        let caller_bytes = memory_bytes / 8 * 3;
        let by_descriptors = descriptors / 8 * 3;
        let by_memory = caller_bytes / 2 / (CONNECTION_BYTES + READ_BUFFER_BYTES);
        ResourceLimits {
            caller_bytes,
            server_bytes: memory_bytes / 4,
            host_bytes: memory_bytes / 8,
            caller_connections: by_descriptors.min(by_memory).max(1),
            host_connections: by_descriptors.max(HOST_CONNECTIONS_MIN),
            endpoint_connections: ENDPOINT_CONNECTIONS_MAX,
        }
    }
}
