//! Configuration at one host: the fold, its stream, and images from peers while the log is down.

use std::sync::Arc;
use std::time::Duration;

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
use bamboo_log::StreamId;
use bamboo_log::Ticket;
use bamboo_log::split_snapshot;
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_wire::PeerMessage;

use crate::Answer;
use crate::HostCore;
use crate::Output;
use crate::waiters::Purpose;

/// Entries of the configuration stream after which an image is written.
const IMAGE_EVERY_ENTRIES: u64 = 500;
/// Time after which an image that has not been read back is written again.
const IMAGE_AGAIN: Duration = Duration::from_secs(3);
/// Interval between requests for a peer's configuration.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration state of one host.
#[derive(Debug)]
pub(crate) struct ConfigRole {
    fold: Arc<ConfigState>,
    gap: CatchUpBuffer,
    reader: Reader,
    image: LatestSnapshot,
    image_sent_at: Option<Now>,
    has_reached_tail: bool,
    has_image: bool,
    fresh_at: Now,
    asked_at: Option<Now>,
}

impl Default for ConfigRole {
    fn default() -> Self {
        ConfigRole {
            fold: Arc::new(ConfigState::default()),
            gap: CatchUpBuffer::default(),
            image: LatestSnapshot::default(),
            image_sent_at: None,
            reader: Reader::new(StreamId::Config, 0),
            has_reached_tail: false,
            has_image: false,
            fresh_at: Duration::ZERO,
            asked_at: None,
        }
    }
}

impl ConfigRole {
    pub(crate) fn fold(&self) -> &ConfigState {
        &self.fold
    }

    /// The fold, shared rather than copied.
    pub(crate) fn shared(&self) -> Arc<ConfigState> {
        Arc::clone(&self.fold)
    }

    /// Ready once the stream was read to its tail, or a peer's image stands in for it while the log is down; not
    /// ready when neither log nor peers have been heard for too long.
    pub(crate) fn is_ready(&self, now: Now, stale_max: Duration) -> bool {
        (self.has_reached_tail || self.has_image)
            && self.gap.has_no_gap()
            && now.saturating_sub(self.fresh_at) < stale_max
    }
}

impl HostCore {
    pub(crate) fn tick_config(&mut self, now: Now) {
        if let NextRead::Read { stream, from } = self.config.reader.next(now) {
            self.output(Output::Read { stream, from });
        }
        self.write_image(now);
        let is_blind = !self.config.has_reached_tail && self.config.reader.is_failing();
        let needs_image = is_blind || !self.config.gap.has_no_gap();
        let is_due = self
            .config
            .asked_at
            .is_none_or(|at| now.saturating_sub(at) >= ASK_INTERVAL);
        if needs_image && is_due {
            self.ask_for_image(now);
        }
    }

    pub(crate) fn config_read(&mut self, now: Now, answer: ReadAnswer) {
        let oldest = answer.oldest;
        let entries = match self.config.reader.handle_answer(answer) {
            ReadOutcome::Nothing => Vec::new(),
            ReadOutcome::Entries(entries) => entries,
            ReadOutcome::Gap(entries) => {
                // Trimmed before this host read it: an image, in the stream or of a peer, fills the gap.
                self.config.gap.open(oldest, self.config.fold.next_offset());
                if !self.config.gap.has_no_gap() {
                    self.ask_for_image(now);
                }
                entries
            }
        };
        let mut has_changed = false;
        for (offset, entry) in entries {
            has_changed |= entry.is_some_and(|entry| self.take_config(now, offset, entry));
        }
        self.config.fresh_at = now;
        self.config.has_reached_tail |= self.config.reader.is_at_tail();
        if has_changed {
            self.publish_config(now);
        }
    }

    pub(crate) fn config_read_failed(&mut self, now: Now) {
        let random = self.random();
        self.config.reader.handle_failure(now, random);
    }

    pub(crate) fn propose_arrived(&mut self, now: Now, request: RequestId, change: ConfigChange) {
        self.enqueue(
            now,
            request,
            StreamId::Config,
            RecordBody::Config(change),
            Purpose::Propose,
        );
    }

