//! Configuration at one host: the state replayed from its stream, and snapshots from peers while the log is down.

use std::sync::Arc;
use std::time::Duration;

use bamboo_config::ChangeOutcome;
use bamboo_config::ConfigState;
use bamboo_events::EventKind;
use bamboo_log::CatchUpBuffer;
use bamboo_log::ConfigChange;
use bamboo_log::Entry;
use bamboo_log::LatestSnapshot;
use bamboo_log::NextRead;
use bamboo_log::ReadAnswer;
use bamboo_log::ReadOutcome;
use bamboo_log::Reader;
use bamboo_log::RecordBody;
use bamboo_log::RecordHandle;
use bamboo_log::StreamId;
use bamboo_log::split_snapshot;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::Timestamp;
use bamboo_wire::PeerMessage;

use crate::Answer;
use crate::HostCore;
use crate::Output;
use crate::waiters::AppendPurpose;

/// Entries of the configuration stream after which a snapshot is written.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 500;
/// Time after which a snapshot that has not been read back is written again.
const SNAPSHOT_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Interval between requests for a peer's snapshot.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration at one host.
#[derive(Debug)]
pub(crate) struct ConfigRole {
    state: Arc<ConfigState>,
    catch_up: CatchUpBuffer,
    reader: Reader,
    latest_snapshot: LatestSnapshot,
    snapshot_sent_at: Option<Timestamp>,
    has_reached_tail: bool,
    has_peer_snapshot: bool,
    /// When the log or a peer last confirmed that the configuration is up to date.
    confirmed_at: Timestamp,
    snapshot_requested_at: Option<Timestamp>,
    /// Outcomes of this host's own changes, which are answered once they are published.
    unanswered: Vec<(RequestId, ChangeOutcome)>,
}

impl Default for ConfigRole {
    fn default() -> Self {
        ConfigRole {
            state: Arc::new(ConfigState::default()),
            catch_up: CatchUpBuffer::default(),
            latest_snapshot: LatestSnapshot::default(),
            snapshot_sent_at: None,
            reader: Reader::new(StreamId::Config, 0),
            has_reached_tail: false,
            has_peer_snapshot: false,
            confirmed_at: Duration::ZERO,
            snapshot_requested_at: None,
            unanswered: Vec::new(),
        }
    }
}

impl ConfigRole {
    pub(crate) fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The state, shared rather than copied.
    pub(crate) fn shared_state(&self) -> Arc<ConfigState> {
        Arc::clone(&self.state)
    }

    /// Whether the configuration can be used: the stream was read to its tail, or a peer's snapshot was installed while
    /// the log is down, and the log or a peer confirmed it within `stale_max`.
    pub(crate) fn is_ready(&self, now: Timestamp, stale_max: Duration) -> bool {
        (self.has_reached_tail || self.has_peer_snapshot)
            && self.catch_up.has_no_gap()
            && now.saturating_sub(self.confirmed_at) < stale_max
    }
}

impl HostCore {
    pub(crate) fn tick_config(&mut self, now: Timestamp) {
        if let NextRead::Read { stream, from } = self.config.reader.next(now) {
            self.output(Output::Read { stream, from });
        }
        self.write_config_snapshot(now);
        let is_log_unavailable = !self.config.has_reached_tail && self.config.reader.is_failing();
        let needs_snapshot = is_log_unavailable || !self.config.catch_up.has_no_gap();
        let is_due = self
            .config
            .snapshot_requested_at
            .is_none_or(|at| now.saturating_sub(at) >= SNAPSHOT_REQUEST_INTERVAL);
        if needs_snapshot && is_due {
            self.request_config_snapshot(now);
        }
    }

    pub(crate) fn handle_config_read(&mut self, now: Timestamp, answer: ReadAnswer) {
        let oldest = answer.oldest;
        let entries = match self.config.reader.handle_answer(answer) {
            ReadOutcome::Nothing => Vec::new(),
            ReadOutcome::Entries(entries) => entries,
            ReadOutcome::Gap(entries) => {
                // Entries were trimmed before this host read them; a snapshot from the stream or a peer fills the gap.
                self.config
                    .catch_up
                    .open(oldest, self.config.state.next_offset());
                if !self.config.catch_up.has_no_gap() {
                    self.request_config_snapshot(now);
                }
                entries
            }
        };
        let mut has_changed = false;
        for (offset, entry) in entries {
            has_changed |= entry.is_some_and(|entry| self.process_config_entry(now, offset, entry));
        }
        self.config.confirmed_at = now;
        self.config.has_reached_tail |= self.config.reader.is_at_tail();
        if has_changed {
            self.publish_config(now);
        }
    }

    pub(crate) fn handle_config_read_failure(&mut self, now: Timestamp) {
        let random = self.random();
        self.config.reader.handle_failure(now, random);
    }

    pub(crate) fn handle_propose(
        &mut self,
        now: Timestamp,
        request: RequestId,
        change: ConfigChange,
    ) {
        self.enqueue(
            now,
            request,
            StreamId::Config,
            RecordBody::Config(change),
            AppendPurpose::Propose,
        );
    }

