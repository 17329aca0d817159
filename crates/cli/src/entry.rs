//! Asking entry hosts.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;

/// How long one entry host may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// What an entry host answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<T> {
    /// What was asked for.
    Found(T),
    /// It does not know the thing.
    Absent,
    /// It did not answer, or with something else.
    Failed(String),
}

/// Asks an entry host.
pub fn get<T: DeserializeOwned>(entry: SocketAddr, path: &str) -> Answer<T> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut response = match agent.get(format!("http://{entry}{path}")).call() {
        Ok(response) => response,
        Err(error) => return Answer::Failed(error.to_string()),
    };
    match response.status().as_u16() {
        200 => {}
        404 => return Answer::Absent,
        status => return Answer::Failed(format!("it answered with status {status}")),
    }
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    match body.read_json() {
        Ok(value) => Answer::Found(value),
        Err(error) => Answer::Failed(error.to_string()),
    }
}
