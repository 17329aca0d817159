//! Tests of the order of changes across eras of the store.

use std::time::Duration;

use fleet::{
    era::{Era, Position, Start, Statement, Tracker, Verdict, fencing_token},
    lease::TERM,
};

use crate::fixture::{NOW, at, ms};

fn stated(era: u64) -> Statement {
    Statement::Stated(Era(era))
}

#[test]
fn answers_of_earlier_eras_are_outdated() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.current(), None);
    let mut observe = |statement| tracker.observe(statement, Start::Later, NOW);
    assert_eq!(observe(stated(4)), Verdict::Current(Era(4)));
    assert_eq!(observe(stated(4)), Verdict::Current(Era(4)));
    let advanced = Verdict::Advanced {
        from: Era(4),
        to: Era(6),
    };
    assert_eq!(observe(stated(6)), advanced);
    assert_eq!(observe(stated(4)), Verdict::Outdated);
    assert_eq!(observe(Statement::Absent), Verdict::Unknown);
    assert_eq!(observe(Statement::Unreadable), Verdict::Unknown);
    assert_eq!(observe(stated(6)), Verdict::Current(Era(6)));
}

#[test]
fn a_store_without_eras_is_settled_from_the_start() {
    let mut tracker = Tracker::default();
    let verdict = tracker.observe(Statement::Absent, Start::Later, NOW);
    assert_eq!(verdict, Verdict::Current(Era(0)));
    assert!(tracker.is_settled(NOW));
    // The store states eras from now on: earlier changes may be lost.
    tracker.observe(stated(1), Start::Later, at(5));
    assert!(!tracker.is_settled(at(5)));
}

#[test]
fn an_era_is_settled_once_all_earlier_leases_have_ended() {
    let mut tracker = Tracker::default();
    tracker.observe(stated(2), Start::Later, NOW);
    let end = NOW + TERM;
    assert!(!tracker.is_settled(end.saturating_sub(ms(1))));
    assert!(tracker.is_settled(end));
    // Another host has known this era for longer, or an earlier one.
    tracker.observe_age(Era(1), Duration::MAX, NOW);
    assert!(!tracker.is_settled(at(0)));
    tracker.observe_age(Era(2), TERM, NOW);
    assert!(tracker.is_settled(NOW));
    // A later era starts anew.
    tracker.observe(stated(3), Start::Later, at(1));
    assert!(!tracker.is_settled(at(2)));
}

#[test]
fn the_first_era_of_a_fleet_is_settled_and_later_ones_are_not() {
    let mut tracker = Tracker::default();
    tracker.observe(stated(5), Start::First, NOW);
    assert!(tracker.is_settled(NOW));
    tracker.observe(stated(6), Start::First, at(1));
    assert!(!tracker.is_settled(at(2)));
}

#[test]
fn a_later_claim_has_a_higher_token_in_any_era() {
    let token = |era, rev| fencing_token(Position { era: Era(era), rev });
    assert_eq!(token(0, 41), Some(41));
    let last_rev = (1 << 40) - 1;
    let last_era = (1 << 13) - 1;
    let positions = [
        (0, 1),
        (0, last_rev),
        (1, 1),
        (1, 7),
        (2, 6),
        (2, last_rev),
        (last_era, 0),
        (last_era, last_rev),
    ];
    let tokens: Vec<_> = positions.iter().map(|it| token(it.0, it.1)).collect();
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    // A JSON number represents every token exactly.
    assert!(tokens.last() < Some(&Some(1 << 53)));
    assert_eq!(token(last_era + 1, 0), None);
    assert_eq!(token(1, last_rev + 1), None);
}
