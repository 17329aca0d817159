//! Forwards the events of a stream, and resumes the stream at another engine where the route allows
//! that.

use std::time::Duration;

use bytes::Bytes;
use fleet::{catalog::RequestKind, stall::Stage};
use futures::stream;
use http_body_util::BodyExt;

use crate::{
    clock,
    connection::{self, Connection, Failure, Part},
    exchange::{Attempt, BUDGET_PAUSE, Exchange, OpenResponse, Outcome},
    in_flight::InFlight,
    reply::{self, Body, Truncated},
    sse,
    stall::{WaitResult, wait_for_engine},
    takeover::{PLACEMENT_TIMEOUT, Takeover},
    trace::End,
};

/// Stream of events to a caller.
pub struct Relay {
    exchange: Exchange,
    upstream: Option<(connection::Body, InFlight)>,
    /// Response of another host to which the request was passed on.
    host: Option<(connection::Body, Connection)>,
    /// Keep-alive timeout of the upstream connection.
    keep_alive: Option<Duration>,
    /// Bytes of the last event, which is not complete yet.
    buffer: sse::Buffer,
    /// Id of the last complete event.
    last_event_id: Option<String>,
    /// True until the current engine or host has sent a complete event.
    awaiting_first: bool,
    progress: Progress,
    ended: bool,
}

/// Progress of a stream to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The caller was sent no event.
    Unsent,
    /// All events are of the first engine that sent one.
    Begun,
    /// A later engine or host was asked for the rest of the stream only.
    Resumed,
}

/// Part of the body that an engine sent.
enum Received {
    /// Complete events.
    Events(Bytes),
    /// The end of the body.
    End,
    /// The end of the body within an event.
    EndWithinEvent,
}

/// Result of reading from the upstream.
enum Step {
    Forward(Bytes),
    /// Another engine has taken the stream over.
    Moved,
    End,
    Broken(&'static str),
    /// The stream was sent to another engine, which did not resume it, and no other engine did.
    Lost,
    DeadlineExceeded,
}

impl Relay {
    /// Creates a stream whose response headers have been forwarded.
    pub fn new(
        exchange: Exchange,
        body: connection::Body,
        in_flight: InFlight,
        keep_alive: Option<Duration>,
    ) -> Self {
        Self {
            upstream: Some((body, in_flight)),
            keep_alive,
            ..Self::empty(exchange)
        }
    }

    /// Creates a stream that another host sends, whose response headers have been forwarded.
    pub fn of_host(exchange: Exchange, body: connection::Body, connection: Connection) -> Self {
        Self {
            host: Some((body, connection)),
            ..Self::empty(exchange)
        }
    }

    fn empty(exchange: Exchange) -> Self {
        let mut exchange = exchange;
        // Another host may have begun the stream.
        let has_begun = std::mem::replace(&mut exchange.has_begun, true);
        let last_event_id = exchange.request_head.last_event_id.clone();
        Self {
            exchange,
            upstream: None,
            host: None,
            keep_alive: None,
            buffer: sse::Buffer::default(),
            last_event_id,
            awaiting_first: true,
            progress: if has_begun {
                Progress::Resumed
            } else {
                Progress::Unsent
            },
            ended: false,
        }
    }

    /// Converts the stream to the response body for the caller.
    pub fn into_body(self) -> Body {
        reply::stream_body(stream::unfold(self, |mut it| async {
            let next = it.next().await?;
            Some((next, it))
        }))
    }

