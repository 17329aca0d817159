//! Two hosts never order one engine within one turn.

use fleet::lease::{Lease, LeaseWatch, Observation, SAFETY_MARGIN, TERM};

use crate::fixture::{at, ms};

/// The end of a lease for its holder, after a renewal that was sent then.
fn last(sent: u64) -> fleet::Time {
    (at(sent) + TERM).saturating_sub(SAFETY_MARGIN)
}

#[test]
fn a_lease_holds_from_the_sending_of_its_renewal() {
    let mut lease = Lease::default();
    assert!(!lease.is_valid(at(0)));
    lease.renew(at(0));
    assert!(lease.is_valid(last(0).saturating_sub(ms(1))));
    assert!(!lease.is_valid(last(0)));
    // An answer to an earlier renewal that comes later doesn't shorten it.
    lease.renew(at(3000));
    lease.renew(at(1000));
    assert!(lease.is_valid(last(3000).saturating_sub(ms(1))));
    lease.release();
    assert!(!lease.is_valid(at(3001)));
}

/// Whatever the delays between the renewal, its effect and the first look at it, the lease is over for
/// its holder before it is for the one that waits for it.
#[test]
fn the_holder_stops_before_the_taker_may_begin() {
    for effect in [0, 5, 700] {
        for look in [0, 100, 5000] {
            let mut lease = Lease::default();
            lease.renew(at(0));
            let mut suspect = LeaseWatch::new(Observation::Renewed(7), at(effect + look));
            suspect.observe(Observation::Renewed(7), at(effect + look + 3000));
            assert!(!lease.is_valid(suspect.latest_end()));
        }
    }
}

#[test]
fn a_renewal_that_is_seen_begins_the_wait_anew_and_a_release_ends_it() {
    let mut suspect = LeaseWatch::new(Observation::Renewed(7), at(0));
    suspect.observe(Observation::Renewed(9), at(5000));
    assert_eq!(suspect.latest_end(), at(5000) + TERM);
    suspect.observe(Observation::Released, at(6000));
    assert_eq!(suspect.latest_end(), at(6000));
}
