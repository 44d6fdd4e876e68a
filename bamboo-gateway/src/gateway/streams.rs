//! Where streams began: recorded on this host and a few others, and asked for when a caller returns to its stream.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_coordination::ORIGIN_HOLDERS;
use bamboo_coordination::ORIGIN_HOSTS_ASKED;
use bamboo_coordination::StreamKey;
use bamboo_coordination::origin_hosts;
use bamboo_coordination::stream_key;
use bamboo_fleet::SoleVersion;
use bamboo_fleet::VersionMemory;
use bamboo_fleet::sole_version;
use bamboo_types::Offset;
use bamboo_types::SoftwareVersion;
use bamboo_types::StreamOrigin;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;

/// Timeout for asking other hosts where a stream began. As long as that of the coordinator's first reply, since the
/// caller waits in both cases.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(60);

/// What the hosts know of a stream.
pub(crate) enum OriginAnswer {
    /// Where it began.
    Known(StreamOrigin),
    /// Nothing. If the servers of its services have, and recently had, one version, it is this one.
    Unknown(Option<SoftwareVersion>),
}

impl Gateway {
    /// Records where a stream began, here and at other hosts, which are told without waiting for them.
    pub(crate) fn record_stream(&self, request: &str, origin: &StreamOrigin) {
        if request.is_empty() {
            // Requests without an identifier cannot be told apart.
            return;
        }
        let now = self.clock.now();
        let stream = stream_key(request);
        self.stream_origins
            .borrow_mut()
            .record(stream, origin.clone(), now);
        let peers = self.coordination.borrow().live_peers(now);
        for host in origin_hosts(peers, request, ORIGIN_HOLDERS) {
            let origin = origin.clone();
            self.mesh
                .send(&host, PeerMessage::StreamBegan { stream, origin }, now);
        }
    }

    /// Finds where the stream that a request began is from, at this host or others. Returns the first answer that names
    /// the origin.
    pub(crate) async fn find_stream(&self, request: &str, services: Vec<String>) -> OriginAnswer {
        let asked_at = self.clock.now();
        let stream = stream_key(request);
        if let Some(origin) = self.known_origin(stream) {
            return OriginAnswer::Known(origin);
        }
        let peers = self.coordination.borrow().live_peers(asked_at);
        let mut replies: FuturesUnordered<_> = origin_hosts(peers, request, ORIGIN_HOSTS_ASKED)
            .into_iter()
            .map(|host| {
                let services = services.clone();
                let request = PeerRequest::StreamOrigin { stream, services };
                async move {
                    self.mesh
                        .call(&host, request, ORIGIN_TIMEOUT, asked_at)
                        .await
                }
            })
            .collect();
        let mut versions = BTreeSet::new();
        let mut memory = VersionMemory::None;
        while let Some(reply) = replies.next().await {
            match reply {
                Some(PeerReply::StreamOrigin {
                    origin: Some(origin),
                    ..
                }) => return OriginAnswer::Known(origin),
                Some(PeerReply::StreamOrigin {
                    versions: known,
                    remembers_versions,
                    ..
                }) => {
                    versions.extend(known);
                    if remembers_versions {
                        memory = VersionMemory::AnotherHost;
                    }
                }
                _ => {}
            }
        }
        let sole = self
            .find_sole_version(&services, versions, memory, asked_at)
            .await;
        // Another host may have said meanwhile where the stream began.
        match self.known_origin(stream) {
            Some(origin) => OriginAnswer::Known(origin),
            None => OriginAnswer::Unknown(sole),
        }
    }

    /// The only version that servers of services have or recently had, if this host knows after the question that there has
    /// been no other. `versions` are those that other hosts know.
    async fn find_sole_version(
        &self,
        services: &[String],
        mut versions: BTreeSet<SoftwareVersion>,
        memory: VersionMemory,
        asked_at: Duration,
    ) -> Option<SoftwareVersion> {
        versions.extend(self.service_versions(services));
        if versions.len() != 1 {
            return None;
        }
        let end = self.catch_up_with_servers(asked_at).await?;
        match self.sole_version(services, &mut versions, end, memory) {
            SoleVersion::Certain(version) => Some(version),
            SoleVersion::NeedsRecords(_) if self.recall_versions().await => {
                let memory = VersionMemory::Records;
                match self.sole_version(services, &mut versions, end, memory) {
                    SoleVersion::Certain(version) => Some(version),
                    SoleVersion::NeedsRecords(_) | SoleVersion::Unknown => None,
                }
            }
            SoleVersion::NeedsRecords(_) | SoleVersion::Unknown => None,
        }
    }

    /// Adds the versions that this host knows to those of others, and decides whether there is just one.
    fn sole_version(
        &self,
        services: &[String],
        versions: &mut BTreeSet<SoftwareVersion>,
        end: Offset,
        memory: VersionMemory,
    ) -> SoleVersion {
        versions.extend(self.service_versions(services));
        match self.servers_read.borrow().as_ref() {
            Some(reads) => sole_version(versions, reads, end, memory, self.clock.boot_time()),
            None => SoleVersion::Unknown,
        }
    }

    fn known_origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        let now = self.clock.now();
        self.stream_origins.borrow().find(stream, now).cloned()
    }

    /// Answers another host what this one knows of a stream.
    pub(super) fn answer_stream_origin(&self, stream: u64, services: &[String]) -> PeerReply {
        PeerReply::StreamOrigin {
            origin: self.known_origin(stream),
            versions: self.service_versions(services),
            remembers_versions: self.remembers_versions(),
        }
    }

    /// Versions that the servers of services have, or recently had.
    fn service_versions(&self, services: &[String]) -> BTreeSet<SoftwareVersion> {
        let now = self.clock.now();
        let directory = self.directory.borrow();
        services
            .iter()
            .flat_map(|service| directory.versions(service, now))
            .collect()
    }
}
