//! Tests of the choice of engines for requests, and of circuit breakers.

use fleet::{
    circuit::{self, Circuit},
    listing::State,
    loader::Wanted,
    placement::{Placement, PlacementRequest, Purpose, occupancy, place, rank_for_load},
    prefix::Chain,
    table::{Key, Table},
};

use crate::fixture::{NOW, at, listing, ms, prompt, request, table};

/// Places a request of domain `z-1` for the adapter `name`.
fn place_request(table: &Table, name: Option<&str>, chain: &Chain, tried: &[Key]) -> Placement {
    let name = name.map(Into::into);
    let request = PlacementRequest {
        service: "chat",
        name: name.as_ref(),
        chain,
        max_gap: ms(300),
        domain: "z-1",
        tried,
        build: None,
        turn: None,
        random: 5,
    };
    place(table, &request, at(0))
}

fn chosen(placement: Placement) -> Option<Key> {
    match placement {
        Placement::Send(it) | Placement::Delay(it) => Some(it.key),
        Placement::Closed(..) | Placement::Load | Placement::Unavailable | Placement::BuildGone => {
            None
        }
    }
}

#[test]
fn only_an_engine_that_holds_the_adapter_is_chosen() {
    let (table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a2"])]);
    let chain = prompt(100);
    assert_eq!(
        chosen(place_request(&table, Some("m/a2"), &chain, &[])),
        Some(keys[1])
    );
    assert_eq!(
        place_request(&table, Some("m/a3"), &chain, &[]),
        Placement::Load
    );
    assert_eq!(
        place_request(&table, Some("m/a2"), &chain, &[keys[1]]),
        Placement::Load
    );
}

#[test]
fn leaving_and_unreachable_engines_are_not_chosen() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let mut leaving = listing("i-1", &["a1"]);
    leaving.state = State::Leaving(None);
    table.upsert(leaving, at(0));
    let chain = prompt(100);
    assert_eq!(
        chosen(place_request(&table, Some("m/a1"), &chain, &[])),
        Some(keys[1])
    );
    let engine = table.get_mut(keys[1]).expect("the engine exists");
    engine.circuit.mark_unreachable(at(0));
    assert_eq!(
        place_request(&table, Some("m/a1"), &chain, &[]),
        Placement::Load
    );
}

#[test]
fn an_engine_that_fails_often_is_chosen_only_if_there_is_no_other() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let chain = prompt(100);
    for _ in 0..10 {
        table
            .get_mut(keys[0])
            .expect("the engine exists")
            .circuit
            .record_failure(at(0));
    }
    for random in 0..20 {
        let name = "m/a1".into();
        let request = request(&name, &chain, random);
        assert_eq!(chosen(place(&table, &request, at(0))), Some(keys[1]));
    }
    assert_eq!(
        chosen(place_request(&table, Some("m/a1"), &chain, &[keys[1]])),
        Some(keys[0])
    );
}

#[test]
fn a_cached_prompt_and_an_idle_engine_are_preferred() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let chain = prompt(2000);
    table
        .get_mut(keys[1])
        .expect("the engine exists")
        .prefix_cache
        .insert(&chain);
    assert_eq!(
        chosen(place_request(&table, Some("m/a1"), &chain, &[])),
        Some(keys[1])
    );
    table
        .get_mut(keys[1])
        .expect("the engine exists")
        .record_prompt(9000, at(0));
    assert_eq!(
        chosen(place_request(&table, Some("m/a1"), &chain, &[])),
        Some(keys[0])
    );
}

/// Prompts arrive faster than an engine prefills them while it generates streams.
#[test]
fn a_prompt_waits_while_enough_tokens_are_pending_but_never_at_an_idle_engine() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    assert!(matches!(
        place_request(&table, Some("m/a1"), &prompt(9000), &[]),
        Placement::Send(_)
    ));
    table
        .get_mut(keys[0])
        .expect("the engine exists")
        .record_prompt(2500, at(0));
    assert!(matches!(
        place_request(&table, Some("m/a1"), &prompt(1000), &[]),
        Placement::Delay(_)
    ));
    assert!(matches!(
        place_request(&table, Some("m/a1"), &prompt(100), &[]),
        Placement::Send(_)
    ));
}

