//! Load pattern: all hosts return at once, and callers return with them, before the hosts have read the configuration. A
//! caller with one retry left that is refused then has lost its request.

use std::time::Duration;

use bamboo_coordination::StartupStep;
use bamboo_coordination::next_startup_step;
use test_case::test_case;

/// Outcome of a request that arrives at an age of the host, if the host's first reads end at another one: when it is
/// served, or when it is refused.
fn play(arrives_ms: u64, read_ms: u64) -> Result<u64, u64> {
    let mut now_ms = arrives_ms;
    loop {
        let knows_servers = now_ms >= read_ms;
        match next_startup_step(knows_servers, Duration::from_millis(now_ms)) {
            StartupStep::Wait(time) => {
                let gives_up_ms = now_ms + time.as_millis() as u64;
                now_ms = gives_up_ms.min(read_ms.max(now_ms));
                if now_ms == gives_up_ms && now_ms < read_ms {
                    return Err(now_ms);
                }
            }
            StartupStep::Proceed if knows_servers => return Ok(now_ms),
            StartupStep::Proceed => return Err(now_ms),
        }
    }
}

#[test_case(1, 40; "of a small fleet")]
#[test_case(1, 350; "of a large fleet")]
#[test_case(300, 350; "shortly before the reads end")]
fn a_request_is_served_as_soon_as_the_first_reads_end(arrives_ms: u64, read_ms: u64) {
    assert_eq!(play(arrives_ms, read_ms), Ok(read_ms));
}

/// With the store away a caller must not wait at a host that cannot serve it.
#[test_case(1, 600; "during startup")]
#[test_case(2_000, 2_000; "later")]
fn a_request_is_refused_at_the_end_of_the_startup_time(arrives_ms: u64, refused_ms: u64) {
    assert_eq!(play(arrives_ms, 10_000), Err(refused_ms));
}
