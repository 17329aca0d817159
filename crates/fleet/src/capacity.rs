//! How fast each engine reads prompts, learned from the first events of all hosts' requests.
//!
//! Expected load: engines of one service that differ in speed by a factor of three, some of which turn slow for seconds
//! and recover, while each of many hosts sends one of them a request every few seconds.
//!
//! A request's first event comes when its engine has read the prompts before it and its own, and some steps later. A line
//! through the samples of a service, time over tokens, gives the rate of an average engine and the time of those steps. The
//! time that an engine takes relative to that line is its slowness. Hosts send each other the sums of their samples, so each
//! learns from the requests of all, and a host with a slow path of its own has one voice among many.
//!
//! Long sums give a steady estimate; recent ones replace them when they show that the speed has changed. Without samples an
//! engine returns to the average of its service, so one that was slow gets requests again and can show that it has recovered.
//! The average is that of the engines that have samples: the first line is only a guess, and an engine that nobody has tried
//! must not seem slow because all others are faster than that.

mod noise;

use std::time::Duration;

use self::noise::Noise;
use crate::{Time, decay};

/// Line that is assumed until requests have shown another one: a rate in prompt tokens a ms, and the time in ms until the
/// first event of a prompt that needs no reading.
const INITIAL_TOKENS_PER_MS: f64 = 22.0;
const INITIAL_BASE_MS: f64 = 25.0;

/// Samples on the initial line that count among those of a service, half of them at each of two sizes of prompts.
const INITIAL_SAMPLES: f64 = 20.0;
const INITIAL_TOKENS: [f64; 2] = [300.0, 3000.0];

/// Bounds of the rate of a service in tokens a ms, and of the time of a prompt without reading in ms. Samples whose prompts
/// are nearly equal don't tell the two apart.
const MIN_TOKENS_PER_MS: f64 = 2.0;
const MAX_TOKENS_PER_MS: f64 = 100.0;
const MAX_BASE_MS: f64 = 300.0;

/// Half-lives of the sums.
const LONG_HALF_LIFE: Duration = Duration::from_secs(8);
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
const SERVICE_HALF_LIFE: Duration = Duration::from_mins(1);

/// Minimum time from one update of the engines of a service by its average to the next.
const AVERAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Time of samples of average speed that count among those of an engine, in ms.
const PRIOR_MS: f64 = 200.0;

/// Recent samples that can show a change of speed.
const MIN_RECENT_SAMPLES: f64 = 2.0;

/// Ratio of the recent to the long slowness, or the inverse, that shows a change of speed. Samples of a steady engine differ
/// less, taken two at a time.
const CHANGE_RATIO: f64 = 1.8;

/// Longest and shortest time of a sample relative to the expected one. Longer ones come from paths and pauses of hosts as
/// often as from engines; a slow engine shows in several samples.
const MAX_TIME_RATIO: f64 = 5.0;
const MIN_TIME_RATIO: f64 = 0.2;

/// Longest time of a sample of a line relative to the expected one. Squares of the tokens weigh in a line, so a long time
/// tilts it.
const MAX_LINE_TIME_RATIO: f64 = 2.0;

/// Bounds of the slowness.
const MAX_SLOWNESS: f64 = 10.0;
const MIN_SLOWNESS: f64 = 0.1;

/// Steps of an engine's share of the adapters for each doubling of its speed.
const SHARE_STEPS: f64 = 2.0;

/// Least standard deviation of the logarithm of a sample's time that is stated: there are always errors that samples don't
/// show.
const MIN_DEVIATION: f64 = 0.1;

/// Steepness of a logistic curve in standard deviations: pi / sqrt(3).
const LOGISTIC_SCALE: f64 = 1.813_799_364;

/// Standard deviations by which an engine is taken to be slower where a delay would be felt by many.
const CAUTION: f64 = 1.6;

/// Work of the engine of a sample beside the request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Load {
    /// Nothing of which the host knew, until the first event: the tokens are exactly those of the request's own prompt.
    Idle,
    /// It was reading other prompts, or may have been.
    #[default]
    Busy,
}

