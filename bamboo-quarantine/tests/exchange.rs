//! Hosts that exchange their quarantines.

use std::collections::VecDeque;
use std::time::Duration;

use bamboo_quarantine::Quarantine;
use bamboo_quarantine::QuarantineReply;
use test_case::test_case;

/// Messages after which an exchange must have ended: each host sends its entries at most once more than it is asked to.
const MESSAGES_MAX: usize = 4;

/// A quarantine of these parts.
fn quarantine(parts: std::ops::Range<u64>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for part in parts {
        quarantine.add(part, true, Duration::ZERO);
    }
    quarantine
}

/// Lets the first host send its entries. Returns the number of messages with entries until both hosts are content.
fn exchange(hosts: &mut [Quarantine; 2]) -> usize {
    let now = Duration::from_secs(1);
    let mut in_flight = VecDeque::from([(1, hosts[0].entries(now))]);
    let mut count = 0;
    while let Some((receiver, entries)) = in_flight.pop_front() {
        count += 1;
        if count > MESSAGES_MAX {
            break;
        }
        hosts[receiver].merge(&entries, now);
        if let QuarantineReply::Newer(entries) = hosts[receiver].reply(&entries, now) {
            in_flight.push_back((1 - receiver, entries));
        }
    }
    count
}

/// Guards against hosts that send each other their quarantines without end, because one cannot take over the entries of the
/// other.
#[test_case(0..2, 2..4; "different parts")]
#[test_case(0..2, 0..2; "the same parts")]
#[test_case(0..64, 0..2; "one full")]
#[test_case(0..64, 100..164; "both full, with different parts")]
#[test_case(0..64, 32..96; "both full, with some different parts")]
fn an_exchange_of_quarantines_ends(one: std::ops::Range<u64>, other: std::ops::Range<u64>) {
    let mut hosts = [quarantine(one), quarantine(other)];
    let count = exchange(&mut hosts);
    assert!(count <= MESSAGES_MAX, "{count} messages");
}

/// Guards against a lifted quarantine that comes back from another host.
#[test]
fn a_lifted_quarantine_replaces_that_of_other_hosts() {
    let now = Duration::from_secs(1);
    let mut hosts = [quarantine(0..2), quarantine(0..2)];
    hosts[0].lift(1, now);
    exchange(&mut hosts);
    assert!(hosts[1].remaining(&[1], now).is_none());
    assert!(hosts[1].remaining(&[0], now).is_some());
}
