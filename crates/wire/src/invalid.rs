//! The error for messages that can't be encoded or decoded.

use derive_more::{Display, Error};
use kernel::{fault, name, reference, request};

/// The reason why a message is invalid. All variants except [`Invalid::Encoding`] and
/// [`Invalid::Protocol`] name the field.
#[derive(Debug, Display, Error)]
pub enum Invalid {
    /// The message does not conform to the schema.
    #[display("malformed message: {_0}")]
    Encoding(capnp::Error),
    /// The field can't be read.
    #[display("{field} can't be read: {reason}")]
    Field {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        #[error(source)]
        reason: capnp::Error,
    },
    /// The field is not UTF-8.
    #[display("{_0} is not UTF-8")]
    Utf8(#[error(not(source))] &'static str),
    /// The field is not a valid name.
    #[display("{field} is not a name: {reason}")]
    Name {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        #[error(source)]
        reason: name::Invalid,
    },
    /// The field is not a valid reference to an adapter.
    #[display("{field} is not a reference: {reason}")]
    Reference {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        #[error(source)]
        reason: reference::Invalid,
    },
    /// The field is not a valid request id.
    #[display("{field} is not a request id: {reason}")]
    Id {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        #[error(source)]
        reason: request::Invalid,
    },
    /// The field is not an IP address and port.
    #[display("{_0} is not an IP address and port")]
    Address(#[error(not(source))] &'static str),
    /// The field is not a priority class.
    #[display("{field} is not a class: {reason}")]
    Class {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        #[error(source)]
        reason: request::UnknownClass,
    },
    /// The field is not an error kind.
    #[display("{field} is not an error kind: {reason}")]
    Kind {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        #[error(source)]
        reason: fault::UnknownKind,
    },
    /// The field has a value that this release does not know.
    #[display("{_0} has a value that this release does not know")]
    Unknown(#[error(not(source))] &'static str),
    /// The field exceeds its maximum length.
    #[display("{_0} is longer than allowed")]
    TooLong(#[error(not(source))] &'static str),
    /// The protocol version of the sender is no longer supported.
    #[display("protocol version {_0} is no longer understood")]
    Protocol(#[error(not(source))] u16),
}

impl From<capnp::Error> for Invalid {
    fn from(error: capnp::Error) -> Self {
        Self::Encoding(error)
    }
}