/// Samples of first events at one engine, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    /// Number of samples.
    pub count: f64,
    /// Prompt tokens that the engine had to read until the first events.
    pub tokens: f64,
    /// Time until the first events in ms.
    pub millis: f64,
}

impl Samples {
    /// The sample of a request whose first event took `took`, and before which the engine had to read `tokens`.
    pub fn of(tokens: f64, took: Duration) -> Self {
        Self {
            count: 1.0,
            tokens,
            millis: took.as_secs_f64() * 1000.0,
        }
    }

    /// Adds samples.
    pub fn add(&mut self, it: Samples) {
        self.count += it.count;
        self.tokens += it.tokens;
        self.millis += it.millis;
    }
}

/// Time of an engine of average speed until the first event: a line over the prompt tokens that it has to read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Time of a prompt that needs no reading, in ms.
    pub base_ms: f64,
    /// Prompt tokens that the engine reads in a ms.
    pub tokens_per_ms: f64,
    /// Standard deviation of the logarithm of the time of one engine.
    pub deviation: f64,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            base_ms: INITIAL_BASE_MS,
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            deviation: 0.0,
        }
    }
}

impl Line {
    /// Expected time of all samples together in ms.
    fn expected_ms(&self, samples: Samples) -> f64 {
        self.base_ms * samples.count + samples.tokens / self.tokens_per_ms
    }
}

/// Sums over the samples of the idle engines of a service, through which the [`Line`] goes. At busy ones the number of
/// tokens is an estimate, whose errors would make the line too flat.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    at: Time,
    count: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
    noise: Noise,
    slowness: LogMean,
    engines_updated_at: Time,
}

/// Geometric mean of the slowness of engines over the samples of all of them.
#[derive(Clone, Copy, Debug, Default)]
struct LogMean {
    at: Time,
    count: f64,
    logs: f64,
}

impl LogMean {
    fn add(&mut self, count: f64, slowness: f64, now: Time) {
        let factor = decay::factor(self.at, SERVICE_HALF_LIFE, now);
        *self = Self {
            at: now,
            count: self.count * factor + count,
            logs: self.logs * factor + count * slowness.ln(),
        };
    }

    /// The mean; 1 without samples.
    fn value(&self) -> f64 {
        (self.logs / self.count.max(f64::MIN_POSITIVE)).exp()
    }
}

impl Average {
    /// Records samples of an idle engine with a known slowness.
    fn record(&mut self, samples: Samples, slowness: f64, now: Time) {
        if samples.count <= 0.0 {
            return;
        }
        let factor = decay::factor(self.at, SERVICE_HALF_LIFE, now);
        self.at = now;
        let count = samples.count;
        let longest = self.line().expected_ms(samples) * MAX_LINE_TIME_RATIO;
        let millis = (samples.millis / slowness).min(longest) / count;
        let tokens = samples.tokens / count;
        let add = |sum: &mut f64, value: f64| *sum = *sum * factor + value * count;
        add(&mut self.count, 1.0);
        add(&mut self.tokens, tokens);
        add(&mut self.millis, millis);
        add(&mut self.tokens_squared, tokens * tokens);
        add(&mut self.tokens_millis, tokens * millis);
    }

    /// Returns whether the engines of the service are to be updated by this average now.
    pub fn is_update_due(&mut self, now: Time) -> bool {
        let is_due = self.engines_updated_at + AVERAGE_INTERVAL <= now;
        if is_due {
            self.engines_updated_at = now;
        }
        is_due
    }

    /// The line of least squares through the samples and those of the initial line.
    pub fn line(&self) -> Line {
        let initial = Line::default();
        let weight = INITIAL_SAMPLES / 2.0;
        let mut sums = *self;
        for tokens in INITIAL_TOKENS {
            let millis = initial.base_ms + tokens / initial.tokens_per_ms;
            sums.count += weight;
            sums.tokens += weight * tokens;
            sums.millis += weight * millis;
            sums.tokens_squared += weight * tokens * tokens;
            sums.tokens_millis += weight * tokens * millis;
        }
        let spread = sums.tokens_squared - sums.tokens * sums.tokens / sums.count;
        let common = sums.tokens_millis - sums.tokens * sums.millis / sums.count;
        let slope = (common / spread).clamp(1.0 / MAX_TOKENS_PER_MS, 1.0 / MIN_TOKENS_PER_MS);
        let base = (sums.millis - slope * sums.tokens) / sums.count;
        Line {
            base_ms: base.clamp(0.0, MAX_BASE_MS),
            tokens_per_ms: 1.0 / slope,
            deviation: self.noise.deviation(),
        }
    }
}

