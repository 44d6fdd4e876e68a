//! The quarantine of this host: how it is shared with other hosts and kept in the store.

use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_quarantine::CrashReport;
use bamboo_quarantine::Finding;
use bamboo_quarantine::QuarantineReply;
use bamboo_quarantine::QuarantinedSuspect;
use bamboo_quarantine::SuspectId;
use bamboo_quarantine::digest;
use bamboo_quarantine::suspect_kind;
use bamboo_relay::LONG_POLL_MAX;
use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::Gateway;
use crate::mesh::LATE_CRASHES_SINCE;
use crate::mesh::PeerMessage;
use crate::mesh::SERVER_REPORTS_SINCE;
use crate::store::KeyedRecord;
use crate::store::ReadExtent;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::topic_reader::TopicReader;
use crate::topic_reader::encode_keyed_record;
use crate::traffic::format_suspects;

/// Topic that holds the quarantine, without the prefix of keyed topics.
const QUARANTINE_TOPIC: &str = "bamboo-quarantine";
/// Interval at which a host checks whether it has to follow the quarantine in the store.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A quarantined suspect as the store holds it, under the suspect as its key.
#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    /// End of the quarantine in milliseconds since the Unix epoch.
    until_unix_ms: u64,
    /// How often the suspect was found to crash servers.
    findings: u32,
}

impl Gateway {
    /// Puts a suspect into quarantine, and tells the other hosts and the store.
    pub(super) fn quarantine_suspect(&self, finding: &Finding, now: Duration) {
        let suspect = format_suspects(&[finding.suspect]);
        let entry =
            self.crashes
                .quarantine
                .borrow_mut()
                .add(finding.suspect, finding.is_certain, now);
        let Some(entry) = entry else {
            log::error!(
                event = "quarantine_full", suspect;
                "something that requests have in common seems to crash servers, as do too many others"
            );
            return;
        };
        log::warn!(
            event = "quarantined", suspect, kind:? = suspect_kind(finding.suspect), servers = finding.servers.join(","),
            is_certain = finding.is_certain, findings = entry.findings, remaining_ms = entry.remaining_ms;
            "something that requests have in common crashes servers; such requests are rejected"
        );
        self.crashes.unstored.borrow_mut().push(entry);
        self.crashes.has_unstored.notify_one();
        self.quarantine_changed(&self.local.host, now);
    }

    /// Sends the quarantine to the hosts that this one coordinates, or to the coordinator, but not to the host that it
    /// is from.
    fn quarantine_changed(&self, source: &str, now: Duration) {
        let quarantine = self.crashes.quarantine.borrow();
        self.metrics
            .quarantined_parts
            .set(i64::try_from(quarantine.len()).unwrap_or(i64::MAX));
        let entries = quarantine.entries(now);
        drop(quarantine);
        let coordinator = self.coordination.borrow().coordinator().clone();
        let hosts: Vec<HostId> = match coordinator == self.local.host {
            true => self.reporting_hosts(),
            false => vec![coordinator],
        };
        for host in hosts.iter().filter(|host| *host != source) {
            self.send_quarantine(host, &entries);
        }
    }

    fn send_quarantine(&self, host: &str, entries: &[QuarantinedSuspect]) {
        if self.decodes_since(host, SERVER_REPORTS_SINCE) {
            self.send_to(host, PeerMessage::Quarantine(entries.to_vec()));
        }
    }

    /// Sends the quarantine to a host that has reported and not acknowledged it.
    pub(super) fn send_quarantine_unless_known(&self, host: &str) {
        let quarantine = self.crashes.quarantine.borrow();
        if quarantine.is_empty() {
            return;
        }
        let entries = quarantine.entries(self.clock.now());
        drop(quarantine);
        if self.crashes.acks.borrow().get(host) != Some(&digest(&entries)) {
            self.send_quarantine(host, &entries);
        }
    }

    /// Merges the quarantine of another host into that of this one.
    pub(super) fn handle_quarantine(
        &self,
        sender: &HostInfo,
        received: &[QuarantinedSuspect],
        now: Duration,
    ) {
        let has_changed = self.crashes.quarantine.borrow_mut().merge(received, now);
        self.crashes.record_ack(&sender.host, digest(received));
        let reply = self.crashes.quarantine.borrow().reply(received, now);
        match reply {
            QuarantineReply::Newer(entries) => self.send_quarantine(&sender.host, &entries),
            QuarantineReply::Ack(digest) => {
                self.send_to(&sender.host, PeerMessage::QuarantineAck(digest));
            }
        }
        if has_changed {
            log::info!(
                event = "quarantine", source = sender.host.as_str(), parts = received.len();
                "learned of requests or parts of prompts that crash servers"
            );
            self.quarantine_changed(&sender.host, now);
        }
    }

