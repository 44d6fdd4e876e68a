//! One job, its results and the progress of its items.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::BufferReservation;
use bamboo_types::ItemIndex;

use crate::IndexReservation;
use crate::ItemProgress;
use crate::ItemResult;
use crate::ItemRun;
use crate::JobMemory;
use crate::JobRecord;
use crate::RecordLocation;

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

/// Results by item that were read from the store.
pub type LoadedResults = HashMap<ItemIndex, Rc<ItemResult>>;

/// The result of an item.
#[derive(Debug)]
enum KeptResult {
    /// It is in memory.
    Resident {
        result: Rc<ItemResult>,
        _room: Option<BufferReservation>,
    },
    /// Only the store has its text.
    Stored {
        item: ItemIndex,
        text_bytes: usize,
        location: RecordLocation,
    },
}

impl KeptResult {
    /// Keeps a result in memory if there is room, or if the store has no copy.
    fn new(result: ItemResult, memory: &JobMemory, location: Option<RecordLocation>) -> Self {
        let room = memory.reserve_contents(result.text.len());
        match location {
            Some(location) if room.is_none() => KeptResult::Stored {
                item: result.item,
                text_bytes: result.text.len(),
                location,
            },
            _ => KeptResult::Resident {
                result: Rc::new(result),
                _room: room,
            },
        }
    }

    fn text_bytes(&self) -> usize {
        match self {
            KeptResult::Resident { result, .. } => result.text.len(),
            KeptResult::Stored { text_bytes, .. } => *text_bytes,
        }
    }
}

/// Where the bodies of a job's items are.
#[derive(Debug)]
enum Bodies {
    /// In memory.
    Resident { _room: Option<BufferReservation> },
    /// Only in the store.
    Stored(RecordLocation),
    /// No longer needed.
    Dropped,
}

/// A job and the state of its items.
#[derive(Debug)]
pub struct Job {
    /// The job as it was submitted. Its items have no bodies if [`stored_bodies`](Self::stored_bodies) tells where they are, and
    /// only their identifiers once the job is complete or cancelled.
    pub record: Rc<JobRecord>,
    bodies: Bodies,
    index: Option<IndexReservation>,
    results: Vec<KeptResult>,
    has_result: Vec<bool>,
    is_cancelled: bool,
    closed_since: Option<Duration>,
    item_index_by_id: HashMap<String, ItemIndex>,
    runs: HashMap<ItemIndex, ItemRun>,
}

impl Job {
    /// Keeps the bodies of the items in memory if there is room, or if the store has no copy.
    pub(crate) fn new(
        mut record: Rc<JobRecord>,
        index: Option<IndexReservation>,
        memory: &JobMemory,
        location: Option<RecordLocation>,
    ) -> Self {
        let room = memory.reserve_contents(record.body_bytes());
        let bodies = match location {
            Some(location) if room.is_none() => {
                drop_bodies(&mut record);
                Bodies::Stored(location)
            }
            _ => Bodies::Resident { _room: room },
        };
        let has_result = vec![false; record.items.len()];
        let item_index_by_id = record
            .items
            .iter()
            .enumerate()
            .map(|(index, item)| (item.id.clone(), index as ItemIndex))
            .collect();
        Job {
            record,
            bodies,
            index,
            results: Vec::new(),
            has_result,
            is_cancelled: false,
            closed_since: None,
            item_index_by_id,
            runs: HashMap::new(),
        }
    }

    /// Adds a result. Ignored if the item is unknown or already has one. Returns whether the result was added.
    pub(crate) fn add_result(
        &mut self,
        result: ItemResult,
        memory: &JobMemory,
        location: Option<RecordLocation>,
    ) -> bool {
        match self.has_result.get_mut(result.item as usize) {
            Some(has_result) if !*has_result => {
                *has_result = true;
                self.runs.remove(&result.item);
                self.results.push(KeptResult::new(result, memory, location));
                if self.is_complete() {
                    self.drop_item_contents();
                }
                true
            }
            _ => false,
        }
    }

    pub(crate) fn cancel(&mut self) {
        self.is_cancelled = true;
        self.runs.clear();
        self.drop_item_contents();
    }

    /// Drops what only items without a result need.
    fn drop_item_contents(&mut self) {
        for item in &mut Rc::make_mut(&mut self.record).items {
            item.path = String::new();
            item.headers = Vec::new();
            item.body = Vec::new();
        }
        self.bodies = Bodies::Dropped;
        if let Some(index) = &mut self.index {
            index.shrink_to(self.record.index_bytes());
        }
    }

    /// Where the store has the bodies of the items; `None` if they are in memory.
    pub fn stored_bodies(&self) -> Option<RecordLocation> {
        match self.bodies {
            Bodies::Stored(location) => Some(location),
            Bodies::Resident { .. } | Bodies::Dropped => None,
        }
    }

    /// Keeps the bodies of the items of a record that was read from the store, if there is room.
    pub(crate) fn keep_bodies(&mut self, record: &JobRecord, memory: &JobMemory) {
        if !matches!(self.bodies, Bodies::Stored(_)) {
            return;
        }
        let Some(room) = memory.reserve_contents(record.body_bytes()) else {
            return;
        };
        let own = Rc::make_mut(&mut self.record);
        for (own, read) in own.items.iter_mut().zip(&record.items) {
            own.body.clone_from(&read.body);
        }
        self.bodies = Bodies::Resident { _room: Some(room) };
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

    /// Results in the page from position `after` on with at most `max_bytes` of text, a larger one alone.
    fn in_page(&self, after: usize, max_bytes: usize) -> &[KeptResult] {
        let results = self.results.get(after..).unwrap_or_default();
        let mut page_bytes = 0;
        let fits = |result: &KeptResult| {
            page_bytes += result.text_bytes();
            page_bytes <= max_bytes
        };
        let count = results.iter().map(fits).take_while(|fits| *fits).count();
        &results[..count.max(1).min(results.len())]
    }

    /// Where the store has results of the page from position `after` on that are not in memory.
    pub fn stored_results(&self, after: usize, max_bytes: usize) -> Vec<RecordLocation> {
        let results = self.in_page(after, max_bytes).iter();
        let locations = results.filter_map(|result| match result {
            KeptResult::Stored { location, .. } => Some(*location),
            KeptResult::Resident { .. } => None,
        });
        locations.collect()
    }

    /// A page of results from position `after` on, with at most `max_bytes` of text. A larger result gets a page of its
    /// own, so that readers always advance. The page ends before a result that is neither in memory nor among the loaded ones.
    pub fn page(&self, after: usize, max_bytes: usize, loaded: &LoadedResults) -> ResultPage {
        let results = self.in_page(after, max_bytes).iter();
        let results = results.map_while(|result| match result {
            KeptResult::Resident { result, .. } => Some(Rc::clone(result)),
            KeptResult::Stored { item, .. } => loaded.get(item).map(Rc::clone),
        });
        let results: Vec<Rc<ItemResult>> = results.collect();
        ResultPage {
            item_count: self.record.items.len(),
            next: after + results.len(),
            results,
        }
    }
}

fn drop_bodies(record: &mut Rc<JobRecord>) {
    for item in &mut Rc::make_mut(record).items {
        item.body = Vec::new();
    }
}
