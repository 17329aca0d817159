//! Why a message can't be understood.

use derive_more::{Display, Error};
use kernel::{fault, name, reference, request};

/// Why a message can't be understood; every kind but the first names the field.
#[derive(Debug, Display, Error)]
pub enum Invalid {
    /// The message is no message of the schema.
    #[display("malformed message: {_0}")]
    Encoding(capnp::Error),
    /// The field can't be read.
    #[display("{field} can't be read: {reason}")]
    Field {
        /// The field.
        field: &'static str,
        /// Why.
        #[error(source)]
        reason: capnp::Error,
    },
    /// The field is not UTF-8.
    #[display("{_0} is not UTF-8")]
    Utf8(#[error(not(source))] &'static str),
    /// The field is no name.
    #[display("{field} is not a name: {reason}")]
    Name {
        /// The field.
        field: &'static str,
        /// Why.
        #[error(source)]
        reason: name::Invalid,
    },
    /// The field is no reference to an adapter.
    #[display("{field} is not a reference: {reason}")]
    Reference {
        /// The field.
        field: &'static str,
        /// Why.
        #[error(source)]
        reason: reference::Invalid,
    },
    /// The field is no request id.
    #[display("{field} is not a request id: {reason}")]
    Id {
        /// The field.
        field: &'static str,
        /// Why.
        #[error(source)]
        reason: request::Invalid,
    },
    /// The field is no IP address and port.
    #[display("{_0} is not an IP address and port")]
    Address(#[error(not(source))] &'static str),
    /// The field is no priority class.
    #[display("{field} is not a class: {reason}")]
    Class {
        /// The field.
        field: &'static str,
        /// Why.
        #[error(source)]
        reason: request::UnknownClass,
    },
    /// The field is no error kind.
    #[display("{field} is not an error kind: {reason}")]
    Kind {
        /// The field.
        field: &'static str,
        /// Why.
        #[error(source)]
        reason: fault::UnknownKind,
    },
    /// The field has a value that this release does not know.
    #[display("{_0} has a value that this release does not know")]
    Unknown(#[error(not(source))] &'static str),
    /// The field is longer than allowed.
    #[display("{_0} is longer than allowed")]
    TooLong(#[error(not(source))] &'static str),
    /// The sender speaks a protocol version that is no longer understood.
    #[display("protocol version {_0} is no longer understood")]
    Protocol(#[error(not(source))] u16),
}

impl From<capnp::Error> for Invalid {
    fn from(error: capnp::Error) -> Self {
        Self::Encoding(error)
    }
}
