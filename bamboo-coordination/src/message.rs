//! Messages between hosts and their coordinator.

use bamboo_slots::SlotRequestId;
use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Number of a partition of jobs.
pub type Partition = u32;

/// Identity and properties of a host, as announced to other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Identifier: the address on which it accepts connections of other hosts.
    pub host: HostId,
    /// Data centre.
    pub data_centre: String,
    /// Size in thousandths of a core, by which duties are assigned to hosts.
    pub size: u64,
    /// Number of this incarnation, which tells a restarted host from its previous process.
    pub incarnation: u64,
    /// Whether the host knows the backend servers, without which it cannot allocate their slots. Stays true for the
    /// rest of the incarnation.
    pub knows_servers: bool,
}

/// Periodic report of a host to its coordinator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Partitions of jobs that the host owns, with their epochs.
    pub partitions: Vec<(Partition, u64)>,
    /// Tokens queued in these partitions per route, including those that the host has reserved.
    pub waiting_tokens: Vec<(String, u64)>,
    /// Number of the last reservation that `waiting_tokens` includes.
    pub reservation: u64,
    /// Slot requests of the host, both queued and granted. Empty if a report of them comes with the heartbeat.
    pub requests: Vec<SlotRequestId>,
    /// Digest of the cluster map that the host has.
    pub cluster_map_digest: u64,
    /// Version of the configuration that the host has.
    pub config_version: u64,
    /// Whether the host is about to stop.
    pub is_leaving: bool,
    /// Whether the host knows the backend servers.
    pub knows_servers: bool,
}

/// Liveness probe of a host that reports to another coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Whether the sender knows the backend servers.
    pub knows_servers: bool,
    /// Host that the sender considers the coordinator.
    pub coordinator: HostInfo,
}
