//! Tests of the room at an engine that crashes when it has to refuse too many requests.

use std::time::Duration;

use fleet::room::Room;

use crate::fixture::{NOW, ms};

/// Room at an engine that withstands 8 refusals in a second, and that refused a request beside 16 of this host at `NOW`.
fn full() -> Room {
    let mut room = Room::default();
    room.observe(Some(8));
    assert!(room.record_refusal(16, 0.5, NOW, NOW));
    room
}

#[test]
fn an_engine_that_states_nothing_is_never_full() {
    let mut room = Room::default();
    assert!(!room.record_refusal(16, 0.5, NOW, NOW));
    assert!(room.has_room(1000, NOW));
    assert_eq!(room.turn_rate(NOW), None);
}

#[test]
fn requests_take_the_place_of_earlier_ones_after_a_pause() {
    let room = full();
    assert!(!room.has_room(0, NOW + ms(200)));
    assert!(room.has_room(13, NOW + ms(300)));
    assert!(!room.has_room(14, NOW + ms(300)));
}

#[test]
fn turns_stay_below_what_the_engine_withstands_and_widen_the_window() {
    let mut room = full();
    let rate = room.turn_rate(NOW).expect("the engine is full");
    assert!(rate.per_second() <= 4.0);
    room.record_acceptance(15);
    assert!(room.has_room(14, NOW + ms(300)));
}

#[test]
fn refusals_narrow_the_window_again_and_again() {
    let mut room = full();
    let mut at = NOW;
    for _ in 0..3 {
        at += ms(300);
        assert!(room.record_refusal(16, 0.5, at, at));
    }
    assert!(!room.has_room(10, at + ms(300)));
    assert!(room.has_room(8, at + ms(300)));
    // Refusals of the same moment count once.
    assert!(!room.record_refusal(16, 0.5, at + ms(10), at + ms(10)));
}

/// Many hosts that have one request each must not all give up their places.
#[test]
fn windows_of_one_request_are_narrowed_at_random() {
    let narrowed = (0..80).filter(|it| {
        let mut room = Room::default();
        room.observe(Some(8));
        room.record_refusal(1, f64::from(*it) / 80.0, NOW, NOW);
        !room.has_room(0, NOW + ms(300))
    });
    assert_eq!(narrowed.count(), 10);
}

#[test]
fn an_engine_is_no_longer_full_when_none_is_refused_or_waits() {
    let mut room = full();
    room.record_wait(NOW + ms(1500));
    assert!(!room.has_room(100, NOW + ms(3000)));
    assert!(room.has_room(100, NOW + ms(3600)));
    room.record_wait(NOW + ms(3600));
    assert!(room.has_room(100, NOW + ms(3600)));
}

/// All that waits for an engine would come at once when it is back.
#[test]
fn a_restarted_engine_is_filled_step_by_step() {
    let mut room = full();
    let back = NOW + Duration::from_secs(20);
    room.record_restart(back);
    assert!(!room.has_room(0, back));
    for running in 1..=4 {
        room.record_acceptance(running);
    }
    assert!(room.has_room(3, back + ms(10)));
    assert!(!room.has_room(4, back + ms(10)));
}
