//! Validated names. A value of one of these types has been checked once and is cheap to clone.

use std::{fmt, str::FromStr, sync::Arc};

use derive_more::{Display, Error};

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a string is not a name.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// The string has no characters.
    #[display("the name is empty")]
    Empty,
    /// The string is longer than [`MAX_NAME_BYTES`].
    #[display("the name has {_0} bytes, more than {MAX_NAME_BYTES}")]
    TooLong(#[error(not(source))] usize),
    /// The string has a character that names can't have.
    #[display("{_0:?} is not allowed in a name: use a-z, 0-9, '-', '_' and '.'")]
    Character(#[error(not(source))] char),
}

fn check(text: &str) -> Result<(), Invalid> {
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Invalid::TooLong(text.len()));
    }
    match text.chars().find(|it| !is_allowed(*it)) {
        Some(it) => Err(Invalid::Character(it)),
        None => Ok(()),
    }
}

fn is_allowed(it: char) -> bool {
    it.is_ascii_lowercase() || it.is_ascii_digit() || matches!(it, '-' | '_' | '.')
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks a string and makes a name of it.
            pub fn new(text: &str) -> Result<Self, Invalid> {
                check(text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    )*};
}

names! {
    /// A service that operators declare.
    Service;
    /// An adapter of a model service.
    Adapter;
    /// A base model that engines serve.
    Model;
    /// A customer whose requests are accounted together.
    Tenant;
    /// A failure domain.
    Domain;
    /// An entry host.
    Host;
    /// An engine or a plain service's instance.
    Upstream;
}
