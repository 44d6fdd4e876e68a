//! When to claim a stream.

use std::time::Duration;

use bamboo_member::ClaimOptions;
use bamboo_member::ClaimStep;
use bamboo_member::ClaimWish;
use bamboo_member::Claimant;

const FIRST: ClaimWish = ClaimWish {
    may_own: true,
    is_first: true,
    is_at_tail: true,
};

fn claimant() -> Claimant {
    Claimant::new("h1".into(), 1, ClaimOptions::default())
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_first_host_claims_after_its_wait_and_owns_once_it_reads_its_claim() {
    let mut claimant = claimant();
    assert_eq!(
        claimant.step(at(0), FIRST, |_, _| true, 0),
        ClaimStep::Recover
    );
    assert_eq!(
        claimant.step(at(1000), FIRST, |_, _| true, 0),
        ClaimStep::Claim
    );
    assert_eq!(
        claimant.step(at(1010), FIRST, |_, _| true, 0),
        ClaimStep::AwaitClaim
    );
    claimant.claim_read("h1", 1, 7);
    assert_eq!(
        claimant.step(at(1020), FIRST, |_, _| true, 0),
        ClaimStep::Own(7)
    );
}

#[test]
fn an_own_claim_met_again_while_reading_anew_is_history() {
    let mut claimant = claimant();
    claimant.claim_read("h1", 1, 7);
    assert_eq!(claimant.epoch(), None);
}

#[test]
fn a_host_that_lost_its_claim_defers_while_that_run_of_its_successor_lives() {
    let mut claimant = claimant();
    claimant.step(at(0), FIRST, |_, _| true, 0);
    claimant.step(at(1000), FIRST, |_, _| true, 0);
    claimant.claim_read("h1", 1, 7);
    claimant.claim_read("h2", 4, 9);
    assert_eq!(
        claimant.step(at(5000), FIRST, |_, run| run == 4, 0),
        ClaimStep::Follow
    );
    assert_eq!(
        claimant.step(at(5010), FIRST, |_, run| run == 5, 0),
        ClaimStep::Recover
    );
}

#[test]
fn a_sent_claim_is_awaited_also_when_another_host_is_first_by_then() {
    let mut claimant = claimant();
    claimant.step(at(0), FIRST, |_, _| true, 0);
    claimant.step(at(1000), FIRST, |_, _| true, 0);
    let second = ClaimWish {
        is_first: false,
        ..FIRST
    };
    assert_eq!(
        claimant.step(at(1010), second, |_, _| true, 0),
        ClaimStep::AwaitClaim
    );
}

#[test]
fn a_stopping_owner_releases() {
    let mut claimant = claimant();
    claimant.step(at(0), FIRST, |_, _| true, 0);
    claimant.step(at(1000), FIRST, |_, _| true, 0);
    claimant.claim_read("h1", 1, 7);
    let stopping = ClaimWish {
        may_own: false,
        is_first: false,
        is_at_tail: true,
    };
    assert_eq!(
        claimant.step(at(1010), stopping, |_, _| true, 0),
        ClaimStep::Release(7)
    );
    claimant.release_read(7);
    assert_eq!(
        claimant.step(at(1020), stopping, |_, _| true, 0),
        ClaimStep::Stand
    );
}
