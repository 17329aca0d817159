//! The HTTP client for the entry hosts.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;

/// Timeout of a request to one entry host.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// The response of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub enum Response<T> {
    /// The requested value.
    Found(T),
    /// The host answered with status 404.
    NotFound,
    /// The host did not answer, or its answer is invalid. The text is the reason.
    Failed(String),
}

/// Sends a GET request to an entry host and decodes the response body as JSON.
pub fn get<T: DeserializeOwned>(entry: SocketAddr, path: &str) -> Response<T> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut response = match agent.get(format!("http://{entry}{path}")).call() {
        Ok(response) => response,
        Err(error) => return Response::Failed(error.to_string()),
    };
    match response.status().as_u16() {
        200 => {}
        404 => return Response::NotFound,
        status => return Response::Failed(format!("the response has status {status}")),
    }
    let body = response.body_mut().with_config().limit(MAX_BODY_BYTES);
    match body.read_json() {
        Ok(value) => Response::Found(value),
        Err(error) => Response::Failed(error.to_string()),
    }
}
