//! The streamed response of a request to an engine, resumed across broken connections.

use std::{
    io::Read,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use kernel::{
    fault::{Fault, Kind},
    request::Id,
};
use serde_json::{Value, json};
use ureq::{BodyReader, http::HeaderValue};

use super::{Client, Request, build_get, build_post, format_request_target, read_rejection};
use crate::{
    assembly::{Assembly, Step},
    call::{self, Allowance, Call},
    cancellation::Cancellation,
    sse::Parser,
};

/// Most bytes read from a connection at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Delay before a stream is resumed; doubles with each attempt until a chunk arrives.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(20);
/// Longest delay before a stream is resumed.
const MAX_RESUME_DELAY: Duration = Duration::from_millis(250);
/// Statuses with which an engine tells that it doesn't know a request, or no longer has its stream.
const DROPPED_STATUSES: [u16; 2] = [404, 410];
/// Largest body of one connection of a stream.
const MAX_STREAM_BYTES: u64 = 256 * 1024 * 1024;

/// An item of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// A chunk. Each one is returned once, in order.
    Chunk {
        /// Index of the chunk, starting at 0.
        index: u64,
        /// The unmodified JSON of the engine.
        json: String,
    },
    /// The response is complete.
    End,
    /// The response cannot be completed.
    Failed(Fault),
}

/// A running request. Dropping it before its end cancels the request on the engine.
#[derive(Debug)]
pub struct Stream {
    address: SocketAddr,
    id: Id,
    deadline: Instant,
    cancellation: Cancellation,
    assembly: Assembly,
    connection: Option<Connection>,
    resume_delay: Duration,
    cancel_on_drop: CancelOnDrop,
}

/// Tells whether dropping the stream has to cancel the request on the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CancelOnDrop {
    Needed,
    NotNeeded,
}

/// One connection of the stream.
struct Connection {
    reader: BodyReader<'static>,
    parser: Parser,
    allowance: Allowance,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("parser", &self.parser)
            .finish_non_exhaustive()
    }
}

impl Stream {
    pub(super) fn open(request: &Request<'_>) -> Result<Self, Fault> {
        let mut stream = Self {
            address: request.address,
            id: request.id.clone(),
            deadline: request.deadline,
            cancellation: request.cancellation.clone(),
            assembly: Assembly::new(request.loaded, request.deadline),
            connection: None,
            resume_delay: INITIAL_RESUME_DELAY,
            cancel_on_drop: CancelOnDrop::NotNeeded,
        };
        match call::send_for_stream(build_first_call(request)?) {
            Ok((response, allowance)) if response.status() == 200 => {
                stream.connect(response, allowance);
            }
            Ok((mut response, _)) => return Err(read_rejection(request.address, &mut response)),
            Err(failure) if !failure.is_sent() => return Err(failure.fault()),
            Err(failure) => stream.recover_start(&failure.fault().detail)?,
        }
        Ok(stream)
    }

    /// Resumes a request that the engine may have received although it did not respond.
    fn recover_start(&mut self, reason: &str) -> Result<(), Fault> {
        self.cancel_on_drop = CancelOnDrop::Needed;
        while self.connection.is_none() {
            self.recover(reason);
            if let Step::Failed(fault) = self.assembly.next_step() {
                return Err(fault);
            }
        }
        Ok(())
    }

