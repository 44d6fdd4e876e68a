//! Parts of prompts with which runs have begun at this host.

use std::collections::HashMap;
use std::time::Duration;

use bamboo_types::PromptPartId;

/// Time after which the newer counts become the older ones, and the older ones are forgotten.
const GENERATION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of parts in a generation.
const GENERATION_PARTS_MAX: usize = 32_768;

/// Recent runs with a part that have begun.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartHistory {
    /// Number of runs.
    pub begun_count: u32,
    /// When the last of them began.
    pub last_begun_at: Option<Duration>,
}

impl PartHistory {
    /// Combines the histories of two hosts.
    ///
    /// ```
    /// let history = bamboo_quarantine::PartHistory { begun_count: 2, last_begun_at: None };
    /// assert_eq!(history.and(history).begun_count, 4);
    /// ```
    pub fn and(self, other: PartHistory) -> PartHistory {
        PartHistory {
            begun_count: self.begun_count.saturating_add(other.begun_count),
            last_begun_at: self.last_begun_at.max(other.last_begun_at),
        }
    }
}

/// Counts the runs that have begun, by part of their prompts, over the last one to two minutes. Memory is bounded: the
/// counts of the oldest parts are forgotten sooner if there are many.
#[derive(Debug, Default)]
pub struct PromptHistory {
    newer: HashMap<PromptPartId, PartHistory>,
    older: HashMap<PromptPartId, PartHistory>,
    newer_since: Duration,
}

impl PromptHistory {
    /// Records that a run with these parts in its prompt has begun.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut history = bamboo_quarantine::PromptHistory::default();
    /// history.record_begun(&[7], Duration::from_secs(1));
    /// assert_eq!(history.find(7).begun_count, 1);
    /// assert_eq!(history.find(8).last_begun_at, None);
    /// ```
    pub fn record_begun(&mut self, parts: &[PromptPartId], now: Duration) {
        let is_old = now.saturating_sub(self.newer_since) >= GENERATION_TIME;
        if is_old || self.newer.len() >= GENERATION_PARTS_MAX {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        for part in parts {
            let history = self.newer.entry(*part).or_default();
            history.begun_count = history.begun_count.saturating_add(1);
            history.last_begun_at = Some(now);
        }
    }

    /// The recent runs with a part.
    pub fn find(&self, part: PromptPartId) -> PartHistory {
        let newer = self.newer.get(&part).copied().unwrap_or_default();
        let older = self.older.get(&part).copied().unwrap_or_default();
        newer.and(older)
    }
}
