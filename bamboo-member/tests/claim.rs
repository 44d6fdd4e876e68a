//! Claiming, losing and releasing the ownership of a stream.

use std::time::Duration;

use bamboo_member::ClaimContext;
use bamboo_member::ClaimOptions;
use bamboo_member::ClaimStep;
use bamboo_member::Claimant;

const RENDEZVOUS_OWNER: ClaimContext = ClaimContext {
    may_own: true,
    is_rendezvous_owner: true,
    is_at_tail: true,
};

fn claimant() -> Claimant {
    Claimant::new("h1".into(), 1, ClaimOptions::default())
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_rendezvous_owner_claims_after_its_delay_and_owns_once_it_reads_its_claim() {
    let mut claimant = claimant();
    assert_eq!(
        claimant.step(at(0), RENDEZVOUS_OWNER, |_, _| true, 0),
        ClaimStep::Recover
    );
    assert_eq!(
        claimant.step(at(1000), RENDEZVOUS_OWNER, |_, _| true, 0),
        ClaimStep::Claim
    );
    assert_eq!(
        claimant.step(at(1010), RENDEZVOUS_OWNER, |_, _| true, 0),
        ClaimStep::AwaitClaim
    );
    claimant.apply_claim("h1", 1, 7);
    assert_eq!(
        claimant.step(at(1020), RENDEZVOUS_OWNER, |_, _| true, 0),
        ClaimStep::Own(7)
    );
}

#[test]
fn an_own_claim_replayed_from_the_log_does_not_confirm_ownership() {
    let mut claimant = claimant();
    claimant.apply_claim("h1", 1, 7);
    assert_eq!(claimant.epoch(), None);
}

#[test]
fn a_host_that_lost_its_claim_defers_while_the_incarnation_of_its_successor_is_running() {
    let mut claimant = claimant();
    claimant.step(at(0), RENDEZVOUS_OWNER, |_, _| true, 0);
    claimant.step(at(1000), RENDEZVOUS_OWNER, |_, _| true, 0);
    claimant.apply_claim("h1", 1, 7);
    claimant.apply_claim("h2", 4, 9);
    assert_eq!(
        claimant.step(
            at(5000),
            RENDEZVOUS_OWNER,
            |_, incarnation| incarnation == 4,
            0
        ),
        ClaimStep::Follow
    );
    assert_eq!(
        claimant.step(
            at(5010),
            RENDEZVOUS_OWNER,
            |_, incarnation| incarnation == 5,
            0
        ),
        ClaimStep::Recover
    );
}

#[test]
fn a_sent_claim_is_awaited_even_if_another_host_becomes_the_rendezvous_owner() {
    let mut claimant = claimant();
    claimant.step(at(0), RENDEZVOUS_OWNER, |_, _| true, 0);
    claimant.step(at(1000), RENDEZVOUS_OWNER, |_, _| true, 0);
    let not_rendezvous_owner = ClaimContext {
        is_rendezvous_owner: false,
        ..RENDEZVOUS_OWNER
    };
    assert_eq!(
        claimant.step(at(1010), not_rendezvous_owner, |_, _| true, 0),
        ClaimStep::AwaitClaim
    );
}

#[test]
fn a_draining_owner_releases_its_claim() {
    let mut claimant = claimant();
    claimant.step(at(0), RENDEZVOUS_OWNER, |_, _| true, 0);
    claimant.step(at(1000), RENDEZVOUS_OWNER, |_, _| true, 0);
    claimant.apply_claim("h1", 1, 7);
    let draining = ClaimContext {
        may_own: false,
        is_rendezvous_owner: false,
        is_at_tail: true,
    };
    assert_eq!(
        claimant.step(at(1010), draining, |_, _| true, 0),
        ClaimStep::Release(7)
    );
    claimant.apply_release(7);
    assert_eq!(
        claimant.step(at(1020), draining, |_, _| true, 0),
        ClaimStep::Standby
    );
}
