//! The way of chunks from an engine to a caller.

use std::time::Instant;

use kernel::{fault::Fault, permit::Outcome};
use serde_json::Value;
use serve::{Responder, Response, Stream};
use upstream::engine;

use super::{Attempt, Way};
use crate::{
    chat,
    flow::{marked, place::Place, served_by},
};

/// Moves chunks from an engine to a caller.
pub(super) struct Pump<'a> {
    way: &'a Way<'a>,
    place: &'a Place,
    stream: engine::Stream,
    last: Instant,
}

impl<'a> Pump<'a> {
    /// A pump for a stream whose first chunk came at `first`.
    pub fn new(way: &'a Way<'a>, place: &'a Place, stream: engine::Stream, first: Instant) -> Self {
        Self {
            way,
            place,
            stream,
            last: first,
        }
    }

    /// The next chunk; nothing at the end.
    fn next(&mut self) -> Result<Option<(u64, Value)>, Fault> {
        let (index, json) = match self.stream.next() {
            engine::Item::Chunk { index, json } => (index, json),
            engine::Item::End => return Ok(None),
            engine::Item::Failed(fault) => return Err(fault),
        };
        let now = self.way.host.clock.now();
        let gap = now.saturating_duration_since(self.last);
        self.way
            .host
            .metrics
            .record_token_gap(&self.way.labels, gap);
        self.last = now;
        Ok(Some((index, chat::chunk(&json)?)))
    }

    /// Streams the answer to the caller.
    pub fn streamed(mut self, first: (u64, Value), responder: Responder) -> Attempt {
        let way = self.way;
        let mut headers = way.headers(self.place, "text/event-stream");
        headers.push(("cache-control".to_owned(), "no-store".to_owned()));
        headers.push(served_by(way.host));
        let mut out = responder.stream(200, headers);
        let (mut index, mut chunk) = first;
        loop {
            chat::rename(&mut chunk, &way.call.reference);
            if out.write(&chat::event(index, &chunk)).is_err() {
                return self.caller_gone();
            }
            match self.next() {
                Ok(Some(next)) => (index, chunk) = next,
                Ok(None) => return self.finish(out),
                Err(fault) => return self.broken(&fault, out),
            }
        }
    }

    fn finish(self, mut out: Stream) -> Attempt {
        if out.write(chat::DONE).is_err() {
            let what = "whole, but the caller has gone";
            return self.way.ended(self.place, Outcome::Completed, what);
        }
        out.finish();
        self.way.ended(self.place, Outcome::Completed, "whole")
    }

    /// The stream to the caller has begun, so the fault can only be told within it. The connection
    /// is broken after it, and nobody can take the answer for whole.
    fn broken(self, fault: &Fault, mut out: Stream) -> Attempt {
        let id = &self.way.admitted.envelope.id;
        self.way.host.metrics.count_refusal(fault.kind);
        let refusal = serve::build_error_response(fault, Some(id.as_str()));
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(refusal.body);
        event.extend(b"\n\n");
        // A caller that has gone needs no word of it.
        let _ = out.write(&event);
        self.way.ended(
            self.place,
            Outcome::Interrupted,
            &format!("broken: {fault}"),
        )
    }

    /// Gives the caller the whole answer at once.
    pub fn whole(mut self, first: &Value, responder: Responder) -> Attempt {
        let way = self.way;
        let mut whole = chat::Whole::default();
        whole.add(first);
        loop {
            if responder.is_caller_disconnected() {
                return self.caller_gone();
            }
            match self.next() {
                Ok(Some((_, chunk))) => whole.add(&chunk),
                Ok(None) => break,
                Err(fault) => return way.failed(self.place, fault, responder),
            }
        }
        let response = Response {
            status: 200,
            headers: way.headers(self.place, "application/json"),
            body: whole.body(&way.call.reference),
        };
        responder.send(marked(way.host, response));
        way.ended(self.place, Outcome::Completed, "whole")
    }

    /// Dropping the stream tells the engine to cancel.
    fn caller_gone(self) -> Attempt {
        let Self {
            way, place, stream, ..
        } = self;
        drop(stream);
        way.ended(place, Outcome::Cancelled, "the caller has gone")
    }
}
