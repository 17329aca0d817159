//! Tests of the clients against upstreams that follow a script.

mod assembly;
mod engine;
mod plain;
mod sse;
mod support;
