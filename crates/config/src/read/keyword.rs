//! Parsers for the keywords and the numbers that fields take.

use derive_more::{Display, Error};
use kernel::{reference, reference::Version, service::Fencing};

use crate::{
    revision::Number,
    service::{OutagePolicy, PrefixCache, Repeat},
};

/// An error about a scalar that is not one of the keywords of its field.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{keyword:?} is not one of {known}")]
pub(super) struct UnknownKeyword {
    keyword: String,
    known: &'static str,
}

/// Returns the parsed value, or an error that lists the known keywords.
fn require_known<T>(
    keyword: &str,
    known: &'static str,
    parsed: Option<T>,
) -> Result<T, UnknownKeyword> {
    parsed.ok_or_else(|| UnknownKeyword {
        keyword: keyword.to_owned(),
        known,
    })
}

/// An error about a scalar that is not a revision number.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{_0:?} is not a revision: use a whole number")]
pub(super) struct InvalidRevision(#[error(not(source))] String);

pub(super) fn parse_revision(text: &str) -> Result<Number, InvalidRevision> {
    let number = text.parse().ok().map(Number);
    number.ok_or_else(|| InvalidRevision(text.to_owned()))
}

pub(super) fn parse_fencing(keyword: &str) -> Result<Fencing, UnknownKeyword> {
    require_known(
        keyword,
        "checked, ignored",
        crate::service::parse_fencing(keyword),
    )
}

pub(super) fn parse_prefix_cache(keyword: &str) -> Result<PrefixCache, UnknownKeyword> {
    let parsed = [PrefixCache::On, PrefixCache::Off]
        .into_iter()
        .find(|it| it.as_str() == keyword);
    require_known(keyword, "on, off", parsed)
}

/// The kind of a service, before its other fields are read.
#[derive(Clone, Copy)]
pub(super) enum ServiceKind {
    Model,
    Plain,
}

pub(super) fn parse_service_kind(keyword: &str) -> Result<ServiceKind, UnknownKeyword> {
    let parsed = match keyword {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        _ => None,
    };
    require_known(keyword, "model, plain", parsed)
}

pub(super) fn parse_repeat(keyword: &str) -> Result<Repeat, UnknownKeyword> {
    let known = [Repeat::Allowed, Repeat::Never];
    let parsed = known.into_iter().find(|it| it.as_str() == keyword);
    require_known(keyword, "allowed, never", parsed)
}

pub(super) fn parse_outage_policy(keyword: &str) -> Result<OutagePolicy, UnknownKeyword> {
    let known = [OutagePolicy::Refuse, OutagePolicy::ServeAtRisk];
    let parsed = known.into_iter().find(|it| it.as_str() == keyword);
    require_known(keyword, "refuse, serve-at-risk", parsed)
}

pub(super) fn parse_version(text: &str) -> Result<Version, reference::Invalid> {
    let invalid = |_| reference::Invalid::Version(text.to_owned());
    text.parse().map_err(invalid)
}
