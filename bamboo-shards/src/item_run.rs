//! The run of an item that its owner has not listed yet: progress and failed attempts.

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
pub enum ItemNext {
    /// List it as done.
    Finish,
    /// List it as given up.
    GiveUp,
    /// Run it again from where it stands.
    RunAgain,
}

/// Progress of an item.
#[derive(Debug, Clone, Default)]
pub struct ItemRun {
    text: Vec<u8>,
    last_event: Option<u64>,
    event_count: u32,
    failed_attempts: u32,
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
        if let (Some(id), Some(last)) = (id, self.last_event)
            && id <= last
        {
            return false;
        }
        self.last_event = id.or(self.last_event);
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
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Events that have arrived.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Data of all events, joined by line feeds.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.text).into_owned()
    }

    /// Forgets the answer, to start from its beginning.
    pub fn restart(&mut self) {
        self.text.clear();
        self.last_event = None;
        self.event_count = 0;
    }

    /// Decides what follows an attempt.
    ///
    /// ```
    /// use bamboo_shards::{AttemptEnd, ItemNext, ItemRun};
    /// let mut run = ItemRun::default();
    /// assert_eq!(run.after_attempt(AttemptEnd::Failed, 2), ItemNext::RunAgain);
    /// assert_eq!(run.after_attempt(AttemptEnd::Failed, 2), ItemNext::GiveUp);
    /// ```
    pub fn after_attempt(&mut self, end: AttemptEnd, attempts_max: u32) -> ItemNext {
        match end {
            AttemptEnd::Whole => ItemNext::Finish,
            AttemptEnd::Unprocessable => ItemNext::GiveUp,
            AttemptEnd::Failed => {
                self.failed_attempts += 1;
                match self.failed_attempts >= attempts_max {
                    true => ItemNext::GiveUp,
                    false => ItemNext::RunAgain,
                }
            }
            AttemptEnd::Interrupted => ItemNext::RunAgain,
        }
    }
}
