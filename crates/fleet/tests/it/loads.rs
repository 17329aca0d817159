//! Loads and evictions: never too many, whatever is late, lost or old.

use std::{collections::BTreeSet, time::Duration};

use fleet::{
    Time,
    catalog::Catalog,
    in_flight::{self, InFlightLoads},
    listing::{Held, Name},
    loader::{Action, LoadRequest, Loader, Op, Order, Outcome, Status, View},
    table::{Key, Table},
};

use crate::fixture::{at, catalog, hold, listing, table};

struct Steward {
    table: Table,
    keys: Vec<Key>,
    catalog: Catalog,
    loader: Loader,
    coming: InFlightLoads,
}

impl Steward {
    /// A steward that has asked its engines what they hold.
    fn new(engines: &[(&str, &[&str])]) -> Self {
        let (table, keys) = table(engines);
        let mut it = Self {
            table,
            keys,
            catalog: catalog(),
            loader: Loader::default(),
            coming: InFlightLoads::default(),
        };
        for step in it.next(at(0)) {
            let Action::QueryStatus(key) = step else {
                panic!("an engine is asked before it is ordered");
            };
            let engine = it.table.get(key).expect("it is there");
            let holds: Vec<Held> = (engine.held.iter())
                .map(|(name, belief)| hold(name, belief.version))
                .collect();
            let report = Status {
                accepted_orders: 0,
                held: holds,
                in_flight: Vec::new(),
            };
            it.loader.record_status(key, Some(&report), at(0));
        }
        it
    }

    fn next(&mut self, now: Time) -> Vec<Action> {
        let view = View {
            table: &self.table,
            catalog: &self.catalog,
            orderable: &self.keys,
            hosts: 1,
            window: Duration::from_secs(5),
            in_flight: &self.coming,
            now,
        };
        self.loader.next_actions(&view)
    }

    fn want(&mut self, name: &str, waiting: u32, now: Time) {
        let ask = LoadRequest {
            host: "h-1".into(),
            service: "chat".into(),
            name: name.into(),
            replica_uses: None,
            waiting,
        };
        self.loader.add_request(&ask, now);
    }

