//! A circuit breaker for an upstream that keeps failing.

use std::time::{Duration, Instant};

/// When a circuit opens and how long it stays open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Number of consecutive failures that opens the circuit.
    pub failure_threshold: u32,
    /// How long the circuit stays open the first time. The actual pause is between half of this and
    /// all of it.
    pub initial_pause: Duration,
    /// Upper bound on the time that the circuit stays open.
    pub max_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failure_threshold: 5,
            initial_pause: Duration::from_millis(500),
            max_pause: Duration::from_secs(30),
        }
    }
}

/// The decision on sending a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be sent.
    Allowed,
    /// The request may be sent. Its result closes the circuit or opens it again.
    Probe,
    /// No request may be sent before this time.
    RejectedUntil(Instant),
}

/// The state of a circuit; `Closed` holds the number of consecutive failures.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Closed(u32),
    Open { until: Instant, pause: Duration },
    HalfOpen { since: Instant, pause: Duration },
}

/// The circuit breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    settings: Settings,
    phase: Phase,
}

impl Circuit {
    /// Creates a closed circuit.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Closed(0),
        }
    }

    /// Returns whether a request may be sent now. After the pause, one request is let through as a
    /// probe.
    pub fn admit(&mut self, now: Instant) -> Admission {
        match self.phase {
            Phase::Closed(_) => Admission::Allowed,
            Phase::Open { until, .. } if now < until => Admission::RejectedUntil(until),
            Phase::HalfOpen { since, pause } if now < since + pause => {
                Admission::RejectedUntil(since + pause)
            }
            Phase::Open { pause, .. } | Phase::HalfOpen { pause, .. } => {
                self.phase = Phase::HalfOpen { since: now, pause };
                Admission::Probe
            }
        }
    }

    /// Records that the upstream answered a request.
    pub fn record_success(&mut self) {
        self.phase = Phase::Closed(0);
    }

    /// Records that a request failed because of the upstream. `random` is uniform in 0 to 1 and
    /// spreads the probes of different hosts over time.
    pub fn record_failure(&mut self, random: f64, now: Instant) {
        match self.phase {
            Phase::Closed(failures) if failures + 1 < self.settings.failure_threshold => {
                self.phase = Phase::Closed(failures + 1);
            }
            Phase::Closed(_) => self.open(self.settings.initial_pause, random, now),
            Phase::HalfOpen { pause, .. } => {
                let pause = (pause * 2).min(self.settings.max_pause);
                self.open(pause, random, now);
            }
            Phase::Open { .. } => {}
        }
    }

    fn open(&mut self, pause: Duration, random: f64, now: Instant) {
        let jitter = 0.5 + random.clamp(0.0, 1.0) / 2.0;
        self.phase = Phase::Open {
            until: now + pause.mul_f64(jitter),
            pause,
        };
    }
}
