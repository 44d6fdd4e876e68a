//! Reports of crashes that come more than once, as hosts repeat them until the coordinator replies.

use std::time::Duration;

use bamboo_quarantine::CrashEvidence;
use bamboo_quarantine::CrashInquiry;
use bamboo_quarantine::CrashReport;
use bamboo_quarantine::Finding;
use bamboo_quarantine::SuspectEvidence;
use bamboo_quarantine::SuspectHistory;

/// Part of the prompts of the requests under which servers crash.
const PART: u64 = 7;
/// Reports of a test, more than the crashes of different servers after which the part is found.
const REPORTS: u64 = 12;
/// Pause after which a report is repeated, and times that the reports are on their way.
const PAUSE: Duration = Duration::from_millis(250);
const ON_ITS_WAY_MS: [u64; 3] = [1, 20, 5];

fn crash(server: u64, broke_at: Duration) -> CrashEvidence {
    CrashEvidence {
        server: format!("s{server}"),
        content: 100 + server,
        events: 0,
        sent_at: broke_at - Duration::from_millis(20),
        broke_at,
        suspects: vec![SuspectEvidence {
            suspect: PART,
            history: SuspectHistory::default(),
        }],
    }
}

/// Lets the coordinator weigh a report that the host sent at an instant.
fn weigh(
    inquiry: &mut CrashInquiry,
    crash: &CrashEvidence,
    at: Duration,
    index: u64,
) -> Option<Finding> {
    let on_its_way = Duration::from_millis(ON_ITS_WAY_MS[index as usize % ON_ITS_WAY_MS.len()]);
    let now = at + on_its_way;
    let evidence = CrashEvidence::from((&CrashReport::from((crash, at)), now));
    inquiry.record_crash(&evidence, |_| false, now);
    inquiry.conclude()
}

/// Guards against a sound part that is taken for the cause because the report of one crash came several times.
#[test]
fn a_repeated_report_counts_as_one_crash() {
    let mut inquiry = CrashInquiry::default();
    let start = Duration::from_secs(10);
    let only = crash(0, start);
    for index in 0..REPORTS {
        let found = weigh(&mut inquiry, &only, start + PAUSE * index as u32, index);
        assert!(found.is_none(), "after {} reports: {found:?}", index + 1);
    }
    // As many reports of crashes of different servers are enough.
    let mut inquiry = CrashInquiry::default();
    let found = (0..REPORTS).any(|index| {
        let at = start + PAUSE * index as u32;
        weigh(&mut inquiry, &crash(index, at), at, index).is_some()
    });
    assert!(found);
}
