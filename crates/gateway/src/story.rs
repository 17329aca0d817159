//! What happened to one request: one line of the log when it ends, so that its id leads to the cause.
//! Usual requests are sampled; what was late, repeated, refused or cut is always written.

use std::{fmt::Write, sync::Arc, time::Duration};

use fleet::{catalog::Route, placement::Choice};

use crate::{clock, dialect::RequestHead, metrics::Metrics};

/// One in so many usual requests is written.
const SAMPLE: u64 = 16;

/// Tries that a line names.
const TRIES: usize = 6;

/// One request from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Story {
    began: fleet::Time,
    /// Version of the configuration that it was routed by.
    pub config: u64,
    /// Time that it waited for its adapter's load.
    pub load: Duration,
    /// Time that it waited for its turn at an engine.
    pub paced: Duration,
    tries: Vec<Try>,
    last: Duration,
    first: Option<Duration>,
    gap: Duration,
}

#[derive(Clone, Debug)]
struct Try {
    engine: Arc<str>,
    at: Duration,
    expected: Duration,
    outcome: &'static str,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer was passed on.
    Served,
    /// An engine's failure was passed on.
    Failed,
    /// This host answered by itself.
    Refused(&'static str),
    /// The answer was cut.
    Cut(&'static str),
    /// The caller left.
    Left,
}

impl End {
    fn words(self) -> (&'static str, &'static str) {
        match self {
            Self::Served => ("served", ""),
            Self::Failed => ("failed", "engine"),
            Self::Refused(why) => ("refused", why),
            Self::Cut(why) => ("cut", why),
            Self::Left => ("left", "caller"),
        }
    }
}

impl Story {
    /// A request that has just come.
    pub fn new(began: fleet::Time, config: u64) -> Self {
        Self {
            began,
            config,
            load: Duration::ZERO,
            paced: Duration::ZERO,
            tries: Vec::new(),
            last: Duration::ZERO,
            first: None,
            gap: Duration::ZERO,
        }
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.began)
    }

    /// It is sent to an engine.
    pub fn tried(&mut self, engine: &Arc<str>, choice: &Choice) {
        self.tries.push(Try {
            engine: engine.clone(),
            at: self.age(),
            expected: choice.expected_wait,
            outcome: "open",
        });
    }

    /// What came of the last try.
    pub fn outcome(&mut self, outcome: &'static str) {
        if let Some(it) = self.tries.last_mut() {
            it.outcome = outcome;
        }
    }

    /// Events or the whole answer were passed on.
    pub fn passed(&mut self) {
        let at = self.age();
        if self.first.is_none() {
            self.first = Some(at);
        } else {
            self.gap = self.gap.max(at.saturating_sub(self.last));
        }
        self.last = at;
    }

    /// Time to the first event, and the longest pause after it.
    pub fn pace(&self) -> (Option<Duration>, Duration) {
        (self.first, self.gap)
    }

    fn tries(&self) -> String {
        let mut text = String::new();
        for it in self.tries.iter().take(TRIES) {
            let _ = write!(
                text,
                "{}{}@{}ms expected {}ms: {}",
                if text.is_empty() { "" } else { "; " },
                it.engine,
                it.at.as_millis(),
                it.expected.as_millis(),
                it.outcome
            );
        }
        text
    }

    /// Writes the line, if the request is to be written, and counts it.
    pub fn end(
        &self,
        envelope: &RequestHead,
        route: &Route,
        service: &str,
        end: End,
        to: &Metrics,
    ) {
        let took = self.age();
        let (event, why) = end.words();
        to.ended(service, &route.name, event, why);
        to.waited(service, &route.name, self.load, self.paced);
        if let Some(first) = self.first {
            to.paced(service, &route.name, first, self.gap);
        }
        let late = self.first.is_some_and(|it| it > route.latency_target)
            || (!route.max_gap.is_zero() && self.gap > route.max_gap);
        let usual = end == End::Served && !late && self.tries.len() <= 1;
        let draw = fleet::rendezvous::weight(&envelope.id, "sample");
        if usual && !draw.is_multiple_of(SAMPLE) {
            return;
        }
        log::info!(
            event,
            request = &*envelope.id,
            why,
            late,
            route = &*route.name,
            service,
            adapter = envelope.name.as_deref().unwrap_or("-"),
            config = self.config,
            took_ms = millis(took),
            first_ms = self.first.map_or(0, millis),
            gap_ms = millis(self.gap),
            load_wait_ms = millis(self.load),
            paced_ms = millis(self.paced),
            tries = self.tries().as_str();
            "request {} {event}", envelope.id
        );
    }
}

/// Whole milliseconds, for a line of the log.
pub fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}
