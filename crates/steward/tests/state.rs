//! Single decisions of the steward's state machine, each shown by a short run of events.

use std::time::{Duration, Instant};

use kernel::{
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    request::Class,
    service::{Fencing, Instance, Role, State as Availability},
};
use steward::{Action, Event, Order, OrderResult, Predecessor, Settings, State, Ticket};

const SLOTS: u32 = 2;

/// A steward of engines with two slots each, at an instant that tests move.
struct Fixture {
    state: State,
    now: Instant,
    tickets: u64,
}

fn instance(name: &str, state: Availability) -> Instance {
    Instance {
        name: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "north".parse().unwrap(),
        role: Role::Engine("base".parse().unwrap()),
        state,
    }
}

fn holder(incarnation: u64) -> Holder {
    Holder {
        host: "entry".parse().unwrap(),
        incarnation,
    }
}

impl Fixture {
    fn new(engines: &[&str]) -> Self {
        let mut fixture = Self {
            state: State::new(Settings::default()),
            now: Instant::now(),
            tickets: 0,
        };
        fixture.handle(Event::GuaranteedLimits {
            rate_per_second: 4.0,
            burst: 2,
            max_in_flight: 4,
        });
        // A new share starts with an empty bucket.
        fixture.pass(1_000);
        for engine in engines {
            fixture.take(engine, 7, Predecessor::None);
            fixture.report(engine, 1, &[]);
        }
        fixture
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.state.handle(event, self.now);
        let is_told = |it: &Action| {
            !matches!(
                it,
                Action::Publish { .. } | Action::PublishBacklog { .. } | Action::QueryStatus { .. }
            )
        };
        actions.into_iter().filter(is_told).collect()
    }

    fn pass(&mut self, millis: u64) -> Vec<Action> {
        self.now += Duration::from_millis(millis);
        self.handle(Event::Tick)
    }

    fn take(&mut self, engine: &str, fence: u64, predecessor: Predecessor) {
        self.take_checked(engine, fence, predecessor, Fencing::Ignored);
    }

    fn take_checked(
        &mut self,
        engine: &str,
        fence: u64,
        predecessor: Predecessor,
        fencing: Fencing,
    ) {
        self.handle(Event::Acquired {
            engine: instance(engine, Availability::Live),
            fence,
            fencing,
            predecessor,
        });
    }

    fn report(&mut self, engine: &str, incarnation: u64, loaded: &[(&str, u32)]) -> Vec<Action> {
        let loaded = loaded
            .iter()
            .map(|(it, running)| (it.parse().unwrap(), *running));
        self.handle(Event::SlotReport {
            engine: engine.parse().unwrap(),
            requested_at: self.now,
            incarnation,
            slots: SLOTS,
            loaded: loaded.collect(),
        })
    }

    fn ask(&mut self, reference: &str) -> Vec<Action> {
        self.ask_within(reference, 10_000, "tenant")
    }

    fn ask_within(&mut self, reference: &str, millis: u64, tenant: &str) -> Vec<Action> {
        self.tickets += 1;
        let ask = Request {
            request: format!("r{}", self.tickets).parse().unwrap(),
            holder: holder(1),
            reference: reference.parse().unwrap(),
            model: "base".parse().unwrap(),
            tenant: tenant.parse().unwrap(),
            class: Class::Standard,
            remaining: Duration::from_millis(millis),
            prefix: 0,
            max_tokens: 10,
        };
        let ticket = Ticket(self.tickets);
        self.handle(Event::PermitRequest {
            ticket,
            request: ask,
        })
    }

    fn end(&mut self, order: Order, result: OrderResult) -> Vec<Action> {
        self.handle(Event::OrderEnded { order, result })
    }

    /// Loads an adapter for one request, and returns its permit.
    fn load(&mut self, reference: &str) -> Permit {
        let (order, ..) = load_of(&self.ask(reference));
        granted(&self.end(order, OrderResult::Done))
    }

    fn release(&mut self, number: Number) -> Vec<Action> {
        self.handle(Event::Release {
            number,
            outcome: Outcome::Completed,
        })
    }
}

