//! Decides which page of a list with keys is read next.

use std::collections::HashSet;

/// Stands for bytes that are no text in a key as the store shows it.
const UNREADABLE: char = char::REPLACEMENT_CHARACTER;

/// How to go on after a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageStep {
    /// The page was the last one.
    Done,
    /// Read the page after this key.
    ReadAfter(String),
    /// There are further pages, but none that is known to advance.
    Stuck,
}

/// The pages of a list that have been read.
///
/// The keys are those of any writer. The store sorts by their bytes and shows them as text, so that the page after a key whose bytes
/// are no text may be the same page. Each page must therefore be read after a key that no page was read after before: their number
/// is bounded by that of the keys, also while entries change.
#[derive(Debug, Default)]
pub struct Pages {
    followed: HashSet<String>,
}

impl Pages {
    /// Decides how to go on after a page. `last_key` is that of its last record with a readable key.
    ///
    /// ```
    /// use bamboo_relay::{PageStep, Pages};
    /// let mut pages = Pages::default();
    /// assert_eq!(pages.step(true, Some("a")), PageStep::ReadAfter("a".to_owned()));
    /// assert_eq!(pages.step(true, Some("a")), PageStep::Stuck);
    /// assert_eq!(pages.step(false, Some("b")), PageStep::Done);
    /// ```
    pub fn step(&mut self, has_more: bool, last_key: Option<&str>) -> PageStep {
        if !has_more {
            return PageStep::Done;
        }
        let Some(last_key) = last_key else {
            return PageStep::Stuck;
        };
        let candidates = [Some(last_key.to_owned()), key_past_unreadable(last_key)];
        let mut candidates = candidates.into_iter().flatten();
        let unused = candidates.find(|key| self.followed.insert(key.clone()));
        unused.map_or(PageStep::Stuck, PageStep::ReadAfter)
    }
}

/// A key that sorts after all those with the same text before their first unreadable byte. `None` if there is no such text.
fn key_past_unreadable(key: &str) -> Option<String> {
    let (text, _) = key.split_once(UNREADABLE)?;
    let mut chars = text.chars();
    let last = chars.next_back()?;
    let next = (last..=char::MAX).nth(1)?;
    Some(format!("{}{next}", chars.as_str()))
}
