//! The request that a handler receives.

use std::{net::SocketAddr, time::Instant};

use hyper::{HeaderMap, http};
use kernel::fault::{Fault, Kind};

/// Header fields in the order of arrival; [`Headers::get`] ignores the case of names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Iterates over all fields as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

impl From<Vec<(String, String)>> for Headers {
    fn from(fields: Vec<(String, String)>) -> Self {
        Self(fields)
    }
}

/// One request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// The path as sent, percent-encoded.
    pub path: String,
    /// The query, as sent and without the `?`.
    pub query: Option<String>,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// Instant at which the headers were complete.
    pub received_at: Instant,
}

impl Request {
    /// Converts the head of a request; the body is left empty.
    pub(crate) fn from_head(
        head: &http::request::Parts,
        peer: SocketAddr,
        received_at: Instant,
    ) -> Result<Self, Fault> {
        Ok(Self {
            headers: Headers(convert_headers(&head.headers)?),
            method: head.method.as_str().to_owned(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().map(str::to_owned),
            body: Vec::new(),
            peer,
            received_at,
        })
    }
}

fn convert_headers(map: &HeaderMap) -> Result<Vec<(String, String)>, Fault> {
    map.iter()
        .map(|(name, value)| {
            let value = std::str::from_utf8(value.as_bytes())
                .map_err(|_| Fault::new(Kind::BadRequest, format!("header {name} is not UTF-8")))?;
            Ok((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}
