//! Tests of loads and evictions: an engine is never overfilled, whatever is late, lost or outdated.

use std::{collections::BTreeSet, time::Duration};

use fleet::{
    Time,
    catalog::Catalog,
    in_flight::{self, InFlightLoads},
    listing::{Held, Listing, Name},
    loader::{Action, LoadRequest, Loader, Op, Order, Outcome, Status, View, Wanted},
    origin::BuildId,
    rendezvous::short_id,
    table::{Key, Table},
};

use crate::fixture::{at, catalog, held, listing, table};

/// A host that is the steward of the engines `keys`.
struct Steward {
    table: Table,
    keys: Vec<Key>,
    catalog: Catalog,
    loader: Loader,
    in_flight_loads: InFlightLoads,
}

impl Steward {
    /// Creates a steward that has queried the status of its engines.
    fn new(engines: &[(&str, &[&str])]) -> Self {
        let (table, keys) = table(engines);
        let mut steward = Self {
            table,
            keys,
            catalog: catalog(),
            loader: Loader::default(),
            in_flight_loads: InFlightLoads::default(),
        };
        for action in steward.next_actions(at(0)) {
            let Action::QueryStatus(key) = action else {
                panic!("the status of an engine must be queried before its first order");
            };
            let engine = steward.table.get(key).expect("the engine exists");
            let held: Vec<Held> = (engine.held.iter())
                .map(|(name, estimate)| held(name, estimate.version))
                .collect();
            let status = Status {
                accepted_orders: 0,
                held,
                in_flight: Vec::new(),
            };
            steward.loader.record_status(key, Some(&status), at(0));
        }
        steward
    }

    fn next_actions(&mut self, now: Time) -> Vec<Action> {
        let view = View {
            table: &self.table,
            catalog: &self.catalog,
            orderable: &self.keys,
            hosts: 1,
            window: Duration::from_secs(5),
            in_flight: &self.in_flight_loads,
            now,
        };
        self.loader.next_actions(&view)
    }

    /// Requests an adapter on behalf of waiting requests.
    fn request(&mut self, name: &str, waiting: u32, now: Time) {
        self.request_on(None, name, waiting, now);
    }

    /// Requests an adapter on an engine of a build, on behalf of waiting requests.
    fn request_on(&mut self, build: Option<BuildId>, name: &str, waiting: u32, now: Time) {
        let request = LoadRequest {
            host: "h-1".into(),
            service: "chat".into(),
            wanted: Wanted {
                name: name.into(),
                build,
                lost_engine: None,
            },
            replica_uses: None,
            waiting,
        };
        self.loader.add_request(&request, now);
    }

    /// Returns the next orders, after recording the same outcome for each of them.
    fn send_orders(&mut self, now: Time, outcome: Outcome) -> Vec<Order> {
        let mut orders = Vec::new();
        for action in self.next_actions(now) {
            if let Action::Send(order) = action {
                self.loader.record_outcome(&order, outcome, now);
                if order.op == Op::Unload && outcome == Outcome::InEffect {
                    let engine = self.table.get_mut(order.key).expect("the engine exists");
                    engine.remove_held(&order.name, now);
                }
                orders.push(order);
            }
        }
        orders
    }
}

fn names(orders: &[Order]) -> Vec<(&str, Op)> {
    orders.iter().map(|it| (&*it.name, it.op)).collect()
}

#[test]
fn one_load_serves_all_requests_for_an_adapter() {
    let mut steward = Steward::new(&[("i-1", &[]), ("i-2", &[])]);
    steward.request("m/a1", 3, at(1));
    steward.request("m/a1", 5, at(2));
    assert_eq!(
        names(&steward.send_orders(at(3), Outcome::Accepted)),
        [("m/a1", Op::Load(None))]
    );
    steward.request("m/a1", 5, at(4));
    assert!(steward.send_orders(at(5), Outcome::Accepted).is_empty());
    let done = steward.loader.take_completed(at(600));
    assert_eq!(done.len(), 1);
    assert!(
        steward.loader.take_completed(at(601)).is_empty(),
        "a completion is returned once"
    );
}

