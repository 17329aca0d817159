//! Tests of the back-off from one engine.

use std::time::Duration;

use fleet::{
    backoff::{Backoff, MAX_BACKOFF},
    placement::{Placement, PlacementRequest, place},
};

use crate::fixture::{NOW, at, ms, prompt, table};

/// Sends requests as early as the back-off allows, checked every 10 ms. Returns the times in ms.
fn starts(backoff: &mut Backoff, end: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    for time in (0..end).step_by(10) {
        if backoff.closed_until(at(time)).is_none() {
            backoff.record_start(at(time));
            starts.push(time);
        }
    }
    starts
}

/// Thirty hosts that an engine rejects at the same moment return spread, and each with few requests at first.
#[test]
fn hosts_return_spread_and_with_few_requests() {
    let mut first_starts = Vec::new();
    for host in 0..30 {
        let mut backoff = Backoff::default();
        backoff.close(ms(2000), f64::from(host) / 30.0, NOW);
        let starts = starts(&mut backoff, 3000);
        assert!(starts[0] >= 2000, "{starts:?}");
        let within_300_ms = starts.iter().filter(|it| **it < starts[0] + 300).count();
        assert!(within_300_ms <= 3, "{starts:?}");
        first_starts.push(starts[0]);
    }
    for from in (2000..2500).step_by(100) {
        let together = first_starts
            .iter()
            .filter(|it| (from..from + 100).contains(*it))
            .count();
        assert!(together <= 7, "{first_starts:?}");
    }
}

#[test]
fn a_shorter_time_changes_nothing_and_an_absurd_one_is_limited() {
    let mut backoff = Backoff::default();
    assert_eq!(backoff.closed_until(NOW), None);
    backoff.close(ms(3000), 0.0, NOW);
    backoff.close(ms(100), 0.0, at(50));
    assert_eq!(backoff.closed_until(at(50)), Some(at(3000)));
    backoff.close(Duration::MAX, 0.0, NOW);
    assert_eq!(backoff.closed_until(NOW), Some(NOW + MAX_BACKOFF));
}

#[test]
fn an_engine_in_back_off_is_not_chosen() {
    let (mut table, keys) = table(&[("i-1", &["a"]), ("i-2", &["a"]), ("i-3", &[])]);
    let chain = prompt(60);
    let name = "m/a".into();
    let request = PlacementRequest {
        service: "chat",
        name: Some(&name),
        chain: &chain,
        max_gap: ms(250),
        domain: "z-1",
        tried: &[],
        build: None,
        turn: None,
        random: 7,
    };
    let close = |table: &mut fleet::table::Table, index: usize, time| {
        let engine = table.get_mut(keys[index]).expect("the engine exists");
        engine.backoff.close(ms(time), 0.0, NOW);
    };
    close(&mut table, 0, 2000);
    let Placement::Send(choice) = place(&table, &request, NOW) else {
        panic!("the other holder is usable");
    };
    assert_eq!(choice.key, keys[1]);
    close(&mut table, 1, 1000);
    let placement = place(&table, &request, NOW);
    assert_eq!(placement, Placement::Closed(keys[1], at(1000)));
    let placement = place(&table, &request, at(1000));
    assert!(matches!(placement, Placement::Send(it) if it.key == keys[1]));
}
