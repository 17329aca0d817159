//! The store is unavailable, and entries may have lapsed, only by evidence from more than one connection.

use fleet::availability::{Availability, Change, ENTRY_RETURN_TIME};

use crate::fixture::{at, ms};

/// One call without an answer counted as an outage, so an engine that left just then was used beyond its drain time.
#[test]
fn a_connection_that_goes_silent_is_no_outage() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    assert!(!store.is_doubtful());
    assert_eq!(store.record_failure(at(100), at(2900)), Change::Suspected);
    assert!(!store.is_unavailable() && store.is_doubtful());
    assert_eq!(
        store.record_failure(at(2000), at(2950)),
        Change::None,
        "another old connection"
    );
    assert!(!store.is_unavailable());
    assert_eq!(store.record_answer(at(2960)), Change::Cleared);
    assert!(!store.is_doubtful());
    assert_eq!(store.returned_at(at(2960)), None);
    assert!(!store.may_lag(at(2960)));
}

#[test]
fn a_new_connection_without_an_answer_shows_that_the_store_is_unavailable() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    store.record_failure(at(100), at(2900));
    assert_eq!(store.record_failure(at(2900), at(3500)), Change::Lost);
    assert!(store.is_unavailable());
    assert_eq!(
        store.returned_at(at(3600)),
        Some(at(3600)),
        "it is still away"
    );
    assert_eq!(store.record_answer(at(5000)), Change::Regained);
    assert_eq!(store.returned_at(at(5100)), Some(at(5000)));
    assert_eq!(store.returned_at(at(5000) + ENTRY_RETURN_TIME), None);
    assert!(store.may_lag(at(5100)));
}

#[test]
fn a_store_that_refuses_this_host_and_answers_others_lets_no_entry_lapse() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    assert_eq!(store.record_refusal(at(1000)), Change::Lost);
    for time in (0..9000).step_by(500) {
        store.observe_answer(at(time));
    }
    assert_eq!(store.returned_at(at(8900)), None);
    assert_eq!(store.record_answer(at(9000)), Change::Regained);
    assert_eq!(store.returned_at(at(9000)), None);
    assert!(store.may_lag(at(9000)), "this host's list may be behind");
}

/// The other host notices the return of the store first, which must not hide the outage.
#[test]
fn the_return_of_the_store_is_known_from_the_host_that_notices_it_first() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    store.record_refusal(at(500));
    store.observe_answer(at(100));
    store.observe_answer(at(4000));
    assert_eq!(store.record_answer(at(4600)), Change::Regained);
    assert_eq!(store.returned_at(at(4700)), Some(at(4000)));
}

#[test]
fn a_short_outage_lets_no_entry_lapse() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    store.record_refusal(at(500));
    store.record_answer(at(1500));
    assert_eq!(store.returned_at(at(1500)), None);
}

#[test]
fn entries_return_after_the_outage_in_which_a_host_has_started() {
    let mut store = Availability::default();
    store.record_refusal(at(100));
    store.record_answer(at(300));
    assert_eq!(store.returned_at(at(300)), Some(at(300)));
}

/// Without a failure, a quiet time between two watches is none.
#[test]
fn a_long_time_between_two_answers_is_no_outage() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    store.record_answer(at(8000));
    assert_eq!(store.returned_at(at(8000)), None);
}

#[test]
fn entries_return_after_the_store_came_back_from_a_copy() {
    let mut store = Availability::default();
    store.record_answer(at(0));
    store.record_new_era(at(100));
    assert_eq!(store.returned_at(at(200)), Some(at(100)));
    assert!(store.may_lag(at(200) + ms(100)));
}
