//! Reading text fields.

use std::{net::SocketAddr, str::FromStr};

use kernel::name;

use crate::Invalid;

/// A text field as it was read.
pub(crate) type Raw<'a> = capnp::Result<capnp::text::Reader<'a>>;

pub(crate) fn field<T>(field: &'static str, value: capnp::Result<T>) -> Result<T, Invalid> {
    value.map_err(|reason| Invalid::Field { field, reason })
}

pub(crate) fn text<'a>(name: &'static str, raw: Raw<'a>) -> Result<&'a str, Invalid> {
    let raw = field(name, raw)?;
    raw.to_str().map_err(|_| Invalid::Utf8(name))
}

pub(crate) fn name<N>(field: &'static str, raw: Raw<'_>) -> Result<N, Invalid>
where
    N: FromStr<Err = name::Invalid>,
{
    let text = text(field, raw)?;
    text.parse()
        .map_err(|reason| Invalid::Name { field, reason })
}

pub(crate) fn address(field: &'static str, raw: Raw<'_>) -> Result<SocketAddr, Invalid> {
    let text = text(field, raw)?;
    text.parse().map_err(|_| Invalid::Address(field))
}
