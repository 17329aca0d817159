//! Learned speeds of engines.

use std::time::Duration;

use fleet::{
    Time,
    capacity::{Average, Line, Load, Samples, Speed},
    placement::{Placement, place},
};
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use crate::fixture::{NOW, at, ms, prompt, request, table};

/// Rate of an engine of average speed in the tests, in tokens a ms.
const AVERAGE: f64 = 20.0;

/// Time of such an engine in ms until the first event of a prompt that needs no reading.
const BASE_MS: f64 = 60.0;

/// An engine whose first events are observed.
struct Engine {
    speed: Speed,
    average: Average,
    tokens_per_ms: f64,
    now: Time,
    random: SmallRng,
}

impl Engine {
    fn new(tokens_per_ms: f64) -> Self {
        Self {
            speed: Speed::default(),
            average: Average::default(),
            tokens_per_ms,
            now: NOW,
            random: SmallRng::seed_from_u64(7),
        }
    }

    /// A sample of a prompt, perhaps with others before it.
    fn sample(&mut self) -> Samples {
        let tokens = self.random.random_range(200.0..4000.0);
        let millis = tokens / self.tokens_per_ms + BASE_MS * AVERAGE / self.tokens_per_ms;
        Samples::of(tokens, Duration::from_secs_f64(millis / 1000.0))
    }

    /// Records requests at this rate for a time.
    fn observe(&mut self, per_second: u64, time: u64) {
        for _ in 0..per_second * time / 1000 {
            self.now += Duration::from_secs(1) / u32::try_from(per_second).expect("small");
            let sample = self.sample();
            self.record(sample);
        }
    }

    fn record(&mut self, sample: Samples) -> bool {
        self.speed
            .record(sample, Load::Idle, &mut self.average, self.now)
    }

    /// Error of the estimate, relative to the engine's rate.
    fn error(&self) -> f64 {
        (self.speed.tokens_per_ms(self.now) / self.tokens_per_ms - 1.0).abs()
    }
}

#[test]
fn engines_of_different_speed_are_told_apart_after_fifty_requests() {
    for tokens_per_ms in [12.0, 20.0, 32.0] {
        let mut engine = Engine::new(tokens_per_ms);
        engine.observe(5, 10_000);
        assert!(engine.error() < 0.15, "{tokens_per_ms}: {}", engine.error());
    }
}

/// Replays an engine that turns slow for some seconds, at two requests a second over all hosts.
#[test]
fn a_slow_down_and_the_recovery_are_followed_within_two_seconds() {
    let mut engine = Engine::new(AVERAGE);
    engine.observe(2, 20_000);
    for tokens_per_ms in [AVERAGE / 4.0, AVERAGE] {
        engine.tokens_per_ms = tokens_per_ms;
        engine.observe(2, 2000);
        assert!(engine.error() < 0.6, "{tokens_per_ms}: {}", engine.error());
        engine.observe(2, 8000);
        assert!(engine.error() < 0.2, "{tokens_per_ms}: {}", engine.error());
    }
}

/// Replays noise: one sample in seven takes 2.5 times as long.
#[test]
fn noise_does_not_pass_for_a_change() {
    let mut engine = Engine::new(AVERAGE);
    engine.observe(5, 10_000);
    let mut changes = 0;
    for _ in 0..200 {
        engine.now += ms(200);
        let mut sample = engine.sample();
        if engine.random.random_range(0..7) == 0 {
            sample.millis *= 2.5;
        }
        changes += u32::from(engine.record(sample));
    }
    assert!(changes <= 2, "{changes} changes");
    assert!(engine.error() < 0.4, "{}", engine.error());
}

/// Replays a host whose own path takes seconds, among twenty that see the same engine.
#[test]
fn a_host_with_a_bad_path_does_not_make_the_others_avoid_an_engine() {
    let mut engine = Engine::new(AVERAGE);
    for number in 0..400 {
        engine.now += ms(100);
        let mut sample = engine.sample();
        if number % 20 == 0 {
            sample.millis += 3000.0;
        }
        engine.record(sample);
    }
    assert!(engine.error() < 0.35, "{}", engine.error());
}

