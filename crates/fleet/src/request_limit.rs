//! Limit of the requests that an engine takes from all hosts together.
//!
//! An engine in need states the limit in its responses. Hosts pass it on to each other. One of the live hosts, the
//! coordinator of the engine, schedules the requests of all hosts: before each request, a host asks it for a turn. So
//! the limit holds in sum, and all of it is there for the hosts to which callers come, however few they are.
//!
//! Expected load: from a few requests a second up to what the engine can do, wanted by one host or by all of a large
//! fleet.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::Time;

/// Lowest rate at which requests are sent. An engine that takes none is still asked now and then, since only its
/// responses show that it takes more again.
const MIN_RATE: f64 = 0.2;

/// Time whose unused turns may be taken at once later.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Maximum time until the first turn after an engine has stated a lower limit, in which it is to recover.
const MAX_FIRST_WAIT: Duration = Duration::from_secs(1);

/// Time for which the coordinator remembers a host that got no turn.
const APPLICANT_TTL: Duration = Duration::from_secs(30);

/// Time after a request that got no turn in which requests don't wait for longer than they can be on time. A queue would
/// make all of them late, and never drain.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);

/// Average time between two questions of hosts that get no turn, over all of them.
const QUESTION_INTERVAL: Duration = Duration::from_millis(20);

/// Requests per second: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns `None` if the number is no rate.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time between two requests if the hosts that share the schedule may use this share of the rate.
    fn interval(self, share: f64) -> Duration {
        Duration::from_secs_f64(1.0 / (self.0 * share).max(MIN_RATE))
    }
}

/// Statement of a response of an engine about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// Nothing.
    #[default]
    Absent,
    /// The limit can't be read.
    Unreadable,
    /// The engine takes so many requests.
    Stated(Rate),
}

/// Times for which a request may wait for its turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Time for which it can still be on time.
    pub on_time: Duration,
    /// Time for which it may wait if no request is turned away.
    pub longest: Duration,
}

/// Result of a question for a turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// The engine has no limit.
    Unlimited,
    /// One request may be sent after this time, while the limit isn't lower than this.
    Granted(Duration, Rate),
    /// All turns within the time that the request may wait are taken. There may be one after this time.
    Taken(Duration),
}

/// Limit of one engine, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    rate: Option<Rate>,
    /// When the engine stated the limit, or that it has none.
    stated_at: Time,
    /// When this host itself last received a statement that changed the limit.
    changed_at: Option<Time>,
    /// Time until which this host gets no turn.
    taken_until: Time,
    /// Turns of all hosts, if this host is the coordinator.
    schedule: Schedule,
}

impl Limit {
    /// The limit; `None` if the engine has none.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// When the engine last stated the limit, or that it has none.
    pub fn stated_at(&self) -> Time {
        self.stated_at
    }

    /// When this host last learned from the engine itself that the limit has changed.
    pub fn changed_at(&self) -> Option<Time> {
        self.changed_at
    }

    /// Records what a response to this host says of the limit. Returns whether the limit has changed.
    pub fn observe(&mut self, rate: Option<Rate>, now: Time) -> bool {
        let has_changed = self.observe_remote(rate, now, now);
        if has_changed {
            self.changed_at = Some(now);
        }
        has_changed
    }

    /// Records what another host knows of the limit. Older statements are ignored. Returns whether the limit has
    /// changed.
    pub fn observe_remote(&mut self, rate: Option<Rate>, stated_at: Time, now: Time) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        self.stated_at = stated_at;
        let previous = std::mem::replace(&mut self.rate, rate);
        if previous == rate {
            return false;
        }
        self.taken_until = Time::ZERO;
        match (previous, rate) {
            (_, None) => self.schedule = Schedule::default(),
            (Some(previous), Some(rate)) if rate >= previous => {}
            // Turns that were granted at a higher rate are not used any more.
            (_, Some(rate)) => self.schedule.restart(rate, now),
        }
        true
    }

    /// Time until which no request may be sent to the engine, because this host gets no turn.
    pub fn taken_until(&self, now: Time) -> Option<Time> {
        (self.rate.is_some() && self.taken_until > now).then_some(self.taken_until)
    }

    /// Records that this host gets no turn before this time.
    pub fn record_taken(&mut self, until: Time) {
        self.taken_until = self.taken_until.max(until);
    }

    /// Returns whether a turn that was granted at a rate may be used.
    pub fn honors(&self, granted_at: Rate) -> bool {
        self.rate.is_none_or(|it| it >= granted_at)
    }

    /// Grants a turn to a request of a host. `share` is the part of the limit that is for the
    /// hosts that this host can reach; the rest is for those that it can't.
    pub fn grant(&mut self, host: SocketAddr, patience: Patience, share: f64, now: Time) -> Turn {
        let Some(rate) = self.rate else {
            return Turn::Unlimited;
        };
        let interval = rate.interval(share);
        match self.schedule.take(host, interval, patience, now) {
            Ok(wait) => Turn::Granted(wait, rate),
            Err(wait) => Turn::Taken(wait),
        }
    }
}

/// Turns at one engine.
#[derive(Clone, Debug, Default)]
struct Schedule {
    /// Time before which there is no turn.
    begins_at: Time,
    /// Last turn that a host has.
    last: Option<Time>,
    /// Hosts that got no turn, with the time of their last question.
    applicants: HashMap<SocketAddr, Time>,
}

impl Schedule {
    /// Begins without unused turns.
    fn restart(&mut self, rate: Rate, now: Time) {
        self.begins_at = now + rate.interval(1.0).min(MAX_FIRST_WAIT);
        self.last = None;
    }

    /// Takes the next turn. Returns the time until then, or until there may be a turn for the host if that one would
    /// be too late.
    fn take(
        &mut self,
        host: SocketAddr,
        interval: Duration,
        patience: Patience,
        now: Time,
    ) -> Result<Duration, Duration> {
        let next = self.last.map_or(Time::ZERO, |it| it + interval);
        let earliest = now.saturating_sub(BURST_TIME).max(self.begins_at);
        let turn = next.max(earliest);
        let wait = turn.saturating_sub(now);
        let is_overloaded = (self.applicants.values()).any(|it| *it + OVERLOAD_TIME > now);
        let max_wait = if is_overloaded {
            patience.on_time
        } else {
            patience.longest
        };
        if wait <= max_wait {
            self.last = Some(turn);
            return Ok(wait);
        }
        self.applicants.retain(|_, it| *it + APPLICANT_TTL > now);
        self.applicants.insert(host, now);
        let applicants = u32::try_from(self.applicants.len()).unwrap_or(u32::MAX);
        Err(wait.max(QUESTION_INTERVAL * applicants))
    }
}