    /// Next part of the body, from the current engine or from one that resumes the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            if self.ended {
                return None;
            }
            let step = if self.host.is_some() {
                self.read_host().await
            } else {
                self.read_upstream().await
            };
            match step {
                Step::Moved => {}
                Step::Forward(bytes) => {
                    if self.progress == Progress::Unsent {
                        self.progress = Progress::Begun;
                    }
                    self.exchange.trace.record_forwarded();
                    return Some(Ok(bytes));
                }
                Step::End => {
                    self.ended = true;
                    return None;
                }
                Step::DeadlineExceeded => return Some(Err(self.truncate("timeout"))),
                Step::Broken(why) => {
                    if let Some((_, in_flight)) = &self.upstream {
                        self.exchange.record_failure(in_flight.key);
                        self.exchange.gateway.suspect_path(in_flight.key);
                        let trace = &mut self.exchange.trace;
                        trace.record_outcome(in_flight.attempt, why);
                    }
                    self.close_upstream();
                    if !self.resume(None).await {
                        return Some(Err(self.truncate("upstream-lost")));
                    }
                }
                Step::Lost => return Some(Err(self.truncate("upstream-lost"))),
            }
        }
    }

    /// Ends the stream with an error.
    fn truncate(&mut self, why: &'static str) -> Truncated {
        self.exchange.record_end(End::Truncated(why));
        self.ended = true;
        self.upstream = None;
        self.host = None;
        Truncated(why)
    }

    /// Reads the next events that another host sends.
    async fn read_host(&mut self) -> Step {
        let Some((body, _)) = &mut self.host else {
            return Step::Broken("no host");
        };
        let context = self.exchange.wait_context();
        let received = tokio::select! {
            biased;
            it = read_events(body, &mut self.buffer) => it,
            () = context.wait_for_end() => return Step::DeadlineExceeded,
        };
        match received {
            Ok(Received::Events(bytes)) if !self.may_forward(&bytes) => {
                Step::Broken("not an event")
            }
            Ok(Received::Events(bytes)) => {
                if std::mem::take(&mut self.awaiting_first) {
                    self.exchange.record_origin(None);
                }
                if let Some(id) = sse::last_event_id(&bytes) {
                    self.last_event_id = Some(id);
                }
                Step::Forward(bytes)
            }
            Ok(Received::End) => {
                self.exchange.record_end(End::Served);
                if let Some((_, connection)) = self.host.take() {
                    connection.release(self.keep_alive);
                }
                Step::End
            }
            Ok(Received::EndWithinEvent) | Err(_) => Step::Broken("host-lost"),
        }
    }

    /// Reads the next events.
    async fn read_upstream(&mut self) -> Step {
        let Some((body, in_flight)) = &mut self.upstream else {
            return Step::Broken("no engine");
        };
        let stage = if self.awaiting_first {
            Stage::FirstEvent(in_flight.expected_wait)
        } else {
            Stage::NextEvent
        };
        let context = self.exchange.wait_context();
        let key = in_flight.key;
        // Parts of an event that never ends must not extend the wait.
        let events = read_events(body, &mut self.buffer);
        match wait_for_engine(&context, key, stage, events).await {
            WaitResult::Ready(received) => {
                self.confirm_engine(&received).await;
                self.forward(received)
            }
            WaitResult::Stalled => self.take_over().await,
            WaitResult::DeadlineExceeded => Step::DeadlineExceeded,
        }
    }

    /// Waits until it is certain whether the engine that sends its first event has started again, and until it is recorded
    /// where a new stream may have begun.
    async fn confirm_engine(&self, received: &Result<Received, Failure>) {
        if let Some((_, in_flight)) = self.upstream.as_ref().filter(|_| self.awaiting_first) {
            self.exchange.confirm_engine(in_flight).await;
            if let Ok(Received::Events(_)) = received {
                self.exchange.secure_origin(in_flight).await;
            }
        }
    }

    /// Returns whether bytes may belong to the stream. In place of its rest, an engine may have sent an error.
    fn may_forward(&self, bytes: &[u8]) -> bool {
        self.progress != Progress::Resumed || sse::are_events(bytes)
    }

    /// Returns the step that follows from what the upstream sent.
    fn forward(&mut self, received: Result<Received, Failure>) -> Step {
        if let Ok(Received::Events(bytes)) = &received
            && !self.may_forward(bytes)
        {
            return Step::Broken("not an event");
        }
        let Some((_, in_flight)) = &mut self.upstream else {
            return Step::Broken("no engine");
        };
        match received {
            Ok(Received::Events(_))
                if self.awaiting_first && self.exchange.is_of_uncertain_build(in_flight) =>
            {
                Step::Broken("started again")
            }
            Ok(Received::Events(bytes)) => {
                if self.awaiting_first {
                    self.awaiting_first = false;
                    in_flight.record_first_event();
                    self.exchange.record_engine_origin(in_flight);
                }
                self.exchange.record_success(in_flight);
                if let Some(id) = sse::last_event_id(&bytes) {
                    self.last_event_id = Some(id);
                }
                Step::Forward(bytes)
            }
            Ok(Received::End) => {
                if let Some((_, in_flight)) = self.upstream.take() {
                    self.exchange.record_end(End::Served);
                    in_flight.release_connection(self.keep_alive);
                }
                Step::End
            }
            Ok(Received::EndWithinEvent) => {
                self.exchange.record_break(in_flight);
                Step::Broken("ended within an event")
            }
            Err(Failure::TooLarge(part)) => {
                let (key, attempt) = (in_flight.key, in_flight.attempt);
                self.exchange.record_too_large(key, attempt, part);
                Step::Broken(part.outcome())
            }
            Err(error) => {
                log::debug!("request {}: {error}", self.exchange.request_head.id);
                self.exchange.record_break(in_flight);
                Step::Broken("broke off")
            }
        }
    }

    /// Waits until the silent engine goes on or another engine has taken the stream over.
    async fn take_over(&mut self) -> Step {
        let Some((body, in_flight)) = &mut self.upstream else {
            return Step::Broken("no engine");
        };
        let last_event_id = self.last_event_id.clone();
        let answer = read_events(body, &mut self.buffer);
        let is_last = |it: &_| matches!(it, Ok(Received::End));
        let exchange = &mut self.exchange;
        match exchange
            .take_over(in_flight, answer, is_last, last_event_id.as_deref())
            .await
        {
            Takeover::Continued(received) => {
                self.confirm_engine(&received).await;
                self.forward(received)
            }
            Takeover::Accepted(it) => {
                self.switch_to(*it);
                Step::Moved
            }
            Takeover::Sent(attempt) => {
                self.close_upstream();
                if self.resume(Some(*attempt)).await {
                    Step::Moved
                } else {
                    Step::Lost
                }
            }
            Takeover::DeadlineExceeded => Step::DeadlineExceeded,
            Takeover::Isolated => Step::Broken("isolated"),
        }
    }

    /// Returns whether the stream is to go on at another host. Waits until it is known whether this one is cut off.
    async fn may_hand_over(&self) -> bool {
        self.exchange.route.kind == RequestKind::Resumable
            && self.exchange.may_hand_over_instead().await
    }

    /// Passes the stream on to another host. Returns false if none takes it.
    async fn hand_over(&mut self) -> bool {
        self.exchange.may_have_run = true;
        let last_event_id = self.last_event_id.clone();
        while self.exchange.may_hand_over() {
            match self.exchange.send_to_host(last_event_id.as_deref()).await {
                Ok(response) => {
                    if self.progress == Progress::Unsent {
                        self.exchange.adopt_host_build(&response);
                    }
                    let build = response.build();
                    let is_same_build = build.is_none() || build == self.exchange.build;
                    let (head, body, connection) = response.into_parts();
                    if reply::is_stream(head.status(), head.headers()) && is_same_build {
                        self.host = Some((body, connection));
                        self.await_rest();
                        return true;
                    }
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// Closes the connection to the current engine or host and forgets its incomplete event.
    fn close_upstream(&mut self) {
        self.upstream = None;
        self.host = None;
        self.buffer.clear();
    }

    /// Waits for the first event of another engine or host.
    fn await_rest(&mut self) {
        self.awaiting_first = true;
        if self.progress == Progress::Begun {
            self.progress = Progress::Resumed;
        }
    }

    /// Continues the stream with the response of another engine.
    fn switch_to(&mut self, response: OpenResponse) {
        self.close_upstream();
        let (head, body, _, in_flight) = response;
        self.keep_alive = crate::call::keep_alive_timeout(&head.headers);
        self.await_rest();
        self.upstream = Some((body, in_flight));
    }

    /// Resumes the stream at another engine after the last complete event. `sent` is an attempt that has already been
    /// sent. Returns false if no engine could resume the stream.
    async fn resume(&mut self, sent: Option<Attempt>) -> bool {
        let mut sent = sent;
        let budget_until = clock::now() + PLACEMENT_TIMEOUT;
        // An older host doesn't state the build of the stream that it sends.
        if self.progress != Progress::Unsent && self.exchange.build.is_none() {
            self.exchange.build = self.exchange.await_origin().await;
            if self.exchange.build.is_none() {
                self.exchange.trace.record_resume_failure("origin-unknown");
                return false;
            }
        }
        loop {
            if sent.is_none() && self.exchange.may_resume_elsewhere() && self.hand_over().await {
                return true;
            }
            let last_event_id = self.last_event_id.clone();
            let outcome = if let Some(attempt) = sent.take() {
                let exchange = &mut self.exchange;
                exchange.await_head(attempt, last_event_id.as_deref()).await
            } else if self.exchange.may_resume() {
                let until = clock::now() + PLACEMENT_TIMEOUT;
                let choice = match self.exchange.place_again(until).await {
                    Ok(it) => it,
                    Err(_) if self.may_hand_over().await => continue,
                    Err(fault) => {
                        self.exchange.trace.record_resume_failure(fault.name());
                        return false;
                    }
                };
                self.exchange.send(choice, last_event_id.as_deref()).await
            } else if self.may_hand_over().await {
                continue;
            } else {
                self.exchange.trace.record_resume_failure("no-attempt");
                return false;
            };
            match outcome {
                Outcome::Response(it) if reply::is_stream(it.0.status, &it.0.headers) => {
                    self.switch_to(*it);
                    return true;
                }
                Outcome::Response(it) => self.exchange.record_failure(it.3.key),
                Outcome::NotExecuted(_) | Outcome::Lost => {}
                Outcome::NoBudget if self.exchange.left_engine.is_some() => {}
                Outcome::NoBudget if clock::now() + BUDGET_PAUSE < budget_until => {
                    self.exchange.wait_for_budget().await;
                }
                Outcome::DeadlineExceeded => {
                    self.exchange.trace.record_resume_failure("timeout");
                    return false;
                }
                Outcome::CallerLeft => {
                    self.exchange.record_end(End::CallerLeft);
                    return false;
                }
                Outcome::NoBudget => {
                    self.exchange.trace.record_resume_failure("no-budget");
                    return false;
                }
            }
        }
    }
}

/// Reads until an event is complete, or the body ends.
async fn read_events(
    body: &mut connection::Body,
    buffer: &mut sse::Buffer,
) -> Result<Received, Failure> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        match buffer.push(&data) {
            Ok(Some(events)) => return Ok(Received::Events(events)),
            Ok(None) => {}
            Err(sse::TooLarge) => return Err(Failure::TooLarge(Part::Event)),
        }
    }
    Ok(if buffer.is_empty() {
        Received::End
    } else {
        Received::EndWithinEvent
    })
}
