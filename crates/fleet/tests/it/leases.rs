//! Two hosts never order one engine within one turn.

use fleet::lease::{Lease, MARGIN, Seen, Suspect, TERM};

use crate::fixture::{at, ms};

/// The end of a lease for its holder, after a renewal that was sent then.
fn last(sent: u64) -> fleet::Time {
    (at(sent) + TERM).saturating_sub(MARGIN)
}

#[test]
fn a_lease_holds_from_the_sending_of_its_renewal() {
    let mut lease = Lease::default();
    assert!(!lease.holds(at(0)));
    lease.renew(at(0));
    assert!(lease.holds(last(0).saturating_sub(ms(1))));
    assert!(!lease.holds(last(0)));
    // An answer to an earlier renewal that comes later doesn't shorten it.
    lease.renew(at(3000));
    lease.renew(at(1000));
    assert!(lease.holds(last(3000).saturating_sub(ms(1))));
    lease.release();
    assert!(!lease.holds(at(3001)));
}

/// Whatever the delays between the renewal, its effect and the first look at it, the lease is over for
/// its holder before it is for the one that waits for it.
#[test]
fn the_holder_stops_before_the_taker_may_begin() {
    for effect in [0, 5, 700] {
        for look in [0, 100, 5000] {
            let mut lease = Lease::default();
            lease.renew(at(0));
            let mut suspect = Suspect::new(Seen::Renewed(7), at(effect + look));
            suspect.read(Seen::Renewed(7), at(effect + look + 3000));
            assert!(!lease.holds(suspect.ends()));
        }
    }
}

#[test]
fn a_renewal_that_is_seen_begins_the_wait_anew_and_a_release_ends_it() {
    let mut suspect = Suspect::new(Seen::Renewed(7), at(0));
    suspect.read(Seen::Renewed(9), at(5000));
    assert_eq!(suspect.ends(), at(5000) + TERM);
    suspect.read(Seen::Released, at(6000));
    assert_eq!(suspect.ends(), at(6000));
}
