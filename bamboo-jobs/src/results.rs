//! Collects the final outcomes of a job from the log entries that contain them.

use bamboo_log::Entry;
use bamboo_log::ItemOutcome;
use bamboo_log::RecordBody;
use bamboo_types::JobId;

use crate::Bitmap;

/// Collects the final outcomes of one job; for each item, the first one counts.
#[derive(Debug)]
pub struct FinalOutcomeCollector {
    job: JobId,
    collected_items: Bitmap,
}

impl FinalOutcomeCollector {
    /// Creates a collector for a job with `item_count` items.
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

    /// Returns the job's outcomes in one record of an entry that were not collected before. Records must be passed
    /// in the order of the job's outcome positions.
    pub fn collect(&mut self, entry: &Entry, index: u32) -> Vec<ItemOutcome> {
        let (Some(RecordBody::Outcomes { outcomes, .. })
        | Some(RecordBody::CarriedOutcomes { outcomes, .. })) = entry.bodies.get(index as usize)
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
