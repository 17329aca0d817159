//! The messages between entry hosts: the schema, the generated code and the conversion to and from
//! the types of other crates. This crate does no I/O.
//!
//! The schema is `schema/comfreywing.capnp`. After changing it, run the following in this crate's
//! folder
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

/// The version of the protocol between hosts. Two hosts are compatible if the [`OLDEST_PROTOCOL`] of
/// each host is at most the version of the other one.
pub const PROTOCOL: u16 = 1;

/// The oldest protocol version that this release supports.
pub const OLDEST_PROTOCOL: u16 = 1;

/// Returns an error if the protocol version of another host is no longer supported.
pub fn check_protocol(version: u16) -> Result<(), Invalid> {
    if version < OLDEST_PROTOCOL {
        return Err(Invalid::Protocol(version));
    }
    Ok(())
}
