//! The host list of the platform. The list lags behind the fleet, and each entry is validated on
//! its own.

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

/// The role of a host.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// An entry host.
    Entry,
    /// An engine that serves a base model.
    Engine(Model),
    /// An instance of a plain service, which has no model.
    Plain(Service),
}

/// An entry of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// The name, which has the same syntax for entry hosts and upstreams.
    pub name: Upstream,
    /// The address on which the host listens; for an entry host, the one for its peers.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The role of the host.
    pub role: Role,
    /// The state, which tells whether the host accepts new work.
    pub state: service::State,
}

/// The client of the host list.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// Creates a client with its own budget.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_http_client(http::Client::new(address))
    }

    /// Creates a client that shares counts and budget with a client of the object API.
    pub fn with_http_client(http: http::Client) -> Self {
        Self { http }
    }

    /// Reads the list. Invalid entries are logged and skipped.
    pub fn list(&self) -> Result<Vec<Host>, Failure> {
        let response = self
            .http
            .call(Reason::Hosts, &Request::get("/hosts".to_owned()))?;
        if response.status != 200 {
            return Err(response.unexpected(Effect::Read));
        }
        let raw: RawList = response.json()?;
        Ok(raw.hosts.into_iter().filter_map(decode_host).collect())
    }
}

/// Returns the upstreams of a list as instances.
pub fn collect_instances(hosts: &[Host]) -> Vec<service::Instance> {
    hosts.iter().filter_map(to_instance).collect()
}

fn to_instance(host: &Host) -> Option<service::Instance> {
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

/// Encodes a list in the platform's format, to be sent to hosts that can't reach the platform.
pub fn to_json(hosts: &[Host]) -> Vec<u8> {
    let hosts: Vec<_> = hosts.iter().map(encode_host).collect();
    let list = json!({ "hosts": hosts });
    list.to_string().into_bytes()
}

/// Decodes a list in the platform's format. Invalid entries are logged and skipped.
pub fn from_json(bytes: &[u8]) -> Result<Vec<Host>, serde_json::Error> {
    let raw: RawList = serde_json::from_slice(bytes)?;
    Ok(raw.hosts.into_iter().filter_map(decode_host).collect())
}

fn encode_host(host: &Host) -> serde_json::Value {
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

fn decode_host(entry: serde_json::Value) -> Option<Host> {
    let text = entry.to_string();
    match parse_host(entry) {
        Ok(host) => Some(host),
        Err(reason) => {
            log::warn!(target: "platform", "Passed over a host list entry: {reason}: {text}.");
            None
        }
    }
}

fn parse_host(entry: serde_json::Value) -> Result<Host, String> {
    let raw: RawHost = serde_json::from_value(entry).map_err(|it| it.to_string())?;
    let describe = |it: kernel::name::Invalid| it.to_string();
    let role = match raw.role {
        RawRole::Entry => Role::Entry,
        RawRole::Engine => Role::Engine(raw.serves.parse().map_err(describe)?),
        RawRole::Plain => Role::Plain(raw.serves.parse().map_err(describe)?),
    };
    let state = match raw.state {
        RawState::Live => service::State::Live,
        RawState::Leaving => service::State::Leaving,
    };
    Ok(Host {
        name: raw.name.parse().map_err(describe)?,
        address: raw.address,
        domain: raw.domain.parse().map_err(describe)?,
        role,
        state,
    })
}
