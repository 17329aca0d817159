//! Tests of the learned duration of adapter loads. The load is that of 60 hosts, each the steward of one engine, which
//! together order some 20 loads a second; each load is tried when it should be done.

use std::time::Duration;

use fleet::{
    Time,
    in_flight::InFlightLoads,
    load_time::{LoadTime, Observation, Source},
    loader::{Action, Arrival, LoadRequest, Loader, Op, Order, Outcome, Status, View, Wanted},
};

use crate::fixture::{at, catalog, ms, table};

/// Time until all hosts know what a request has shown.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Pause between two requests at an engine that lacks the adapter.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Hosts that share one estimate, up to the delay of their reports.
struct Replay {
    estimate: LoadTime,
    reports: Vec<(Time, Observation)>,
    random: u64,
    early: u32,
    excess: Duration,
    loads: u32,
}

impl Replay {
    fn new(source: Source) -> Self {
        Self {
            estimate: LoadTime::new(source),
            reports: Vec::new(),
            random: 1,
            early: 0,
            excess: Duration::ZERO,
            loads: 0,
        }
    }

    fn random(&mut self, limit: u64) -> u64 {
        self.random = (self.random)
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit
    }

    /// Runs 20 loads a second, which take `took` (a function of the number of the load) and up to 2 ms more.
    fn run(&mut self, from_ms: u64, to_ms: u64, took: impl Fn(u64) -> Duration) {
        (self.early, self.loads, self.excess) = (0, 0, Duration::ZERO);
        for start_ms in (from_ms..to_ms).step_by(50) {
            let now = at(start_ms);
            let mut known: Vec<_> = self.reports.extract_if(.., |it| it.0 <= now).collect();
            known.sort_by_key(|it| it.0);
            for (at, observation) in known {
                self.estimate.observe(&observation, at);
            }
            let took = took(start_ms / 50) + Duration::from_micros(self.random(2000));
            let first = self.estimate.expected() + Duration::from_micros(self.random(1000));
            let mut sent = first;
            let mut missing_at = None;
            let mut pause = RETRY_PAUSE;
            while sent < took {
                missing_at = Some(sent);
                sent += pause;
                pause = (pause * 2).min(ms(240));
            }
            self.loads += 1;
            self.early += u32::from(missing_at.is_some());
            self.excess += first.saturating_sub(took);
            let observation = Observation {
                missing_at,
                found_at: sent,
            };
            self.reports.push((now + sent + REPORT_DELAY, observation));
        }
    }

    /// Asserts that few requests come too early, and that those in time wait little longer than necessary.
    fn assert_fits(&self) {
        let excess = self.excess / self.loads;
        assert!(
            self.early * 50 < self.loads && excess < ms(10),
            "{} of {} loads were tried too early, and {excess:?} too late on average",
            self.early,
            self.loads
        );
    }
}

/// Users' platforms load an adapter in 180 to 600 ms, and a tenth of that from the engine's memory. Loads must be tried
/// when they are done after some seconds of traffic.
#[test]
fn loads_are_tried_when_they_are_done() {
    for (source, took_us) in [
        (Source::Store, 287_500),
        (Source::Store, 240_000),
        (Source::Store, 600_000),
        (Source::Memory, 28_750),
        (Source::Memory, 60_000),
    ] {
        let took = Duration::from_micros(took_us);
        let mut replay = Replay::new(source);
        replay.run(0, 30_000, |_| took);
        replay.run(30_000, 150_000, |_| took);
        replay.assert_fits();
    }
}

/// One load in eight is delayed by something else, such as a host that stood still.
#[test]
fn loads_that_are_delayed_by_something_else_do_not_count() {
    let took = |number: u64| ms(if number.is_multiple_of(8) { 720 } else { 288 });
    let mut replay = Replay::new(Source::Store);
    replay.run(0, 30_000, took);
    let expected = replay.estimate.expected();
    assert!(expected < ms(305) && expected > ms(285), "{expected:?}");
}

/// The weight store becomes slower, and fast again.
#[test]
fn a_change_is_followed_in_both_directions() {
    let mut replay = Replay::new(Source::Store);
    replay.run(0, 20_000, |_| ms(288));
    replay.run(20_000, 25_000, |_| ms(400));
    let expected = replay.estimate.expected();
    assert!(expected > ms(395), "{expected:?}");
    replay.run(25_000, 180_000, |_| ms(288));
    let expected = replay.estimate.expected();
    assert!(expected < ms(305), "{expected:?}");
}

/// A host that starts knows nothing, while the others have learned from thousands of loads.
#[test]
fn a_host_that_starts_adopts_what_others_have_learned() {
    let mut others = Replay::new(Source::Store);
    others.run(0, 20_000, |_| ms(340));
    let mut started = LoadTime::new(Source::Store);
    for _ in 0..5 {
        started.blend(others.estimate.expected(), others.estimate.samples());
    }
    let difference = started.expected().abs_diff(others.estimate.expected());
    assert!(difference < ms(5), "{difference:?}");
    let before = others.estimate.expected();
    others.estimate.blend(ms(900), 1000);
    assert_eq!(others.estimate.expected(), before);
}

/// When many loads are in flight, each takes longer. One miss must not make both the time of a load at full speed and
/// the number of loads at full speed appear worse.
#[test]
fn a_miss_counts_for_the_load_time_or_for_the_number_of_loads() {
    for (remote_loads, is_shared) in [(0, false), (50, true)] {
        let (table, keys) = table(&[("i-1", &[])]);
        let (catalog, in_flight) = (catalog(), InFlightLoads::default());
        let mut loader = Loader::default();
        loader.remote_loads = remote_loads;
        let view = View {
            table: &table,
            catalog: &catalog,
            orderable: &keys,
            hosts: 1,
            window: Duration::from_secs(5),
            in_flight: &in_flight,
            now: at(0),
        };
        loader.next_actions(&view);
        let status = Status::default();
        loader.record_status(keys[0], Some(&status), at(0));
        let request = LoadRequest {
            host: "h-1".into(),
            service: "chat".into(),
            wanted: Wanted::anywhere("m/a".into()),
            replica_uses: None,
            waiting: 1,
        };
        loader.add_request(&request, at(0));
        let order: Vec<Order> = (loader.next_actions(&view).into_iter())
            .filter_map(|it| match it {
                Action::Send(order) => Some(order),
                Action::QueryStatus(_) => None,
            })
            .collect();
        assert!(matches!(order[0].op, Op::Load(_)));
        let load = (loader.record_outcome(&order[0], Outcome::Accepted, at(0)))
            .expect("the load has started");
        let (fetch_time, full_speed) = (loader.fetch_time.expected(), loader.full_speed_loads());
        let arrival = Arrival {
            misses: 1,
            missing_after: ms(1),
            found_after: Some(ms(31)),
        };
        loader.record_first_requests(keys[0], "m/a", &arrival, load.due + ms(33));
        assert_eq!(loader.fetch_time.expected() > fetch_time, !is_shared);
        assert_eq!(loader.full_speed_loads() < full_speed, is_shared);
    }
}