#[track_caller]
fn load_of(actions: &[Action]) -> (Order, String) {
    match actions {
        [Action::Load { order, loaded, .. }] => (*order, loaded.to_string()),
        other => panic!("expected one load order, got {other:?}"),
    }
}

#[track_caller]
fn unload_of(actions: &[Action]) -> (Order, String) {
    match actions {
        [Action::Unload { order, loaded, .. }] => (*order, loaded.to_string()),
        other => panic!("expected one unload order, got {other:?}"),
    }
}

#[track_caller]
fn granted(actions: &[Action]) -> Permit {
    match actions {
        [
            Action::Answer {
                verdict: Verdict::Granted(permit),
                ..
            },
        ] => permit.clone(),
        other => panic!("expected one permit, got {other:?}"),
    }
}

#[track_caller]
fn refused(actions: &[Action]) -> &'static str {
    match actions {
        [
            Action::Answer {
                verdict: Verdict::Refused(fault),
                ..
            },
        ] => {
            assert!(
                fault.retry_after.is_some(),
                "{fault} says when to come back"
            );
            fault.kind.as_str()
        }
        other => panic!("expected one refusal, got {other:?}"),
    }
}

/// Requests for one adapter share one load, and each gets its own permit.
#[test]
fn one_load_serves_all_waiters() {
    let mut fixture = Fixture::new(&["e1"]);
    let (order, loaded) = load_of(&fixture.ask("s/a@1"));
    assert_eq!(loaded, format!("s/a@1+{}", (7_u64 << 32) | 1));
    assert_eq!(fixture.ask("s/a@1"), []);
    fixture.pass(250);
    let actions = fixture.end(order, OrderResult::Done);
    assert_eq!(actions.len(), 2);
    let permit = granted(&actions[..1]);
    assert_eq!(permit.load_stall, Duration::from_millis(250));
    assert_eq!(permit.loaded.to_string(), loaded);
}

/// A pinned adapter is not evicted; it is as soon as its permit is released.
#[test]
fn pinned_adapters_stay() {
    let mut fixture = Fixture::new(&["e1"]);
    let first = fixture.load("s/a@1");
    fixture.load("s/b@1");
    fixture.pass(2_000);
    assert_eq!(fixture.ask("s/c@1"), []);
    let (order, unloaded) = unload_of(&fixture.release(first.number));
    assert_eq!(unloaded, first.loaded.to_string());
    load_of(&fixture.end(order, OrderResult::Done));
}

/// An engine that answers that an adapter is busy keeps it, and the load goes elsewhere or waits.
#[test]
fn busy_adapters_stay() {
    let mut fixture = Fixture::new(&["e1"]);
    for reference in ["s/a@1", "s/b@1"] {
        let permit = fixture.load(reference);
        fixture.release(permit.number);
        fixture.pass(1_000);
    }
    let (order, first) = unload_of(&fixture.ask("s/c@1"));
    let (_, second) = unload_of(&fixture.end(order, OrderResult::Busy));
    assert_ne!(first, second);
}

/// A pin ends when its holder's incarnation has ended and the engine reports the adapter idle.
#[test]
fn pins_end_with_their_holder() {
    let mut fixture = Fixture::new(&["e1"]);
    let first = fixture.load("s/a@1").loaded.to_string();
    let second = fixture.load("s/b@1").loaded.to_string();
    fixture.pass(1_000);
    assert_eq!(fixture.ask("s/c@1"), []);
    fixture.handle(Event::HolderTerminated { holder: holder(1) });
    fixture.pass(10);
    let actions = fixture.report("e1", 1, &[(&first, 0), (&second, 1)]);
    assert_eq!(unload_of(&actions).1, first);
}

/// A request that can't get its adapter in time is refused at once.
#[test]
fn late_loads_are_refused_at_once() {
    let mut fixture = Fixture::new(&["e1"]);
    assert_eq!(
        refused(&fixture.ask_within("s/a@1", 300, "t")),
        "load-too-late"
    );
}

