//! Control calls to engines: loading and unloading adapters, and status queries.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use kernel::{
    fault::{Fault, Kind},
    reference::Loaded,
};
use serde_json::{Value, json};
use ureq::{Body, http::Response};

use super::{ErrorBody, build_get, build_post, read_json};
use crate::call;

/// The outcome of an order to load an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The adapter is loaded.
    Done,
    /// Every adapter slot is occupied.
    NoSlot,
    /// The fencing token is stale: the engine has received an order with a newer one.
    StaleFence,
    /// The engine failed to load the adapter, with its error message.
    Failed(String),
    /// The engine is shutting down.
    Leaving,
    /// The engine could not be reached and has not received the order.
    NotSent,
    /// The engine may have loaded the adapter, may still be loading it, or may never load it.
    Unknown,
}

/// The outcome of an order to unload an adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnloadOutcome {
    /// The adapter is no longer loaded.
    Done,
    /// The adapter was not loaded.
    NotLoaded,
    /// A request is running on the adapter.
    Busy,
    /// The fencing token is stale: the engine has received an order with a newer one.
    StaleFence,
    /// The engine could not be reached and has not received the order.
    NotSent,
    /// The engine may or may not have unloaded the adapter.
    Unknown,
}

/// The adapters that an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Inventory {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// Number of adapter slots.
    pub slots: u32,
    /// Loaded adapters, each with the number of requests that run on it.
    pub loaded: Vec<(Loaded, u32)>,
}

/// The load of an engine at an earlier instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Occupancy {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait inside the engine.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub capacity: u32,
    /// Age of the report.
    pub age: Duration,
}

pub(super) fn load(
    address: SocketAddr,
    loaded: &Loaded,
    fence: u64,
    timeout: Duration,
) -> LoadOutcome {
    let body = json!({
        "lora_name": loaded.to_string(),
        "lora_path": loaded.reference.to_string(),
        "fence": fence,
    });
    let target = "/v1/load_lora_adapter".to_owned();
    match call::send(build_post(address, target, &body, Instant::now() + timeout)) {
        Ok(response) => read_load_outcome(response),
        Err(failure) if failure.is_sent() => LoadOutcome::Unknown,
        Err(_) => LoadOutcome::NotSent,
    }
}

fn read_load_outcome(mut response: Response<Body>) -> LoadOutcome {
    let status = response.status().as_u16();
    if status == 200 {
        return LoadOutcome::Done;
    }
    let ErrorBody { code, message } = ErrorBody::read(&mut response);
    match (status, &*code) {
        (409, "no-slot") => LoadOutcome::NoSlot,
        (412, "stale-fence") => LoadOutcome::StaleFence,
        (502, "load-failed") => LoadOutcome::Failed(message),
        (503, "leaving") => LoadOutcome::Leaving,
        _ => LoadOutcome::Unknown,
    }
}

pub(super) fn unload(
    address: SocketAddr,
    loaded: &Loaded,
    fence: u64,
    timeout: Duration,
) -> UnloadOutcome {
    let body = json!({"lora_name": loaded.to_string(), "fence": fence});
    let target = "/v1/unload_lora_adapter".to_owned();
    match call::send(build_post(address, target, &body, Instant::now() + timeout)) {
        Ok(response) => read_unload_outcome(response),
        Err(failure) if failure.is_sent() => UnloadOutcome::Unknown,
        Err(_) => UnloadOutcome::NotSent,
    }
}

fn read_unload_outcome(mut response: Response<Body>) -> UnloadOutcome {
    let status = response.status().as_u16();
    if status == 200 {
        return UnloadOutcome::Done;
    }
    let error_body = ErrorBody::read(&mut response);
    match (status, &*error_body.code) {
        (404, "not-loaded") => UnloadOutcome::NotLoaded,
        (409, "busy") => UnloadOutcome::Busy,
        (412, "stale-fence") => UnloadOutcome::StaleFence,
        _ => UnloadOutcome::Unknown,
    }
}

pub(super) fn fetch_inventory(address: SocketAddr, timeout: Duration) -> Result<Inventory, Fault> {
    let body = fetch(address, "/v1/models", timeout)?;
    parse_inventory(&body).ok_or_else(|| build_bad_answer_fault(address, "/v1/models"))
}

fn parse_inventory(body: &Value) -> Option<Inventory> {
    let entries = body["data"].as_array()?;
    let loaded = entries.iter().filter_map(parse_entry).collect();
    Some(Inventory {
        incarnation: body["incarnation"].as_u64()?,
        slots: parse_u32(&body["slots"])?,
        loaded,
    })
}

/// Parses an entry of the model list. Returns `None` for names that no steward assigns, such as a
/// base model.
fn parse_entry(value: &Value) -> Option<(Loaded, u32)> {
    let loaded = value["id"].as_str()?.parse().ok()?;
    Some((loaded, parse_u32(&value["running"])?))
}

pub(super) fn fetch_occupancy(address: SocketAddr, timeout: Duration) -> Result<Occupancy, Fault> {
    let body = fetch(address, "/v1/load", timeout)?;
    parse_occupancy(&body).ok_or_else(|| build_bad_answer_fault(address, "/v1/load"))
}

fn parse_occupancy(body: &Value) -> Option<Occupancy> {
    Some(Occupancy {
        incarnation: body["incarnation"].as_u64()?,
        running: parse_u32(&body["running"])?,
        waiting: parse_u32(&body["waiting"])?,
        capacity: parse_u32(&body["capacity"])?,
        age: Duration::from_millis(body["age_ms"].as_u64()?),
    })
}

fn parse_u32(value: &Value) -> Option<u32> {
    value.as_u64()?.try_into().ok()
}

fn fetch(address: SocketAddr, path: &str, timeout: Duration) -> Result<Value, Fault> {
    let call = build_get(address, path.to_owned(), Instant::now() + timeout);
    let mut response = call::send(call).map_err(|failure| failure.fault())?;
    if response.status() != 200 {
        return Err(build_bad_answer_fault(address, path));
    }
    read_json(&mut response).map_err(|_| build_bad_answer_fault(address, path))
}

fn build_bad_answer_fault(address: SocketAddr, path: &str) -> Fault {
    let detail = format!("the engine {address} gave no proper answer to {path}");
    Fault::new(Kind::BadAnswer, detail)
}