#[test]
fn an_adapter_is_loaded_on_the_build_that_a_stream_needs() {
    let mut steward = Steward::new(&[("i-1", &["a1"]), ("i-2", &[])]);
    let newer = Listing {
        build: "v2".into(),
        ..listing("i-2", &[])
    };
    steward.table.upsert(newer, at(0));
    // An engine of this build holds it, and a load for new requests is none for the stream.
    let builds = ["v1", "v2"].map(|it| BuildId::new("chat", &it.into()));
    steward.request_on(Some(builds[0]), "m/a1", 1, at(1));
    assert!(steward.send_orders(at(2), Outcome::Accepted).is_empty());
    steward.request_on(Some(builds[1]), "m/a1", 1, at(3));
    let orders = steward.send_orders(at(4), Outcome::Accepted);
    assert_eq!(names(&orders), [("m/a1", Op::Load(None))]);
    assert_eq!(orders[0].key, steward.keys[1]);
    steward.request_on(Some(builds[1]), "m/a1", 1, at(5));
    assert!(steward.send_orders(at(6), Outcome::Accepted).is_empty());
}

#[test]
fn an_adapter_is_loaded_elsewhere_though_the_engine_that_a_stream_has_lost_still_lists_it() {
    let mut steward = Steward::new(&[("i-1", &["a1"]), ("i-2", &[])]);
    let request = LoadRequest {
        host: "h-1".into(),
        service: "chat".into(),
        wanted: Wanted {
            name: "m/a1".into(),
            build: Some(BuildId::new("chat", &"v1".into())),
            lost_engine: Some(short_id("i-1")),
        },
        replica_uses: None,
        waiting: 1,
    };
    steward.loader.add_request(&request, at(1));
    let orders = steward.send_orders(at(2), Outcome::Accepted);
    assert_eq!(names(&orders), [("m/a1", Op::Load(None))]);
    assert_eq!(orders[0].key, steward.keys[1]);
}

#[test]
fn a_full_engine_evicts_the_least_used_adapter() {
    let mut steward = Steward::new(&[("i-1", &["a1", "a2"])]);
    let engine = steward
        .table
        .get_mut(steward.keys[0])
        .expect("the engine exists");
    engine
        .held
        .get_mut("m/a1")
        .expect("the adapter is held")
        .record_uses(at(0), 5);
    steward.request("m/a3", 1, at(5000));
    assert_eq!(
        names(&steward.send_orders(at(5000), Outcome::InEffect)),
        [("m/a2", Op::Unload)]
    );
    steward.request("m/a3", 1, at(5010));
    let orders = steward.send_orders(at(5010), Outcome::Accepted);
    assert_eq!(names(&orders), [("m/a3", Op::Load(None))]);
    assert_eq!(
        orders[0].expected_orders, 1,
        "the unload counts as an accepted order"
    );
}

#[test]
fn adapters_with_running_requests_are_not_evicted() {
    let mut steward = Steward::new(&[("i-1", &["a1", "a2"])]);
    let engine = steward
        .table
        .get_mut(steward.keys[0])
        .expect("the engine exists");
    engine
        .held
        .get_mut("m/a1")
        .expect("the adapter is held")
        .running = 1;
    let others = &mut engine
        .held
        .get_mut("m/a2")
        .expect("the adapter is held")
        .remote_running;
    others.insert("h-2".into(), (at(4900), 2));
    steward.request("m/a3", 1, at(5000));
    assert!(steward.send_orders(at(5000), Outcome::InEffect).is_empty());
}

#[test]
fn an_unanswered_load_occupies_a_slot_until_a_later_order_is_accepted() {
    let mut steward = Steward::new(&[("i-1", &["a1"])]);
    steward.request("m/a2", 1, at(1));
    let first = steward.send_orders(at(1), Outcome::NoAnswer);
    assert_eq!(names(&first), [("m/a2", Op::Load(None))]);
    // The unanswered load may occupy a slot, so another load needs an eviction.
    steward.request("m/a3", 1, at(3000));
    let second = steward.send_orders(at(3000), Outcome::InEffect);
    assert_eq!(names(&second), [("m/a1", Op::Unload)]);
    assert_eq!(
        second[0].expected_orders, first[0].expected_orders,
        "the engine can accept only one of the two"
    );
    steward.request("m/a3", 1, at(3001));
    steward.request("m/a4", 1, at(3001));
    assert_eq!(steward.send_orders(at(3001), Outcome::Accepted).len(), 1);
    assert_eq!(
        steward.send_orders(at(3002), Outcome::Accepted).len(),
        1,
        "the unanswered order can no longer be accepted"
    );
}

