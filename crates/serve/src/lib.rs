//! HTTP server with limits against slow and hostile clients, streamed responses, and graceful
//! shutdown.
//!
//! `rouille` 3.6 buffers a streamed body until its end, and `tiny_http` has no limits against slow
//! or hostile clients, so this crate builds on `hyper`, which covers both. Async code stays inside
//! this crate: one thread runs the connections, and a bounded pool of ordinary threads runs the
//! handlers, which may block.
//!
//! The caller is the HTTP client whose request is served. A caller that shuts down its sending side
//! counts as disconnected, as does one that closes its connection.

mod acceptor;
mod body;
mod connection;
mod exchange;
mod limits;
mod request;
mod responder;
mod response;
mod server;
mod service;
mod socket;
mod worker;

pub use limits::{Limits, MIN_HEADER_BYTES, MIN_READ_BYTES_PER_SECOND};
pub use request::{Headers, Request};
pub use responder::{Caller, Disconnected, Responder, Stream};
pub use response::{Response, build_error_response};
pub use server::{DrainOutcome, Failure, Handler, Server};
