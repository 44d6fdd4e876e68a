//! Where streams began: recorded on this host and a few others, and asked for when a caller returns to its stream.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_coordination::ORIGIN_HOLDERS;
use bamboo_coordination::ORIGIN_HOSTS_ASKED;
use bamboo_coordination::origin_hosts;
use bamboo_coordination::stream_key;
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
        let now = self.clock.now();
        let mut versions = self.service_versions(&services);
        let mut is_remembered = self.remembers_versions();
        let stream = stream_key(request);
        let known = self.stream_origins.borrow().find(stream, now).cloned();
        if let Some(origin) = known {
            return OriginAnswer::Known(origin);
        }
        let peers = self.coordination.borrow().live_peers(now);
        let mut replies: FuturesUnordered<_> = origin_hosts(peers, request, ORIGIN_HOSTS_ASKED)
            .into_iter()
            .map(|host| {
                let services = services.clone();
                let request = PeerRequest::StreamOrigin { stream, services };
                async move { self.mesh.call(&host, request, ORIGIN_TIMEOUT, now).await }
            })
            .collect();
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
                    is_remembered |= remembers_versions;
                }
                _ => {}
            }
        }
        // Hosts that have all just started may not know of a version that left before, and those that are cut off from
        // the store of one that has come.
        if versions.len() == 1 && !is_remembered && self.are_servers_fresh() {
            is_remembered = self.recall_versions().await;
            versions.extend(self.service_versions(&services));
        }
        let is_certain = is_remembered && versions.len() == 1;
        OriginAnswer::Unknown(versions.pop_first().filter(|_| is_certain))
    }

    /// Answers another host what this one knows of a stream.
    pub(super) fn answer_stream_origin(&self, stream: u64, services: &[String]) -> PeerReply {
        let now = self.clock.now();
        PeerReply::StreamOrigin {
            origin: self.stream_origins.borrow().find(stream, now).cloned(),
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
