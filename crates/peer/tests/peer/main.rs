//! Services on loopback sockets.

mod calls;
mod fixture;
mod strangers;
