//! Parses the headers that apply to every request.

use std::{str::FromStr, time::Duration};

use kernel::{
    fault::{Fault, Kind},
    name::Tenant,
    request::{Class, Id, Key},
};

/// Header with the request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the remaining time in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Header with the client account.
pub const TENANT: &str = "x-tenant";

/// Header with the priority class.
pub const CLASS: &str = "x-class";

/// Header with the idempotency key.
pub const KEY: &str = "idempotency-key";

/// The tenant of requests without a tenant header.
const DEFAULT_TENANT: &str = "default";

/// The parsed headers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The request id, chosen by the caller or generated.
    pub id: Id,
    /// The time limit, if the caller set one.
    pub deadline: Option<Duration>,
    /// The client account.
    pub tenant: Tenant,
    /// The priority class, if the caller set one.
    pub class: Option<Class>,
    /// The idempotency key, if the caller set one.
    pub key: Option<Key>,
}

/// Parses the headers. `generate_id` creates an id for a request that has none.
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
    Tenant::new(DEFAULT_TENANT).expect("the default tenant is valid")
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