/// Sums of actual and expected times, whose weight decays.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    at: Time,
    count: f64,
    actual_ms: f64,
    expected_ms: f64,
}

impl Sums {
    fn add(
        &mut self,
        count: f64,
        actual_ms: f64,
        expected_ms: f64,
        half_life: Duration,
        now: Time,
    ) {
        let factor = decay::factor(self.at, half_life, now);
        *self = Self {
            at: now,
            count: self.count * factor + count,
            actual_ms: self.actual_ms * factor + actual_ms,
            expected_ms: self.expected_ms * factor + expected_ms,
        };
    }

    /// Actual over expected time. Samples of the `average` slowness count with [`PRIOR_MS`].
    fn slowness(&self, average: f64, half_life: Duration, now: Time) -> f64 {
        let factor = decay::factor(self.at, half_life, now);
        let actual = self.actual_ms * factor + PRIOR_MS * average;
        let expected = self.expected_ms * factor + PRIOR_MS;
        (actual / expected).clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }
}

/// Geometric mean of the slowness that the latest samples show. A few long times don't outweigh many short ones in it, so it
/// shows a recovery as soon as a slow-down.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    at: Time,
    count: f64,
    logs: f64,
    expected_ms: f64,
}

impl Recent {
    fn add(&mut self, count: f64, slowness: f64, expected_ms: f64, now: Time) {
        let factor = decay::factor(self.at, RECENT_HALF_LIFE, now);
        *self = Self {
            at: now,
            count: self.count * factor + count,
            logs: self.logs * factor + count * slowness.ln(),
            expected_ms: self.expected_ms * factor + expected_ms,
        };
    }

    fn slowness(&self) -> f64 {
        (self.logs / self.count.max(f64::MIN_POSITIVE)).exp()
    }

    /// The same samples, as sums of times.
    fn sums(&self) -> Sums {
        Sums {
            at: self.at,
            count: self.count,
            actual_ms: self.expected_ms * self.slowness(),
            expected_ms: self.expected_ms,
        }
    }
}

/// Learned speed of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    long: Sums,
    recent: Recent,
    /// Line of the service when the last sample was recorded, or when it was last passed on to all engines.
    line: Line,
    /// Slowness that is assumed without samples.
    average: f64,
    /// Logarithm of the time, relative to the expected one, of the last sample that shows noise.
    last_log: Option<f64>,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            long: Sums::default(),
            recent: Recent::default(),
            line: Line::default(),
            average: 1.0,
            last_log: None,
        }
    }
}

/// Estimate of an engine's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Prompt tokens that the engine reads in a millisecond while it also generates.
    pub tokens_per_ms: f64,
    /// Standard deviation of the rate, relative to it.
    pub relative_error: f64,
    /// Time since the last sample; `None` if there is none.
    pub age: Option<Duration>,
}

impl Speed {
    /// Speed of a new engine of a service.
    pub fn of_service(service: &Average) -> Self {
        let mut speed = Self::default();
        speed.follow(service);
        speed
    }

    /// The speed of the next incarnation of the engine, of which nothing is known but its service.
    #[must_use]
    pub fn restarted(self) -> Self {
        Self {
            long: Sums::default(),
            recent: Recent::default(),
            last_log: None,
            ..self
        }
    }

    /// Adopts what is known of the service as a whole.
    pub fn follow(&mut self, service: &Average) {
        self.line = service.line();
        self.average = service.slowness.value();
    }

    /// The line of the service.
    pub fn line(&self) -> Line {
        self.line
    }

