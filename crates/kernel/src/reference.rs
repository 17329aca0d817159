//! References to adapter versions in requests, and the names of loaded adapters on engines.

use std::{num::NonZeroU32, str::FromStr};

use derive_more::{Display, Error};

use crate::name::{self, Adapter, Service};

/// A published version of an adapter; versions start at 1.
pub type Version = NonZeroU32;

/// A reference to a version of a service's adapter, as callers write it: `signs/bay-summary@7`.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{service}/{adapter}@{version}")]
pub struct Reference {
    /// The service that owns the adapter.
    pub service: Service,
    /// The adapter. Its name is unique only within the service.
    pub adapter: Adapter,
    /// The exact version.
    pub version: Version,
}

/// The name of a loaded adapter on an engine: the reference and the epoch of the load, as in
/// `signs/bay-summary@7+31`.
///
/// Each load of a reference has a different name. A delayed unload command of a former steward
/// therefore can't remove an adapter that a later steward has loaded.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{reference}+{epoch}")]
pub struct Loaded {
    /// The adapter and version.
    pub reference: Reference,
    /// The load epoch. The upper 32 bits are the fencing token of the steward that ordered the
    /// load, the lower 32 bits count that steward's loads.
    pub epoch: u64,
}

/// The reason why a string is not a valid reference.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// A separator is missing.
    #[display("{text:?} is not SERVICE/ADAPTER@VERSION: it has no {separator:?}")]
    Separator {
        /// The whole string.
        text: String,
        /// The missing separator.
        separator: char,
    },
    /// A part is not a valid name.
    #[display("{part:?} is not a name: {reason}")]
    Name {
        /// The invalid part.
        part: String,
        /// The reason why the part is not a name.
        #[error(source)]
        reason: name::Invalid,
    },
    /// The version is not a whole number of at least 1.
    #[display("{_0:?} is not a version: use a whole number from 1")]
    Version(#[error(not(source))] String),
    /// The load epoch is not a whole number.
    #[display("{_0:?} is not a load epoch: use a whole number")]
    Epoch(#[error(not(source))] String),
}

fn split(text: &str, separator: char) -> Result<(&str, &str), Invalid> {
    text.split_once(separator)
        .ok_or_else(|| Invalid::Separator {
            text: text.to_owned(),
            separator,
        })
}

fn parse_name<N>(text: &str) -> Result<N, Invalid>
where
    N: FromStr<Err = name::Invalid>,
{
    text.parse().map_err(|reason| Invalid::Name {
        part: text.to_owned(),
        reason,
    })
}

impl FromStr for Reference {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let (service, rest) = split(text, '/')?;
        let (adapter, version) = split(rest, '@')?;
        Ok(Self {
            service: parse_name(service)?,
            adapter: parse_name(adapter)?,
            version: version
                .parse()
                .map_err(|_| Invalid::Version(version.to_owned()))?,
        })
    }
}

impl FromStr for Loaded {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let (reference, epoch) = split(text, '+')?;
        Ok(Self {
            reference: reference.parse()?,
            epoch: epoch
                .parse()
                .map_err(|_| Invalid::Epoch(epoch.to_owned()))?,
        })
    }
}
