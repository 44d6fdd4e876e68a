//! The cluster map, and what changes from one to the next.

use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::HostInfo;
use crate::Partition;

/// The live hosts and the partition owners, as the coordinator publishes them to every host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMap {
    /// Hosts that report to the coordinator, ordered by identifier.
    pub hosts: Vec<HostInfo>,
    /// Owners of partitions with their epochs, ordered by partition.
    pub owners: Vec<(Partition, HostId, u64)>,
}

/// What changed between two cluster maps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMapChange {
    /// Digest of the map that the change applies to.
    pub base_digest: u64,
    /// Digest of the resulting map.
    pub digest: u64,
    /// Hosts that were added, or whose information changed.
    pub hosts: Vec<HostInfo>,
    /// Hosts that are no longer listed.
    pub gone_hosts: Vec<HostId>,
    /// Partitions that have another owner or epoch.
    pub owners: Vec<(Partition, HostId, u64)>,
    /// Partitions that no longer have an owner.
    pub ownerless: Vec<Partition>,
}

/// How a host learns of the current cluster map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterMapUpdate {
    /// The map itself.
    Whole(ClusterMap),
    /// What changed since a map that the host has.
    Change(ClusterMapChange),
}

impl ClusterMap {
    /// Digest of the content, by which a host reports which cluster map it has.
    ///
    /// ```
    /// let map = bamboo_coordination::ClusterMap::default();
    /// assert_eq!(map.digest(), map.clone().digest());
    /// ```
    pub fn digest(&self) -> u64 {
        match bincode::serde::encode_to_vec(self, bincode::config::standard()) {
            Ok(bytes) => xxh3_64(&bytes),
            Err(error) => {
                log::error!("cannot encode the cluster map: {error}");
                0
            }
        }
    }

    /// What changed since an earlier map.
    ///
    /// ```
    /// use bamboo_coordination::ClusterMap;
    /// let base = ClusterMap { hosts: vec![], owners: vec![(0, "a".into(), 1), (1, "a".into(), 1)] };
    /// let map = ClusterMap { hosts: vec![], owners: vec![(0, "b".into(), 2)] };
    /// let change = map.change_since(&base);
    /// assert_eq!((change.owners.len(), change.ownerless.as_slice()), (1, [1].as_slice()));
    /// assert_eq!(base.with_change(&change), map);
    /// ```
    pub fn change_since(&self, base: &ClusterMap) -> ClusterMapChange {
        let is_listed = |host: &HostId| self.hosts.iter().any(|info| info.host == *host);
        let is_owned = |partition: Partition| {
            let mut owners = self.owners.iter();
            owners.any(|(owned, ..)| *owned == partition)
        };
        ClusterMapChange {
            base_digest: base.digest(),
            digest: self.digest(),
            hosts: added(&self.hosts, &base.hosts),
            gone_hosts: base
                .hosts
                .iter()
                .map(|info| info.host.clone())
                .filter(|host| !is_listed(host))
                .collect(),
            owners: added(&self.owners, &base.owners),
            ownerless: base
                .owners
                .iter()
                .map(|(partition, ..)| *partition)
                .filter(|partition| !is_owned(*partition))
                .collect(),
        }
    }

    /// The map after a change.
    pub fn with_change(&self, change: &ClusterMapChange) -> ClusterMap {
        let is_replaced = |host: &HostId| {
            change.gone_hosts.contains(host) || change.hosts.iter().any(|info| info.host == *host)
        };
        let is_reassigned = |partition: &Partition| {
            let mut owners = change.owners.iter();
            change.ownerless.contains(partition) || owners.any(|(owned, ..)| owned == partition)
        };
        let mut map = self.clone();
        map.hosts.retain(|info| !is_replaced(&info.host));
        map.hosts.extend_from_slice(&change.hosts);
        map.hosts.sort_by(|a, b| a.host.cmp(&b.host));
        map.owners.retain(|(owned, ..)| !is_reassigned(owned));
        map.owners.extend_from_slice(&change.owners);
        map.owners.sort_by_key(|(partition, ..)| *partition);
        map
    }
}

fn added<T>(current: &[T], base: &[T]) -> Vec<T>
where
    T: Clone + PartialEq,
{
    let is_new = |entry: &&T| !base.contains(entry);
    current.iter().filter(is_new).cloned().collect()
}
