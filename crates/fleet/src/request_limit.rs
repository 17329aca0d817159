//! Limit of the requests that an engine takes from all hosts together.
//!
//! An engine in need states the limit in its responses. Hosts pass it on to each other. One of the live hosts, the
//! coordinator of the engine, schedules the requests of all hosts: before each request, a host asks it for a turn. So
//! the limit holds in sum, and all of it is there for the hosts to which callers come, however few they are.
//!
//! Expected load: from a few requests a second up to what the engine can do, wanted by one host or by all of a large
//! fleet.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{Time, rendezvous};

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

/// Requests per 1,000 seconds, so that all hosts have the same number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate(u32);

impl Rate {
    /// Rounds a number of requests per second down. Returns `None` if it is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        let thousandths = Duration::try_from_secs_f64(per_second)
            .ok()
            .and_then(|it| u32::try_from(it.as_millis()).ok());
        Some(Self(thousandths.unwrap_or(u32::MAX)))
    }

    /// The rate of this number of requests per 1,000 seconds.
    pub fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Requests per 1,000 seconds.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }

    /// Time between two requests if the hosts that share the schedule may use this share of the rate.
    fn interval(self, share: f64) -> Duration {
        Duration::from_secs_f64(1.0 / (self.per_second() * share).max(MIN_RATE))
    }
}

/// Statement of a response of an engine about a number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement<T> {
    /// Nothing.
    #[default]
    Absent,
    /// The number can't be read.
    Unreadable,
    /// The number.
    Stated(T),
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

/// Identifies an answer that stated a limit, among those that all hosts have read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StatementId(pub u32);

impl StatementId {
    /// Identifies the answer that a host read at a time by its own clock.
    pub fn new(host: &str, read_at: Time) -> Self {
        Self(rendezvous::short_id(&format!("{host} {read_at:?}")))
    }
}

/// Limit that an engine stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// The answer.
    pub id: StatementId,
    /// The limit.
    pub rate: Rate,
    /// Latest time at which the engine can have made the answer.
    pub until: Time,
}

/// Proof that an engine allowed more after it made a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supersession {
    /// The earlier statement.
    pub superseded: StatementId,
    /// Time after the latest moment of the earlier statement, as told by the host that knows it, at which the engine
    /// allowed more, at the earliest.
    pub later_by: Duration,
    /// The newest statement of the engine; `None` if it has no limit.
    pub current: Option<Stated>,
}

/// Effect of another host's knowledge of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// This host adopted the limit.
    Adopted,
    /// Nothing.
    Unchanged,
    /// The engine has allowed more since.
    Superseded(Supersession),
}

/// Limit of one engine, as far as this host knows.
///
/// An engine made an answer at some time between the sending of its request and the moment when it was read, which may
/// be much later: a host may have been suspended meanwhile, or a message delayed. So a statement that allows less counts
/// unless it is certainly older, and one that allows more only if it is certainly newer.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    /// Strictest statement that may be the newest; `None` if the engine has no limit.
    stated: Option<Stated>,
    /// Latest time at which the engine can have stated the limit that was last withdrawn.
    withdrawn_until: Time,
    /// Earliest time at which the engine can have made the newest answer that allowed as much as the limit.
    allowed_at: Time,
    /// When this host itself last received a statement that lowered the limit.
    lowered_at: Option<Time>,
    /// Time until which this host gets no turn.
    taken_until: Time,
    /// Turns of all hosts, while this host is the coordinator.
    schedule: Option<Schedule>,
}

impl Limit {
    /// The limit; `None` if the engine has none.
    pub fn rate(&self) -> Option<Rate> {
        self.stated.map(|it| it.rate)
    }

    /// The newest statement of the limit; `None` if the engine has none.
    pub fn stated(&self) -> Option<Stated> {
        self.stated
    }

    /// Latest time at which the engine can have made the newest statement of a limit that this host knows.
    pub fn stated_until(&self) -> Time {
        self.stated.map_or(self.withdrawn_until, |it| it.until)
    }

    /// When this host last learned from the engine itself that it takes less.
    pub fn lowered_at(&self) -> Option<Time> {
        self.lowered_at
    }

    /// Records what an answer to this host's own request says of the limit. The request was sent at `sent_at`, and the
    /// answer was read as `id`. Returns whether the limit has changed.
    pub fn observe(
        &mut self,
        rate: Option<Rate>,
        id: StatementId,
        sent_at: Time,
        now: Time,
    ) -> bool {
        let stated = rate.map(|rate| Stated {
            id,
            rate,
            until: now,
        });
        if allows_more(rate, self.rate()) {
            // The engine may have made this answer before it stated the limit.
            if sent_at <= self.stated_until() {
                return false;
            }
            self.adopt(stated);
            self.allowed_at = sent_at;
            return true;
        }
        let is_lower = rate != self.rate();
        self.adopt(stated);
        self.allowed_at = self.allowed_at.max(sent_at);
        if is_lower {
            self.lowered_at = Some(now);
        }
        is_lower
    }

