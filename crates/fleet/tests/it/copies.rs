//! Tests of further copies of adapters.

use fleet::{
    Time,
    in_flight::InFlightLoads,
    loader::{
        Action, LoadRequest, Loader, Op, Order, Status, View, Wanted, copies::uses_taken_over,
    },
};

use crate::fixture::{at, catalog, held, ms, table};

/// Returns the operation of the first order at the only engine after a copy of `m/a` is wanted that takes over half of `uses`.
/// The engine has two places, in which adapters are used once each.
fn order_for_copy(held_names: &[&str], uses: f64) -> Option<Op> {
    first_order(held_names, uses, 0, &[]).map(|it| it.op)
}

/// Returns the first order as above, while other hosts load `remote_loads` adapters, and one request waits for each of the
/// `missing` adapters.
fn first_order(
    held_names: &[&str],
    uses: f64,
    remote_loads: usize,
    missing: &[&str],
) -> Option<Order> {
    let (mut table, keys) = table(&[("i-1", held_names)]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    let estimates = engine.held.iter_mut().filter(|it| &**it.0 != "m");
    estimates.for_each(|it| it.1.record_uses(at(0), 1));
    let status = Status {
        held: engine.held.keys().map(|it| held(it, 1)).collect(),
        ..Status::default()
    };
    let mut loader = Loader::default();
    let next_actions = |loader: &mut Loader, now: Time| {
        loader.next_actions(&View {
            table: &table,
            catalog: &catalog(),
            orderable: &keys,
            hosts: 60,
            window: ms(5000),
            in_flight: &InFlightLoads::default(),
            now,
        })
    };
    next_actions(&mut loader, at(0));
    loader.record_status(keys[0], Some(&status), at(0));
    loader.remote_loads = remote_loads;
    for name in missing {
        let request = LoadRequest {
            host: "h-1".into(),
            service: "chat".into(),
            wanted: Wanted::anywhere((*name).into()),
            replica_uses: None,
            waiting: 1,
        };
        loader.add_request(&request, at(1000));
    }
    let request = LoadRequest {
        host: "h-1".into(),
        service: "chat".into(),
        wanted: Wanted::anywhere("m/a".into()),
        replica_uses: Some(uses_taken_over(uses)),
        waiting: 0,
    };
    loader.add_request(&request, at(1000));
    match next_actions(&mut loader, at(1000)).first()? {
        Action::Send(order) => Some(order.clone()),
        Action::QueryStatus(_) => None,
    }
}

#[test]
fn a_copy_evicts_only_if_it_takes_over_several_uses_for_each_lost_one() {
    // On a free place a copy helps the few requests of a rare adapter, too.
    assert_eq!(order_for_copy(&["x"], 1.0), Some(Op::Load(None)));
    // The copy evicts an adapter that is used once.
    assert_eq!(order_for_copy(&["x", "y"], 4.0), None);
    assert_eq!(order_for_copy(&["x", "y"], 8.0), Some(Op::Unload));
}

/// Replays a start without adapters: the weight store is busy with the first copies of many adapters, of which one has a fifth
/// of the requests.
#[test]
fn a_copy_for_many_requests_comes_before_the_adapters_of_few() {
    let first = |uses| first_order(&[], uses, 50, &["m/rare"]).map(|it| it.name.to_string());
    assert_eq!(first(4.0).as_deref(), Some("m/rare"));
    assert_eq!(first(16.0).as_deref(), Some("m/a"));
    let alone = |uses| first_order(&[], uses, 50, &[]).is_some();
    assert!(!alone(4.0) && alone(16.0));
}
