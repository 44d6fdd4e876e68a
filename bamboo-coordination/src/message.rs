//! What hosts and their coordinator tell each other.

use bamboo_slots::SlotRequestId;
use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Number of a partition of jobs.
pub type Partition = u32;

/// A host as others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Identifier: the address of its links.
    pub host: HostId,
    /// Data centre.
    pub data_centre: String,
    /// Size, by which duties are given: thousandths of a core.
    pub size: u64,
    /// Number of this run.
    pub incarnation: u64,
}

/// Sign of life of a host to its coordinator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Partitions of jobs that it owns, with their epochs.
    pub partitions: Vec<(Partition, u64)>,
    /// Tokens that wait in them, by route, with those that it has reserved.
    pub waiting_tokens: Vec<(String, u64)>,
    /// Number of the last reservation that these figures contain.
    pub reservation: u64,
    /// Asks that it has, waiting and held.
    pub requests: Vec<SlotRequestId>,
    /// Digest of the cluster map that it has.
    pub cluster_map_digest: u64,
    /// Version of the configuration that it has.
    pub config_version: u64,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether it only requests for a sign of life, and reports to another host.
    pub is_probe: bool,
}

/// What the coordinator tells every host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMap {
    /// Hosts that it hears from.
    pub hosts: Vec<HostInfo>,
    /// Owners of partitions with their epochs.
    pub owners: Vec<(Partition, HostId, u64)>,
}

impl ClusterMap {
    /// A digest by which a host tells which cluster map it has.
    ///
    /// ```
    /// let map = bamboo_coordination::ClusterMap::default();
    /// assert_eq!(map.digest(), map.clone().digest());
    /// ```
    pub fn digest(&self) -> u64 {
        match bincode::serde::encode_to_vec(self, bincode::config::standard()) {
            Ok(bytes) => xxh3_64(&bytes),
            Err(error) => {
                log::error!("the cluster map cannot be encoded: {error}");
                0
            }
        }
    }
}
