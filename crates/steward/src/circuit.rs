//! Whether an upstream that keeps failing gets work.

use std::time::{Duration, Instant};

/// When a circuit opens, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Failures in a row that open it.
    pub failure_threshold: u32,
    /// How long it stays open the first time.
    pub initial_pause: Duration,
    /// The longest time that it stays open.
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

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It may, and it decides whether others may.
    Probe,
    /// It may not before this time.
    RejectedUntil(Instant),
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Working(u32),
    Broken { until: Instant, pause: Duration },
    Probing { since: Instant, pause: Duration },
}

/// The circuit of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    settings: Settings,
    phase: Phase,
}

impl Circuit {
    /// The circuit of an upstream that works.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Working(0),
        }
    }

    /// Whether a request may be sent now. After the pause, one is let through as a probe.
    pub fn admit(&mut self, now: Instant) -> Admission {
        match self.phase {
            Phase::Working(_) => Admission::Allowed,
            Phase::Broken { until, .. } if now < until => Admission::RejectedUntil(until),
            Phase::Probing { since, pause } if now < since + pause => {
                Admission::RejectedUntil(since + pause)
            }
            Phase::Broken { pause, .. } | Phase::Probing { pause, .. } => {
                self.phase = Phase::Probing { since: now, pause };
                Admission::Probe
            }
        }
    }

    /// Notes that a request reached the upstream and was answered.
    pub fn record_success(&mut self) {
        self.phase = Phase::Working(0);
    }

    /// Notes that a request failed because of the upstream. `random` is uniform from 0 to 1; it
    /// spreads the probes of different hosts.
    pub fn record_failure(&mut self, random: f64, now: Instant) {
        match self.phase {
            Phase::Working(failures) if failures + 1 < self.settings.failure_threshold => {
                self.phase = Phase::Working(failures + 1);
            }
            Phase::Working(_) => self.break_off(self.settings.initial_pause, random, now),
            Phase::Probing { pause, .. } => {
                let pause = (pause * 2).min(self.settings.max_pause);
                self.break_off(pause, random, now);
            }
            Phase::Broken { .. } => {}
        }
    }

    fn break_off(&mut self, pause: Duration, random: f64, now: Instant) {
        let part = 0.5 + random.clamp(0.0, 1.0) / 2.0;
        self.phase = Phase::Broken {
            until: now + pause.mul_f64(part),
            pause,
        };
    }
}