    /// Waits for the next item.
    #[expect(
        clippy::should_implement_trait,
        reason = "an iterator cannot tell a complete end from a failed one"
    )]
    pub fn next(&mut self) -> Item {
        loop {
            match self.assembly.next_step() {
                Step::Chunk { index, json } => {
                    self.resume_delay = INITIAL_RESUME_DELAY;
                    return Item::Chunk { index, json };
                }
                Step::ReadMore | Step::Resume { .. } => {}
                Step::End => {
                    self.cancel_on_drop = CancelOnDrop::NotNeeded;
                    return Item::End;
                }
                Step::Failed(fault) => return Item::Failed(fault),
            }
            if let Err(reason) = self.read_events() {
                self.recover(&reason);
            }
        }
    }

    fn connect(&mut self, response: ureq::http::Response<ureq::Body>, allowance: Allowance) {
        let body = response
            .into_body()
            .into_with_config()
            .limit(MAX_STREAM_BYTES);
        self.cancel_on_drop = CancelOnDrop::Needed;
        self.connection = Some(Connection {
            reader: body.reader(),
            parser: Parser::default(),
            allowance,
        });
    }

    /// Reads available data, or returns the reason why the connection has ended.
    fn read_events(&mut self) -> Result<(), String> {
        let connection = self.connection.as_mut().ok_or("there is no connection")?;
        let mut buffer = [0; READ_BUFFER_BYTES];
        let count = connection
            .reader
            .read(&mut buffer)
            .map_err(|error| error.to_string())?;
        if count == 0 {
            return Err("the connection was closed".to_owned());
        }
        connection.allowance.renew();
        let mut events = Vec::new();
        let parsed = connection.parser.push(&buffer[..count], &mut events);
        for event in events {
            self.assembly.push(event);
        }
        if let Err(invalid) = parsed {
            self.assembly.reject(&invalid.to_string());
        }
        Ok(())
    }

    fn recover(&mut self, reason: &str) {
        self.connection = None;
        if self.cancellation.is_cancelled() {
            return self.assembly.abandon("the caller has gone");
        }
        let Step::Resume { from } = self.assembly.handle_disconnect(Instant::now(), reason) else {
            return;
        };
        log::info!(target: "upstream", "Resuming request {} at chunk {from}: {reason}.", self.id);
        self.resume(from);
    }

    fn resume(&mut self, from: u64) {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        thread::sleep(self.resume_delay.min(remaining));
        self.resume_delay = MAX_RESUME_DELAY.min(self.resume_delay * 2);
        match call::send_for_stream(self.build_resume_call(from)) {
            Ok((response, allowance)) if response.status() == 200 => {
                self.connect(response, allowance);
            }
            Ok((response, _)) if DROPPED_STATUSES.contains(&response.status().as_u16()) => {
                let reason = format!("the engine has dropped it, {}", response.status());
                self.assembly.abandon(&reason);
            }
            // After these, the next read finds no connection and resumes again.
            Ok((response, _)) => {
                log::debug!(target: "upstream", "Failed to resume request {}: status {}.", self.id, response.status());
            }
            Err(failure) => {
                log::debug!(target: "upstream", "Failed to resume request {}: {}.", self.id, failure.fault());
            }
        }
    }

    fn build_resume_call(&self, from: u64) -> Call {
        let target = format!("{}?from={from}", format_request_target(&self.id, "stream"));
        let mut call = build_get(self.address, target, self.deadline);
        call.cancellation = self.cancellation.clone();
        call
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.connection = None;
        if self.cancel_on_drop == CancelOnDrop::Needed {
            Client.cancel(self.address, &self.id);
        }
    }
}

fn build_first_call(request: &Request<'_>) -> Result<Call, Fault> {
    let target = "/v1/chat/completions".to_owned();
    let mut call = build_post(
        request.address,
        target,
        &build_first_body(request)?,
        request.deadline,
    );
    let id = HeaderValue::from_str(request.id.as_str());
    let id = id.map_err(|_| Fault::new(Kind::BadRequest, "the request id is no header value"))?;
    call.headers.insert("x-request-id", id);
    call.start_by = request.start_by;
    call.cancellation = request.cancellation.clone();
    Ok(call)
}

fn build_first_body(request: &Request<'_>) -> Result<Value, Fault> {
    let Value::Object(mut body) = request.body.clone() else {
        return Err(Fault::new(Kind::BadRequest, "the body is no JSON object"));
    };
    body.insert("model".to_owned(), json!(request.loaded.to_string()));
    body.insert("priority".to_owned(), json!(request.priority));
    body.insert("stream".to_owned(), json!(true));
    Ok(body.into())
}
