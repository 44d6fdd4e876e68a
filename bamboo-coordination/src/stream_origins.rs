//! Where the streams of callers began, so that a host to which a caller returns can resume its stream at the same
//! software version.
//!
//! The host that serves a stream sends its origin to a few other hosts before the first event goes out. Every host ranks
//! the live hosts for a stream in the same order, so that the host to which the caller returns asks those that know.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::StreamOrigin;
use bamboo_types::rendezvous_weight;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the identifier of the request that began a stream.
pub type StreamKey = u64;

/// Number of other hosts that a host tells of a stream that begins.
pub const ORIGIN_HOLDERS: usize = 2;
/// Number of hosts that are asked for the origin of a stream. More than [`ORIGIN_HOLDERS`], since hosts may have failed
/// or joined since the stream began.
pub const ORIGIN_HOSTS_ASKED: usize = 4;
/// Number of hosts among which those that keep an origin are chosen, which bounds the links that a host has open for it.
const HOLDER_CANDIDATES_MAX: usize = 64;
/// Time for which an origin is kept. A caller that returns later has given up its stream.
const ORIGIN_AGE_MAX: Duration = Duration::from_secs(30);
/// Maximum number of origins. The oldest are dropped first.
const ORIGINS_MAX: usize = 65_536;

/// Derives the key of a stream from the identifier of the request that began it.
///
/// ```
/// assert_ne!(bamboo_coordination::stream_key("a"), bamboo_coordination::stream_key("b"));
/// ```
pub fn stream_key(request: &str) -> StreamKey {
    xxh3_64(request.as_bytes())
}

/// The hosts that rank first for a stream, at most `count`. A host that joins or fails does not change the order of the
/// others. Large fleets choose among a limited number of hosts, the same for all streams.
///
/// ```
/// let hosts = vec!["h1".to_owned(), "h2".to_owned(), "h3".to_owned()];
/// assert_eq!(bamboo_coordination::origin_hosts(hosts, "request", 2).len(), 2);
/// ```
pub fn origin_hosts(mut hosts: Vec<HostId>, request: &str, count: usize) -> Vec<HostId> {
    if hosts.len() > HOLDER_CANDIDATES_MAX {
        keep_first(&mut hosts, "", HOLDER_CANDIDATES_MAX);
    }
    keep_first(&mut hosts, request, count);
    hosts
}

/// Keeps the hosts that rank first for a key, in their order.
fn keep_first(hosts: &mut Vec<HostId>, key: &str, count: usize) {
    hosts.sort_by_cached_key(|host| std::cmp::Reverse(rendezvous_weight(host, key)));
    hosts.truncate(count);
}

/// Origins of streams, limited in number and age.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, (Duration, StreamOrigin)>,
    /// Times at which origins were recorded, in order. An origin that was recorded again occurs twice.
    recorded: VecDeque<(Duration, StreamKey)>,
}

impl StreamOrigins {
    /// Records where a stream began, or that it goes on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_types::StreamOrigin;
    /// let mut origins = bamboo_coordination::StreamOrigins::default();
    /// let origin = StreamOrigin { service: "llm".into(), version: "v1".into() };
    /// origins.record(7, origin.clone(), Duration::ZERO);
    /// assert_eq!(origins.find(7, Duration::from_secs(1)), Some(&origin));
    /// assert_eq!(origins.find(7, Duration::from_secs(60)), None);
    /// ```
    pub fn record(&mut self, stream: StreamKey, origin: StreamOrigin, now: Duration) {
        let previous = self.origins.insert(stream, (now, origin));
        if previous.is_some_and(|(recorded_at, _)| recorded_at == now) {
            return;
        }
        self.recorded.push_back((now, stream));
        while self.recorded.len() > ORIGINS_MAX {
            self.drop_oldest();
        }
    }

    /// Where a stream began, if that is known.
    pub fn find(&self, stream: StreamKey, now: Duration) -> Option<&StreamOrigin> {
        let (recorded_at, origin) = self.origins.get(&stream)?;
        (now.saturating_sub(*recorded_at) < ORIGIN_AGE_MAX).then_some(origin)
    }

    /// Drops the origins that are too old.
    pub fn expire(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) >= ORIGIN_AGE_MAX;
        while self.recorded.front().is_some_and(|(at, _)| is_old(*at)) {
            self.drop_oldest();
        }
    }

    /// Number of origins.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some((at, stream)) = self.recorded.pop_front() else {
            return;
        };
        let is_current = self
            .origins
            .get(&stream)
            .is_some_and(|(recorded_at, _)| *recorded_at == at);
        if is_current {
            self.origins.remove(&stream);
        }
    }
}
