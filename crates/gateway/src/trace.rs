//! Request traces. When a request ends, one log line is written, in which the cause of a failure can
//! be found by the id of the request. Normal requests are sampled. Requests that were late, retried,
//! refused or truncated are always logged.

use std::{borrow::Cow, fmt::Write, sync::Arc, time::Duration};

use fleet::{catalog::Route, listing::Build, placement::Choice, quarantine::Suspect};
use hyper::http::StatusCode;

use crate::{clock, dialect::RequestHead, metrics::Metrics};

/// One in this many normal requests is logged.
const SAMPLE_INTERVAL: u64 = 16;

/// Maximum number of attempts listed in a log line.
const MAX_LOGGED_ATTEMPTS: usize = 6;

/// Maximum number of prompt parts listed in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Trace of one request, from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Trace {
    started: fleet::Time,
    /// Client account of the request; `None` if it needs none.
    pub account: Option<Arc<str>>,
    /// Revision of the configuration that routed the request.
    pub config: u64,
    /// Time spent waiting for the load of the adapter.
    pub load_wait: Duration,
    /// Time held at this host because the engines had queues.
    pub queue_wait: Duration,
    /// Most requests that came first at the engine for which this one was held.
    queue_ahead: usize,
    /// Time spent waiting for a turn at an engine that limits its requests.
    pub limit_wait: Duration,
    /// Time spent waiting for the retry budget to recover.
    pub budget_wait: Duration,
    /// Time for which the prompt was paced before it was sent to an engine.
    pub pacing_wait: Duration,
    attempts: Vec<Attempt>,
    /// Time from the arrival to the last forwarded event.
    last_forwarded: Duration,
    /// Time from the arrival to the first forwarded event.
    first_forwarded: Option<Duration>,
    longest_gap: Duration,
    /// Status of the response to the caller, if there is one.
    status: Option<StatusCode>,
    /// Reason why a request with a silent engine, or a broken stream, did not go on at another engine.
    resume_failure: Option<&'static str>,
    /// Hosts to which the request was passed on.
    handed_to: Vec<Arc<str>>,
    /// Host that passed the request on to this one.
    received_from: Option<Arc<str>>,
}

/// Attempt at one engine.
#[derive(Clone, Debug)]
struct Attempt {
    engine: Arc<str>,
    build: Build,
    /// Time from the arrival of the request to this attempt.
    sent_at: Duration,
    expected_wait: Duration,
    outcome: Cow<'static, str>,
}

