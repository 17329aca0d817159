//! Takeover of a request from an engine that has fallen silent. An engine may be silent for a moment and go on, so its
//! connection stays open until another engine has the request.

use std::time::Duration;

use fleet::{Time, stall::Stage};
use futures::future;
use hyper::Response;
use tokio::time;

use crate::{
    clock,
    connection::{Body, Failure},
    exchange::{Attempt, Exchange, OpenResponse, Outcome},
    gateway::ReservedRetry,
    in_flight::InFlight,
    reply::{self, Fault},
    stall::{WaitResult, wait_for_engine},
};

/// Maximum time to find another engine for a stream. Callers disconnect after a gap of a few seconds.
pub(crate) const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time between two attempts to find another engine.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which two engines have the same request. Both may work on it in that time.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Maximum time between two checks whether a newer version of the adapter was announced to a request that waits.
const RECALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a wait for a silent engine.
pub(crate) enum Takeover<T> {
    /// The engine has gone on.
    Continued(T),
    /// Another engine has accepted the request.
    Accepted(Box<OpenResponse>),
    /// Another engine has had the request for as long as two engines may have it.
    Sent(Box<Attempt>),
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// This host is cut off from all engines, and another host may take the request.
    Isolated,
}

/// Result of a wait for the head of a response.
enum HeadWait {
    /// The engine of the attempt has responded, or failed.
    Responded(Box<Attempt>, Result<Response<Body>, Failure>),
    /// The attempt has ended.
    Ended(Outcome),
    /// Another engine has the request, and has not responded yet.
    Moved(Box<Attempt>),
}

/// First event while two engines have the same request.
enum Overlap<T> {
    /// The engine that takes over has responded, or failed.
    Response(Result<Response<Body>, Failure>),
    /// The silent engine has gone on.
    Answer(T),
    /// Two engines may not have the request any longer.
    End,
}

impl Exchange {
    /// Waits for the head of the response to an attempt, or to one that takes over from it.
    pub(crate) async fn await_head(
        &mut self,
        attempt: Attempt,
        last_event_id: Option<&str>,
    ) -> Outcome {
        let mut attempt = attempt;
        loop {
            let recall = self.wait_for_recall(attempt.version);
            let recalled = attempt.in_flight.attempt;
            let step = tokio::select! {
                biased;
                it = self.await_head_or_takeover(attempt, last_event_id) => it,
                () = recall => {
                    self.trace.record_outcome(recalled, "version superseded");
                    self.may_have_run = true;
                    return Outcome::Lost;
                }
            };
            match step {
                HeadWait::Responded(attempt, response) => {
                    return self.finish_attempt(*attempt, response).await;
                }
                HeadWait::Ended(it) => return it,
                HeadWait::Moved(next) => attempt = *next,
            }
        }
    }

    /// Completes when a request that waits at an engine for a version of its adapter is to be taken back. Nothing bounds
    /// the wait at an engine that turns slow.
    fn wait_for_recall(&self, version: Option<u64>) -> impl Future<Output = ()> + use<> {
        let gateway = self.gateway.clone();
        let name = self.request_head.name.clone();
        async move {
            let (Some(name), Some(version)) = (name, version) else {
                return future::pending().await;
            };
            loop {
                let recall_at = gateway.table.borrow().recall_time(&name, version);
                let now = clock::now();
                let wait = match recall_at {
                    Some(it) if it <= now => return,
                    Some(it) => (it.saturating_sub(now)).min(RECALL_CHECK_INTERVAL),
                    None => RECALL_CHECK_INTERVAL,
                };
                time::sleep(wait).await;
            }
        }
    }

    /// Waits for the head of the response to an attempt, until another engine has the request.
    async fn await_head_or_takeover(
        &mut self,
        mut attempt: Attempt,
        last_event_id: Option<&str>,
    ) -> HeadWait {
        let key = attempt.in_flight.key;
        let stage = Stage::Head(attempt.in_flight.expected_wait);
        let context = self.wait_context();
        match wait_for_engine(&context, key, stage, &mut attempt.response).await {
            WaitResult::Ready(response) => {
                return HeadWait::Responded(Box::new(attempt), response);
            }
            WaitResult::Stalled => {}
            WaitResult::DeadlineExceeded => {
                self.may_have_run = true;
                return HeadWait::Ended(Outcome::DeadlineExceeded);
            }
        }
        let Attempt {
            in_flight,
            response,
            ..
        } = &mut attempt;
        // A whole answer follows the head at once, but a stream goes on for seconds.
        let is_stream = self.route.kind.is_stream();
        let is_last = move |it: &Result<Response<_>, _>| {
            !is_stream && it.as_ref().is_ok_and(|it| !it.status().is_server_error())
        };
        let taken_over = self.take_over(in_flight, response, is_last, last_event_id);
        match taken_over.await {
            Takeover::Continued(response) => HeadWait::Responded(Box::new(attempt), response),
            Takeover::Accepted(it) => HeadWait::Ended(Outcome::Response(it)),
            Takeover::Sent(next) => HeadWait::Moved(next),
            Takeover::DeadlineExceeded => HeadWait::Ended(Outcome::DeadlineExceeded),
            Takeover::Isolated => {
                self.may_have_run = true;
                HeadWait::Ended(Outcome::Lost)
            }
        }
    }

