//! Carrying records forward: copies records that are still needed to the end of the stream before retention trims
//! them.

use std::collections::BTreeSet;

use bamboo_log::Entry;
use bamboo_log::ItemOutcome;
use bamboo_log::RecordBody;
use bamboo_types::JobId;
use bamboo_types::Offset;

use crate::ShardState;

/// Offsets of the oldest entries before `horizon` that hold items or results still needed, at most `limit`.
///
/// ```
/// assert!(bamboo_jobs::entries_to_carry(&bamboo_jobs::ShardState::default(), 100, 8).is_empty());
/// ```
pub fn entries_to_carry(state: &ShardState, horizon: Offset, limit: usize) -> BTreeSet<Offset> {
    let mut due = BTreeSet::new();
    for job in state.jobs() {
        let results = job.outcome_positions.iter().map(|position| position.offset);
        let items = job.chunks.iter().map(|chunk| chunk.position.offset);
        // Outcome positions are sorted, so the search stops at the first one at or after the horizon.
        let old_results = results.take_while(|offset| *offset < horizon).take(limit);
        due.extend(old_results.chain(items.filter(|offset| *offset < horizon)));
        while due.len() > limit {
            due.pop_last();
        }
    }
    due
}

/// Copies everything in the entry at `offset` that is still needed into records of the owner with `epoch`.
pub fn carry_entry(
    state: &ShardState,
    epoch: Offset,
    offset: Offset,
    entry: &Entry,
) -> Vec<RecordBody> {
    let mut copies = Vec::new();
    for job in state.jobs() {
        let first = job
            .outcome_positions
            .partition_point(|position| position.offset < offset);
        let positions = job.outcome_positions[first..]
            .iter()
            .take_while(|position| position.offset == offset);
        for from in positions {
            let outcomes = outcomes_at(entry, from.index, job.spec.job);
            copies.push(RecordBody::CarriedOutcomes {
                epoch,
                job: job.spec.job,
                from: *from,
                outcomes,
            });
        }
        for chunk in job
            .chunks
            .iter()
            .filter(|chunk| chunk.position.offset == offset)
        {
            if let Some(items) = items_at(entry, chunk.position.index) {
                let (job, first_item) = (job.spec.job, chunk.first_item);
                copies.push(RecordBody::CarriedChunk {
                    epoch,
                    job,
                    first_item,
                    items,
                });
            }
        }
    }
    copies
}

fn outcomes_at(entry: &Entry, index: u32, job: JobId) -> Vec<ItemOutcome> {
    let (Some(RecordBody::Outcomes { outcomes, .. })
    | Some(RecordBody::CarriedOutcomes { outcomes, .. })) = entry.bodies.get(index as usize)
    else {
        return Vec::new();
    };
    let is_needed = |outcome: &&ItemOutcome| outcome.job == job && outcome.run_result.is_final();
    outcomes.iter().filter(is_needed).cloned().collect()
}

fn items_at(entry: &Entry, index: u32) -> Option<Vec<bamboo_log::ItemBody>> {
    match entry.bodies.get(index as usize)? {
        RecordBody::Chunk { items, .. } | RecordBody::CarriedChunk { items, .. } => {
            Some(items.clone())
        }
        _ => None,
    }
}