/// A request whose load can't begin in time is refused when that is certain, before its deadline.
#[test]
fn blocked_loads_are_refused_before_the_deadline() {
    let mut fixture = Fixture::new(&["e1"]);
    fixture.load("s/a@1");
    fixture.load("s/b@1");
    fixture.pass(1_000);
    assert_eq!(fixture.ask_within("s/c@1", 1_000, "t"), []);
    let due = fixture.state.next_tick().unwrap() - fixture.now;
    assert!(due < Duration::from_secs(1), "{due:?}");
    fixture.now += due;
    assert_eq!(refused(&fixture.handle(Event::Tick)), "load-too-late");
}

/// Adapters of an earlier steward that may still act get no new work, and stay until they are
/// known to be idle.
#[test]
fn foreign_adapters_get_no_new_work() {
    let mut fixture = Fixture::new(&[]);
    fixture.take("e1", 9, Predecessor::Unknown);
    fixture.report("e1", 1, &[("s/a@1+1", 1), ("s/b@1+2", 0)]);
    assert_eq!(fixture.ask("s/a@1"), []);
    fixture.pass(3_000);
    let actions = fixture.report("e1", 1, &[("s/a@1+1", 1), ("s/b@1+2", 0)]);
    assert_eq!(unload_of(&actions).1, "s/b@1+2");
}

/// Adapters of a steward that has released its engine are adopted without a load.
#[test]
fn released_adapters_are_adopted() {
    let mut fixture = Fixture::new(&[]);
    fixture.take("e1", 9, Predecessor::Released);
    fixture.report("e1", 1, &[("s/a@1+1", 0)]);
    assert_eq!(granted(&fixture.ask("s/a@1")).loaded.to_string(), "s/a@1+1");
}

/// An engine that is leaving gets no new permit.
#[test]
fn leaving_engines_get_nothing_new() {
    let mut fixture = Fixture::new(&["e1", "e2"]);
    let permit = fixture.load("s/a@1");
    let engine = instance(permit.upstream.as_str(), Availability::Leaving);
    fixture.handle(Event::InstanceChanged { engine });
    match &fixture.ask("s/a@1")[..] {
        [Action::Load { engine, .. }] => assert_ne!(*engine, permit.upstream),
        other => panic!("expected a load on the other engine, got {other:?}"),
    }
}

/// When the last engine is lost, waiting requests are sent elsewhere, not refused.
#[test]
fn lost_engines_redirect_their_queue() {
    let mut fixture = Fixture::new(&["e1"]);
    fixture.ask("s/a@1");
    let engine = "e1".parse().unwrap();
    let ticket = Ticket(1);
    assert_eq!(
        fixture.handle(Event::Lost { engine }),
        [Action::Redirect { ticket }]
    );
    let ticket = Ticket(2);
    assert_eq!(fixture.ask("s/a@1"), [Action::Redirect { ticket }]);
}

/// A restart empties an engine: what was loaded is loaded again for the next request.
#[test]
fn restarts_empty_the_engine() {
    let mut fixture = Fixture::new(&["e1"]);
    let permit = fixture.load("s/a@1");
    fixture.release(permit.number);
    fixture.pass(1_000);
    fixture.report("e1", 2, &[]);
    load_of(&fixture.ask("s/a@1"));
}

/// A load without an answer keeps its slot until a report shows what became of it.
#[test]
fn reports_settle_unanswered_loads() {
    let mut fixture = Fixture::new(&["e1"]);
    let (order, loaded) = load_of(&fixture.ask("s/a@1"));
    fixture.end(order, OrderResult::Unknown);
    fixture.pass(100);
    assert_eq!(
        granted(&fixture.report("e1", 1, &[(&loaded, 0)]))
            .loaded
            .to_string(),
        loaded
    );
}

