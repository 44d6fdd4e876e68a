//! How far a host has followed the entries of the servers, and what follows for the software versions that there have been.
//!
//! A process that is suspended, or a host that is cut off, goes on with what it read before. That is recognized by offsets
//! rather than by age: a question is answered from entries up to an end that the store named after the question was asked.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_types::Offset;
use bamboo_types::SoftwareVersion;

use crate::VERSION_MEMORY;

/// Time after the begin of the last read of the directory from which on servers may have come that a host does not know.
const READS_FRESH: Duration = Duration::from_secs(3);

/// How far a host has followed the entries of the servers. All times are of a clock that also counts the time for which the
/// machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryReads {
    /// Time from which on every change is known.
    followed_since: Duration,
    /// Begin of the last read.
    last_began_at: Duration,
    /// End of the entries that are known; `None` if they are another host's, which may be older.
    end: Option<Offset>,
}

impl DirectoryReads {
    /// The servers as another host knows them.
    ///
    /// ```
    /// use bamboo_fleet::DirectoryReads;
    /// assert!(!DirectoryReads::of_another_host(std::time::Duration::ZERO).reaches(0));
    /// ```
    pub fn of_another_host(asked_at: Duration) -> Self {
        DirectoryReads {
            followed_since: asked_at,
            last_began_at: asked_at,
            end: None,
        }
    }

    /// The newest entries of all servers up to an offset. Which servers left before is not known from these.
    pub fn newest(began_at: Duration, end: Offset, now: Duration) -> Self {
        DirectoryReads {
            followed_since: now,
            last_began_at: began_at,
            end: Some(end),
        }
    }

    /// Adds a read of all changes since the previous one.
    pub fn changes_read(&mut self, began_at: Duration, end: Offset) {
        self.last_began_at = began_at;
        self.end = Some(end);
    }

    /// Whether all entries up to an end are known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_fleet::DirectoryReads;
    /// let mut reads = DirectoryReads::newest(Duration::ZERO, 5, Duration::ZERO);
    /// assert!(!reads.reaches(6));
    /// reads.changes_read(Duration::from_secs(1), 6);
    /// assert!(reads.reaches(6));
    /// ```
    pub fn reaches(&self, end: Offset) -> bool {
        self.end.is_some_and(|known| known >= end)
    }

    /// Whether this host knows every version that a caller may return to, apart from those that came within the last seconds.
    pub fn remembers_versions(&self, now: Duration) -> bool {
        self.has_followed_for(VERSION_MEMORY, now)
            && now.saturating_sub(self.last_began_at) < READS_FRESH
    }

    fn has_followed_for(&self, time: Duration, now: Duration) -> bool {
        now.saturating_sub(self.followed_since) >= time
    }
}

/// Who knows which versions left before the present ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionMemory {
    /// Nobody who was asked.
    None,
    /// Another host that answered [`DirectoryReads::remembers_versions`] after the question.
    AnotherHost,
    /// The records of the store, all of which this host has read.
    Records,
}

/// At which version a stream of unknown origin began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoleVersion {
    /// At this one: there has been no other for as long as a caller may return.
    Certain(SoftwareVersion),
    /// One version is known. Another may have left before; the records of the store may tell.
    NeedsRecords(SoftwareVersion),
    /// There are several versions or none, or this host does not know of all servers.
    Unknown,
}

/// Decides at which version a stream began whose origin no host knows, by the versions that this host and others know. `end` is
/// the end of the entries in the store, as named after the caller returned to the stream.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
/// use bamboo_fleet::{DirectoryReads, SoleVersion, VersionMemory, sole_version};
/// let versions = BTreeSet::from(["v1".to_owned()]);
/// let reads = DirectoryReads::newest(Duration::ZERO, 5, Duration::ZERO);
/// let now = Duration::from_secs(60);
/// let certain = sole_version(&versions, &reads, 5, VersionMemory::None, now);
/// assert_eq!(certain, SoleVersion::Certain("v1".to_owned()));
/// assert_eq!(sole_version(&versions, &reads, 6, VersionMemory::None, now), SoleVersion::Unknown);
/// ```
pub fn sole_version(
    versions: &BTreeSet<SoftwareVersion>,
    reads: &DirectoryReads,
    end: Offset,
    memory: VersionMemory,
    now: Duration,
) -> SoleVersion {
    let mut versions = versions.iter();
    let (Some(version), None) = (versions.next(), versions.next()) else {
        return SoleVersion::Unknown;
    };
    if !reads.reaches(end) {
        return SoleVersion::Unknown;
    }
    let is_remembered = match memory {
        VersionMemory::Records => true,
        // What the other host does not know yet, this one has seen.
        VersionMemory::AnotherHost => reads.has_followed_for(READS_FRESH, now),
        VersionMemory::None => false,
    };
    match is_remembered || reads.has_followed_for(VERSION_MEMORY, now) {
        true => SoleVersion::Certain(version.clone()),
        false => SoleVersion::NeedsRecords(version.clone()),
    }
}