    pub(crate) fn handle_config_offset(&mut self, now: Timestamp, from: &str, offset: Offset) {
        if from == self.options.host {
            return;
        }
        // A live peer that is not ahead confirms that this configuration is not outdated.
        if offset <= self.config.state.next_offset() {
            self.config.confirmed_at = now;
        } else if self.config.reader.is_failing() {
            self.send(
                from,
                PeerMessage::ConfigRequest {
                    next_offset: self.config.state.next_offset(),
                },
            );
        }
    }

    pub(crate) fn handle_config_snapshot_request(&mut self, from: &str, peer_next_offset: Offset) {
        if self.config.state.next_offset() <= peer_next_offset {
            return;
        }
        if let Ok(bytes) = self.config.state.encode_snapshot() {
            self.send(from, PeerMessage::ConfigSnapshot(bytes));
        }
    }

    pub(crate) fn handle_config_snapshot(&mut self, now: Timestamp, bytes: &[u8]) {
        if self.install_config_snapshot(bytes) {
            self.config.has_peer_snapshot = true;
            self.config.confirmed_at = now;
            self.publish_config(now);
        }
    }

    fn process_config_entry(&mut self, now: Timestamp, offset: Offset, entry: Entry) -> bool {
        self.config.latest_snapshot.observe(&entry);
        if self.config.catch_up.has_no_gap() {
            return self.apply_config(offset, &entry);
        }
        let was_installed = match self.config.catch_up.buffer(offset, entry) {
            Some(snapshot) => self.install_config_snapshot(&snapshot.bytes),
            None => false,
        };
        if was_installed {
            self.config.confirmed_at = now;
        }
        was_installed
    }

    /// Installs a snapshot if it is newer, and applies the entries that were buffered during the gap.
    fn install_config_snapshot(&mut self, bytes: &[u8]) -> bool {
        let state = Arc::make_mut(&mut self.config.state);
        if !matches!(state.install_snapshot(bytes), Ok(true)) {
            return false;
        }
        let next_offset = state.next_offset();
        for (offset, entry) in self.config.catch_up.close(next_offset).unwrap_or_default() {
            self.apply_config(offset, &entry);
        }
        true
    }

    /// Writes a snapshot when one is due, so that older entries may be trimmed. Only the rendezvous owner of the
    /// configuration stream writes one.
    fn write_config_snapshot(&mut self, now: Timestamp) {
        let next_offset = self.config.state.next_offset();
        let is_due = self.config.latest_snapshot.is_due(
            now,
            next_offset,
            SNAPSHOT_INTERVAL_ENTRIES,
            self.options.retention / 4,
        );
        let is_under_way = self
            .config
            .snapshot_sent_at
            .is_some_and(|at| now.saturating_sub(at) < SNAPSHOT_RETRY_AFTER);
        let is_current = self.config.reader.is_at_tail() && self.config.catch_up.has_no_gap();
        if !is_due || is_under_way || !is_current || !self.writes_config_snapshots {
            return;
        }
        self.config.snapshot_sent_at = Some(now);
        if let Ok(bytes) = self.config.state.encode_snapshot() {
            for part in split_snapshot(next_offset.saturating_sub(1), &bytes) {
                self.appender.enqueue(now, StreamId::Config, part);
            }
        }
    }

    fn request_config_snapshot(&mut self, now: Timestamp) {
        self.config.snapshot_requested_at = Some(now);
        let next_offset = self.config.state.next_offset();
        let peers: Vec<String> = self
            .live_hosts
            .iter()
            .filter(|host| **host != self.options.host)
            .cloned()
            .collect();
        if peers.is_empty() {
            return;
        }
        let index = (self.random() % peers.len() as u64) as usize;
        self.send(&peers[index], PeerMessage::ConfigRequest { next_offset });
    }

    fn apply_config(&mut self, offset: Offset, entry: &Entry) -> bool {
        let outcomes = Arc::make_mut(&mut self.config.state).apply(offset, entry);
        let is_own_entry =
            entry.host == self.options.host && entry.incarnation == self.options.incarnation;
        let has_changed = !outcomes.is_empty();
        for (sequence, outcome) in outcomes {
            self.event(
                EventKind::ConfigChanged,
                format!("config-{offset}"),
                format!("{outcome:?}"),
            );
            let handle = RecordHandle {
                stream: StreamId::Config,
                sequence,
            };
            if is_own_entry && let Some(waiter) = self.waiters.remove(handle) {
                self.config.unanswered.push((waiter.request, outcome));
            }
        }
        has_changed
    }

    /// Publishes the configuration, and then answers the changes in it: operators are served by other threads, and must find
    /// there what they have been told.
    fn publish_config(&mut self, now: Timestamp) {
        let state = Arc::clone(&self.config.state);
        self.output(Output::PublishConfig(state));
        for (request, outcome) in std::mem::take(&mut self.config.unanswered) {
            self.answer(request, Answer::Config(outcome));
        }
        self.refresh_servers(now);
    }
}