    /// Records samples, here and in the sums of the service. Returns whether they show that the speed has changed.
    pub fn record(
        &mut self,
        samples: Samples,
        load: Load,
        service: &mut Average,
        now: Time,
    ) -> bool {
        let slowness = self.slowness(now);
        let expected_ms = self.line.expected_ms(samples);
        let (min, max) = (MIN_TIME_RATIO * slowness, MAX_TIME_RATIO * slowness);
        let actual_ms = samples.millis.clamp(expected_ms * min, expected_ms * max);
        let clipped = Samples {
            millis: actual_ms,
            ..samples
        };
        if load == Load::Idle {
            service.record(clipped, slowness, now);
            self.record_noise(samples, &mut service.noise);
        }
        self.line = service.line();
        let count = samples.count;
        service.slowness.add(count, slowness, now);
        self.long
            .add(count, actual_ms, expected_ms, LONG_HALF_LIFE, now);
        self.recent
            .add(count, actual_ms / expected_ms, expected_ms, now);
        let ratio = self.recent.slowness() / self.slowness(now);
        let has_changed =
            self.recent.count >= MIN_RECENT_SAMPLES && ratio.max(1.0 / ratio) > CHANGE_RATIO;
        if has_changed {
            // The recent samples may include some from before the change, so the next ones are taken apart.
            self.long = std::mem::take(&mut self.recent).sums();
        }
        has_changed
    }

    /// Compares a request of the idle engine with the one before. What they have in common, as a misfit of the line or an
    /// error of the slowness, is no noise.
    fn record_noise(&mut self, samples: Samples, noise: &mut Noise) {
        if samples.tokens < self.line.tokens_per_ms * noise::MIN_READING_MS {
            return;
        }
        let log = (samples.millis / self.line.expected_ms(samples)).ln();
        if let Some(last) = self.last_log.replace(log) {
            noise.record(log - last);
        }
    }

    /// Time that the engine takes, relative to an engine of average speed.
    pub fn slowness(&self, now: Time) -> f64 {
        self.long.slowness(self.average, LONG_HALF_LIFE, now)
    }

    /// Prompt tokens that the engine reads in a millisecond.
    pub fn tokens_per_ms(&self, now: Time) -> f64 {
        self.line.tokens_per_ms / self.slowness(now)
    }

    /// Share of the adapters that the engine should hold, relative to an engine of average speed. It changes in steps only,
    /// so that hosts agree on it and adapters stay where they are.
    pub fn share(&self, now: Time) -> f64 {
        let steps = -SHARE_STEPS * self.slowness(now).log2();
        (steps.round() / SHARE_STEPS).exp2()
    }

    /// Prompt tokens that the engine reads in a millisecond in all but its worst moments.
    pub fn cautious_tokens_per_ms(&self, now: Time) -> f64 {
        self.tokens_per_ms(now) / (self.line.deviation * CAUTION).exp()
    }

    /// Time in ms that the engine takes to read prompts in all but its worst moments.
    pub fn cautious_time_ms(&self, tokens: f64, now: Time) -> f64 {
        tokens / self.cautious_tokens_per_ms(now)
    }

    /// Probability that the engine takes longer than `allowed_ms` to read prompts. The logarithm of the time is taken to be
    /// distributed as a logistic curve around that of the expected one.
    pub fn overrun_probability(&self, tokens: f64, allowed_ms: f64, now: Time) -> f64 {
        if tokens <= 0.0 {
            return 0.0;
        }
        let expected_ms = tokens / self.tokens_per_ms(now);
        let deviations = (allowed_ms / expected_ms).ln() / self.line.deviation.max(MIN_DEVIATION);
        1.0 / (1.0 + (LOGISTIC_SCALE * deviations).exp())
    }

    /// The estimate, for operators.
    pub fn rate(&self, now: Time) -> Rate {
        let count = self.long.count * decay::factor(self.long.at, LONG_HALF_LIFE, now);
        Rate {
            tokens_per_ms: self.tokens_per_ms(now),
            relative_error: self.line.deviation.max(MIN_DEVIATION) / (count + 1.0).sqrt(),
            age: (!self.long.at.is_zero()).then(|| now.saturating_sub(self.long.at)),
        }
    }
}
