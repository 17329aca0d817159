//! The messages between entry hosts: schema, generated code and conversion. No I/O here.
//!
//! The schema is `schema/comfreywing.capnp`. After a change of it, run in this crate's folder
//!
//! ```text
//! capnp compile -orust:src --src-prefix=schema schema/comfreywing.capnp
//! ```
//!
//! with `capnp` 0.9 or later and `capnpc-rust` 0.27 installed, then `cargo fmt`, and commit the
//! result.

pub mod call;
#[expect(
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "The code is generated."
)]
pub mod comfreywing_capnp;
pub mod gossip;
mod invalid;
pub mod lending;
mod text;

pub use invalid::Invalid;

/// The version of the protocol between hosts. Hosts of different versions work together as long
/// as [`OLDEST_PROTOCOL`] of each is at most the other's version.
pub const PROTOCOL: u16 = 1;

/// The oldest protocol version that this release understands.
pub const OLDEST_PROTOCOL: u16 = 1;

/// Checks the protocol version of another host.
pub fn check_protocol(version: u16) -> Result<(), Invalid> {
    if version < OLDEST_PROTOCOL {
        return Err(Invalid::Protocol(version));
    }
    Ok(())
}
