//! The suspects that crash servers, as all hosts share them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::millis;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::SuspectId;
use crate::SuspectKind;
use crate::suspect_kind;

/// Duration of the first quarantine of a suspect that may not be the cause.
const QUARANTINE_UNCERTAIN: Duration = Duration::from_secs(60);
/// Duration of the first other quarantine of a suspect. It grows with each further one.
const QUARANTINE_INITIAL: Duration = Duration::from_secs(3600);
/// Factor by which a quarantine is longer than the one before.
const QUARANTINE_GROWTH: u32 = 4;
/// Upper bound for the exponent of the growth: 4^9 hours are 30 years.
const GROWTH_EXPONENT_MAX: u32 = 9;
/// Time after which all hosts that are in touch know of an entry.
const KNOWN_EVERYWHERE_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of parts in quarantine. If that many seem to crash servers, the prompts are not the cause.
const PARTS_MAX: usize = 64;
/// Maximum number of contents in quarantine. Bounds the messages between hosts.
const CONTENTS_MAX: usize = 256;

/// A suspect in quarantine or on probation as it is sent to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedSuspect {
    /// The suspect.
    pub suspect: SuspectId,
    /// Time until the end of the quarantine in milliseconds; 0 on probation.
    pub remaining_ms: u64,
    /// How often it was found to crash servers, or its quarantine was lifted; 0 if it may not be the cause.
    pub findings: u32,
}

/// What a host replies to the entries of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineReply {
    /// All its entries, since the other host lacks some of them.
    Newer(Vec<QuarantinedSuspect>),
    /// The digest of its entries: the other host has all of them.
    Ack(u64),
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// When this host learned of it.
    since: Duration,
    until: Duration,
    findings: u32,
}

impl Entry {
    /// How long the suspect is on probation after its quarantine: as long as that was.
    fn probation_until(&self) -> Duration {
        self.until + quarantine_time(self.findings)
    }
}

/// Duration of the quarantine after a number of findings.
fn quarantine_time(findings: u32) -> Duration {
    let Some(exponent) = findings.checked_sub(1) else {
        return QUARANTINE_UNCERTAIN;
    };
    let exponent = exponent.min(GROWTH_EXPONENT_MAX);
    QUARANTINE_INITIAL * QUARANTINE_GROWTH.pow(exponent)
}

fn is_part(suspect: SuspectId) -> bool {
    suspect_kind(suspect) == SuspectKind::Part
}

/// Maximum number of entries that are parts, or of those that are not.
fn entries_max(is_part: bool) -> usize {
    match is_part {
        true => PARTS_MAX,
        false => CONTENTS_MAX,
    }
}

/// The suspects that crash servers. Requests with such a suspect are not sent to servers. Two quarantines are merged into one
/// that has the entries of both.
#[derive(Debug, Default)]
pub struct Quarantine {
    end_delay: Duration,
    suspects: BTreeMap<SuspectId, Entry>,
}

impl Quarantine {
    /// Creates a quarantine that ends later at this host by a time of its own. If it differs between hosts, a suspect whose
    /// quarantine ends reaches servers from one of them first.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut quarantine = bamboo_quarantine::Quarantine::with_end_delay(Duration::from_secs(5));
    /// quarantine.add(7, true, Duration::ZERO);
    /// assert!(quarantine.remaining(&[7], Duration::from_secs(3604)).is_some());
    /// ```
    pub fn with_end_delay(end_delay: Duration) -> Self {
        Quarantine {
            end_delay,
            ..Quarantine::default()
        }
    }

    /// Adds a suspect that was found to crash servers. Returns its entry, or `None` if the quarantine is full.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut quarantine = bamboo_quarantine::Quarantine::default();
    /// quarantine.add(7, true, Duration::ZERO).unwrap();
    /// assert!(quarantine.remaining(&[1, 7], Duration::from_secs(60)).is_some());
    /// assert!(quarantine.remaining(&[1], Duration::from_secs(60)).is_none());
    /// assert!(quarantine.remaining(&[7], Duration::from_secs(3601)).is_none());
    /// assert!(quarantine.is_on_probation(7, Duration::from_secs(3601)));
    /// ```
    pub fn add(
        &mut self,
        suspect: SuspectId,
        is_certain: bool,
        now: Duration,
    ) -> Option<QuarantinedSuspect> {
        let before = self.suspects.get(&suspect).map(|entry| entry.findings);
        let is_part = is_part(suspect);
        if before.is_none() && self.count(is_part) >= entries_max(is_part) {
            return None;
        }
        let findings = match before {
            Some(before) => before.saturating_add(1),
            None => u32::from(is_certain),
        };
        let entry = QuarantinedSuspect {
            suspect,
            remaining_ms: millis(quarantine_time(findings)),
            findings,
        };
        self.insert(&entry, now);
        Some(entry)
    }

    /// Ends the quarantine of a suspect, which is on probation from then on. Returns its entry, or `None` if it is not in
    /// quarantine.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut quarantine = bamboo_quarantine::Quarantine::default();
    /// quarantine.add(7, true, Duration::ZERO);
    /// quarantine.lift(7, Duration::from_secs(1)).unwrap();
    /// assert!(quarantine.remaining(&[7], Duration::from_secs(2)).is_none());
    /// assert!(quarantine.is_on_probation(7, Duration::from_secs(2)));
    /// ```
    pub fn lift(&mut self, suspect: SuspectId, now: Duration) -> Option<QuarantinedSuspect> {
        let entry = self.suspects.get_mut(&suspect)?;
        if entry.until <= now {
            return None;
        }
        // Counts as a finding, so that the entry replaces that of the other hosts.
        entry.findings = entry.findings.saturating_add(1);
        entry.until = now;
        Some(QuarantinedSuspect {
            suspect,
            remaining_ms: 0,
            findings: entry.findings,
        })
    }