/// While the store is down, loaded adapters are served and others are refused at once.
#[test]
fn store_outages_spare_loaded_adapters() {
    let mut fixture = Fixture::new(&["e1", "e2"]);
    fixture.load("s/a@1");
    let failed = || OrderResult::Failed("store is down".to_owned());
    for reference in ["s/b@1", "s/c@1", "s/d@1"] {
        fixture.pass(1_000);
        let (order, _) = load_of(&fixture.ask(reference));
        fixture.end(order, failed());
    }
    assert_eq!(refused(&fixture.ask("s/e@1")), "load-failed");
    granted(&fixture.ask("s/a@1"));
}

/// An engine that checks fencing numbers obeys the new steward alone once it has obeyed it, so
/// that what it has loaded is adopted.
#[test]
fn checked_engines_are_adopted_with_the_first_order() {
    let mut fixture = Fixture::new(&[]);
    fixture.take_checked("e1", 9, Predecessor::Unknown, Fencing::Checked);
    fixture.report("e1", 1, &[("s/a@1+1", 0)]);
    let (order, _) = load_of(&fixture.ask("s/b@1"));
    granted(&fixture.end(order, OrderResult::Done));
    assert_eq!(granted(&fixture.ask("s/a@1")).loaded.to_string(), "s/a@1+1");
}

/// A steward whose order is refused for its old fencing number acts on that engine no longer.
#[test]
fn stale_stewards_stand_down() {
    let mut fixture = Fixture::new(&["e1"]);
    let (order, _) = load_of(&fixture.ask("s/a@1"));
    let engine = "e1".parse().unwrap();
    let ticket = Ticket(1);
    let expected = [Action::Redirect { ticket }, Action::Superseded { engine }];
    assert_eq!(fixture.end(order, OrderResult::StaleFence), expected);
}

/// Requests that run without a permit of this steward count against the batch.
#[test]
fn lagging_reports_correct_the_batch() {
    let mut fixture = Fixture::new(&["e1"]);
    fixture.load("s/a@1");
    let lagging = |running| Event::BatchReport {
        engine: "e1".parse().unwrap(),
        running,
        waiting: 0,
        capacity: 4,
    };
    fixture.handle(lagging(4));
    assert_eq!(fixture.ask("s/a@1"), []);
    granted(&fixture.handle(lagging(1)));
}

/// When the queue is full, the tenant that fills it makes room for others.
#[test]
fn the_largest_tenant_makes_room() {
    let mut fixture = Fixture::new(&["e1"]);
    let limit = Settings::default().max_waiting;
    for _ in 0..limit {
        fixture.ask_within("s/a@1", 30_000, "greedy");
    }
    assert_eq!(
        refused(&fixture.ask_within("s/a@1", 30_000, "greedy")),
        "tenant-limit"
    );
    assert_eq!(
        refused(&fixture.ask_within("s/a@1", 30_000, "modest")),
        "tenant-limit"
    );
    let waiting = fixture.state.waiting();
    assert_eq!(
        waiting, limit,
        "one of the greedy tenant's requests made room"
    );
}

/// When a load fails, a request without time for another is refused at that moment.
#[test]
fn failed_loads_leave_no_hopeless_request_waiting() {
    let mut fixture = Fixture::new(&["e1"]);
    let (order, _) = load_of(&fixture.ask_within("s/a@1", 1_000, "t"));
    fixture.pass(600);
    let actions = fixture.end(order, OrderResult::Failed("the store refused".to_owned()));
    assert_eq!(refused(&actions), "load-too-late");
}

/// An estimate of long answers refuses requests only while it is recent; otherwise nothing would
/// run that could correct it.
#[test]
fn old_estimates_do_not_refuse_for_ever() {
    let mut fixture = Fixture::new(&["e1"]);
    let mut number = fixture.load("s/a@1").number;
    for _ in 0..40 {
        fixture.pass(9_000);
        fixture.release(number);
        number = granted(&fixture.ask_within("s/a@1", 60_000, "tenant")).number;
    }
    fixture.pass(9_000);
    fixture.release(number);
    let actions = fixture.ask_within("s/a@1", 1_500, "tenant");
    assert_eq!(refused(&actions), "overloaded");
    fixture.pass(10_000);
    granted(&fixture.ask_within("s/a@1", 1_500, "tenant"));
}
