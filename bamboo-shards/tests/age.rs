//! Age of a job while wall clocks step.

use std::time::Duration;

use bamboo_shards::JobAge;
use test_case::test_case;

const RETENTION: Duration = Duration::from_secs(60);
/// Wall-clock time at which the job was accepted.
const SUBMITTED_AT_MS: u64 = 1_000_000;

/// Guards against giving up an item early, or never, after the wall clock of either host stepped between the acceptance
/// and a replay 50 s later.
#[test_case(0; "no step")]
#[test_case(6_000; "owner ahead")]
#[test_case(-6_000; "owner behind")]
#[test_case(10_000; "largest step")]
#[test_case(-3_600_000; "owner an hour behind")]
fn an_item_is_given_up_after_its_retention_despite_clock_steps(step_ms: i64) {
    let replayed_at = Duration::from_secs(7);
    let real_age = Duration::from_secs(50);
    let unix_ms = SUBMITTED_AT_MS + real_age.as_millis() as u64;
    let age = JobAge::replayed(
        SUBMITTED_AT_MS,
        unix_ms.saturating_add_signed(step_ms),
        replayed_at,
    );
    let expires_at = replayed_at + RETENTION - real_age;
    assert!(age.minimum(expires_at - Duration::from_millis(1)) < RETENTION);
    assert!(age.minimum(replayed_at + RETENTION) >= RETENTION);
}

/// Guards against giving up an item early after a step of the wall clock of the host that accepted and owns its job.
#[test]
fn the_age_of_an_accepted_job_depends_on_monotonic_time_only() {
    let accepted_at = Duration::from_secs(7);
    let age = JobAge::accepted(accepted_at);
    assert_eq!(age.minimum(accepted_at + RETENTION), RETENTION);
    assert_eq!(age.estimate(accepted_at + RETENTION), RETENTION);
}
