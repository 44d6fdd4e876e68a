//! Servers that are back under their identifiers and crash again.

use std::time::Duration;

use bamboo_quarantine::CrashEvidence;
use bamboo_quarantine::CrashInquiry;
use bamboo_quarantine::SuspectEvidence;
use bamboo_quarantine::SuspectHistory;
use bamboo_quarantine::SuspectId;

/// Time for which a request runs before its server crashes.
const RUN: Duration = Duration::from_millis(80);
/// Interval between the crashes of one server.
const RETURN_TIME: Duration = Duration::from_secs(4);
/// Crashes by which a part must be known.
const CRASHES_MAX: u64 = 5;

/// Lets requests with a part crash the servers in turn. Returns the number of crashes until the part is found.
fn crashes_until_found(inquiry: &mut CrashInquiry, part: SuspectId, from: Duration) -> u64 {
    for number in 1..=CRASHES_MAX {
        let sent_at = from + RETURN_TIME * number as u32;
        let evidence = CrashEvidence {
            server: "the only server".to_owned(),
            content: 100 * part + number,
            events: 0,
            sent_at,
            broke_at: sent_at + RUN,
            suspects: vec![SuspectEvidence {
                suspect: part,
                history: SuspectHistory::default(),
            }],
        };
        inquiry.record_crash(&evidence, |_| false, sent_at + RUN);
        if inquiry.conclude().is_some() {
            return number;
        }
    }
    panic!("the part is not found");
}

/// Guards against crashes that count once for each server, however often it is back and crashes again.
#[test]
fn a_part_is_found_that_crashes_the_same_server_again_and_again() {
    let mut inquiry = CrashInquiry::default();
    let crashes = crashes_until_found(&mut inquiry, 7, Duration::ZERO);
    assert!(crashes <= CRASHES_MAX);
}

/// Guards against a server whose later crashes are excused because the cause of an earlier one is known.
#[test]
fn a_second_part_is_found_that_crashes_the_server_of_the_first() {
    let mut inquiry = CrashInquiry::default();
    crashes_until_found(&mut inquiry, 7, Duration::ZERO);
    let crashes = crashes_until_found(&mut inquiry, 8, Duration::from_secs(60));
    assert!(crashes <= CRASHES_MAX);
}

/// Guards against runs that break with one crash, noticed at different times, and count as several.
#[test]
fn runs_that_break_with_one_crash_count_once() {
    let mut inquiry = CrashInquiry::default();
    for (content, broke_ms) in [(1, 1_000), (2, 1_040), (3, 1_500), (4, 1_900)] {
        let evidence = CrashEvidence {
            server: "s".to_owned(),
            content,
            events: 0,
            sent_at: Duration::from_millis(900 + content),
            broke_at: Duration::from_millis(broke_ms),
            suspects: vec![SuspectEvidence {
                suspect: 7,
                history: SuspectHistory::default(),
            }],
        };
        inquiry.record_crash(&evidence, |_| false, evidence.broke_at);
    }
    assert!(inquiry.suspects().is_empty());
}
