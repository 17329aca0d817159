//! Orders to engines, and reports of them.

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

use super::{Refusal, get, post, read_json};
use crate::call;

/// What became of an order to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The adapter is loaded.
    Done,
    /// Every slot is taken.
    NoSlot,
    /// A later steward has ordered something.
    StaleFence,
    /// The engine could not load it.
    Failed(String),
    /// The engine is leaving.
    Leaving,
    /// The engine can't be reached; it has not got the order.
    NotSent,
    /// The engine may or may not have loaded it, or may still be loading.
    Unknown,
}

/// What became of an order to unload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnloadOutcome {
    /// The adapter is not loaded any more.
    Done,
    /// It was not loaded.
    NotLoaded,
    /// A request is running on it.
    Busy,
    /// A later steward has ordered something.
    StaleFence,
    /// The engine can't be reached; it has not got the order.
    NotSent,
    /// The engine may or may not have unloaded it.
    Unknown,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Inventory {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// How many adapters it can hold.
    pub slots: u32,
    /// What is loaded, each with the number of requests that run on it.
    pub loaded: Vec<(Loaded, u32)>,
}

/// How much an engine had to do a while ago.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Occupancy {
    /// Changes when the engine restarts.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub capacity: u32,
    /// How old the report is.
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
    match call::send(post(address, target, &body, Instant::now() + timeout)) {
        Ok(response) => load_result(response),
        Err(failure) if failure.is_sent() => LoadOutcome::Unknown,
        Err(_) => LoadOutcome::NotSent,
    }
}

fn load_result(mut response: Response<Body>) -> LoadOutcome {
    let status = response.status().as_u16();
    if status == 200 {
        return LoadOutcome::Done;
    }
    let Refusal { code, message } = Refusal::read(&mut response);
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
    match call::send(post(address, target, &body, Instant::now() + timeout)) {
        Ok(response) => unload_result(response),
        Err(failure) if failure.is_sent() => UnloadOutcome::Unknown,
        Err(_) => UnloadOutcome::NotSent,
    }
}

fn unload_result(mut response: Response<Body>) -> UnloadOutcome {
    let status = response.status().as_u16();
    if status == 200 {
        return UnloadOutcome::Done;
    }
    let refusal = Refusal::read(&mut response);
    match (status, &*refusal.code) {
        (404, "not-loaded") => UnloadOutcome::NotLoaded,
        (409, "busy") => UnloadOutcome::Busy,
        (412, "stale-fence") => UnloadOutcome::StaleFence,
        _ => UnloadOutcome::Unknown,
    }
}

pub(super) fn models(address: SocketAddr, timeout: Duration) -> Result<Inventory, Fault> {
    let body = ask(address, "/v1/models", timeout)?;
    report(&body).ok_or_else(|| bad_answer(address, "/v1/models"))
}

fn report(body: &Value) -> Option<Inventory> {
    let entries = body["data"].as_array()?;
    let loaded = entries.iter().filter_map(entry).collect();
    Some(Inventory {
        incarnation: body["incarnation"].as_u64()?,
        slots: number(&body["slots"])?,
        loaded,
    })
}

/// An entry of the list; names that no steward gives, such as a base model, are passed over.
fn entry(value: &Value) -> Option<(Loaded, u32)> {
    let loaded = value["id"].as_str()?.parse().ok()?;
    Some((loaded, number(&value["running"])?))
}

pub(super) fn occupancy(address: SocketAddr, timeout: Duration) -> Result<Occupancy, Fault> {
    let body = ask(address, "/v1/load", timeout)?;
    read_occupancy(&body).ok_or_else(|| bad_answer(address, "/v1/load"))
}

fn read_occupancy(body: &Value) -> Option<Occupancy> {
    Some(Occupancy {
        incarnation: body["incarnation"].as_u64()?,
        running: number(&body["running"])?,
        waiting: number(&body["waiting"])?,
        capacity: number(&body["capacity"])?,
        age: Duration::from_millis(body["age_ms"].as_u64()?),
    })
}

fn number(value: &Value) -> Option<u32> {
    value.as_u64()?.try_into().ok()
}

fn ask(address: SocketAddr, path: &str, timeout: Duration) -> Result<Value, Fault> {
    let call = get(address, path.to_owned(), Instant::now() + timeout);
    let mut response = call::send(call).map_err(|failure| failure.fault())?;
    if response.status() != 200 {
        return Err(bad_answer(address, path));
    }
    read_json(&mut response).map_err(|_| bad_answer(address, path))
}

fn bad_answer(address: SocketAddr, path: &str) -> Fault {
    let detail = format!("the engine {address} gave no proper answer to {path}");
    Fault::new(Kind::BadAnswer, detail)
}
