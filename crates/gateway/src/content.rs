//! Identity of the content of a request, by which its repetitions are known on all hosts.

use std::collections::BTreeSet;

use fleet::quarantine::PartId;
use hyper::{
    HeaderMap, Method,
    header::{CONTENT_LENGTH, DATE, HeaderName},
    http::Uri,
};
use sha2::{Digest, Sha256};

use crate::dialect::Dialect;

/// Headers in which repetitions of one request may differ, besides those of the dialect.
const PER_ATTEMPT: [HeaderName; 4] = [
    CONTENT_LENGTH,
    DATE,
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
];

/// Identifies the content of a request: its method, target and body, and the headers that are forwarded, which name the
/// caller. Headers in which attempts differ are left out. The digest is cryptographic, so that nobody can make a request
/// that passes for another caller's.
pub fn identify(
    dialect: &dyn Dialect,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> PartId {
    let mut digest = Sha256::new();
    let mut add = |part: &[u8]| {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        digest.update(length.to_le_bytes());
        digest.update(part);
    };
    add(method.as_str().as_bytes());
    add(uri.to_string().as_bytes());
    let names: BTreeSet<&str> = (headers.keys())
        .filter(|it| !PER_ATTEMPT.contains(it) && !dialect.is_per_attempt(it))
        .map(HeaderName::as_str)
        .collect();
    for name in names {
        for value in headers.get_all(name) {
            add(name.as_bytes());
            add(value.as_bytes());
        }
    }
    // Headers come in pairs, so an empty part can't be one of them.
    add(&[]);
    add(body);
    let digest = digest.finalize();
    let (first, _) = digest.split_at(size_of::<u64>());
    PartId(first.iter().fold(0, |sum, it| sum << 8 | u64::from(*it)))
}
