//! Words and numbers that single fields take.

use derive_more::{Display, Error};
use kernel::{reference, reference::Version, service::Fencing};

use crate::{
    revision::Number,
    service::{OutagePolicy, PrefixCache, Repeat},
};

/// A word that is not one of those that a field takes.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{word:?} is not one of {known}")]
pub(super) struct Unlisted {
    word: String,
    known: &'static str,
}

fn choose<T>(word: &str, known: &'static str, found: Option<T>) -> Result<T, Unlisted> {
    found.ok_or_else(|| Unlisted {
        word: word.to_owned(),
        known,
    })
}

/// What is no revision number.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{_0:?} is not a revision: use a whole number")]
pub(super) struct NotNumber(#[error(not(source))] String);

/// A revision number.
pub(super) fn revision(text: &str) -> Result<Number, NotNumber> {
    let number = text.parse().ok().map(Number);
    number.ok_or_else(|| NotNumber(text.to_owned()))
}

pub(super) fn fencing(word: &str) -> Result<Fencing, Unlisted> {
    choose(word, "checked, ignored", crate::service::fencing(word))
}

pub(super) fn cache(word: &str) -> Result<PrefixCache, Unlisted> {
    let found = [PrefixCache::On, PrefixCache::Off]
        .into_iter()
        .find(|it| it.word() == word);
    choose(word, "on, off", found)
}

/// The kind of a service, before its other fields are read.
#[derive(Clone, Copy)]
pub(super) enum Kind {
    Model,
    Plain,
}

pub(super) fn kind(word: &str) -> Result<Kind, Unlisted> {
    let found = match word {
        "model" => Some(Kind::Model),
        "plain" => Some(Kind::Plain),
        _ => None,
    };
    choose(word, "model, plain", found)
}

pub(super) fn repeat(word: &str) -> Result<Repeat, Unlisted> {
    let all = [Repeat::Allowed, Repeat::Never];
    let found = all.into_iter().find(|it| it.word() == word);
    choose(word, "allowed, never", found)
}

pub(super) fn outage(word: &str) -> Result<OutagePolicy, Unlisted> {
    let all = [OutagePolicy::Refuse, OutagePolicy::ServeAtRisk];
    let found = all.into_iter().find(|it| it.word() == word);
    choose(word, "refuse, serve-at-risk", found)
}

pub(super) fn version(text: &str) -> Result<Version, reference::Invalid> {
    let wrong = |_| reference::Invalid::Version(text.to_owned());
    text.parse().map_err(wrong)
}