#[test]
fn demands_with_many_or_long_waiting_requests_are_served_first() {
    let mut steward = Steward::new(&[("i-1", &[])]);
    steward.request("m/rare", 1, at(0));
    steward.request("m/busy", 9, at(900));
    steward.request("m/rare", 1, at(900));
    assert_eq!(
        names(&steward.send_orders(at(900), Outcome::Accepted))[0].0,
        "m/busy"
    );
    let mut steward = Steward::new(&[("i-1", &[])]);
    steward.request("m/rare", 1, at(0));
    for step in 1..40 {
        steward.request("m/rare", 1, at(step * 100));
    }
    steward.request("m/busy", 9, at(3900));
    assert_eq!(
        names(&steward.send_orders(at(3900), Outcome::Accepted))[0].0,
        "m/rare"
    );
}

#[test]
fn an_older_version_in_use_is_replaced_while_no_request_runs_on_it() {
    let mut steward = Steward::new(&[("i-1", &["a1"])]);
    let engine = steward
        .table
        .get_mut(steward.keys[0])
        .expect("the engine exists");
    engine
        .held
        .get_mut("m/a1")
        .expect("the adapter is held")
        .record_uses(at(0), 4);
    engine
        .held
        .get_mut("m/a1")
        .expect("the adapter is held")
        .running = 1;
    steward.table.announce("m/a1".into(), 2, at(0));
    assert!(steward.send_orders(at(1), Outcome::Accepted).is_empty());
    let engine = steward
        .table
        .get_mut(steward.keys[0])
        .expect("the engine exists");
    engine
        .held
        .get_mut("m/a1")
        .expect("the adapter is held")
        .running = 0;
    assert_eq!(
        names(&steward.send_orders(at(2), Outcome::Accepted)),
        [("m/a1", Op::Load(Some(2)))]
    );
}

#[test]
fn empty_engines_load_their_base_model_within_the_rate_limit() {
    let ids: Vec<String> = (0..20).map(|it| format!("i-{it}")).collect();
    let mut table = Table::default();
    let mut keys = Vec::new();
    for id in &ids {
        let mut listing = crate::fixture::listing(id, &[]);
        listing.held.clear();
        keys.push(table.upsert(listing, at(0)));
    }
    let mut steward = Steward {
        table,
        keys: keys.clone(),
        catalog: catalog(),
        loader: Loader::default(),
        in_flight_loads: InFlightLoads::default(),
    };
    steward.next_actions(at(0));
    for key in keys {
        steward
            .loader
            .record_status(key, Some(&Status::default()), at(0));
    }
    let mut loads = 0;
    for step in 0..50 {
        let orders = steward.send_orders(at(step * 100), Outcome::Accepted);
        assert!(orders.iter().all(|it| &*it.name == "m"));
        loads += orders.len();
    }
    // One load per second in a window of five seconds.
    assert_eq!(loads, 5);
}

#[test]
fn a_base_model_that_no_engine_holds_is_loaded_where_there_is_room() {
    let mut steward = Steward::new(&[("i-1", &[]), ("i-2", &[])]);
    let mut service = (*steward.catalog.services["chat"]).clone();
    let engine = service.engine.as_mut().expect("the service has engines");
    engine.models.push(fleet::catalog::Model {
        name: "small".into(),
        weights_mb: 90.0,
        adapter_mb: 5.0,
        load_time: Duration::from_secs(1),
    });
    steward
        .catalog
        .services
        .insert("chat".into(), service.into());
    steward.request("small/a1", 1, at(1));
    let orders = steward.send_orders(at(1), Outcome::Accepted);
    assert_eq!(names(&orders), [("small", Op::Load(None))]);
    steward.request("small/a1", 1, at(2));
    assert!(
        steward.send_orders(at(2), Outcome::Accepted).is_empty(),
        "the load is in flight"
    );
    let key = orders[0].key;
    let status = Status {
        accepted_orders: 1,
        held: vec![held("m", 1), held("small", 1)],
        in_flight: Vec::new(),
    };
    steward.loader.record_status(key, Some(&status), at(1000));
    let engine = steward.table.get_mut(key).expect("the engine exists");
    engine.record_load(&"small".into(), 1, at(1000));
    steward.request("small/a1", 1, at(1001));
    assert_eq!(
        names(&steward.send_orders(at(1001), Outcome::Accepted)),
        [("small/a1", Op::Load(None))]
    );
}

