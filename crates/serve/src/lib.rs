//! The HTTP server: limits against hostile senders, streamed answers, graceful shutdown.
//!
//! `rouille` 3.6 holds a streamed body back to its end and `tiny_http` has no limits against slow
//! or hostile senders, so this crate builds on `hyper`, the nearest kin that has both. Its async
//! code stays in here: one thread runs the connections, and a bounded pool of ordinary threads
//! runs the handlers, which may block.
//!
//! A caller that shuts down its sending side counts as gone, like one that closes its connection.

mod acceptor;
mod body;
mod connection;
mod exchange;
mod limits;
mod reply;
mod request;
mod responder;
mod response;
mod server;
mod socket;
mod worker;

pub use limits::{Limits, MIN_HEADER_BYTES, MIN_READ_BYTES_PER_SECOND};
pub use request::{Headers, Request};
pub use responder::{Caller, Disconnected, Responder, Stream};
pub use response::{Response, build_error_response};
pub use server::{DrainOutcome, Failure, Handler, Server};
