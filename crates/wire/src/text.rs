//! Functions that read text fields of messages.

use std::{net::SocketAddr, str::FromStr};

use kernel::name;

use crate::Invalid;

/// A text field of a message before validation.
pub(crate) type RawText<'a> = capnp::Result<capnp::text::Reader<'a>>;

/// Adds the name of the field to an error.
pub(crate) fn read_field<T>(field: &'static str, value: capnp::Result<T>) -> Result<T, Invalid> {
    value.map_err(|reason| Invalid::Field { field, reason })
}

pub(crate) fn read_text<'a>(field: &'static str, raw: RawText<'a>) -> Result<&'a str, Invalid> {
    let raw = read_field(field, raw)?;
    raw.to_str().map_err(|_| Invalid::Utf8(field))
}

pub(crate) fn read_name<N>(field: &'static str, raw: RawText<'_>) -> Result<N, Invalid>
where
    N: FromStr<Err = name::Invalid>,
{
    let text = read_text(field, raw)?;
    text.parse()
        .map_err(|reason| Invalid::Name { field, reason })
}

pub(crate) fn read_address(field: &'static str, raw: RawText<'_>) -> Result<SocketAddr, Invalid> {
    let text = read_text(field, raw)?;
    text.parse().map_err(|_| Invalid::Address(field))
}