    /// Takes over the entries of another host that are newer or unknown. Returns whether there were any. Of more than the
    /// quarantine holds, all hosts keep the same ones.
    pub fn merge(&mut self, entries: &[QuarantinedSuspect], now: Duration) -> bool {
        let digest_before = digest(&self.entries(now));
        for entry in entries {
            let known = self.suspects.get(&entry.suspect);
            if known.is_none_or(|known| known.findings < entry.findings) {
                self.insert(entry, now);
            }
        }
        self.drop_excess();
        digest(&self.entries(now)) != digest_before
    }

    fn insert(&mut self, entry: &QuarantinedSuspect, now: Duration) {
        let remaining = Duration::from_millis(entry.remaining_ms);
        let delay = match remaining.is_zero() {
            true => Duration::ZERO,
            false => self.end_delay,
        };
        let local = Entry {
            since: now,
            until: now + remaining + delay,
            findings: entry.findings,
        };
        self.suspects.insert(entry.suspect, local);
    }

    /// Number of entries that are parts, or of those that are not.
    fn count(&self, is_part: bool) -> usize {
        let suspects = self.suspects.keys();
        let of_kind = suspects.filter(|suspect| self::is_part(**suspect) == is_part);
        of_kind.count()
    }

    /// Drops the entries with the fewest findings, and of these the ones with the highest identifiers.
    fn drop_excess(&mut self) {
        for is_part in [true, false] {
            while self.count(is_part) > entries_max(is_part) {
                let suspects = self.suspects.iter();
                let of_kind = suspects.filter(|(suspect, _)| self::is_part(**suspect) == is_part);
                let last =
                    of_kind.max_by_key(|(suspect, entry)| (Reverse(entry.findings), **suspect));
                let Some(suspect) = last.map(|(suspect, _)| *suspect) else {
                    break;
                };
                self.suspects.remove(&suspect);
            }
        }
    }

    /// The reply to a host whose entries have been merged.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_quarantine::{Quarantine, QuarantineReply};
    /// let mut quarantine = Quarantine::default();
    /// let entry = quarantine.add(7, true, Duration::ZERO).unwrap();
    /// assert_eq!(quarantine.reply(&[], Duration::ZERO), QuarantineReply::Newer(vec![entry]));
    /// assert!(matches!(quarantine.reply(&[entry], Duration::ZERO), QuarantineReply::Ack(_)));
    /// ```
    pub fn reply(&self, received: &[QuarantinedSuspect], now: Duration) -> QuarantineReply {
        let entries = self.entries(now);
        let is_newer = |entry: &QuarantinedSuspect| {
            let other = received.iter().find(|other| other.suspect == entry.suspect);
            other.is_none_or(|other| other.findings < entry.findings)
        };
        match entries.iter().any(is_newer) {
            true => QuarantineReply::Newer(entries),
            false => QuarantineReply::Ack(digest(&entries)),
        }
    }

    /// The first of the suspects that is in quarantine.
    pub fn find(&self, suspects: &[SuspectId], now: Duration) -> Option<SuspectId> {
        let is_quarantined = |suspect: &&SuspectId| self.remaining(&[**suspect], now).is_some();
        suspects.iter().find(is_quarantined).copied()
    }

    /// Time until none of the suspects is in quarantine; `None` if none is.
    pub fn remaining(&self, suspects: &[SuspectId], now: Duration) -> Option<Duration> {
        let entries = suspects
            .iter()
            .filter_map(|suspect| self.suspects.get(suspect));
        let remaining = entries.filter_map(|entry| entry.until.checked_sub(now));
        remaining.filter(|time| !time.is_zero()).max()
    }

    /// Whether a run with a suspect in quarantine was sent later than all hosts had to know of it, so that it has ended at the
    /// host that sent it.
    pub fn has_ended_elsewhere(&self, suspect: SuspectId, sent_at: Duration) -> bool {
        let entry = self.suspects.get(&suspect);
        entry.is_some_and(|entry| sent_at > entry.since + KNOWN_EVERYWHERE_AFTER)
    }

    /// Whether the quarantine of a suspect has ended, and a single crash puts it back.
    pub fn is_on_probation(&self, suspect: SuspectId, now: Duration) -> bool {
        let entry = self.suspects.get(&suspect);
        entry.is_some_and(|entry| entry.until <= now && now < entry.probation_until())
    }

    /// All entries, for other hosts and for the store.
    pub fn entries(&self, now: Duration) -> Vec<QuarantinedSuspect> {
        let entries = self
            .suspects
            .iter()
            .map(|(suspect, entry)| QuarantinedSuspect {
                suspect: *suspect,
                remaining_ms: millis(entry.until.saturating_sub(now)),
                findings: entry.findings,
            });
        entries.collect()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops the entries whose probation has ended.
    pub fn expire(&mut self, now: Duration) {
        self.suspects
            .retain(|_, entry| now < entry.probation_until());
    }
}

/// Digest of entries, by which two hosts compare theirs. It does not depend on the time.
///
/// ```
/// use bamboo_quarantine::{QuarantinedSuspect, digest};
/// let entry = QuarantinedSuspect { suspect: 7, remaining_ms: 9, findings: 1 };
/// assert_eq!(digest(&[entry]), digest(&[QuarantinedSuspect { remaining_ms: 5, ..entry }]));
/// assert_ne!(digest(&[entry]), digest(&[]));
/// ```
pub fn digest(entries: &[QuarantinedSuspect]) -> u64 {
    let bytes: Vec<u8> = entries
        .iter()
        .flat_map(|entry| [entry.suspect, u64::from(entry.findings)])
        .flat_map(u64::to_le_bytes)
        .collect();
    xxh3_64(&bytes)
}
