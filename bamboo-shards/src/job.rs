//! One job, its results and the progress of its items.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_types::ItemIndex;

use crate::ItemProgress;
use crate::ItemResult;
use crate::ItemRun;
use crate::JobRecord;

/// A page of a job's results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub item_count: usize,
    /// Results from the requested position on.
    pub results: Vec<Rc<ItemResult>>,
    /// Position of the next page.
    pub next: usize,
}

/// A job and the state of its items.
#[derive(Debug)]
pub struct Job {
    /// The job as it was submitted.
    pub record: Rc<JobRecord>,
    results: Vec<Rc<ItemResult>>,
    has_result: Vec<bool>,
    is_cancelled: bool,
    closed_since: Option<Duration>,
    item_index_by_id: HashMap<String, ItemIndex>,
    runs: HashMap<ItemIndex, ItemRun>,
}

impl Job {
    pub(crate) fn new(record: Rc<JobRecord>) -> Self {
        let has_result = vec![false; record.items.len()];
        let item_index_by_id = record
            .items
            .iter()
            .enumerate()
            .map(|(index, item)| (item.id.clone(), index as ItemIndex))
            .collect();
        Job {
            record,
            results: Vec::new(),
            has_result,
            is_cancelled: false,
            closed_since: None,
            item_index_by_id,
            runs: HashMap::new(),
        }
    }

    /// Adds a result. Ignored if the item is unknown or already has one. Returns whether the result was added.
    pub(crate) fn add_result(&mut self, result: ItemResult) -> bool {
        match self.has_result.get_mut(result.item as usize) {
            Some(has_result) if !*has_result => {
                *has_result = true;
                self.runs.remove(&result.item);
                self.results.push(Rc::new(result));
                true
            }
            _ => false,
        }
    }

    pub(crate) fn cancel(&mut self) {
        self.is_cancelled = true;
        self.runs.clear();
    }

    /// Applies recorded progress. Ignored once the job is cancelled or the item has a result.
    pub(crate) fn apply_progress(&mut self, progress: ItemProgress) {
        if !self.is_cancelled && !self.has_result(progress.item) {
            let run = self.runs.entry(progress.item).or_default();
            run.apply_progress(progress);
        }
    }

    /// A copy of the execution state of an item, as recorded.
    pub fn run(&self, item: ItemIndex) -> ItemRun {
        self.runs.get(&item).cloned().unwrap_or_default()
    }

    /// Whether the caller cancelled the job.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }

    /// Whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.record.items.len()
    }

    /// How long the job has been complete or cancelled, counted from the first call that finds it so; zero while it is
    /// open.
    pub(crate) fn closed_for(&mut self, now: Duration) -> Duration {
        if !self.is_cancelled() && !self.is_complete() {
            return Duration::ZERO;
        }
        now.saturating_sub(*self.closed_since.get_or_insert(now))
    }

    /// Whether an item has its final result. True for an unknown item.
    pub fn has_result(&self, item: ItemIndex) -> bool {
        self.has_result.get(item as usize).copied().unwrap_or(true)
    }

    /// Index of an item by its identifier.
    pub fn find_item(&self, id: &str) -> Option<ItemIndex> {
        self.item_index_by_id.get(id).copied()
    }

    /// Indexes of the items without a result.
    pub fn open_items(&self) -> impl Iterator<Item = ItemIndex> {
        let flags = self.has_result.iter().enumerate();
        flags
            .filter(|(_, has_result)| !**has_result)
            .map(|(index, _)| index as ItemIndex)
    }

    /// Tokens of all items without a result; 0 for a cancelled job.
    pub fn waiting_tokens(&self) -> u64 {
        if self.is_cancelled {
            return 0;
        }
        self.open_items()
            .map(|item| self.record.items[item as usize].tokens)
            .sum()
    }

    /// Whether there are results from position `after` on.
    pub fn has_results_after(&self, after: usize) -> bool {
        after < self.results.len()
    }

    /// A page of results from position `after` on, with at most `max_bytes` of text. A larger result gets a page of its
    /// own, so that readers always advance.
    pub fn page(&self, after: usize, max_bytes: usize) -> ResultPage {
        let mut results = Vec::new();
        let mut page_bytes = 0;
        for result in self.results.iter().skip(after) {
            page_bytes += result.text.len();
            if page_bytes > max_bytes && !results.is_empty() {
                break;
            }
            results.push(Rc::clone(result));
        }
        ResultPage {
            item_count: self.record.items.len(),
            next: after + results.len(),
            results,
        }
    }
}