/// The engine already holds the base model, but neither the list nor a status says so yet.
#[test]
fn a_base_model_that_an_engine_holds_already_is_confirmed_by_a_query() {
    let mut steward = Steward::new(&[("i-1", &[])]);
    let mut listing = listing("i-1", &[]);
    listing.held.clear();
    steward.table.upsert(listing, at(6000));
    let status = Status::default();
    let key = steward.keys[0];
    steward.loader.record_status(key, Some(&status), at(6000));
    let orders = steward.send_orders(at(6000), Outcome::InEffect);
    assert_eq!(names(&orders), [("m", Op::Load(None))]);
    let actions = steward.next_actions(at(6001));
    assert_eq!(actions, [Action::QueryStatus(key)]);
    let status = Status {
        held: vec![held("m", 1)],
        ..Status::default()
    };
    steward.loader.record_status(key, Some(&status), at(6010));
    assert_eq!(steward.loader.in_flight_count(), 0);
}

#[test]
fn an_engine_that_may_have_orders_of_other_hosts_is_queried_before_the_next_order() {
    let mut steward = Steward::new(&[("i-1", &[])]);
    let keys = std::mem::take(&mut steward.keys);
    steward.next_actions(at(10));
    steward.keys = keys;
    steward.request("m/a1", 1, at(20));
    assert!(matches!(
        steward.next_actions(at(20))[..],
        [Action::QueryStatus(_)]
    ));
}

/// Sends random orders, with random outcomes and delayed execution, to a simulated engine that checks its
/// limits.
#[test]
fn lost_and_late_orders_never_overfill_an_engine() {
    for seed in 0..300_u64 {
        Simulation::new(seed).run();
    }
}

/// A steward and the simulated engine that it orders.
struct Simulation {
    steward: Steward,
    random_state: u64,
    held: BTreeSet<Name>,
    /// Loads in progress, with the time of their end.
    in_flight: Vec<(Name, Time)>,
    accepted_orders: u64,
    /// Orders that arrive late, with the time of their execution.
    late: Vec<(Order, Time)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            steward: Steward::new(&[("i-1", &[])]),
            random_state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            held: BTreeSet::new(),
            in_flight: Vec::new(),
            accepted_orders: 0,
            late: Vec::new(),
        }
    }

    /// Returns a random number below `limit`.
    fn random(&mut self, limit: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % limit
    }

    fn run(&mut self) {
        let mut now = at(0);
        for _ in 0..400 {
            now += Duration::from_millis(20 + self.random(60));
            self.advance(now);
            let name = format!("m/a{}", self.random(6));
            self.steward.request(&name, 1, now);
            for done in self.steward.loader.take_completed(now) {
                let engine = self
                    .steward
                    .table
                    .get_mut(done.key)
                    .expect("the engine exists");
                engine.record_load(&done.name, done.version, now);
            }
            for action in self.steward.next_actions(now) {
                self.perform(action, now);
            }
        }
    }

    /// Ends loads and executes late orders.
    fn advance(&mut self, now: Time) {
        let due: Vec<Order> = (self.late.iter())
            .filter(|it| it.1 <= now)
            .map(|it| it.0.clone())
            .collect();
        self.late.retain(|it| it.1 > now);
        for order in due {
            self.execute(&order, now);
        }
        let done = self.in_flight.iter().filter(|it| it.1 <= now);
        self.held.extend(done.map(|it| it.0.clone()));
        self.in_flight.retain(|it| it.1 > now);
    }

    /// Executes an order, as the engine does.
    fn execute(&mut self, order: &Order, now: Time) -> Outcome {
        if order.expected_orders != self.accepted_orders {
            return Outcome::Conflict;
        }
        self.accepted_orders += 1;
        match order.op {
            Op::Unload => {
                self.held.remove(&order.name);
                Outcome::InEffect
            }
            Op::Load(_) => {
                self.held.remove(&order.name);
                let used_slots = self.held.len() + self.in_flight.len();
                assert!(used_slots < 2, "the engine is overfilled");
                let end = now + Duration::from_millis(250);
                self.in_flight.push((order.name.clone(), end));
                Outcome::Accepted
            }
        }
    }

    /// Performs an action of the steward, with a random outcome.
    fn perform(&mut self, action: Action, now: Time) {
        match action {
            Action::QueryStatus(key) => {
                let held_models = self.held.iter().map(|it| held(it, 1));
                let status = Status {
                    accepted_orders: self.accepted_orders,
                    held: held_models.chain([held("m", 1)]).collect(),
                    in_flight: self.in_flight.iter().map(|it| it.0.clone()).collect(),
                };
                let status = (self.random(5) > 0).then_some(status);
                self.steward.loader.record_status(key, status.as_ref(), now);
            }
            Action::Send(order) => {
                let unanswered = self.random(4) == 0;
                let outcome = if unanswered {
                    let delay = Duration::from_millis(self.random(4000));
                    if self.random(2) == 0 {
                        self.execute(&order, now);
                    } else {
                        self.late.push((order.clone(), now + delay));
                    }
                    Outcome::NoAnswer
                } else {
                    self.execute(&order, now)
                };
                if order.op == Op::Unload {
                    let engine = self
                        .steward
                        .table
                        .get_mut(order.key)
                        .expect("the engine exists");
                    engine.remove_held(&order.name, now);
                }
                self.steward.loader.record_outcome(&order, outcome, now);
            }
        }
    }
}

