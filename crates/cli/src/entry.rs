//! The HTTP client for the entry hosts.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;
use ureq::{Body, BodyWithConfig};

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

impl<T> Response<T> {
    /// Converts the value. The response has failed if that fails.
    fn convert<U>(self, convert: impl FnOnce(T) -> Result<U, ureq::Error>) -> Response<U> {
        match self {
            Self::Found(it) => convert(it)
                .map_or_else(|error| Response::Failed(error.to_string()), Response::Found),
            Self::NotFound => Response::NotFound,
            Self::Failed(reason) => Response::Failed(reason),
        }
    }
}

/// Sends a GET request to an entry host and decodes the response body as JSON.
pub fn get<T: DeserializeOwned>(entry: SocketAddr, path: &str) -> Response<T> {
    fetch(entry, path).convert(|it| limit(it).read_json())
}

/// Sends a GET request to a host and returns the response body, which is text.
pub fn get_text(host: SocketAddr, path: &str) -> Response<String> {
    fetch(host, path).convert(|it| limit(it).read_to_string())
}

fn limit(body: Body) -> BodyWithConfig<'static> {
    body.into_with_config().limit(MAX_BODY_BYTES)
}

fn fetch(host: SocketAddr, path: &str) -> Response<Body> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    match agent.get(format!("http://{host}{path}")).call() {
        Ok(response) => match response.status().as_u16() {
            200 => Response::Found(response.into_body()),
            404 => Response::NotFound,
            status => Response::Failed(format!("the response has status {status}")),
        },
        Err(error) => Response::Failed(error.to_string()),
    }
}
