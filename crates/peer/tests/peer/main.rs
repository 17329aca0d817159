//! Tests of services that communicate over loopback sockets.

mod calls;
mod fixture;
mod unauthenticated;
