//! Validated names. A name is checked when it is created, and cloning it is cheap.

use std::{fmt, str::FromStr, sync::Arc};

use derive_more::{Display, Error};

/// The maximum length of a name.
pub const MAX_NAME_BYTES: usize = 63;

/// The reason why a string is not a valid name.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// The string is empty.
    #[display("the name is empty")]
    Empty,
    /// The string is longer than [`MAX_NAME_BYTES`].
    #[display("the name has {_0} bytes, more than {MAX_NAME_BYTES}")]
    TooLong(#[error(not(source))] usize),
    /// The string contains a character that is not allowed in names.
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
            /// Creates a name after checking the string.
            pub fn new(text: &str) -> Result<Self, Invalid> {
                check(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as a string.
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
    /// The name of a service that operators declare.
    Service;
    /// The name of an adapter of a model service.
    Adapter;
    /// The name of a base model that engines serve.
    Model;
    /// The name of a client account, whose requests are accounted together.
    Tenant;
    /// The name of a failure domain.
    Domain;
    /// The name of an entry host, which accepts requests and places them on upstreams.
    Host;
    /// The name of an engine or of an instance of a plain service.
    Upstream;
}
