//! Stand-in for the platform's host list, which shows changes late.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    control::Outage,
    http::{self, Call, Handler, Reply},
};

/// Role of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The host is an entry host.
    Entry,
    /// The host is an engine.
    Engine,
    /// The host is an instance of a plain service.
    Plain,
}

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host accepts new work.
    Live,
    /// The host is leaving and accepts no new work.
    Leaving,
}

/// A host of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// The address that the host listens on.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: String,
    /// The role of the host.
    pub role: Role,
    /// The base model of an engine or the service of a plain instance.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub serves: String,
    /// The state of the host.
    pub state: State,
}

/// Change of the list or of the simulated behavior.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Sets the delay in milliseconds after which changes become visible.
    LagMs(u64),
    /// Adds a host or replaces the host of the same name.
    Put(Host),
    /// Changes the state of the named host.
    State(String, State),
    /// Removes the named host.
    Remove(String),
    /// Makes reads return this text instead of the list. An empty text ends this.
    Garble(String),
    /// Sets the simulated outage.
    Outage(Outage),
}

/// Counters of the calls received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Successful reads of the list.
    pub reads: u64,
    /// Reads during an outage.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct Inner {
    hosts: Vec<Host>,
    /// Previous lists, each with the time of its replacement, oldest first.
    replaced: VecDeque<(Instant, Vec<Host>)>,
    lag: Duration,
    garbled: String,
    outage: Outage,
    counts: Counts,
}

/// The host list without its HTTP server.
#[derive(Debug, Default)]
pub struct List {
    state: Mutex<Inner>,
}

impl Inner {
    fn replace_hosts(&mut self, now: Instant, hosts: Vec<Host>) {
        let previous = std::mem::replace(&mut self.hosts, hosts);
        self.replaced.push_back((now, previous));
    }

    fn visible(&mut self, now: Instant) -> &[Host] {
        let lag = self.lag;
        let expired = |it: &(Instant, Vec<Host>)| now.duration_since(it.0) >= lag;
        while self.replaced.front().is_some_and(expired) {
            self.replaced.pop_front();
        }
        self.replaced.front().map_or(&self.hosts, |it| &it.1)
    }
}

impl List {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().expect("the stand-in's lock is poisoned")
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        let mut inner = self.lock();
        let now = Instant::now();
        let mut hosts = inner.hosts.clone();
        match switch {
            Switch::LagMs(lag) => inner.lag = Duration::from_millis(lag),
            Switch::Garble(text) => inner.garbled = text,
            Switch::Outage(outage) => inner.outage = outage,
            Switch::Put(host) => {
                hosts.retain(|it| it.name != host.name);
                hosts.push(host);
                inner.replace_hosts(now, hosts);
            }
            Switch::State(name, state) => {
                let named = hosts.iter_mut().filter(|it| it.name == name);
                named.for_each(|it| it.state = state);
                inner.replace_hosts(now, hosts);
            }
            Switch::Remove(name) => {
                hosts.retain(|it| it.name != name);
                inner.replace_hosts(now, hosts);
            }
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Handles `GET /hosts`.
    pub async fn read(&self) -> Reply {
        let outage = self.lock().outage;
        if outage != Outage::None {
            self.lock().counts.refused += 1;
        }
        match outage {
            Outage::None => self.reply_with_list(),
            Outage::Refuse => Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out"),
            Outage::Break => Reply::Close,
            Outage::Hang => std::future::pending().await,
        }
    }

    fn reply_with_list(&self) -> Reply {
        let mut inner = self.lock();
        inner.counts.reads += 1;
        if !inner.garbled.is_empty() {
            return Reply::new(StatusCode::OK, inner.garbled.clone());
        }
        let hosts = inner.visible(Instant::now());
        Reply::json(StatusCode::OK, &serde_json::json!({"hosts": hosts}))
    }

    /// Handles `GET` and `POST /hosts/control`.
    pub fn control(&self, call: &Call) -> Reply {
        if call.method == Method::GET {
            return Reply::json(StatusCode::OK, &self.counts());
        }
        match call.json() {
            Ok(switch) => {
                self.set(switch);
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Err(reply) => reply,
        }
    }
}

impl Handler for List {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        match call.path.as_str() {
            "/hosts" => self.read().await,
            "/control" | "/hosts/control" => self.control(&call),
            path => Reply::error(StatusCode::NOT_FOUND, "unknown-path", path),
        }
    }
}

/// The host list, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    list: Arc<List>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port of loopback with an empty list.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start() -> Self {
        Self::listen(http::ANY_PORT).expect("loopback has a free port")
    }

    /// Starts on the given address with an empty list.
    pub fn listen(address: SocketAddr) -> io::Result<Self> {
        let list = Arc::new(List::default());
        let http = http::Server::start(address, list.clone())?;
        Ok(Self { list, http })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.list.set(switch);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.list.counts()
    }
}
