//! What is known of a request besides its content.

use std::{fmt, str::FromStr};

use derive_more::{Display, Error};

/// Longest request id or idempotency key in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// The priority class of a request; the order is the order of importance.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Work that may wait, such as a nightly report.
    Background,
    /// Ordinary requests.
    #[default]
    Standard,
    /// Somebody is waiting: a driver at a barrier.
    Interactive,
}

impl Class {
    /// Every class, least important first.
    pub const ALL: [Self; 3] = [Self::Background, Self::Standard, Self::Interactive];

    /// The word in headers, settings and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Standard => "standard",
            Self::Interactive => "interactive",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(word: &str) -> Result<Self, UnknownClass> {
        let found = Self::ALL.iter().find(|it| it.as_str() == word);
        found.copied().ok_or_else(|| UnknownClass(word.to_owned()))
    }
}

/// A word that no class has.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{_0:?} is not a class: use background, standard or interactive")]
pub struct UnknownClass(#[error(not(source))] pub String);

/// The id of a request: the caller's own, or one that the entry host made.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(String);

/// A key under which a call runs at most once.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(String);

/// Why a string is no id or key.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("an id has 1 to {MAX_ID_BYTES} visible ASCII characters")]
pub struct Invalid;

fn check(text: &str) -> Result<String, Invalid> {
    let fits = (1..=MAX_ID_BYTES).contains(&text.len());
    if !fits || !text.bytes().all(|it| it.is_ascii_graphic()) {
        return Err(Invalid);
    }
    Ok(text.to_owned())
}

macro_rules! ids {
    ($($name:ident),*) => {$(
        impl $name {
            /// The text of it.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                check(text).map(Self)
            }
        }
    )*};
}

ids!(Id, Key);