/// Announces a load that another host has ordered on its engine `i-z`.
fn announce_remote_load(steward: &mut Steward, name: &str, version: u64, due: Time) {
    let key = steward.table.upsert(listing("i-z", &[]), at(0));
    let load = in_flight::Load { key, version, due };
    steward.in_flight_loads.announce(name.into(), load);
}

#[test]
fn a_load_that_another_host_has_ordered_is_not_ordered_again() {
    let mut steward = Steward::new(&[("i-a", &[])]);
    announce_remote_load(&mut steward, "m/x", 0, at(300));
    steward.request("m/x", 3, at(10));
    assert!(steward.send_orders(at(10), Outcome::Accepted).is_empty());
    // The adapter is still requested long after the expected end of the load.
    steward.request("m/x", 3, at(1000));
    assert_eq!(steward.send_orders(at(1000), Outcome::Accepted).len(), 1);
}

#[test]
fn a_remote_load_that_failed_or_is_of_an_older_version_does_not_count() {
    let mut steward = Steward::new(&[("i-a", &[]), ("i-b", &[])]);
    announce_remote_load(&mut steward, "m/x", 1, at(300));
    let key = steward.table.find("i-z").expect("the engine exists");
    steward.in_flight_loads.remove("m/x", key);
    steward.request("m/x", 1, at(10));
    assert_eq!(steward.send_orders(at(10), Outcome::Accepted).len(), 1);
    announce_remote_load(&mut steward, "m/y", 1, at(300));
    steward.table.announce("m/y".into(), 2, at(10));
    steward.request("m/y", 1, at(20));
    assert_eq!(steward.send_orders(at(20), Outcome::Accepted).len(), 1);
}

#[test]
fn remote_loads_are_returned_once_when_they_are_due() {
    let mut steward = Steward::new(&[("i-a", &[])]);
    announce_remote_load(&mut steward, "m/x", 2, at(300));
    assert!(steward.in_flight_loads.take_due(at(299)).is_empty());
    let due = steward.in_flight_loads.take_due(at(300));
    assert_eq!(due.len(), 1);
    assert_eq!((&*due[0].0, due[0].1.version), ("m/x", 2));
    assert!(steward.in_flight_loads.take_due(at(301)).is_empty());
}

