//! A request as handlers see it.

use std::{net::SocketAddr, time::Instant};

use hyper::{HeaderMap, http};
use kernel::fault::{Fault, Kind};

/// Header fields in the order of arrival; names compare without regard to case.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Every field.
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

/// One request, its body read to the end.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// The path as sent, percent-encoded.
    pub path: String,
    /// What follows the `?`, as sent.
    pub query: Option<String>,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// The other end of the connection.
    pub peer: SocketAddr,
    /// When the headers were complete.
    pub received_at: Instant,
}

impl Request {
    /// Takes over the head of a request; the body is still to come.
    pub(crate) fn from_head(
        head: &http::request::Parts,
        peer: SocketAddr,
        received: Instant,
    ) -> Result<Self, Fault> {
        Ok(Self {
            headers: Headers(fields(&head.headers)?),
            method: head.method.as_str().to_owned(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().map(str::to_owned),
            body: Vec::new(),
            peer,
            received_at: received,
        })
    }
}

fn fields(map: &HeaderMap) -> Result<Vec<(String, String)>, Fault> {
    map.iter()
        .map(|(name, value)| {
            let value = std::str::from_utf8(value.as_bytes())
                .map_err(|_| Fault::new(Kind::BadRequest, format!("header {name} is not UTF-8")))?;
            Ok((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}
