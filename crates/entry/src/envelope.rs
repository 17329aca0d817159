//! What the headers of a caller's request say, parsed once.

use std::{str::FromStr, time::Duration};

use kernel::{
    fault::{Fault, Kind},
    name::Tenant,
    request::{Class, Id, Key},
};

/// Header of the request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Header of the time left, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Header of the tenant.
pub const TENANT: &str = "x-tenant";

/// Header of the priority class.
pub const CLASS: &str = "x-class";

/// Header of the idempotency key.
pub const KEY: &str = "idempotency-key";

/// The tenant of requests that name none.
const DEFAULT_TENANT: &str = "default";

/// What the headers say.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The request's id: the caller's own or a new one.
    pub id: Id,
    /// The time that the caller gives the request, if it says so.
    pub deadline: Option<Duration>,
    /// Whose request it is.
    pub tenant: Tenant,
    /// The priority class, if the caller names one.
    pub class: Option<Class>,
    /// The idempotency key, if there is one.
    pub key: Option<Key>,
}

/// Parses the headers. `fresh` makes an id for a request that has none.
pub fn parse<'a>(
    header: impl Fn(&str) -> Option<&'a str>,
    generate_id: impl FnOnce() -> Id,
) -> Result<Envelope, Fault> {
    let id = optional(REQUEST_ID, &header)?;
    let tenant = optional(TENANT, &header)?;
    let millis: Option<u64> = optional(DEADLINE, &header)?;
    Ok(Envelope {
        id: id.unwrap_or_else(generate_id),
        deadline: millis.map(Duration::from_millis),
        tenant: tenant.unwrap_or_else(default_tenant),
        class: optional(CLASS, &header)?,
        key: optional(KEY, &header)?,
    })
}

fn default_tenant() -> Tenant {
    Tenant::new(DEFAULT_TENANT).expect("the default tenant is a name")
}

fn optional<'a, T>(name: &str, header: impl Fn(&str) -> Option<&'a str>) -> Result<Option<T>, Fault>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header(name) else {
        return Ok(None);
    };
    let parsed = text.parse::<T>();
    let value = parsed.map_err(|reason| {
        Fault::new(
            Kind::BadRequest,
            format!("header {name}: {text:?}: {reason}"),
        )
    })?;
    Ok(Some(value))
}
