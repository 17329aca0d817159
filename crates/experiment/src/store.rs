//! A model of the weight store: a token bucket for the rate, and loads that slow down past the
//! in-flight cap.

use crate::{
    agenda::{Micros, SECOND},
    deployment::Deployment,
};

/// What the store says to a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It ends after this time.
    Takes(Micros),
    /// It goes over the rate.
    OverRate,
    /// The store is down.
    Down,
}

/// Whether the store works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It works.
    Up,
    /// It fails every load.
    Down,
}

/// The weight store.
#[derive(Debug)]
pub struct Store {
    rate: f64,
    burst: f64,
    cap: u32,
    load_time: Micros,
    tokens: f64,
    at: Micros,
    health: Health,
    /// Loads in flight.
    pub in_flight: u32,
    /// The most loads in flight at once.
    pub peak_in_flight: u32,
    /// When each load began.
    pub begun: Vec<Micros>,
    /// Loads that went over the rate.
    pub over_rate: u32,
}

impl Store {
    /// The store of a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let burst = f64::from(deployment.full_speed);
        Self {
            rate: deployment.rate,
            burst,
            cap: deployment.in_flight,
            load_time: deployment.load_time,
            tokens: burst,
            at: 0,
            health: Health::Up,
            in_flight: 0,
            peak_in_flight: 0,
            begun: Vec::new(),
            over_rate: 0,
        }
    }

    /// Takes the store down or brings it back.
    pub fn set_health(&mut self, health: Health) {
        self.health = health;
    }

    /// Begins a load.
    pub fn begin(&mut self, now: Micros) -> Reply {
        if self.health == Health::Down {
            return Reply::Down;
        }
        self.refill(now);
        if self.tokens + 1e-6 < 1.0 {
            self.over_rate += 1;
            return Reply::OverRate;
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        self.begun.push(now);
        let slowed = self.load_time * u64::from(self.in_flight) / u64::from(self.cap);
        Reply::Takes(slowed.max(self.load_time))
    }

    /// Ends a load.
    pub fn end(&mut self) {
        self.in_flight -= 1;
    }

    /// When the next load may begin.
    pub fn ready_at(&mut self, now: Micros) -> Micros {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "waits are positive and short"
        )]
        let wait = (missing / self.rate * 1e6).ceil() as Micros;
        now + wait
    }

    /// The most loads that began within one second.
    pub fn peak_rate(&self) -> usize {
        let starts = self.begun.iter().enumerate();
        let counts = starts.map(|(index, start)| {
            let end = self.begun.partition_point(|it| *it < start + SECOND);
            end - index
        });
        counts.max().unwrap_or(0)
    }

    fn refill(&mut self, now: Micros) {
        #[expect(clippy::cast_precision_loss, reason = "spans are short")]
        let seconds = (now - self.at) as f64 / 1e6;
        self.tokens = (self.tokens + seconds * self.rate).min(self.burst);
        self.at = now;
    }
}
