//! Tests that two hosts never send orders to the same engine at the same time.

use fleet::{
    era::{Era, Position},
    lease::{Claim, Lease, LeaseWatch, Observation, SAFETY_MARGIN, TERM},
};

use crate::fixture::{at, ms};

/// Observation of a lease that was renewed at this revision of the first era.
fn renewed(rev: u64) -> Observation {
    Observation::Renewed(Position { era: Era(1), rev })
}

/// Returns when the holder must stop ordering after a renewal that was sent at `sent`.
fn holder_end(sent: u64) -> fleet::Time {
    (at(sent) + TERM).saturating_sub(SAFETY_MARGIN)
}

#[test]
fn a_lease_is_valid_from_the_sending_of_its_renewal() {
    let mut lease = Lease::default();
    assert!(!lease.is_valid(at(0)));
    lease.renew(at(0));
    assert!(lease.is_valid(holder_end(0).saturating_sub(ms(1))));
    assert!(!lease.is_valid(holder_end(0)));
    // A late answer to an earlier renewal doesn't shorten the lease.
    lease.renew(at(3000));
    lease.renew(at(1000));
    assert!(lease.is_valid(holder_end(3000).saturating_sub(ms(1))));
    lease.release();
    assert!(!lease.is_valid(at(3001)));
}

/// Whatever the delays between the sending of a renewal, its effect in the store and the first read of it,
/// the lease ends for its holder before it ends for the host that waits to take over.
#[test]
fn the_holder_stops_before_another_host_may_take_over() {
    for effect in [0, 5, 700] {
        for read in [0, 100, 5000] {
            let mut lease = Lease::default();
            lease.renew(at(0));
            let mut watch = LeaseWatch::new(renewed(7), at(effect + read));
            watch.observe(renewed(7), at(effect + read + 3000));
            assert!(!lease.is_valid(watch.latest_end()));
        }
    }
}

#[test]
fn an_observed_renewal_restarts_the_wait_and_a_release_ends_it() {
    let mut watch = LeaseWatch::new(renewed(7), at(0));
    watch.observe(renewed(9), at(5000));
    assert_eq!(watch.latest_end(), at(5000) + TERM);
    watch.observe(Observation::Released, at(6000));
    assert_eq!(watch.latest_end(), at(6000));
}

/// The store has lost the claim of a host that still gives orders: another host that finds neither claim nor
/// lease in the new era waits until the lease has ended, even if the holder never hears of the new era.
#[test]
fn a_lost_claim_is_not_extended_and_a_missing_lease_is_waited_for() {
    let mut lease = Lease::default();
    lease.renew(at(0));
    let mut claim = Claim {
        fence: 7,
        valid_from: at(100),
        valid_until: None,
    };
    assert!(!claim.is_valid(lease, at(99)));
    claim.mark_lost(lease);
    lease.renew(at(3000));
    claim.mark_lost(lease);
    assert!(claim.is_valid(lease, holder_end(0).saturating_sub(ms(1))));
    assert!(!claim.is_valid(lease, holder_end(0)));
    // The last renewal before the rollback may have been sent just before it.
    let rolled_back = 0;
    let mut watch = LeaseWatch::new(Observation::MaybeLost, at(rolled_back));
    watch.observe(Observation::MaybeLost, at(rolled_back + 3000));
    assert!(!claim.is_valid(lease, watch.latest_end()));
    assert_eq!(watch.latest_end(), at(rolled_back) + TERM);
}

#[test]
fn the_same_revision_of_another_era_is_another_renewal() {
    let position = |era| Position {
        era: Era(era),
        rev: 7,
    };
    let mut watch = LeaseWatch::new(Observation::Renewed(position(1)), at(0));
    watch.observe(Observation::Renewed(position(2)), at(5000));
    assert_eq!(watch.latest_end(), at(5000) + TERM);
}
