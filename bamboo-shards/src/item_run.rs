//! Execution state of an item that has no result yet: its partial output and its failed attempts.

use std::time::Duration;

use bamboo_types::ItemIndex;
use bamboo_types::StreamOrigin;

use crate::ItemProgress;

/// Maximum size of the output of an item in bytes. A page of results holds as much.
pub const ITEM_TEXT_MAX_BYTES: usize = 1 << 20;

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Factor by which the pause grows with each attempt in a row that broke without any output.
const RETRY_GROWTH: u32 = 4;
/// Longest pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(30);
/// Exponent at which the longest pause is reached.
const RETRY_EXPONENT_MAX: u32 = 5;

/// Pause before the next attempt at an item. It grows while its servers break off without any output, because they may have
/// crashed and the next ones would, too.
///
/// ```
/// use bamboo_shards::retry_pause;
/// assert_eq!(retry_pause(0), retry_pause(1));
/// assert!(retry_pause(3) > retry_pause(2));
/// assert_eq!(retry_pause(9), std::time::Duration::from_secs(30));
/// ```
pub fn retry_pause(broken_in_a_row: u32) -> Duration {
    let exponent = broken_in_a_row.saturating_sub(1).min(RETRY_EXPONENT_MAX);
    (RETRY_PAUSE * RETRY_GROWTH.pow(exponent)).min(RETRY_PAUSE_MAX)
}

/// Whether bytes are text, whose size does not change in a result.
fn is_text(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).is_ok()
}

/// How one attempt at an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response was received in full.
    Whole,
    /// The server failed while it processed the item; counts towards the limit of attempts.
    Failed,
    /// The server rejected the item as one that can never be processed.
    Unprocessable,
    /// The attempt was cancelled, refused or cut off. It does not count as a failed attempt, as the item need not be
    /// the cause.
    Interrupted,
}

/// What to do with an item after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemAction {
    /// Record its output as the final result.
    Complete,
    /// Give up and record it as a dead letter.
    DeadLetter,
    /// Run it again, from its current progress.
    Retry,
}

/// Partial output and failed attempts of an item.
#[derive(Debug, Clone, Default)]
pub struct ItemRun {
    text: Vec<u8>,
    last_event_id: Option<u64>,
    event_count: u32,
    failed_attempts: u32,
    origin: Option<StreamOrigin>,
    recorded_bytes: usize,
    is_dirty: bool,
}

impl ItemRun {
    /// Appends an event of the response. Returns `false`, and ignores the event, if its identifier is not higher than
    /// that of the last event, its data are not UTF-8, or the output would exceed [`ITEM_TEXT_MAX_BYTES`]. An event with
    /// neither identifier nor data changes nothing.
    ///
    /// ```
    /// let mut run = bamboo_shards::ItemRun::default();
    /// assert!(run.push_event(Some(1), Some(b"a".to_vec())));
    /// assert!(run.push_event(Some(2), Some(b"b".to_vec())));
    /// assert!(!run.push_event(Some(2), Some(b"b".to_vec())));
    /// assert_eq!(run.text(), "a\nb");
    /// ```
    pub fn push_event(&mut self, id: Option<u64>, data: Option<Vec<u8>>) -> bool {
        if let (Some(id), Some(last)) = (id, self.last_event_id)
            && id <= last
        {
            return false;
        }
        if data.as_deref().is_some_and(|data| !is_text(data)) {
            return false;
        }
        let data_bytes = data.as_ref().map_or(0, |data| data.len() + 1);
        if self.text.len() + data_bytes > ITEM_TEXT_MAX_BYTES {
            return false;
        }
        if id.is_none() && data.is_none() {
            return true;
        }
        self.is_dirty = true;
        self.last_event_id = id.or(self.last_event_id);
        if let Some(data) = data {
            if self.event_count > 0 {
                self.text.push(b'\n');
            }
            self.text.extend_from_slice(&data);
            self.event_count += 1;
        }
        true
    }

    /// Begins to read a response. If the server was not asked to resume after an event, the response starts anew and
    /// the run begins at that server.
    ///
    /// ```
    /// use bamboo_types::StreamOrigin;
    /// let origin = |version: &str| StreamOrigin { service: "llm".into(), version: version.into() };
    /// let mut run = bamboo_shards::ItemRun::default();
    /// run.begin_response(origin("v1"));
    /// assert_eq!(run.origin(), None);
    /// run.push_event(Some(1), Some(b"a".to_vec()));
    /// run.begin_response(origin("v1"));
    /// assert_eq!(run.origin(), Some(&origin("v1")));
    /// ```
    pub fn begin_response(&mut self, origin: StreamOrigin) {
        if self.last_event_id.is_some() {
            return;
        }
        if self.event_count > 0 {
            self.restart();
        }
        self.origin = Some(origin);
    }