    /// Waits for `answer` of a silent engine, and sends the request to another engine meanwhile if the route and the
    /// retry budget allow it. The budget must allow the way back too. The caller closes the connection to the silent
    /// engine if another one has the request.
    ///
    /// Once the request has been sent, the other engine may work on it, so the silent engine keeps it only if the other
    /// one turns it down, or if `is_last` tells from the answer that the silent engine is done.
    pub(crate) async fn take_over<T>(
        &mut self,
        silent: &InFlight,
        answer: impl Future<Output = T>,
        is_last: impl Fn(&T) -> bool,
        last_event_id: Option<&str>,
    ) -> Takeover<T> {
        self.trace.record_outcome(silent.attempt, "fell silent");
        // A silence is a failure of the engine even if it ends: the data that ends it counts as a success.
        self.record_failure(silent.key);
        self.gateway.suspect_path(silent.key);
        tokio::pin!(answer);
        let context = self.wait_context();
        let gateway = self.gateway.clone();
        let may_leave = self.route.kind.is_retryable() && self.received_from.is_none();
        // The first search may wait for a load. Later ones only find what is there.
        let mut search_until = clock::now() + PLACEMENT_TIMEOUT;
        loop {
            let end = context.end();
            let next = tokio::select! {
                biased;
                it = &mut answer => {
                    context.detect_suspension(end);
                    return self.continue_silent(silent, it);
                }
                () = context.wait_for_end() => {
                    self.may_have_run = true;
                    return Takeover::DeadlineExceeded;
                }
                () = gateway.wait_for_isolation(), if may_leave => return Takeover::Isolated,
                it = self.start_takeover(search_until, last_event_id) => it,
            };
            search_until = Time::ZERO;
            let Some((mut next, way_back)) = next else {
                continue;
            };
            let overlap_due = clock::now() + MAX_OVERLAP;
            let overlap_end = time::sleep(MAX_OVERLAP);
            tokio::pin!(overlap_end);
            let mut late_answer = None;
            let response = loop {
                let event = tokio::select! {
                    biased;
                    it = &mut next.response => Overlap::Response(it),
                    it = &mut answer, if late_answer.is_none() => Overlap::Answer(it),
                    () = &mut overlap_end => Overlap::End,
                };
                context.detect_suspension(overlap_due);
                match event {
                    Overlap::Response(it) => break it,
                    Overlap::Answer(it) if is_last(&it) => {
                        self.may_have_run = true;
                        self.trace.record_outcome(next.in_flight.attempt, "dropped");
                        return self.continue_silent(silent, it);
                    }
                    Overlap::Answer(it) => late_answer = Some(it),
                    Overlap::End => {
                        self.may_have_run = true;
                        // Two silent engines must not exchange a request again and again.
                        self.left_engine = way_back.as_ref().map(|_| silent.key);
                        self.way_back = way_back;
                        return Takeover::Sent(Box::new(next));
                    }
                }
            };
            if let Outcome::Response(it) = self.finish_attempt(next, response).await {
                let status = it.0.status;
                let is_accepted = if self.has_begun {
                    reply::is_stream(status, &it.0.headers)
                } else {
                    !status.is_server_error()
                };
                if is_accepted {
                    self.left_engine = Some(silent.key);
                    return Takeover::Accepted(it);
                }
                self.record_failure(it.3.key);
            }
            if let Some(it) = late_answer {
                return self.continue_silent(silent, it);
            }
        }
    }

    /// Records that a silent engine has gone on.
    fn continue_silent<T>(&mut self, silent: &InFlight, answer: T) -> Takeover<T> {
        self.trace.record_outcome(silent.attempt, "went on");
        Takeover::Continued(answer)
    }

    /// Sends the request to another engine. Returns `None` after a pause if that is not possible now.
    async fn start_takeover(
        &mut self,
        search_until: Time,
        last_event_id: Option<&str>,
    ) -> Option<(Attempt, Option<ReservedRetry>)> {
        match self.try_takeover(search_until, last_event_id).await {
            Ok(it) => return Some(it),
            Err(why) => self.trace.record_resume_failure(why),
        }
        time::sleep(RETRY_INTERVAL).await;
        None
    }

    /// Sends the request to another engine, with a retry reserved for the way back to the silent one, or back to the one
    /// that was left before. Otherwise returns why that is not possible now.
    async fn try_takeover(
        &mut self,
        search_until: Time,
        last_event_id: Option<&str>,
    ) -> Result<(Attempt, Option<ReservedRetry>), &'static str> {
        if !self.may_send_again() {
            let attempt = self.try_way_back(last_event_id).await?;
            return Ok((attempt, None));
        }
        // A search without a retry in the budget could order loads in vain.
        if !self.gateway.has_retry(&self.service) {
            return Err("no-budget");
        }
        let choice = self.place(search_until).await.map_err(Fault::name)?;
        let way_back = self.gateway.reserve_retry(&self.service);
        let way_back = way_back.ok_or("no-budget")?;
        let sent = self.start_attempt(choice, last_event_id).await;
        Ok((sent.map_err(|it| reason(&it))?, Some(way_back)))
    }

    /// Sends the request to the silent engine that was left for one that is silent too. Otherwise returns why that is
    /// not possible now.
    async fn try_way_back(&mut self, last_event_id: Option<&str>) -> Result<Attempt, &'static str> {
        let left = self.left_engine.filter(|_| self.has_time_left());
        let left = left.ok_or("no-attempt")?;
        let choice = self.choose_left_engine(left).ok_or("no-engine")?;
        let sent = self.start_attempt(choice, last_event_id).await;
        let attempt = sent.map_err(|it| reason(&it))?;
        self.left_engine = None;
        Ok(attempt)
    }
}

/// Returns why an attempt could not be sent.
fn reason(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::NoBudget => "no-budget",
        Outcome::DeadlineExceeded => "timeout",
        Outcome::CallerLeft => "caller-left",
        _ => "no-engine",
    }
}
