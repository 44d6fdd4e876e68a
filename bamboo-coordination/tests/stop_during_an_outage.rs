//! Pattern: hosts are stopped one after the other while the store does not respond, so that they cannot release their
//! shards.

use std::time::Duration;

use bamboo_coordination::ShutdownState;
use bamboo_coordination::ShutdownStep;
use bamboo_coordination::next_shutdown_step;
use test_case::test_case;

const GRACE: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time by which a process without open requests has to exit: the rest is left for a slow host to end its tasks.
const EXIT_BY: Duration = Duration::from_secs(7);
/// Share of the grace period within which a server may be at work when its request is ended.
const LAST_SHARE: f64 = 5.0 / 6.0;
/// Time for the answers to requests that are ended, and time that is left after the exit.
const MARGIN: Duration = Duration::from_millis(350);

/// Plays a shutdown. Returns when the host closes and when it exits.
fn play<F>(open_requests: F, released_at: Duration) -> (Duration, Duration)
where
    F: Fn(Duration) -> usize,
{
    let (closed_at, _, exited_at) = play_whole(open_requests, released_at);
    (closed_at, exited_at)
}

/// Plays a shutdown. Returns when the host closes, when it ends the open requests, and when it exits.
fn play_whole<F>(open_requests: F, released_at: Duration) -> (Duration, Option<Duration>, Duration)
where
    F: Fn(Duration) -> usize,
{
    let mut elapsed = Duration::ZERO;
    let mut closed_at = None;
    let mut ended_at = None;
    loop {
        let state = ShutdownState {
            elapsed,
            grace: GRACE,
            open_requests: open_requests(elapsed),
            is_released: elapsed >= released_at,
        };
        match next_shutdown_step(&state) {
            ShutdownStep::KeepOpen => assert_eq!(closed_at, None),
            ShutdownStep::Close => {
                assert_eq!(ended_at, None);
                closed_at.get_or_insert(elapsed);
            }
            ShutdownStep::EndRequests => {
                ended_at.get_or_insert(elapsed);
            }
            ShutdownStep::Exit => return (closed_at.unwrap_or(elapsed), ended_at, elapsed),
        }
        elapsed += POLL_INTERVAL;
    }
}

/// The calls that release the shards may take 1.6 s each and are repeated by several ways.
#[test_case(7_200; "the release takes longer than the drain")]
#[test_case(60_000; "the release never ends")]
fn a_host_that_cannot_release_its_shards_exits_in_time(released_at_ms: u64) {
    let (closed_at, exited_at) = play(|_| 0, Duration::from_millis(released_at_ms));
    assert!(exited_at < EXIT_BY, "{exited_at:?}");
    assert!(closed_at <= GRACE / 2, "{closed_at:?}");
}

#[test]
fn open_requests_are_awaited_in_an_outage() {
    let ends_at = Duration::from_secs(6);
    let (_, exited_at) = play(|elapsed| usize::from(elapsed < ends_at), Duration::MAX);
    assert_eq!(exited_at, ends_at);
}

/// Guards against a host that cuts off what would have ended within the grace period, exits without a word to the callers, or
/// is killed.
#[test]
fn requests_that_do_not_end_are_ended_late_and_before_the_kill() {
    let (_, ended_at, exited_at) = play_whole(|_| 1, Duration::ZERO);
    let ended_at = ended_at.expect("the requests are ended");
    assert!(ended_at > GRACE.mul_f64(LAST_SHARE), "{ended_at:?}");
    assert!(exited_at >= ended_at + MARGIN, "{ended_at:?} {exited_at:?}");
    assert!(exited_at + MARGIN <= GRACE, "{exited_at:?}");
}

#[test]
fn a_released_host_without_requests_stays_open_until_callers_are_sent_elsewhere() {
    let (_, exited_at) = play(|_| 0, Duration::ZERO);
    assert!(exited_at >= Duration::from_secs(3), "{exited_at:?}");
}