/// End of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The complete response was forwarded.
    Served,
    /// An engine's failure was forwarded.
    Failed,
    /// This host answered with a fault of its own.
    Refused(&'static str),
    /// The response was truncated.
    Truncated(&'static str),
    /// The caller disconnected.
    CallerLeft,
}

impl End {
    /// Event name in the log, which is also the metric label `outcome`, and the label `why`.
    fn labels(self) -> (&'static str, &'static str) {
        match self {
            Self::Served => ("served", ""),
            Self::Failed => ("failed", "engine"),
            Self::Refused(why) => ("refused", why),
            Self::Truncated(why) => ("cut", why),
            Self::CallerLeft => ("left", "caller"),
        }
    }
}

impl Trace {
    /// Creates the trace of a request that has just arrived.
    pub fn new(started: fleet::Time, config: u64) -> Self {
        Self {
            started,
            account: None,
            config,
            load_wait: Duration::ZERO,
            queue_wait: Duration::ZERO,
            queue_ahead: 0,
            limit_wait: Duration::ZERO,
            budget_wait: Duration::ZERO,
            pacing_wait: Duration::ZERO,
            attempts: Vec::new(),
            last_forwarded: Duration::ZERO,
            first_forwarded: None,
            longest_gap: Duration::ZERO,
            status: None,
            resume_failure: None,
            handed_to: Vec::new(),
            received_from: None,
        }
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.started)
    }

    /// Records that the request is being sent to an engine. Returns the number of the attempt.
    pub fn record_attempt(&mut self, engine: &Arc<str>, build: &Build, choice: &Choice) -> usize {
        self.attempts.push(Attempt {
            engine: engine.clone(),
            build: build.clone(),
            sent_at: self.age(),
            expected_wait: choice.expected_wait,
            outcome: Cow::Borrowed("open"),
        });
        self.attempts.len() - 1
    }

    /// Records the outcome of an attempt so far.
    pub fn record_outcome(&mut self, attempt: usize, outcome: impl Into<Cow<'static, str>>) {
        if let Some(it) = self.attempts.get_mut(attempt) {
            it.outcome = outcome.into();
        }
    }

    /// Records how many requests come first at the engine for which this one is held.
    pub fn record_ahead(&mut self, ahead: usize) {
        self.queue_ahead = self.queue_ahead.max(ahead);
    }

    /// Records the status of the response to the caller.
    pub fn record_status(&mut self, status: StatusCode) {
        self.status = Some(status);
    }

    /// Records why a request with a silent engine, or a broken stream, does not go on at another engine.
    pub fn record_resume_failure(&mut self, why: &'static str) {
        self.resume_failure = Some(why);
    }

    /// Records that the request is passed on to another host.
    pub fn record_handover(&mut self, host: &Arc<str>) {
        self.handed_to.push(host.clone());
    }

    /// Records the host that passed the request on to this one.
    pub fn record_origin_host(&mut self, host: &str) {
        self.received_from = Some(host.into());
    }

    /// Records that events or the whole response were forwarded.
    pub fn record_forwarded(&mut self) {
        let at = self.age();
        if self.first_forwarded.is_none() {
            self.first_forwarded = Some(at);
        } else {
            self.longest_gap = self.longest_gap.max(at.saturating_sub(self.last_forwarded));
        }
        self.last_forwarded = at;
    }

    /// Time to the first event, and the longest gap between later events.
    pub fn timings(&self) -> (Option<Duration>, Duration) {
        (self.first_forwarded, self.longest_gap)
    }

    /// Formats the attempts for the log. `comfreywing explain` parses this format.
    fn format_attempts(&self) -> String {
        let mut text = String::new();
        for it in self.attempts.iter().take(MAX_LOGGED_ATTEMPTS) {
            let _ = write!(
                text,
                "{}{}@{}ms expected {}ms: {}",
                if text.is_empty() { "" } else { "; " },
                it.engine,
                it.sent_at.as_millis(),
                it.expected_wait.as_millis(),
                it.outcome
            );
        }
        text
    }

    /// Formats the builds of the attempted engines for the log.
    fn format_builds(&self) -> String {
        let builds = self.attempts.iter().take(MAX_LOGGED_ATTEMPTS);
        let builds: Vec<&str> = builds.map(|it| &*it.build).collect();
        builds.join(",")
    }

    /// Records the metrics of the request, and logs it unless it is dropped by sampling.
    pub fn finish(
        &self,
        request_head: &RequestHead,
        route: &Route,
        service: &str,
        suspects: &[Suspect],
        end: End,
        metrics: &Metrics,
    ) {
        let elapsed = self.age();
        let (event, why) = end.labels();
        metrics.record_request(service, &route.name, event, why);
        metrics.record_waits(service, &route.name, self.load_wait, self.pacing_wait);
        let queue = &metrics.queue;
        queue.record_wait(service, &route.name, self.queue_wait);
        if let Some(first) = self.first_forwarded {
            metrics.record_latency(service, &route.name, first, self.longest_gap);
        }
        let late = self
            .first_forwarded
            .is_some_and(|it| it > route.latency_target)
            || (!route.max_gap.is_zero() && self.longest_gap > route.max_gap);
        let is_resumed = request_head.last_event_id.is_some();
        let is_normal = end == End::Served
            && !late
            && !is_resumed
            && self.attempts.len() <= 1
            && self.resume_failure.is_none()
            && self.handed_to.is_empty()
            && self.received_from.is_none();
        if is_normal && !is_sampled(&request_head.id) {
            return;
        }
        log::info!(
            event,
            request = &*request_head.id,
            why,
            status = self.status.map_or(0, |it| it.as_u16()),
            late,
            route = &*route.name,
            service,
            adapter = request_head.name.as_deref().unwrap_or("-"),
            config = self.config,
            account = self.account.as_deref().unwrap_or("-"),
            took_ms = as_millis(elapsed),
            first_ms = self.first_forwarded.map_or(0, as_millis),
            gap_ms = as_millis(self.longest_gap),
            load_wait_ms = as_millis(self.load_wait),
            queue_wait_ms = as_millis(self.queue_wait),
            queue_ahead = self.queue_ahead,
            limit_wait_ms = as_millis(self.limit_wait),
            budget_wait_ms = as_millis(self.budget_wait),
            paced_ms = as_millis(self.pacing_wait),
            builds = self.format_builds().as_str(),
            resumes = request_head.resumed_request.as_deref().unwrap_or("-"),
            after_event = request_head.last_event_id.as_deref().unwrap_or("-"),
            prompt = format_prompt(suspects).as_str(),
            content = format_content(suspects).as_str(),
            handed_to = self.handed_to.join(",").as_str(),
            received_from = self.received_from.as_deref().unwrap_or("-"),
            not_resumed = self.resume_failure.unwrap_or("-"),
            tries = self.format_attempts().as_str();
            "request {} {event}", request_head.id
        );
    }
}

/// Returns whether an event of a frequent kind is logged for this request.
pub fn is_sampled(request: &str) -> bool {
    fleet::rendezvous::weight(request, "sample").is_multiple_of(SAMPLE_INTERVAL)
}

/// Formats the ids of the first parts of a prompt for the log.
fn format_prompt(parts: &[Suspect]) -> String {
    let parts = parts.iter().filter(|it| !it.is_whole());
    let parts = parts.take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = parts.map(|it| it.part.to_string()).collect();
    ids.join(",")
}

/// Formats the id of the content of a whole request for the log.
fn format_content(parts: &[Suspect]) -> String {
    let whole = parts.iter().find(|it| it.is_whole());
    whole.map_or_else(String::new, |it| it.part.to_string())
}

/// Converts a duration to whole milliseconds.
pub fn as_millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}