    /// Service and software version at which alone the partial output can be continued; `None` if there is none.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        let has_output = self.event_count > 0 || self.last_event_id.is_some();
        self.origin.as_ref().filter(|_| has_output)
    }

    /// Whether nothing has happened to the item yet that another run would have to know.
    pub fn is_new(&self) -> bool {
        self.event_count == 0
            && self.last_event_id.is_none()
            && self.failed_attempts == 0
            && !self.is_dirty
    }

    /// Identifier of the last event that had one.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Number of events that carried data.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Size of the output in bytes.
    pub fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// Data of all events, joined by line feeds.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.text).into_owned()
    }

    /// Returns the changes since the last call, to be recorded in the store; `None` if nothing changed.
    ///
    /// ```
    /// let mut run = bamboo_shards::ItemRun::default();
    /// run.push_event(Some(1), Some(b"a".to_vec()));
    /// let progress = run.take_progress("job", 0).unwrap();
    /// assert!(run.take_progress("job", 0).is_none());
    /// let mut copy = bamboo_shards::ItemRun::default();
    /// copy.apply_progress(progress);
    /// assert_eq!(copy.last_event_id(), Some(1));
    /// ```
    pub fn take_progress(&mut self, job: &str, item: ItemIndex) -> Option<ItemProgress> {
        if !self.is_dirty {
            return None;
        }
        self.is_dirty = false;
        let text_offset = self.recorded_bytes;
        self.recorded_bytes = self.text.len();
        Some(ItemProgress {
            job: job.to_owned(),
            item,
            text_offset: text_offset as u64,
            text: self.text[text_offset..].to_vec(),
            last_event_id: self.last_event_id,
            event_count: self.event_count,
            failed_attempts: self.failed_attempts,
            origin: self.origin().cloned(),
        })
    }

    /// Applies recorded progress. Progress that would leave a gap after the text known so far, or continue the text of
    /// another origin, is ignored. Output that is not UTF-8 is discarded.
    pub fn apply_progress(&mut self, progress: ItemProgress) {
        let start = progress.text_offset as usize;
        let is_other_origin = start > 0 && progress.origin.as_ref() != self.origin();
        if start > self.text.len() || is_other_origin {
            return;
        }
        self.text.truncate(start);
        self.text.extend_from_slice(&progress.text);
        self.last_event_id = progress.last_event_id;
        self.event_count = progress.event_count;
        self.failed_attempts = progress.failed_attempts;
        self.origin = progress.origin;
        self.recorded_bytes = self.text.len();
        self.is_dirty = false;
        if !is_text(&progress.text) {
            self.restart();
        }
    }

    /// Discards the partial output, so that the response is received again from its beginning.
    pub fn restart(&mut self) {
        self.is_dirty = true;
        self.recorded_bytes = 0;
        // Its memory is returned, too: the item may wait for long.
        self.text = Vec::new();
        self.last_event_id = None;
        self.event_count = 0;
        self.origin = None;
    }

    /// Counts the attempt if it failed, and decides what to do next. After `attempts_max` failed attempts the item
    /// becomes a dead letter.
    ///
    /// ```
    /// use bamboo_shards::{AttemptEnd, ItemAction, ItemRun};
    /// let mut run = ItemRun::default();
    /// assert_eq!(run.finish_attempt(AttemptEnd::Failed, 2), ItemAction::Retry);
    /// assert_eq!(run.finish_attempt(AttemptEnd::Failed, 2), ItemAction::DeadLetter);
    /// ```
    pub fn finish_attempt(&mut self, end: AttemptEnd, attempts_max: u32) -> ItemAction {
        match end {
            AttemptEnd::Whole => ItemAction::Complete,
            AttemptEnd::Unprocessable => ItemAction::DeadLetter,
            AttemptEnd::Failed => {
                self.failed_attempts += 1;
                self.is_dirty = true;
                match self.failed_attempts >= attempts_max {
                    true => ItemAction::DeadLetter,
                    false => ItemAction::Retry,
                }
            }
            AttemptEnd::Interrupted => ItemAction::Retry,
        }
    }
}