    /// The orders that are given, each answered so.
    fn orders(&mut self, now: Time, outcome: Outcome) -> Vec<Order> {
        let mut orders = Vec::new();
        for step in self.next(now) {
            if let Action::Send(order) = step {
                self.loader.record_outcome(&order, outcome, now);
                if order.op == Op::Unload && outcome == Outcome::InEffect {
                    let engine = self.table.get_mut(order.key).expect("it is there");
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
fn one_load_serves_all_who_ask() {
    let mut it = Steward::new(&[("i-1", &[]), ("i-2", &[])]);
    it.want("m/a1", 3, at(1));
    it.want("m/a1", 5, at(2));
    assert_eq!(
        names(&it.orders(at(3), Outcome::Accepted)),
        [("m/a1", Op::Load(None))]
    );
    it.want("m/a1", 5, at(4));
    assert!(it.orders(at(5), Outcome::Accepted).is_empty());
    let done = it.loader.take_completed(at(600));
    assert_eq!(done.len(), 1);
    assert!(
        it.loader.take_completed(at(601)).is_empty(),
        "it is told once"
    );
}

#[test]
fn a_full_engine_first_gives_up_what_is_used_least() {
    let mut it = Steward::new(&[("i-1", &["a1", "a2"])]);
    let engine = it.table.get_mut(it.keys[0]).expect("it is there");
    engine
        .held
        .get_mut("m/a1")
        .expect("held")
        .record_uses(at(0), 5);
    it.want("m/a3", 1, at(5000));
    assert_eq!(
        names(&it.orders(at(5000), Outcome::InEffect)),
        [("m/a2", Op::Unload)]
    );
    it.want("m/a3", 1, at(5010));
    let orders = it.orders(at(5010), Outcome::Accepted);
    assert_eq!(names(&orders), [("m/a3", Op::Load(None))]);
    assert_eq!(orders[0].expected_orders, 1, "the unload counts");
}

#[test]
fn what_runs_is_no_victim() {
    let mut it = Steward::new(&[("i-1", &["a1", "a2"])]);
    let engine = it.table.get_mut(it.keys[0]).expect("it is there");
    engine.held.get_mut("m/a1").expect("held").running = 1;
    let others = &mut engine.held.get_mut("m/a2").expect("held").remote_running;
    others.insert("h-2".into(), (at(4900), 2));
    it.want("m/a3", 1, at(5000));
    assert!(it.orders(at(5000), Outcome::InEffect).is_empty());
}

#[test]
fn an_order_without_an_answer_keeps_its_place_until_a_later_one_is_accepted() {
    let mut it = Steward::new(&[("i-1", &["a1"])]);
    it.want("m/a2", 1, at(1));
    let first = it.orders(at(1), Outcome::NoAnswer);
    assert_eq!(names(&first), [("m/a2", Op::Load(None))]);
    // Its place is taken, so another adapter needs a victim.
    it.want("m/a3", 1, at(3000));
    let second = it.orders(at(3000), Outcome::InEffect);
    assert_eq!(names(&second), [("m/a1", Op::Unload)]);
    assert_eq!(
        second[0].expected_orders, first[0].expected_orders,
        "only one of the two can be accepted"
    );
    it.want("m/a3", 1, at(3001));
    it.want("m/a4", 1, at(3001));
    assert_eq!(it.orders(at(3001), Outcome::Accepted).len(), 1);
    assert_eq!(
        it.orders(at(3002), Outcome::Accepted).len(),
        1,
        "the silent one is void"
    );
}

#[test]
fn many_waiters_go_first_and_a_long_wait_is_not_forgotten() {
    let mut it = Steward::new(&[("i-1", &[])]);
    it.want("m/rare", 1, at(0));
    it.want("m/busy", 9, at(900));
    it.want("m/rare", 1, at(900));
    assert_eq!(names(&it.orders(at(900), Outcome::Accepted))[0].0, "m/busy");
    let mut it = Steward::new(&[("i-1", &[])]);
    it.want("m/rare", 1, at(0));
    for step in 1..40 {
        it.want("m/rare", 1, at(step * 100));
    }
    it.want("m/busy", 9, at(3900));
    assert_eq!(
        names(&it.orders(at(3900), Outcome::Accepted))[0].0,
        "m/rare"
    );
}

#[test]
fn an_older_version_that_is_in_use_is_replaced_when_it_does_not_run() {
    let mut it = Steward::new(&[("i-1", &["a1"])]);
    let engine = it.table.get_mut(it.keys[0]).expect("it is there");
    engine
        .held
        .get_mut("m/a1")
        .expect("held")
        .record_uses(at(0), 4);
    engine.held.get_mut("m/a1").expect("held").running = 1;
    it.table.announce("m/a1".into(), 2, at(0));
    assert!(it.orders(at(1), Outcome::Accepted).is_empty());
    let engine = it.table.get_mut(it.keys[0]).expect("it is there");
    engine.held.get_mut("m/a1").expect("held").running = 0;
    assert_eq!(
        names(&it.orders(at(2), Outcome::Accepted)),
        [("m/a1", Op::Load(Some(2)))]
    );
}

#[test]
fn engines_that_came_back_empty_get_their_base_model_within_the_ceiling() {
    let ids: Vec<String> = (0..20).map(|it| format!("i-{it}")).collect();
    let mut table = Table::default();
    let mut keys = Vec::new();
    for id in &ids {
        let mut listing = crate::fixture::listing(id, &[]);
        listing.held.clear();
        keys.push(table.upsert(listing, at(0)));
    }
    let mut it = Steward {
        table,
        keys: keys.clone(),
        catalog: catalog(),
        loader: Loader::default(),
        coming: InFlightLoads::default(),
    };
    it.next(at(0));
    for key in keys {
        it.loader
            .record_status(key, Some(&Status::default()), at(0));
    }
    let mut loads = 0;
    for step in 0..50 {
        let orders = it.orders(at(step * 100), Outcome::Accepted);
        assert!(orders.iter().all(|it| &*it.name == "m"));
        loads += orders.len();
    }
    // One load a second in a window of five.
    assert_eq!(loads, 5);
}

#[test]
fn a_base_model_that_nobody_holds_is_loaded_where_there_is_room() {
    let mut it = Steward::new(&[("i-1", &[]), ("i-2", &[])]);
    let mut shape = (*it.catalog.services["chat"]).clone();
    let engine = shape.engine.as_mut().expect("it has engines");
    engine.models.push(fleet::catalog::Model {
        name: "small".into(),
        weights_mb: 90.0,
        adapter_mb: 5.0,
        load_time: Duration::from_secs(1),
    });
    it.catalog.services.insert("chat".into(), shape.into());
    it.want("small/a1", 1, at(1));
    let orders = it.orders(at(1), Outcome::Accepted);
    assert_eq!(names(&orders), [("small", Op::Load(None))]);
    it.want("small/a1", 1, at(2));
    assert!(
        it.orders(at(2), Outcome::Accepted).is_empty(),
        "it is on its way"
    );
    let key = orders[0].key;
    let report = Status {
        accepted_orders: 1,
        held: vec![hold("m", 1), hold("small", 1)],
        in_flight: Vec::new(),
    };
    it.loader.record_status(key, Some(&report), at(1000));
    let engine = it.table.get_mut(key).expect("it is there");
    engine.record_load(&"small".into(), 1, at(1000));
    it.want("small/a1", 1, at(1001));
    assert_eq!(
        names(&it.orders(at(1001), Outcome::Accepted)),
        [("small/a1", Op::Load(None))]
    );
}

#[test]
fn an_engine_that_others_may_have_ordered_is_asked_before_the_next_order() {
    let mut it = Steward::new(&[("i-1", &[])]);
    let mine = std::mem::take(&mut it.keys);
    it.next(at(10));
    it.keys = mine;
    it.want("m/a1", 1, at(20));
    assert!(matches!(it.next(at(20))[..], [Action::QueryStatus(_)]));
}

/// Random orders, outcomes and late executions against an engine that counts: it is never overfull.
#[test]
fn no_sequence_of_lost_and_late_orders_overfills_an_engine() {
    for seed in 0..300_u64 {
        Trial::new(seed).play();
    }
}

struct Trial {
    it: Steward,
    draw: u64,
    held: BTreeSet<Name>,
    pending: Vec<(Name, Time)>,
    orders: u64,
    late: Vec<(Order, Time)>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        Self {
            it: Steward::new(&[("i-1", &[])]),
            draw: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            held: BTreeSet::new(),
            pending: Vec::new(),
            orders: 0,
            late: Vec::new(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draw ^= self.draw << 13;
        self.draw ^= self.draw >> 7;
        self.draw ^= self.draw << 17;
        self.draw % below
    }

    fn play(&mut self) {
        let mut now = at(0);
        for _ in 0..400 {
            now += Duration::from_millis(20 + self.draw(60));
            self.arrive(now);
            let name = format!("m/a{}", self.draw(6));
            self.it.want(&name, 1, now);
            for done in self.it.loader.take_completed(now) {
                let engine = self.it.table.get_mut(done.key).expect("it is there");
                engine.record_load(&done.name, done.version, now);
            }
            for step in self.it.next(now) {
                self.step(step, now);
            }
        }
    }

    /// Loads end, and late orders are carried out if they still fit.
    fn arrive(&mut self, now: Time) {
        let over: Vec<Order> = (self.late.iter())
            .filter(|it| it.1 <= now)
            .map(|it| it.0.clone())
            .collect();
        self.late.retain(|it| it.1 > now);
        for order in over {
            self.execute(&order, now);
        }
        let done = self.pending.iter().filter(|it| it.1 <= now);
        self.held.extend(done.map(|it| it.0.clone()));
        self.pending.retain(|it| it.1 > now);
    }

    fn execute(&mut self, order: &Order, now: Time) -> Outcome {
        if order.expected_orders != self.orders {
            return Outcome::Conflict;
        }
        self.orders += 1;
        match order.op {
            Op::Unload => {
                self.held.remove(&order.name);
                Outcome::InEffect
            }
            Op::Load(_) => {
                self.held.remove(&order.name);
                let places = self.held.len() + self.pending.len();
                assert!(places < 2, "the engine is overfull");
                let end = now + Duration::from_millis(250);
                self.pending.push((order.name.clone(), end));
                Outcome::Accepted
            }
        }
    }

    fn step(&mut self, step: Action, now: Time) {
        match step {
            Action::QueryStatus(key) => {
                let holds = self.held.iter().map(|it| hold(it, 1));
                let report = Status {
                    accepted_orders: self.orders,
                    held: holds.chain([hold("m", 1)]).collect(),
                    in_flight: self.pending.iter().map(|it| it.0.clone()).collect(),
                };
                let report = (self.draw(5) > 0).then_some(report);
                self.it.loader.record_status(key, report.as_ref(), now);
            }
            Action::Send(order) => {
                let silent = self.draw(4) == 0;
                let outcome = if silent {
                    let wait = Duration::from_millis(self.draw(4000));
                    if self.draw(2) == 0 {
                        self.execute(&order, now);
                    } else {
                        self.late.push((order.clone(), now + wait));
                    }
                    Outcome::NoAnswer
                } else {
                    self.execute(&order, now)
                };
                if order.op == Op::Unload {
                    let engine = self.it.table.get_mut(order.key).expect("it is there");
                    engine.remove_held(&order.name, now);
                }
                self.it.loader.record_outcome(&order, outcome, now);
            }
        }
    }
}

/// A load that another host has ordered.
fn elsewhere(steward: &mut Steward, name: &str, version: u64, due: Time) {
    let key = steward.table.upsert(listing("i-z", &[]), at(0));
    let load = in_flight::Load { key, version, due };
    steward.coming.announce(name.into(), load);
}

#[test]
fn what_another_host_has_ordered_is_not_loaded_again() {
    let mut steward = Steward::new(&[("i-a", &[])]);
    elsewhere(&mut steward, "m/x", 0, at(300));
    steward.want("m/x", 3, at(10));
    assert!(steward.orders(at(10), Outcome::Accepted).is_empty());
    // It isn't there a good while after it should have been.
    steward.want("m/x", 3, at(1000));
    assert_eq!(steward.orders(at(1000), Outcome::Accepted).len(), 1);
}

#[test]
fn a_load_elsewhere_that_failed_or_is_of_an_older_version_is_made_up_for() {
    let mut steward = Steward::new(&[("i-a", &[]), ("i-b", &[])]);
    elsewhere(&mut steward, "m/x", 1, at(300));
    let key = steward.table.find("i-z").expect("it is there");
    steward.coming.remove("m/x", key);
    steward.want("m/x", 1, at(10));
    assert_eq!(steward.orders(at(10), Outcome::Accepted).len(), 1);
    elsewhere(&mut steward, "m/y", 1, at(300));
    steward.table.announce("m/y".into(), 2, at(10));
    steward.want("m/y", 1, at(20));
    assert_eq!(steward.orders(at(20), Outcome::Accepted).len(), 1);
}

#[test]
fn loads_elsewhere_are_entered_once_when_they_are_due() {
    let mut steward = Steward::new(&[("i-a", &[])]);
    elsewhere(&mut steward, "m/x", 2, at(300));
    assert!(steward.coming.take_due(at(299)).is_empty());
    let settled = steward.coming.take_due(at(300));
    assert_eq!(settled.len(), 1);
    assert_eq!((&*settled[0].0, settled[0].1.version), ("m/x", 2));
    assert!(steward.coming.take_due(at(301)).is_empty());
}

/// The list says that the engine holds an older copy; by its own word it has given that place to another.
#[test]
fn an_older_copy_that_only_the_list_names_is_no_place_for_the_newer_one() {
    for used in [false, true] {
        let mut steward = Steward::new(&[("i-a", &["b", "c"])]);
        let key = steward.keys[0];
        let mut stale = listing("i-a", &["a", "b", "c"]);
        stale.slots = 9;
        steward.table.upsert(stale, at(10));
        steward.table.announce("m/a".into(), 2, at(10));
        if used {
            let engine = steward.table.get_mut(key).expect("it is there");
            let belief = engine.held.get_mut("m/a").expect("the list says so");
            belief.record_uses(at(1000), 5);
        } else {
            steward.want("m/a", 1, at(1000));
        }
        let loads = |it: &Order| it.op != Op::Unload;
        let orders = steward.orders(at(1000), Outcome::Accepted);
        assert!(!orders.iter().any(loads), "{orders:?}");
    }
}

/// The weight store may be slower than expected: a load that should be done may still take its place, and a newer
/// version on top of it would take another.
#[test]
fn an_adapter_that_may_still_be_on_its_way_is_not_replaced() {
    let mut steward = Steward::new(&[("i-a", &["b"])]);
    let key = steward.keys[0];
    steward.want("m/a", 1, at(10));
    assert_eq!(steward.orders(at(10), Outcome::Accepted).len(), 1);
    for done in steward.loader.take_completed(at(300)) {
        let engine = steward.table.get_mut(done.key).expect("it is there");
        engine.record_load(&done.name, 1, at(300));
    }
    steward.loader.take_completed(at(400));
    let engine = steward.table.get_mut(key).expect("it is there");
    engine
        .held
        .get_mut("m/a")
        .expect("it should be there")
        .record_uses(at(400), 5);
    steward.table.announce("m/a".into(), 2, at(400));
    steward.want("m/a", 1, at(450));
    assert!(steward.orders(at(450), Outcome::Accepted).is_empty());
    let engine = steward.table.get_mut(key).expect("it is there");
    engine.held.get_mut("m/a").expect("it is there").confirm();
    steward.want("m/a", 1, at(460));
    assert_eq!(steward.orders(at(460), Outcome::Accepted).len(), 1);
}