#[test]
fn demand_beyond_the_capacity_of_one_engine_asks_for_a_replica() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &[])]);
    table
        .get_mut(keys[0])
        .expect("the engine exists")
        .record_prompt(20_000, at(0));
    let Placement::Delay(choice) = place_request(&table, Some("m/a1"), &prompt(1000), &[]) else {
        panic!("the prompt must wait");
    };
    assert!(choice.wants_replica);
}

#[test]
fn occupancy_counts_engines_that_accept_work() {
    let (mut table, keys) = table(&[("i-1", &[]), ("i-2", &[])]);
    table
        .get_mut(keys[0])
        .expect("the engine exists")
        .local_work
        .running = 3;
    assert_eq!(occupancy(&table, &"chat".into(), at(0)), (3, 16));
}

#[test]
fn a_circuit_opens_on_failures_and_closes_on_successes() {
    let mut circuit = Circuit::default();
    circuit.record_failure(at(0));
    assert_eq!(
        circuit.state(at(0)),
        circuit::State::Closed,
        "a single failure is normal"
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
    // A failure rate of one in ten, which is normal for a plain service, keeps the circuit closed.
    let mut normal = Circuit::default();
    for number in 0..1000 {
        if number % 10 == 0 {
            normal.record_failure(at(number));
        } else {
            normal.record_success();
        }
        assert_eq!(normal.state(at(number)), circuit::State::Closed);
    }
}

/// A request begins only after the prefill of the prompts before it. By then, the older version must not
/// be stale.
#[test]
fn an_older_version_is_not_used_if_it_becomes_stale_while_the_request_is_queued() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let chain = prompt(100);
    table.announce(
        "m/a1".into(),
        2,
        at(0).saturating_sub(std::time::Duration::from_millis(1500)),
    );
    assert_eq!(
        chosen(place_request(&table, Some("m/a1"), &chain, &[])),
        Some(keys[0])
    );
    table
        .get_mut(keys[0])
        .expect("the engine exists")
        .record_prompt(58_000, at(0));
    assert_eq!(
        place_request(&table, Some("m/a1"), &chain, &[]),
        Placement::Load
    );
}

/// An engine that prefills one prompt after the other at full speed pauses all its streams for too long.
#[test]
fn a_prompt_waits_if_it_would_keep_the_engine_in_prefill_for_the_whole_gap() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    // Each prompt was prefilled as soon as it arrived.
    for number in 0..5 {
        engine.record_prompt(1000, NOW.saturating_sub(ms(250 - number * 50)));
    }
    let delayed = place_request(&table, Some("m/a1"), &prompt(1000), &[]);
    assert!(matches!(delayed, Placement::Delay(_)), "{delayed:?}");
    let sent = place_request(&table, Some("m/a1"), &prompt(300), &[]);
    assert!(matches!(sent, Placement::Send(_)), "{sent:?}");
    let engine = table.get(keys[0]).expect("the engine exists");
    assert!(engine.tokens_sent_within(ms(300), at(100)) < 4000.0);
}

/// A load that exceeds the slots of some engines: the adapter is loaded where its requests find a free slot.
#[test]
fn adapters_are_loaded_on_engines_with_free_slots() {
    let (mut table, _) = table(&[("i-1", &[]), ("i-2", &["a"]), ("i-3", &[]), ("i-4", &[])]);
    let wanted = Wanted::anywhere("m/a".into());
    let rank = |table: &Table, purpose| rank_for_load(table, "chat", &wanted, purpose, at(0));
    let idle = rank(&table, Purpose::Missing);
    assert_eq!(idle.len(), 4);
    let first = idle[0];
    table
        .get_mut(first)
        .expect("the engine exists")
        .local_work
        .running = 8;
    let busy = rank(&table, Purpose::Missing);
    assert_eq!(busy[3], first);
    // The others keep their order, so that they may still have the adapter in memory.
    assert_eq!(busy[..3], idle[1..]);
    table
        .get_mut(first)
        .expect("the engine exists")
        .local_work
        .running = 7;
    assert_eq!(rank(&table, Purpose::Missing), idle);
    let holder = table.find("i-2").expect("the engine exists");
    let others: Vec<Key> = idle.iter().copied().filter(|it| *it != holder).collect();
    assert_eq!(rank(&table, Purpose::Replica), others);
    assert!(rank_for_load(&table, "desk", &wanted, Purpose::Missing, at(0)).is_empty());
}
