//! Pattern: the store is down for all hosts while callers submit jobs, whose records are large. Each host renews its
//! membership meanwhile, by calls that are small.

use std::time::Duration;

use bamboo_relay::AttemptOutcome;
use bamboo_relay::NextStep;
use bamboo_relay::StoreCall;
use bamboo_relay::StorePath;
use bamboo_types::HostId;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const HOSTS: usize = 295;
const OUTAGE: Duration = Duration::from_secs(7);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
const ROUND_TRIP: Duration = Duration::from_millis(6);
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a call is an append.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Append,
    Renewal,
}

/// Plays one call of a host that cannot reach the store, and returns whether it succeeded and how many relays got it. A
/// share of the relays can reach the store.
fn play_call(
    path: &mut StorePath,
    kind: Kind,
    reachable_share: f64,
    random: &mut ChaCha8Rng,
    now: Duration,
) -> (bool, usize) {
    let mut peers: Vec<HostId> = (0..HOSTS).map(|index| format!("h{index}")).collect();
    peers.shuffle(random);
    let mut call = match kind {
        Kind::Append => StoreCall::begin_append(path, peers, now),
        Kind::Renewal => StoreCall::begin(path, peers),
    };
    let (mut elapsed, mut relays) = (Duration::ZERO, 0);
    loop {
        let outcome = match call.step().clone() {
            NextStep::GiveUp => return (false, relays),
            NextStep::Direct(_) => {
                elapsed += DIRECT_TIMEOUT;
                path.record_direct(false, now + elapsed);
                AttemptOutcome::TimedOut
            }
            NextStep::Relay(host) => {
                elapsed += ROUND_TRIP;
                relays += 1;
                let index: usize = host[1..].parse().unwrap();
                let is_ok = (index as f64) < HOSTS as f64 * reachable_share;
                path.record_relay(&host, is_ok);
                if is_ok {
                    return (true, relays);
                }
                path.record_relay_without_path(now + elapsed);
                AttemptOutcome::NoPath
            }
        };
        call.advance(outcome, elapsed);
    }
}

/// Plays appends at random times beside the renewals. Returns how many were made, how many succeeded, and how often their
/// records were sent to a relay.
fn play(reachable_share: f64, seed: u64) -> (usize, usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut appends, mut stored, mut sent) = (0, 0, 0);
    for _ in 0..40 {
        let mut path = StorePath::default();
        let append_at = OUTAGE.mul_f64(random.random_range(0.1..1.0));
        let mut now = Duration::ZERO;
        while now < OUTAGE {
            play_call(&mut path, Kind::Renewal, reachable_share, &mut random, now);
            now += RENEWAL_INTERVAL;
            if now <= append_at && append_at < now + RENEWAL_INTERVAL {
                let (is_ok, relays) =
                    play_call(&mut path, Kind::Append, reachable_share, &mut random, now);
                appends += 1;
                stored += usize::from(is_ok);
                sent += relays;
            }
        }
    }
    (appends, stored, sent)
}

/// Six relays for each append moved hundreds of megabytes between data centres, to hosts that could do nothing with them.
#[test_case(1)]
#[test_case(2)]
fn records_are_not_sent_to_relays_that_cannot_reach_the_store_either(seed: u64) {
    let (appends, stored, sent) = play(0.0, seed);
    assert_eq!((stored, sent), (0, 0), "of {appends} appends");
}

/// A third of the hosts behind a cut is no outage: their appends go through the others as before.
#[test_case(0.65, 1)]
#[test_case(0.35, 2)]
fn hosts_behind_a_cut_still_append_through_others(reachable_share: f64, seed: u64) {
    let (appends, stored, sent) = play(reachable_share, seed);
    assert_eq!(stored, appends);
    assert!(sent <= appends * 2, "{sent} times for {appends} appends");
}

/// Once a small call has found a relay again, appends use it.
#[test]
fn appends_go_through_relays_again_after_the_outage() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut path = StorePath::default();
    let at = Duration::from_millis;
    play_call(&mut path, Kind::Renewal, 0.0, &mut random, at(0));
    let (is_stored, sent) = play_call(&mut path, Kind::Append, 1.0, &mut random, at(300));
    assert_eq!((is_stored, sent), (false, 0));
    play_call(&mut path, Kind::Renewal, 1.0, &mut random, at(600));
    let (is_stored, sent) = play_call(&mut path, Kind::Append, 1.0, &mut random, at(700));
    assert_eq!((is_stored, sent), (true, 1));
}