    pub(crate) fn config_heard(&mut self, now: Now, from: &str, offset: Offset) {
        if from == self.options.host {
            return;
        }
        // A peer that lives and is not ahead confirms that this configuration is as new as any.
        if offset <= self.config.fold.next_offset() {
            self.config.fresh_at = now;
        } else if self.config.reader.is_failing() {
            self.send(
                from,
                PeerMessage::ConfigRequest {
                    next_offset: self.config.fold.next_offset(),
                },
            );
        }
    }

    pub(crate) fn config_asked(&mut self, from: &str, have: Offset) {
        if self.config.fold.next_offset() <= have {
            return;
        }
        if let Ok(bytes) = self.config.fold.encode_snapshot() {
            self.send(from, PeerMessage::ConfigSnapshot(bytes));
        }
    }

    pub(crate) fn config_image_heard(&mut self, now: Now, bytes: &[u8]) {
        if self.take_image(bytes) {
            self.config.has_image = true;
            self.config.fresh_at = now;
            self.publish_config(now);
        }
    }

    fn take_config(&mut self, now: Now, offset: Offset, entry: Entry) -> bool {
        self.config.image.observe(&entry);
        if self.config.gap.has_no_gap() {
            return self.apply_config(offset, &entry);
        }
        let has_image = match self.config.gap.buffer(offset, entry) {
            Some(snapshot) => self.take_image(&snapshot.bytes),
            None => false,
        };
        if has_image {
            self.config.fresh_at = now;
        }
        has_image
    }

    /// Takes an image if it is newer, and applies what was held back on top of it.
    fn take_image(&mut self, bytes: &[u8]) -> bool {
        let fold = Arc::make_mut(&mut self.config.fold);
        if !matches!(fold.install_snapshot(bytes), Ok(true)) {
            return false;
        }
        let next_offset = fold.next_offset();
        for (offset, entry) in self.config.gap.close(next_offset).unwrap_or_default() {
            self.apply_config(offset, &entry);
        }
        true
    }

    /// The first host in order writes an image now and then, so that the stream can be read from its start.
    fn write_image(&mut self, now: Now) {
        let next_offset = self.config.fold.next_offset();
        let is_due = self.config.image.is_due(
            now,
            next_offset,
            IMAGE_EVERY_ENTRIES,
            self.options.retention / 4,
        );
        let is_under_way = self
            .config
            .image_sent_at
            .is_some_and(|at| now.saturating_sub(at) < IMAGE_AGAIN);
        let is_current = self.config.reader.is_at_tail() && self.config.gap.has_no_gap();
        if !is_due || is_under_way || !is_current || !self.writes_images {
            return;
        }
        self.config.image_sent_at = Some(now);
        if let Ok(bytes) = self.config.fold.encode_snapshot() {
            for part in split_snapshot(next_offset.saturating_sub(1), &bytes) {
                self.appender.enqueue(now, StreamId::Config, part);
            }
        }
    }

    fn ask_for_image(&mut self, now: Now) {
        self.config.asked_at = Some(now);
        let next_offset = self.config.fold.next_offset();
        let peers: Vec<String> = self
            .live
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
        let outcomes = Arc::make_mut(&mut self.config.fold).apply(offset, entry);
        let is_mine =
            entry.host == self.options.host && entry.incarnation == self.options.incarnation;
        let has_changed = !outcomes.is_empty();
        for (sequence, outcome) in outcomes {
            self.event(
                EventKind::ConfigChanged,
                format!("config-{offset}"),
                format!("{outcome:?}"),
            );
            let ticket = Ticket {
                stream: StreamId::Config,
                sequence,
            };
            if is_mine && let Some(waiter) = self.waiters.remove(ticket) {
                self.answer(waiter.request, Answer::Config(outcome));
            }
        }
        has_changed
    }

    fn publish_config(&mut self, now: Now) {
        let fold = Arc::clone(&self.config.fold);
        self.output(Output::PublishConfig(fold));
        self.refresh_servers(now);
    }
}
