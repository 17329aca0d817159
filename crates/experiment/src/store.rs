//! A model of the weight store: a token bucket limits the load rate, and loads slow down when more
//! than a given number are in flight.

use crate::{
    deployment::Deployment,
    event_queue::{Micros, SECOND},
};

/// The store's answer to a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The load is accepted and ends after this time.
    Accepted(Micros),
    /// The load exceeds the rate limit.
    RateLimited,
    /// The store is down.
    Down,
}

/// Availability of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The store accepts loads.
    Up,
    /// The store refuses every load.
    Down,
}

/// The simulated weight store.
#[derive(Debug)]
pub struct Store {
    /// Tokens per second that are refilled.
    tokens_per_second: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// In-flight loads up to which loads run at full speed.
    in_flight_cap: u32,
    /// Duration of a load at full speed.
    load_time: Micros,
    tokens: f64,
    refilled_at: Micros,
    health: Health,
    /// Number of loads in flight.
    pub in_flight: u32,
    /// Maximum number of loads in flight at once.
    pub peak_in_flight: u32,
    /// Start time of each accepted load.
    pub load_starts: Vec<Micros>,
    /// Number of loads that exceeded the rate limit.
    pub rate_limited_loads: u32,
}

impl Store {
    /// Creates the store of a deployment with a full token bucket.
    pub fn new(deployment: &Deployment) -> Self {
        let burst = f64::from(deployment.load_burst);
        Self {
            tokens_per_second: deployment.loads_per_second,
            burst,
            in_flight_cap: deployment.in_flight_cap,
            load_time: deployment.load_time,
            tokens: burst,
            refilled_at: 0,
            health: Health::Up,
            in_flight: 0,
            peak_in_flight: 0,
            load_starts: Vec::new(),
            rate_limited_loads: 0,
        }
    }

    /// Takes the store down or brings it back.
    pub fn set_health(&mut self, health: Health) {
        self.health = health;
    }

    /// Starts a load if the store accepts it.
    pub fn begin_load(&mut self, now: Micros) -> Reply {
        if self.health == Health::Down {
            return Reply::Down;
        }
        self.refill(now);
        // The margin tolerates rounding errors of the refills.
        if self.tokens + 1e-6 < 1.0 {
            self.rate_limited_loads += 1;
            return Reply::RateLimited;
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        self.load_starts.push(now);
        let slowed_load_time =
            self.load_time * u64::from(self.in_flight) / u64::from(self.in_flight_cap);
        Reply::Accepted(slowed_load_time.max(self.load_time))
    }

    /// Ends a load.
    pub fn end_load(&mut self) {
        self.in_flight -= 1;
    }

    /// Returns when the next load can start.
    pub fn next_load_at(&mut self, now: Micros) -> Micros {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "waits are positive and short"
        )]
        let wait = (missing / self.tokens_per_second * 1e6).ceil() as Micros;
        now + wait
    }

    /// Returns the maximum number of loads that started within one second.
    pub fn peak_load_rate(&self) -> usize {
        let starts = self.load_starts.iter().enumerate();
        let counts = starts.map(|(index, start)| {
            let end = self.load_starts.partition_point(|it| *it < start + SECOND);
            end - index
        });
        counts.max().unwrap_or(0)
    }

    /// Adds the tokens since the last refill.
    fn refill(&mut self, now: Micros) {
        #[expect(clippy::cast_precision_loss, reason = "spans are short")]
        let seconds = (now - self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + seconds * self.tokens_per_second).min(self.burst);
        self.refilled_at = now;
    }
}
