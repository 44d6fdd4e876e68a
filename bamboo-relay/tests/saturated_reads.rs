//! Pattern: the store refuses reads because it is at its limit for them, and serves all other calls.

use std::time::Duration;

use bamboo_relay::AttemptOutcome;
use bamboo_relay::DirectTimeout;
use bamboo_relay::NextStep;
use bamboo_relay::ReadSize;
use bamboo_relay::StoreCall;
use bamboo_relay::StorePath;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(1);

// Guards against memberships and appends that take detours, or fail, because a read was refused.
#[test_case(AttemptOutcome::Refused, ReadSize::Small)]
#[test_case(AttemptOutcome::Refused, ReadSize::Large)]
#[test_case(AttemptOutcome::TimedOut, ReadSize::Large)]
fn other_calls_go_directly_while_reads_are_saturated(failure: AttemptOutcome, size: ReadSize) {
    let mut path = StorePath::default();
    assert!(!path.record_direct_read(Some(failure), size, NOW));
    let call = StoreCall::begin(&path, vec!["h1".to_owned()]);
    assert_eq!(call.step(), &NextStep::Direct(DirectTimeout::Short));
}

// Guards against a host that keeps calling a store which it cannot reach.
#[test_case(AttemptOutcome::TimedOut, ReadSize::Small)]
#[test_case(AttemptOutcome::NoPath, ReadSize::Small)]
#[test_case(AttemptOutcome::NoPath, ReadSize::Large)]
fn a_read_that_does_not_reach_the_store_shows_that_the_way_is_down(
    failure: AttemptOutcome,
    size: ReadSize,
) {
    let mut path = StorePath::default();
    assert!(path.record_direct_read(Some(failure), size, NOW));
    assert!(!path.is_direct_up());
}

// Guards against a host that believes the way to be up again because a read was refused.
#[test]
fn a_refused_read_does_not_show_that_the_way_is_up_again() {
    let mut path = StorePath::default();
    path.record_direct(false, Duration::ZERO);
    assert!(!path.record_direct_read(Some(AttemptOutcome::Refused), ReadSize::Small, NOW));
    assert!(!path.is_direct_up() && !path.is_probe_due(NOW));
}
