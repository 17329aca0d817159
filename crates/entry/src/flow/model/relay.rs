//! Forwards chunks from an engine to a caller.

use std::time::Instant;

use kernel::{fault::Fault, permit::Outcome};
use serde_json::Value;
use serve::{Responder, Response, Stream};
use upstream::engine;

use super::{Attempt, Exchange};
use crate::{
    chat,
    flow::{placement::Placement, served_by_header, with_served_by},
};

/// Forwards the chunks of one stream.
pub(super) struct Relay<'a> {
    exchange: &'a Exchange<'a>,
    placement: &'a Placement,
    stream: engine::Stream,
    last_chunk_at: Instant,
}

impl<'a> Relay<'a> {
    /// Creates a relay for a stream whose first chunk arrived at `first_chunk_at`.
    pub fn new(
        exchange: &'a Exchange<'a>,
        placement: &'a Placement,
        stream: engine::Stream,
        first_chunk_at: Instant,
    ) -> Self {
        Self {
            exchange,
            placement,
            stream,
            last_chunk_at: first_chunk_at,
        }
    }

    /// Returns the next chunk, or `None` at the end of the stream.
    fn next(&mut self) -> Result<Option<(u64, Value)>, Fault> {
        let (index, json) = match self.stream.next() {
            engine::Item::Chunk { index, json } => (index, json),
            engine::Item::End => return Ok(None),
            engine::Item::Failed(fault) => return Err(fault),
        };
        let now = self.exchange.host.clock.now();
        let gap = now.saturating_duration_since(self.last_chunk_at);
        self.exchange
            .host
            .metrics
            .record_token_gap(&self.exchange.labels, gap);
        self.last_chunk_at = now;
        Ok(Some((index, chat::parse_chunk(&json)?)))
    }

    /// Streams the response to the caller.
    pub fn stream(mut self, first: (u64, Value), responder: Responder) -> Attempt {
        let exchange = self.exchange;
        let mut headers = exchange.headers(self.placement, "text/event-stream");
        headers.push(("cache-control".to_owned(), "no-store".to_owned()));
        headers.push(served_by_header(exchange.host));
        let mut output = responder.stream(200, headers);
        let (mut index, mut chunk) = first;
        loop {
            chat::set_model(&mut chunk, &exchange.call.reference);
            if output.write(&chat::format_event(index, &chunk)).is_err() {
                return self.cancel();
            }
            match self.next() {
                Ok(Some(next)) => (index, chunk) = next,
                Ok(None) => return self.finish(output),
                Err(fault) => return self.abort(&fault, output),
            }
        }
    }

    fn finish(self, mut output: Stream) -> Attempt {
        if output.write(chat::DONE).is_err() {
            let text = "whole, but the caller has gone";
            return self
                .exchange
                .finish(self.placement, Outcome::Completed, text);
        }
        output.finish();
        self.exchange
            .finish(self.placement, Outcome::Completed, "whole")
    }

    /// Sends the fault as an event and then breaks the connection, because the status code is
    /// already sent. The caller cannot mistake the response for a complete one.
    fn abort(self, fault: &Fault, mut output: Stream) -> Attempt {
        let id = &self.exchange.admitted.envelope.id;
        self.exchange.host.metrics.count_refusal(fault.kind);
        let response = serve::build_error_response(fault, Some(id.as_str()));
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(response.body);
        event.extend(b"\n\n");
        // The event is lost if the caller has disconnected.
        let _ = output.write(&event);
        self.exchange.finish(
            self.placement,
            Outcome::Interrupted,
            &format!("broken: {fault}"),
        )
    }

    /// Collects all chunks and sends them as one response.
    pub fn send_whole(mut self, first: &Value, responder: Responder) -> Attempt {
        let exchange = self.exchange;
        let mut completion = chat::Completion::default();
        completion.add(first);
        loop {
            if responder.is_caller_disconnected() {
                return self.cancel();
            }
            match self.next() {
                Ok(Some((_, chunk))) => completion.add(&chunk),
                Ok(None) => break,
                Err(fault) => return exchange.handle_failure(self.placement, fault, responder),
            }
        }
        let response = Response {
            status: 200,
            headers: exchange.headers(self.placement, "application/json"),
            body: completion.body(&exchange.call.reference),
        };
        responder.send(with_served_by(exchange.host, response));
        exchange.finish(self.placement, Outcome::Completed, "whole")
    }

    /// Cancels the request on the engine by dropping the stream.
    fn cancel(self) -> Attempt {
        let Self {
            exchange,
            placement,
            stream,
            ..
        } = self;
        drop(stream);
        exchange.finish(placement, Outcome::Cancelled, "the caller has gone")
    }
}
