//! Where requests go.

use fleet::{
    circuit::{self, Circuit},
    listing::State,
    placement::{Placement, PlacementRequest, occupancy, place},
    prefix::Chain,
    table::{Key, Table},
};

use crate::fixture::{NOW, at, listing, ms, prompt, table};

fn ask(table: &Table, name: Option<&str>, chain: &Chain, tried: &[Key]) -> Placement {
    let name = name.map(Into::into);
    let ask = PlacementRequest {
        service: "chat",
        name: name.as_ref(),
        chain,
        max_gap: ms(300),
        domain: "z-1",
        tried,
        random: 5,
    };
    place(table, &ask, at(0))
}

fn chosen(place: Placement) -> Option<Key> {
    match place {
        Placement::Send(it) | Placement::Delay(it) => Some(it.key),
        Placement::Load | Placement::Unavailable => None,
    }
}

#[test]
fn only_a_holder_of_the_adapter_is_chosen() {
    let (table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a2"])]);
    let chain = prompt(100);
    assert_eq!(
        chosen(ask(&table, Some("m/a2"), &chain, &[])),
        Some(keys[1])
    );
    assert_eq!(ask(&table, Some("m/a3"), &chain, &[]), Placement::Load);
    assert_eq!(
        ask(&table, Some("m/a2"), &chain, &[keys[1]]),
        Placement::Load
    );
}

#[test]
fn engines_that_leave_or_cannot_be_reached_are_not_chosen() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let mut leaving = listing("i-1", &["a1"]);
    leaving.state = State::Leaving(None);
    table.upsert(leaving, at(0));
    let chain = prompt(100);
    assert_eq!(
        chosen(ask(&table, Some("m/a1"), &chain, &[])),
        Some(keys[1])
    );
    let engine = table.get_mut(keys[1]).expect("it is there");
    engine.circuit.mark_unreachable(at(0));
    assert_eq!(ask(&table, Some("m/a1"), &chain, &[]), Placement::Load);
}

#[test]
fn what_fails_often_is_the_last_choice_but_still_one() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let chain = prompt(100);
    for _ in 0..10 {
        table
            .get_mut(keys[0])
            .expect("it is there")
            .circuit
            .record_failure(at(0));
    }
    for draw in 0..20 {
        let name = "m/a1".into();
        let ask = PlacementRequest {
            service: "chat",
            name: Some(&name),
            chain: &chain,
            max_gap: ms(300),
            domain: "z-1",
            tried: &[],
            random: draw,
        };
        assert_eq!(chosen(place(&table, &ask, at(0))), Some(keys[1]));
    }
    assert_eq!(
        chosen(ask(&table, Some("m/a1"), &chain, &[keys[1]])),
        Some(keys[0])
    );
}

#[test]
fn a_kept_prompt_and_an_idle_engine_are_preferred() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let chain = prompt(2000);
    table
        .get_mut(keys[1])
        .expect("it is there")
        .prefix_cache
        .insert(&chain);
    assert_eq!(
        chosen(ask(&table, Some("m/a1"), &chain, &[])),
        Some(keys[1])
    );
    table
        .get_mut(keys[1])
        .expect("it is there")
        .record_prompt(9000, at(0));
    assert_eq!(
        chosen(ask(&table, Some("m/a1"), &chain, &[])),
        Some(keys[0])
    );
}

/// Load pattern: prompts arrive faster than an engine reads them while streams run there.
#[test]
fn a_prompt_waits_while_the_engine_has_enough_to_read_but_never_before_an_idle_one() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    assert!(matches!(
        ask(&table, Some("m/a1"), &prompt(9000), &[]),
        Placement::Send(_)
    ));
    table
        .get_mut(keys[0])
        .expect("it is there")
        .record_prompt(2500, at(0));
    assert!(matches!(
        ask(&table, Some("m/a1"), &prompt(1000), &[]),
        Placement::Delay(_)
    ));
    assert!(matches!(
        ask(&table, Some("m/a1"), &prompt(100), &[]),
        Placement::Send(_)
    ));
}

#[test]
fn demand_that_one_engine_cannot_carry_asks_for_a_copy() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &[])]);
    table
        .get_mut(keys[0])
        .expect("it is there")
        .record_prompt(20_000, at(0));
    let Placement::Delay(choice) = ask(&table, Some("m/a1"), &prompt(1000), &[]) else {
        panic!("it waits");
    };
    assert!(choice.wants_replica);
}

#[test]
fn fullness_counts_engines_that_take_work() {
    let (mut table, keys) = table(&[("i-1", &[]), ("i-2", &[])]);
    table
        .get_mut(keys[0])
        .expect("it is there")
        .local_work
        .running = 3;
    assert_eq!(occupancy(&table, &"chat".into(), at(0)), (3, 16));
}

#[test]
fn a_circuit_opens_on_failures_and_closes_on_answers() {
    let mut circuit = Circuit::default();
    circuit.record_failure(at(0));
    assert_eq!(
        circuit.state(at(0)),
        circuit::State::Closed,
        "one failure is usual"
    );
    for _ in 0..5 {
        circuit.record_failure(at(0));
    }
    assert_eq!(circuit.state(at(1)), circuit::State::Open);
    assert_eq!(circuit.state(at(2000)), circuit::State::HalfOpen);
    for _ in 0..10 {
        circuit.record_success();
    }
    assert_eq!(circuit.state(at(2000)), circuit::State::Closed);
    // One failure in ten, as a plain service has on any day, keeps it closed.
    let mut usual = Circuit::default();
    for number in 0..1000 {
        if number % 10 == 0 {
            usual.record_failure(at(number));
        } else {
            usual.record_success();
        }
        assert_eq!(usual.state(at(number)), circuit::State::Closed);
    }
}

/// A request begins when the engine has read what came before it, and that must still be in time.
#[test]
fn an_older_version_is_not_used_where_a_queue_would_make_it_too_old() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let chain = prompt(100);
    table.announce(
        "m/a1".into(),
        2,
        at(0).saturating_sub(std::time::Duration::from_millis(1500)),
    );
    assert_eq!(
        chosen(ask(&table, Some("m/a1"), &chain, &[])),
        Some(keys[0])
    );
    table
        .get_mut(keys[0])
        .expect("it is there")
        .record_prompt(58_000, at(0));
    assert_eq!(ask(&table, Some("m/a1"), &chain, &[]), Placement::Load);
}

/// An engine that reads one prompt after the other, as fast as it can, pauses all its streams for too long.
#[test]
fn prompts_that_would_keep_an_engine_reading_through_a_whole_pause_wait() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    // All of them were read as they came.
    for number in 0..5 {
        engine.record_prompt(1000, NOW.saturating_sub(ms(250 - number * 50)));
    }
    let paced = ask(&table, Some("m/a1"), &prompt(1000), &[]);
    assert!(matches!(paced, Placement::Delay(_)), "{paced:?}");
    let sent = ask(&table, Some("m/a1"), &prompt(300), &[]);
    assert!(matches!(sent, Placement::Send(_)), "{sent:?}");
    let engine = table.get(keys[0]).expect("it is there");
    assert!(engine.tokens_sent_within(ms(300), at(100)) < 4000.0);
}