/// The platform's list says that the engine holds an older copy, but by its own status the engine has used
/// that slot for another adapter. Loading the newer version there would overfill the engine.
#[test]
fn an_older_copy_that_only_the_list_names_is_not_replaced() {
    for used in [false, true] {
        let mut steward = Steward::new(&[("i-a", &["b", "c"])]);
        let key = steward.keys[0];
        let mut stale = listing("i-a", &["a", "b", "c"]);
        stale.slots = 9;
        steward.table.upsert(stale, at(10));
        steward.table.announce("m/a".into(), 2, at(10));
        if used {
            let engine = steward.table.get_mut(key).expect("the engine exists");
            let estimate = engine
                .held
                .get_mut("m/a")
                .expect("the list names the adapter");
            estimate.record_uses(at(1000), 5);
        } else {
            steward.request("m/a", 1, at(1000));
        }
        let loads = |it: &Order| it.op != Op::Unload;
        let orders = steward.send_orders(at(1000), Outcome::Accepted);
        assert!(!orders.iter().any(loads), "{orders:?}");
    }
}

/// If the weight store is slower than expected, a load that should be done is still in progress. A load of a
/// newer version would then occupy a second slot.
#[test]
fn an_adapter_that_may_still_be_loading_is_not_replaced() {
    let mut steward = Steward::new(&[("i-a", &["b"])]);
    let key = steward.keys[0];
    steward.request("m/a", 1, at(10));
    assert_eq!(steward.send_orders(at(10), Outcome::Accepted).len(), 1);
    for done in steward.loader.take_completed(at(300)) {
        let engine = steward.table.get_mut(done.key).expect("the engine exists");
        engine.record_load(&done.name, 1, at(300));
    }
    steward.loader.take_completed(at(400));
    let engine = steward.table.get_mut(key).expect("the engine exists");
    engine
        .held
        .get_mut("m/a")
        .expect("the adapter should be held")
        .record_uses(at(400), 5);
    steward.table.announce("m/a".into(), 2, at(400));
    steward.request("m/a", 1, at(450));
    assert!(steward.send_orders(at(450), Outcome::Accepted).is_empty());
    let engine = steward.table.get_mut(key).expect("the engine exists");
    engine
        .held
        .get_mut("m/a")
        .expect("the adapter is held")
        .confirm(at(455));
    steward.request("m/a", 1, at(460));
    assert_eq!(steward.send_orders(at(460), Outcome::Accepted).len(), 1);
}

/// At the worst load, 79 hosts each had at least two loads in flight where the weight store serves 48 at full speed,
/// so all of them took three times as long as necessary.
#[test]
fn a_saturated_weight_store_gets_one_load_from_each_host() {
    let in_flight = |remote: usize| {
        let engines: Vec<(String, Vec<&str>)> =
            (0..4).map(|it| (format!("i-{it}"), Vec::new())).collect();
        let engines: Vec<(&str, &[&str])> = engines.iter().map(|it| (&*it.0, &*it.1)).collect();
        let mut steward = Steward::new(&engines);
        // This host is the steward of one of the engines.
        steward.keys.truncate(1);
        steward.loader.remote_loads = remote;
        // Loads have been late, so the estimated speed of the weight store is low.
        for _ in 0..15 {
            steward.loader.record_arrival(false);
        }
        for number in 0..6 {
            steward.request(&format!("m/a{number}"), 1, at(1));
        }
        for time in 1..4 {
            steward.send_orders(at(time), Outcome::Accepted);
        }
        steward.loader.in_flight_count()
    };
    assert_eq!(in_flight(0), 2);
    assert_eq!(in_flight(100), 1);
}

#[test]
fn hosts_learn_the_speed_of_the_weight_store_from_each_other() {
    let mut loader = Loader::default();
    let initial = loader.full_speed_loads();
    for _ in 0..100 {
        loader.blend_full_speed_loads(initial / 2.0);
    }
    assert!((loader.full_speed_loads() / initial - 0.5).abs() < 0.1);
    for invalid in [f64::NAN, f64::INFINITY, 0.0, -3.0] {
        let before = loader.full_speed_loads();
        loader.blend_full_speed_loads(invalid);
        assert!(
            (loader.full_speed_loads() - before).abs() < 1e-9,
            "{invalid}"
        );
    }
}
