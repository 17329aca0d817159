//! How a request names what it wants, and how an engine names what it has loaded.

use std::{num::NonZeroU32, str::FromStr};

use derive_more::{Display, Error};

use crate::name::{self, Adapter, Service};

/// A published version of an adapter; versions start at 1.
pub type Version = NonZeroU32;

/// An adapter and version of a service, as callers write it: `signs/bay-summary@7`.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{service}/{adapter}@{version}")]
pub struct Reference {
    /// The service that owns the adapter.
    pub service: Service,
    /// The adapter; its name is unique only within its service.
    pub adapter: Adapter,
    /// The version, always given in full.
    pub version: Version,
}

/// A reference together with the epoch of the load that put it on an engine, as engines write it:
/// `signs/bay-summary@7+31`.
///
/// Two loads of one reference never share a name, so that a late unload order of an earlier
/// steward can't hit what a later steward has loaded.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{reference}+{epoch}")]
pub struct Loaded {
    /// What was loaded.
    pub reference: Reference,
    /// The load epoch: the fencing number of the steward that ordered the load in the upper 32
    /// bits and its count of loads in the lower 32 bits.
    pub epoch: u64,
}

/// Why a string is no reference.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// The separator is missing.
    #[display("{text:?} is not SERVICE/ADAPTER@VERSION: it has no {separator:?}")]
    Separator {
        /// The whole string.
        text: String,
        /// What is missing.
        separator: char,
    },
    /// A part is no name.
    #[display("{part:?} is not a name: {reason}")]
    Name {
        /// The part.
        part: String,
        /// Why it is not.
        #[error(source)]
        reason: name::Invalid,
    },
    /// The version is no whole number from 1.
    #[display("{_0:?} is not a version: use a whole number from 1")]
    Version(#[error(not(source))] String),
    /// The epoch is no whole number.
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

fn part<N>(text: &str) -> Result<N, Invalid>
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
            service: part(service)?,
            adapter: part(adapter)?,
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
