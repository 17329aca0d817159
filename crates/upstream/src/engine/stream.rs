//! A running request on an engine, read to its end across broken connections.

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

use super::{Client, Request, get, post, refused, request_target};
use crate::{
    assembly::{Assembly, Step},
    call::{self, Call},
    cancellation::Cancellation,
    sse::Parser,
};

/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;
/// Pause before a stream is asked for again; it doubles each time.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Largest body of a streamed answer in bytes.
const STREAM_BYTES: u64 = 256 * 1024 * 1024;

/// What a stream brings next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// A chunk; each comes once, in order.
    Chunk {
        /// Its place, from 0.
        index: u64,
        /// The chunk as the engine wrote it.
        json: String,
    },
    /// The answer is whole.
    End,
    /// The answer will never be whole.
    Failed(Fault),
}

/// A running request. Dropped before its end, it tells the engine to cancel.
#[derive(Debug)]
pub struct Stream {
    address: SocketAddr,
    id: Id,
    deadline: Instant,
    cancellation: Cancellation,
    assembly: Assembly,
    connection: Option<Connection>,
    pause: Duration,
    cancel: Cancel,
}

/// Whether the engine has to be told that nobody reads on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cancel {
    Needed,
    Needless,
}

/// One connection of the stream.
struct Connection {
    reader: BodyReader<'static>,
    parser: Parser,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("parser", &self.parser)
            .finish_non_exhaustive()
    }
}

impl Stream {
    pub(super) fn open(start: &Request<'_>) -> Result<Self, Fault> {
        let mut stream = Self {
            address: start.address,
            id: start.id.clone(),
            deadline: start.deadline,
            cancellation: start.cancellation.clone(),
            assembly: Assembly::new(start.loaded, start.deadline),
            connection: None,
            pause: RESUME_PAUSE,
            cancel: Cancel::Needless,
        };
        match call::send(first_call(start)?) {
            Ok(response) if response.status() == 200 => stream.connect(response),
            Ok(mut response) => return Err(refused(start.address, &mut response)),
            Err(failure) if !failure.is_sent() => return Err(failure.fault()),
            Err(failure) => stream.recover_start(&failure.fault().detail)?,
        }
        Ok(stream)
    }

    /// Asks for the stream of a request that the engine may have got, though it did not answer.
    fn recover_start(&mut self, reason: &str) -> Result<(), Fault> {
        self.cancel = Cancel::Needed;
        while self.connection.is_none() {
            self.recover(reason);
            if let Step::Failed(fault) = self.assembly.step() {
                return Err(fault);
            }
        }
        Ok(())
    }

    /// Waits for what comes next.
    #[expect(
        clippy::should_implement_trait,
        reason = "an iterator has no word for a failed end"
    )]
    pub fn next(&mut self) -> Item {
        loop {
            match self.assembly.step() {
                Step::Chunk { index, json } => {
                    self.pause = RESUME_PAUSE;
                    return Item::Chunk { index, json };
                }
                Step::ReadMore | Step::Resume { .. } => {}
                Step::End => {
                    self.cancel = Cancel::Needless;
                    return Item::End;
                }
                Step::Failed(fault) => return Item::Failed(fault),
            }
            if let Err(reason) = self.read() {
                self.recover(&reason);
            }
        }
    }

    fn connect(&mut self, response: ureq::http::Response<ureq::Body>) {
        let body = response.into_body().into_with_config().limit(STREAM_BYTES);
        self.cancel = Cancel::Needed;
        self.connection = Some(Connection {
            reader: body.reader(),
            parser: Parser::default(),
        });
    }

    /// Reads what has come, or says why nothing more can come on this connection.
    fn read(&mut self) -> Result<(), String> {
        let connection = self.connection.as_mut().ok_or("there is no connection")?;
        let mut space = [0; READ_BYTES];
        let count = connection
            .reader
            .read(&mut space)
            .map_err(|error| error.to_string())?;
        if count == 0 {
            return Err("the connection was closed".to_owned());
        }
        let mut events = Vec::new();
        let parsed = connection.parser.push(&space[..count], &mut events);
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
        if self.cancellation.is_gone() {
            return self.assembly.abandon("the caller has gone");
        }
        let Step::Resume { from } = self.assembly.handle_disconnect(Instant::now(), reason) else {
            return;
        };
        log::info!(target: "upstream", "{} is resumed at chunk {from}: {reason}.", self.id);
        self.resume(from);
    }

    fn resume(&mut self, from: u64) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        thread::sleep(self.pause.min(left));
        self.pause *= 2;
        match call::send(self.resume_call(from)) {
            Ok(response) if response.status() == 200 => self.connect(response),
            Ok(response) => {
                let reason = format!("the engine has dropped it, {}", response.status());
                self.assembly.abandon(&reason);
            }
            // The next step finds no connection and asks again, within its bounds.
            Err(failure) => {
                log::debug!(target: "upstream", "{} is not resumed: {}.", self.id, failure.fault());
            }
        }
    }

    fn resume_call(&self, from: u64) -> Call {
        let target = format!("{}?from={from}", request_target(&self.id, "stream"));
        let mut call = get(self.address, target, self.deadline);
        call.cancellation = self.cancellation.clone();
        call
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.connection = None;
        if self.cancel == Cancel::Needed {
            Client.cancel(self.address, &self.id);
        }
    }
}

fn first_call(start: &Request<'_>) -> Result<Call, Fault> {
    let target = "/v1/chat/completions".to_owned();
    let mut call = post(start.address, target, &first_body(start)?, start.deadline);
    let id = HeaderValue::from_str(start.id.as_str());
    let id = id.map_err(|_| Fault::new(Kind::BadRequest, "the request id is no header value"))?;
    call.headers.insert("x-request-id", id);
    call.start_by = start.start_by;
    call.cancellation = start.cancellation.clone();
    Ok(call)
}

fn first_body(start: &Request<'_>) -> Result<Value, Fault> {
    let Value::Object(mut body) = start.body.clone() else {
        return Err(Fault::new(Kind::BadRequest, "the body is no JSON object"));
    };
    body.insert("model".to_owned(), json!(start.loaded.to_string()));
    body.insert("priority".to_owned(), json!(start.priority));
    body.insert("stream".to_owned(), json!(true));
    Ok(body.into())
}
