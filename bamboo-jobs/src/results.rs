//! Reads a job's final outcomes back from the entries that hold them.

use bamboo_log::Entry;
use bamboo_log::ItemOutcome;
use bamboo_log::RecordBody;
use bamboo_types::JobId;

use crate::Bitmap;

/// Collects the final outcomes of one job from its outcome entries, each item once.
#[derive(Debug)]
pub struct FinalOutcomeCollector {
    job: JobId,
    collected_items: Bitmap,
}

impl FinalOutcomeCollector {
    /// A collector for a job of `item_count` items.
    ///
    /// ```
    /// let collector = bamboo_jobs::FinalOutcomeCollector::new(1, 10);
    /// assert_eq!(collector.collected_count(), 0);
    /// ```
    pub fn new(job: JobId, item_count: u32) -> Self {
        FinalOutcomeCollector {
            job,
            collected_items: Bitmap::new(item_count),
        }
    }

    /// Takes the outcomes of the job from one record of an entry. Records must come in the order of the job's
    /// positions.
    pub fn collect(&mut self, entry: &Entry, slot: u32) -> Vec<ItemOutcome> {
        let (Some(RecordBody::Outcomes { outcomes, .. })
        | Some(RecordBody::CarriedOutcomes { outcomes, .. })) = entry.bodies.get(slot as usize)
        else {
            return Vec::new();
        };
        let mut collected = Vec::new();
        for outcome in outcomes {
            if outcome.job == self.job
                && outcome.run_result.is_final()
                && self.collected_items.set(outcome.item)
            {
                collected.push(outcome.clone());
            }
        }
        collected
    }

    /// Number of items collected so far.
    pub fn collected_count(&self) -> u32 {
        self.collected_items.count()
    }
}
