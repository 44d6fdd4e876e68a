//! The run of an item that its owner has not listed yet: progress and failed attempts.

use bamboo_types::ItemIndex;

use crate::ItemProgress;

/// How one attempt at an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Whole,
    /// A server failed on it.
    Failed,
    /// A server says that it can never be done.
    Unprocessable,
    /// It was stopped, refused or cut: nothing is known against the item.
    Interrupted,
}

/// What is to be done with an item after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemAction {
    /// List it as done.
    Complete,
    /// List it as given up.
    DeadLetter,
    /// Run it again from where it stands.
    Retry,
}

/// Progress of an item.
#[derive(Debug, Clone, Default)]
pub struct ItemRun {
    text: Vec<u8>,
    last_event_id: Option<u64>,
    event_count: u32,
    failed_attempts: u32,
    recorded_bytes: usize,
    is_dirty: bool,
}

impl ItemRun {
    /// Takes an event of the answer. Returns whether it follows the one before.
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

    /// Identifier of the last event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Events that have arrived.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Data of all events, joined by line feeds.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.text).into_owned()
    }

    /// What is to be recorded since the last call; `None` if nothing changed.
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
        })
    }

    /// Takes progress that was recorded. Progress that does not join what is known is passed over.
    pub fn apply_progress(&mut self, progress: ItemProgress) {
        let start = progress.text_offset as usize;
        if start > self.text.len() {
            return;
        }
        self.text.truncate(start);
        self.text.extend_from_slice(&progress.text);
        self.last_event_id = progress.last_event_id;
        self.event_count = progress.event_count;
        self.failed_attempts = progress.failed_attempts;
        self.recorded_bytes = self.text.len();
        self.is_dirty = false;
    }

    /// Forgets the answer, to start from its beginning.
    pub fn restart(&mut self) {
        self.is_dirty = true;
        self.recorded_bytes = 0;
        self.text.clear();
        self.last_event_id = None;
        self.event_count = 0;
    }

    /// Decides what follows an attempt.
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