    /// Sends the quarantine and the crashes that this host observed to another one.
    pub(super) fn send_crash_reports(&self, host: &str, now: Duration) {
        let entries = self.crashes.quarantine.borrow().entries(now);
        if !entries.is_empty() {
            self.send_quarantine(host, &entries);
        }
        for crash in self.crashes.recent.borrow().iter() {
            let report = CrashReport::from((crash, now));
            let message = match self.decodes_since(host, LATE_CRASHES_SINCE) {
                true => PeerMessage::CrashReport(report),
                false => PeerMessage::EarlyCrashReport(report.into()),
            };
            self.send_to(host, message);
        }
    }

    /// Writes the suspects that this host adds to the store until the process ends.
    pub(crate) async fn store_quarantine(self: Rc<Self>) {
        let topic = self.quarantine_topic();
        loop {
            match self.store_quarantined_suspects(&topic).await {
                true => self.crashes.has_unstored.notified().await,
                false => actix_rt::time::sleep(STORE_RETRY_PAUSE).await,
            }
        }
    }

    /// Reads the quarantine from the store once, and follows it while this host coordinates the others and it is not
    /// empty, until the process ends. Operators lift a quarantine by deleting its record.
    pub(crate) async fn follow_quarantine(self: Rc<Self>) {
        let (topic, extent) = (self.quarantine_topic(), ReadExtent::Tail);
        let mut reader = TopicReader::new(topic, LONG_POLL_MAX, extent);
        let mut has_read = false;
        loop {
            let is_quarantined = !self.crashes.quarantine.borrow().is_empty();
            if has_read && !(is_quarantined && self.is_coordinator(&self.local.host)) {
                actix_rt::time::sleep(FOLLOW_CHECK_INTERVAL).await;
                continue;
            }
            let apply = |records: Vec<KeyedRecord>| self.apply_stored_quarantine(&records);
            match reader.read_whole(&self, apply).await {
                Ok(()) => has_read = true,
                Err(_) => actix_rt::time::sleep(STORE_RETRY_PAUSE).await,
            }
        }
    }

    fn quarantine_topic(&self) -> String {
        format!("{}{QUARANTINE_TOPIC}", self.dialect.keyed_prefix)
    }

    /// Merges records of the store into the quarantine of this host.
    fn apply_stored_quarantine(&self, records: &[KeyedRecord]) {
        let (now, now_unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let mut has_changed = false;
        for record in records {
            let Ok(suspect) = SuspectId::from_str_radix(&record.key, 16) else {
                log::warn!(
                    event = "quarantine_unreadable", key = record.key.as_str();
                    "a quarantined suspect in the store has no valid key"
                );
                continue;
            };
            let stored = record.value.as_deref().map(serde_json::from_slice);
            let mut quarantine = self.crashes.quarantine.borrow_mut();
            has_changed |= match stored {
                None => quarantine.lift(suspect, now).is_some(),
                Some(Ok(StoredSuspect {
                    until_unix_ms,
                    findings,
                })) => {
                    let remaining_ms = until_unix_ms.saturating_sub(now_unix_ms);
                    let entry = QuarantinedSuspect {
                        suspect,
                        remaining_ms,
                        findings,
                    };
                    quarantine.merge(&[entry], now)
                }
                Some(Err(error)) => {
                    log::warn!(
                        event = "quarantine_unreadable", key = record.key.as_str();
                        "cannot decode a quarantined suspect in the store: {error}"
                    );
                    false
                }
            };
        }
        if has_changed {
            let parts = self.crashes.quarantine.borrow().len();
            log::info!(event = "quarantine", source = "store", parts; "the quarantine changed in the store");
            self.quarantine_changed(&self.local.host, now);
        }
    }

    /// Writes the suspects that the store does not have yet. Returns whether it has all of them.
    async fn store_quarantined_suspects(&self, topic: &str) -> bool {
        let unstored = self.crashes.unstored.borrow().clone();
        if unstored.is_empty() {
            return true;
        }
        let now_unix_ms = self.clock.unix_ms();
        let records = unstored.iter().filter_map(|entry| {
            let stored = StoredSuspect {
                until_unix_ms: now_unix_ms.saturating_add(entry.remaining_ms),
                findings: entry.findings,
            };
            let value = serde_json::to_vec(&stored).ok()?;
            Some(encode_keyed_record(&format!("{:x}", entry.suspect), &value))
        });
        let request = StoreRequest::Append {
            topic: topic.to_owned(),
            partition: 0,
            records: records.collect(),
            fence: None,
        };
        let is_stored = matches!(
            self.store_call(&request).await,
            Ok(StoreReply::Appended { .. })
        );
        if is_stored {
            self.crashes
                .unstored
                .borrow_mut()
                .retain(|entry| !unstored.contains(entry));
        }
        is_stored && self.crashes.unstored.borrow().is_empty()
    }
}
