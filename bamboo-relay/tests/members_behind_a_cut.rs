//! Pattern: a third of the hosts cannot reach the store for seconds, but can reach the other hosts. They are members of
//! the group of shard owners, and their membership lapses unless they renew it in time.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_relay::AttemptOutcome;
use bamboo_relay::DirectTimeout;
use bamboo_relay::NextStep;
use bamboo_relay::StoreCall;
use bamboo_relay::StorePath;
use bamboo_types::HostId;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time after which a membership lapses unless it is renewed.
const MEMBERSHIP_LIFETIME: Duration = Duration::from_millis(1_600);
/// Pause between two renewals.
const RENEWAL_PAUSE: Duration = Duration::from_millis(300);
/// Time within which callers expect the acceptance of a job, for which a record is appended.
const ACCEPTANCE_TARGET: Duration = Duration::from_millis(400);
/// Durations of the attempts of a host behind the cut.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const FULL_TIMEOUT: Duration = Duration::from_millis(1_500);
const ROUND_TRIP: Duration = Duration::from_millis(6);

/// Hosts that can reach the store, by name.
type Fleet = BTreeMap<HostId, bool>;

/// Plays one call and returns how long it took and whether it succeeded.
fn play_call(
    path: &mut StorePath,
    is_cut: bool,
    fleet: &Fleet,
    random: &mut ChaCha8Rng,
    now: Duration,
) -> (Duration, bool) {
    let mut peers: Vec<HostId> = fleet.keys().cloned().collect();
    peers.shuffle(random);
    let mut call = StoreCall::begin(path, peers);
    let mut elapsed = Duration::ZERO;
    loop {
        let (took, is_ok, outcome) = match call.step().clone() {
            NextStep::GiveUp => return (elapsed, false),
            NextStep::Direct(_) if !is_cut => (ROUND_TRIP, true, AttemptOutcome::TimedOut),
            NextStep::Direct(DirectTimeout::Short) => {
                (SHORT_TIMEOUT, false, AttemptOutcome::TimedOut)
            }
            NextStep::Direct(DirectTimeout::Full) => {
                (FULL_TIMEOUT, false, AttemptOutcome::TimedOut)
            }
            NextStep::Relay(host) => (ROUND_TRIP, fleet[&host], AttemptOutcome::NoPath),
        };
        elapsed += took;
        match call.step() {
            NextStep::Relay(host) => path.record_relay(host, is_ok),
            _ => {
                path.record_direct(is_ok, now + elapsed);
            }
        }
        if is_ok {
            return (elapsed, true);
        }
        call.advance(outcome, elapsed);
    }
}

fn fleet(reachable: usize, cut: usize) -> Fleet {
    (0..reachable + cut)
        .map(|index| (format!("h{index}"), index >= cut))
        .collect()
}

#[test_case(7, 3)]
#[test_case(38, 20)]
fn the_membership_of_a_host_behind_a_cut_does_not_lapse(reachable: usize, cut: usize) {
    let fleet = fleet(reachable, cut);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut path = StorePath::default();
    let mut now = Duration::ZERO;
    let mut renewed_at = Duration::ZERO;
    for _ in 0..40 {
        let (took, is_ok) = play_call(&mut path, true, &fleet, &mut random, now);
        now += took;
        if is_ok {
            let lapsed_after = now - renewed_at;
            assert!(lapsed_after < MEMBERSHIP_LIFETIME, "{lapsed_after:?}");
            renewed_at = now;
        }
        now += RENEWAL_PAUSE;
    }
    assert!(now - renewed_at < MEMBERSHIP_LIFETIME);
}

#[test]
fn the_first_call_behind_a_cut_is_in_time_for_the_acceptance_of_a_job() {
    let mut path = StorePath::default();
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let (took, is_ok) = play_call(&mut path, true, &fleet(7, 1), &mut random, Duration::ZERO);
    assert!(is_ok && took < ACCEPTANCE_TARGET, "{took:?}");
}

#[test]
fn later_calls_go_to_the_relay_that_worked_and_the_direct_way_is_probed() {
    let fleet = fleet(7, 3);
    let mut path = StorePath::default();
    path.record_direct(false, Duration::ZERO);
    path.record_relay(&"h4".to_owned(), true);
    let call = StoreCall::begin(&path, fleet.keys().cloned().collect());
    assert_eq!(call.step(), &NextStep::Relay("h4".to_owned()));
    let later = Duration::from_secs(1);
    assert!(path.is_probe_due(later));
    path.record_direct(true, later);
    assert!(!path.is_probe_due(later));
    let call = StoreCall::begin(&path, fleet.keys().cloned().collect());
    assert_eq!(call.step(), &NextStep::Direct(DirectTimeout::Short));
}

/// All hosts lose the store: relays refuse at once, and the store gets no more calls than without relays.
#[test]
fn an_outage_of_the_store_is_not_amplified() {
    let mut path = StorePath::default();
    path.record_direct(false, Duration::ZERO);
    let peers: Vec<HostId> = fleet(0, 10).into_keys().collect();
    let mut call = StoreCall::begin(&path, peers);
    let mut direct = 0;
    let mut relays = 0;
    while *call.step() != NextStep::GiveUp {
        match call.step() {
            NextStep::Direct(_) => direct += 1,
            _ => relays += 1,
        }
        call.advance(AttemptOutcome::NoPath, ROUND_TRIP * (direct + relays));
    }
    assert_eq!((direct, relays), (1, 6));
}

#[test]
fn a_call_that_the_store_refuses_is_not_sent_to_it_again() {
    let mut call = StoreCall::begin(&StorePath::default(), vec!["h1".to_owned()]);
    call.advance(AttemptOutcome::Refused, ROUND_TRIP);
    assert_eq!(call.step(), &NextStep::Relay("h1".to_owned()));
    call.advance(AttemptOutcome::Refused, ROUND_TRIP);
    assert_eq!(call.step(), &NextStep::GiveUp);
}