/// Replays requests of idle engines of one service, of which every `percent`-th takes longer, to the deviation that is then
/// learned.
fn deviation(requests: u64, percent: u64, lengthen: impl Fn(f64) -> f64) -> f64 {
    let mut engine = Engine::new(AVERAGE);
    for number in 0..requests {
        engine.now += ms(200);
        let mut sample = engine.sample();
        // A line that fits badly, and the step during which the prompt arrives.
        sample.millis +=
            30.0 * (sample.tokens / 1000.0).sin() + engine.random.random_range(0.0..10.0);
        if number * percent % 100 < percent {
            sample.millis = lengthen(sample.millis);
        }
        engine.record(sample);
    }
    engine.average.line().deviation
}

/// Replays engines that take 2.5 times as long in 15 of 100 cases, even ones, even ones of which one host in twenty has a bad
/// path, and a few requests.
#[test]
fn only_frequent_noise_of_the_engines_calls_for_caution() {
    for requests in [60, 120, 300, 500] {
        let noisy = deviation(requests, 15, |it| it * 2.5);
        assert!((0.3..0.6).contains(&noisy), "{requests}: {noisy}");
        let even = deviation(requests, 0, |it| it);
        assert!(even.abs() < f64::EPSILON, "{requests}: {even}");
        let bad_path = deviation(requests, 5, |it| it + 3000.0);
        assert!(bad_path.abs() < f64::EPSILON, "{requests}: {bad_path}");
    }
    assert!(deviation(10, 15, |it| it * 2.5).abs() < f64::EPSILON);
}

#[test]
fn noise_that_ends_is_forgotten() {
    let mut engine = Engine::new(AVERAGE);
    for number in 0..400 {
        engine.now += ms(200);
        let mut sample = engine.sample();
        if number < 120 && number % 6 == 0 {
            sample.millis *= 2.5;
        }
        engine.record(sample);
    }
    assert!(engine.average.line().deviation.abs() < f64::EPSILON);
}

/// A prompt that comes before the first event of another shares the steps of the engine with it.
#[test]
fn an_engine_that_gets_another_prompt_before_the_first_event_is_not_idle() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    let load = engine.load(NOW);
    engine.record_prompt(1500, NOW);
    assert_eq!(engine.load_since(NOW, load), Load::Idle);
    engine.record_prompt(300, NOW + ms(20));
    assert_eq!(engine.load_since(NOW, load), Load::Busy);
}

#[test]
fn an_engine_without_requests_returns_to_the_average() {
    let mut engine = Engine::new(AVERAGE / 4.0);
    engine.observe(5, 10_000);
    assert!(engine.speed.slowness(engine.now) > 2.5);
    let later = engine.now + Duration::from_mins(2);
    assert!((engine.speed.slowness(later) - 1.0).abs() < 0.1);
}

#[test]
fn the_stated_error_falls_with_the_number_of_samples() {
    let mut engine = Engine::new(AVERAGE);
    let unknown = engine.speed.rate(engine.now);
    assert_eq!(unknown.age, None);
    engine.observe(5, 10_000);
    let known = engine.speed.rate(engine.now);
    assert!(known.relative_error < unknown.relative_error / 2.0);
    assert_eq!(known.age, Some(Time::ZERO));
}

