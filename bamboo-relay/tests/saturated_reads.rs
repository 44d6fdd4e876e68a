//! Pattern: the store is at its limit for reads, refuses them or is late, and serves all other calls.

use std::time::Duration;

use bamboo_relay::AttemptOutcome;
use bamboo_relay::DirectTimeout;
use bamboo_relay::NextStep;
use bamboo_relay::StoreCall;
use bamboo_relay::StorePath;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(1);

/// Guards against memberships and appends that take detours, or fail, because a read was refused or late.
#[test_case(AttemptOutcome::Refused)]
#[test_case(AttemptOutcome::TimedOut)]
fn other_calls_go_directly_while_reads_are_saturated(failure: AttemptOutcome) {
    let mut path = StorePath::default();
    assert!(!path.record_direct_read(Some(failure), NOW));
    let call = StoreCall::begin(&path, vec!["h1".to_owned()]);
    assert_eq!(call.step(), &NextStep::Direct(DirectTimeout::Short));
}

/// Guards against a host that keeps calling a store which it cannot reach.
#[test]
fn a_read_that_cannot_be_sent_shows_that_the_way_is_down() {
    let mut path = StorePath::default();
    assert!(path.record_direct_read(Some(AttemptOutcome::NoPath), NOW));
    assert!(!path.is_direct_up());
}

/// Guards against a host that believes the way to be up again because a read was refused.
#[test]
fn a_refused_read_does_not_show_that_the_way_is_up_again() {
    let mut path = StorePath::default();
    path.record_direct(false, Duration::ZERO);
    assert!(!path.record_direct_read(Some(AttemptOutcome::Refused), NOW));
    assert!(!path.is_direct_up() && !path.is_probe_due(NOW));
}

/// Guards against a refused read that other hosts repeat, which doubles the load of a store at its limit.
#[test]
fn a_refused_read_goes_to_other_hosts_only_while_the_way_is_down() {
    let peers = || vec!["h1".to_owned(), "h2".to_owned()];
    let mut path = StorePath::default();
    let mut read = StoreCall::begin_read(&path, peers());
    read.advance(AttemptOutcome::Refused, Duration::ZERO);
    assert_eq!(read.step(), &NextStep::GiveUp);
    let mut late = StoreCall::begin_read(&path, peers());
    late.advance(AttemptOutcome::TimedOut, Duration::ZERO);
    assert_eq!(late.step(), &NextStep::Relay("h1".to_owned()));
    path.record_direct(false, NOW);
    let mut relayed = StoreCall::begin_read(&path, peers());
    assert_eq!(relayed.step(), &NextStep::Relay("h1".to_owned()));
    relayed.advance(AttemptOutcome::NoPath, Duration::ZERO);
    assert_eq!(relayed.step(), &NextStep::Relay("h2".to_owned()));
}