    /// Records a statement that another host knows.
    pub fn observe_remote(&mut self, stated: Stated) -> Observation {
        if allows_more(Some(stated.rate), self.rate()) {
            return Observation::Unchanged;
        }
        if let Some(own) = &mut self.stated
            && own.rate == stated.rate
        {
            if own.id == stated.id {
                own.until = own.until.min(stated.until);
            } else if own.until < stated.until {
                *own = stated;
            }
            return Observation::Unchanged;
        }
        let later_by = self.allowed_at.saturating_sub(stated.until);
        if !later_by.is_zero() {
            return Observation::Superseded(Supersession {
                superseded: stated.id,
                later_by,
                current: self.stated,
            });
        }
        self.adopt(Some(stated));
        Observation::Adopted
    }

    /// Applies another host's proof that the engine allows more than this host knows. Returns whether the limit has
    /// changed.
    pub fn supersede(&mut self, it: &Supersession) -> bool {
        let Some(own) = self.stated.filter(|own| own.id == it.superseded) else {
            return false;
        };
        if !allows_more(it.current.map(|it| it.rate), Some(own.rate)) {
            return false;
        }
        self.allowed_at = own.until + it.later_by;
        self.adopt(it.current);
        true
    }

    fn adopt(&mut self, stated: Option<Stated>) {
        let previous = std::mem::replace(&mut self.stated, stated);
        if previous.map(|it| it.rate) == self.rate() {
            return;
        }
        self.taken_until = Time::ZERO;
        if let (Some(previous), None) = (previous, stated) {
            self.withdrawn_until = previous.until;
        }
    }

    /// Makes this host the coordinator, at this rate. If it wasn't within `timeout`, another one may have granted turns
    /// meanwhile, so it begins without unused ones. Turns that were granted at a higher rate don't count.
    pub fn lead(&mut self, rate: Rate, timeout: Duration, now: Time) {
        let schedule = self.schedule.take();
        let mut schedule = match schedule.filter(|it| it.led_at + timeout > now) {
            Some(it) if it.rate <= rate => it,
            Some(it) => Schedule {
                applicants: it.applicants,
                ..Schedule::begin(rate, now)
            },
            None => Schedule::begin(rate, now),
        };
        schedule.led_at = now;
        schedule.rate = rate;
        self.schedule = Some(schedule);
    }

    /// Records that another host is the coordinator.
    pub fn follow(&mut self) {
        self.schedule = None;
    }

    /// Returns whether this host is the coordinator.
    pub fn is_leading(&self) -> bool {
        self.schedule.is_some()
    }

    /// Time until which no request may be sent to the engine, because this host gets no turn.
    pub fn taken_until(&self, now: Time) -> Option<Time> {
        (self.taken_until > now).then_some(self.taken_until)
    }

    /// Records that this host gets no turn before this time.
    pub fn record_taken(&mut self, until: Time) {
        self.taken_until = self.taken_until.max(until);
    }

    /// Returns whether a turn that was granted at a rate may be used.
    pub fn honors(&self, granted_at: Rate) -> bool {
        self.rate().is_none_or(|it| it >= granted_at)
    }

    /// Grants a turn to a request of a host, as the coordinator ([`Limit::lead`]). `share` is the part of the rate that
    /// is for the hosts that this host can reach; the rest is for those that it can't.
    pub fn grant(&mut self, host: SocketAddr, patience: Patience, share: f64, now: Time) -> Turn {
        let Some(schedule) = &mut self.schedule else {
            return Turn::Unlimited;
        };
        let rate = schedule.rate;
        match schedule.take(host, rate.interval(share), patience, now) {
            Ok(wait) => Turn::Granted(wait, rate),
            Err(wait) => Turn::Taken(wait),
        }
    }
}

/// Returns whether a limit is higher than another one; `None` is no limit.
fn allows_more(it: Option<Rate>, other: Option<Rate>) -> bool {
    match (it, other) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(it), Some(other)) => it > other,
    }
}

/// Turns at one engine.
#[derive(Clone, Debug)]
struct Schedule {
    /// When this host last was the coordinator.
    led_at: Time,
    /// Rate of the turns.
    rate: Rate,
    /// Time before which there is no turn.
    begins_at: Time,
    /// Last turn that a host has.
    last: Option<Time>,
    /// Hosts that got no turn, with the time of their last question.
    applicants: HashMap<SocketAddr, Time>,
}

impl Schedule {
    /// Begins without unused turns.
    fn begin(rate: Rate, now: Time) -> Self {
        Self {
            led_at: now,
            rate,
            begins_at: now + rate.interval(1.0).min(MAX_FIRST_WAIT),
            last: None,
            applicants: HashMap::new(),
        }
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