#[test]
fn the_line_of_a_service_goes_through_the_samples_of_its_engines() {
    let mut average = Average::default();
    let mut engines = [Engine::new(12.0), Engine::new(32.0)];
    for number in 0..600 {
        let engine = &mut engines[number % 2];
        let sample = engine.sample();
        let now = at(u64::try_from(number).expect("small") * 50);
        engine.speed.record(sample, Load::Idle, &mut average, now);
    }
    let Line {
        base_ms,
        tokens_per_ms,
        ..
    } = average.line();
    let slowness = engines[0].speed.slowness(at(30_000)) / engines[1].speed.slowness(at(30_000));
    assert!((slowness / (32.0 / 12.0) - 1.0).abs() < 0.15, "{slowness}");
    assert!((14.0..28.0).contains(&tokens_per_ms), "{tokens_per_ms}");
    // Both engines take as long for it as for 1,200 tokens.
    let base_tokens = base_ms * tokens_per_ms;
    assert!((900.0..1500.0).contains(&base_tokens), "{base_tokens}");
}

/// Replays equal prompts for two engines that hold the adapter, of which one has shown to be three times as fast.
#[test]
fn the_faster_engine_gets_more_prompts() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    let mut engines = [Engine::new(10.0), Engine::new(30.0)];
    for number in 0..60 {
        for (engine, key) in engines.iter_mut().zip(&keys) {
            let sample = engine.sample();
            table.record_speed(*key, sample, Load::Idle, at(number * 100));
        }
    }
    let now = at(6000);
    let mut random = SmallRng::seed_from_u64(3);
    let mut counts = [0, 0];
    for _ in 0..12 {
        let name = "m/a1".into();
        let chain = prompt(1500);
        let request = request(&name, &chain, random.next_u64());
        let (Placement::Send(choice) | Placement::Delay(choice)) = place(&table, &request, now)
        else {
            panic!("both engines hold the adapter");
        };
        let index = usize::from(choice.key == keys[1]);
        counts[index] += 1;
        let engine = table.get_mut(choice.key).expect("the engine exists");
        engine.record_prompt(1500, now);
    }
    assert!((8..=10).contains(&counts[1]), "{counts:?}");
}

/// Replays short requests, one after the other, for engines that answer sooner than is assumed at first. Those that were
/// tried first must not keep all requests.
#[test]
fn engines_that_nobody_has_tried_get_requests_too() {
    let (mut table, keys) = table(&[
        ("i-1", &["a1"]),
        ("i-2", &["a1"]),
        ("i-3", &["a1"]),
        ("i-4", &["a1"]),
    ]);
    let mut random = SmallRng::seed_from_u64(3);
    let mut counts = [0; 4];
    for number in 0..300 {
        let now = at(number * 50);
        let name = "m/a1".into();
        let chain = prompt(60);
        let request = request(&name, &chain, random.next_u64());
        let Placement::Send(choice) = place(&table, &request, now) else {
            panic!("all engines hold the adapter and are idle");
        };
        let index = keys.iter().position(|it| *it == choice.key);
        counts[index.expect("the engine is listed")] += 1;
        table.record_speed(choice.key, Samples::of(60.0, ms(3)), Load::Idle, now);
    }
    assert!(counts.iter().all(|it| *it >= 30), "{counts:?}");
}

/// Replays two prompts at once for an engine with running streams: a slow engine can't read both within the gap that its
/// streams allow, a fast one can.
#[test]
fn prompts_are_paced_by_the_speed_of_the_engine() {
    for (tokens_per_ms, is_delayed) in [(10.0, true), (40.0, false)] {
        let (mut table, keys) = table(&[("i-1", &["a1"])]);
        let mut engine = Engine::new(tokens_per_ms);
        for number in 0..60 {
            let sample = engine.sample();
            table.record_speed(keys[0], sample, Load::Idle, at(number * 100));
        }
        let now = at(6000);
        let it = table.get_mut(keys[0]).expect("the engine exists");
        it.record_prompt(1500, now);
        let name = "m/a1".into();
        let chain = prompt(1500);
        let request = request(&name, &chain, 5);
        let placement = place(&table, &request, now);
        let delays = matches!(placement, Placement::Delay(_));
        assert_eq!(delays, is_delayed, "{tokens_per_ms}: {placement:?}");
    }
}
