//! The host list of the platform. It lags, and what it says is checked entry by entry.

use std::net::SocketAddr;

use kernel::{
    name::{Domain, Model, Service, Upstream},
    service,
};
use serde::Deserialize;
use serde_json::json;

use crate::{
    http::{self, transport::Effect, transport::Request},
    object::{Failure, Reason},
};

/// What a host is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// An entry host.
    Entry,
    /// An engine with a base model.
    Engine(Model),
    /// An instance of a plain service.
    Plain(Service),
}

/// An entry of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Its name; names of entry hosts and upstreams follow the same rules.
    pub name: Upstream,
    /// Where it listens: the peer address of an entry host.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: Domain,
    /// What it is.
    pub role: Role,
    /// Whether it takes new work.
    pub state: service::State,
}

/// The client of the host list.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// A client with connections and a budget of its own.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_http_client(http::Client::new(address))
    }

    /// A client that shares connections, counts and budget with one of the object API.
    pub fn with_http_client(http: http::Client) -> Self {
        Self { http }
    }

    /// Reads the list. An entry that can't be understood is logged and passed over.
    pub fn list(&self) -> Result<Vec<Host>, Failure> {
        let answer = self
            .http
            .call(Reason::Hosts, &Request::get("/hosts".to_owned()))?;
        if answer.status != 200 {
            return Err(answer.unexpected(Effect::Read));
        }
        let raw: RawList = answer.json()?;
        Ok(raw.hosts.into_iter().filter_map(host).collect())
    }
}

/// The upstreams of a list.
pub fn collect_instances(hosts: &[Host]) -> Vec<service::Instance> {
    hosts.iter().filter_map(instance).collect()
}

fn instance(host: &Host) -> Option<service::Instance> {
    let role = match &host.role {
        Role::Entry => return None,
        Role::Engine(model) => service::Role::Engine(model.clone()),
        Role::Plain(service) => service::Role::Plain(service.clone()),
    };
    Some(service::Instance {
        name: host.name.clone(),
        address: host.address,
        domain: host.domain.clone(),
        role,
        state: host.state,
    })
}

/// A list in the form in which the platform gives it, for hosts that can't reach the platform.
pub fn to_json(hosts: &[Host]) -> Vec<u8> {
    let hosts: Vec<_> = hosts.iter().map(entry).collect();
    let list = json!({ "hosts": hosts });
    list.to_string().into_bytes()
}

/// Reads a list. An entry that can't be understood is logged and passed over.
pub fn from_json(bytes: &[u8]) -> Result<Vec<Host>, serde_json::Error> {
    let raw: RawList = serde_json::from_slice(bytes)?;
    Ok(raw.hosts.into_iter().filter_map(host).collect())
}

fn entry(host: &Host) -> serde_json::Value {
    let (role, serves) = match &host.role {
        Role::Entry => ("entry", ""),
        Role::Engine(model) => ("engine", model.as_str()),
        Role::Plain(service) => ("plain", service.as_str()),
    };
    let state = match host.state {
        service::State::Live => "live",
        service::State::Leaving => "leaving",
    };
    json!({
        "name": host.name.as_str(),
        "address": host.address,
        "domain": host.domain.as_str(),
        "role": role,
        "serves": serves,
        "state": state,
    })
}

#[derive(Deserialize)]
struct RawList {
    hosts: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawHost {
    name: String,
    address: SocketAddr,
    domain: String,
    role: RawRole,
    #[serde(default)]
    serves: String,
    state: RawState,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawRole {
    Entry,
    Engine,
    Plain,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawState {
    Live,
    Leaving,
}

fn host(entry: serde_json::Value) -> Option<Host> {
    let shown = entry.to_string();
    match parse(entry) {
        Ok(host) => Some(host),
        Err(reason) => {
            log::warn!(target: "platform", "Passed over a host list entry: {reason}: {shown}.");
            None
        }
    }
}

fn parse(entry: serde_json::Value) -> Result<Host, String> {
    let raw: RawHost = serde_json::from_value(entry).map_err(|it| it.to_string())?;
    let named = |it: kernel::name::Invalid| it.to_string();
    let role = match raw.role {
        RawRole::Entry => Role::Entry,
        RawRole::Engine => Role::Engine(raw.serves.parse().map_err(named)?),
        RawRole::Plain => Role::Plain(raw.serves.parse().map_err(named)?),
    };
    let state = match raw.state {
        RawState::Live => service::State::Live,
        RawState::Leaving => service::State::Leaving,
    };
    Ok(Host {
        name: raw.name.parse().map_err(named)?,
        address: raw.address,
        domain: raw.domain.parse().map_err(named)?,
        role,
        state,
    })
}
