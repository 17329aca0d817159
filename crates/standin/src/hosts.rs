//! Stands for the platform's host list, which lags.

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

/// What a host is, as the list says it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry host.
    Entry,
    /// An engine.
    Engine,
    /// An instance of a plain service.
    Plain,
}

/// Whether a host takes new work, as the list says it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    Live,
    /// It is leaving.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// What it is.
    pub role: Role,
    /// The base model of an engine or the service of a plain instance.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub serves: String,
    /// Whether it takes new work.
    pub state: State,
}

/// What can be switched.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// How late changes show, in milliseconds.
    LagMs(u64),
    /// Adds an entry or replaces the one of the same name.
    Put(Host),
    /// Changes the state of the entry with a name.
    State(String, State),
    /// Removes the entry with a name.
    Remove(String),
    /// Replaces the answer's body by this text; empty ends it.
    Garble(String),
    /// Whether and how the list is out.
    Outage(Outage),
}

/// What was asked so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// How often the list was read.
    pub reads: u64,
    /// Reads that met an outage.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct Inner {
    hosts: Vec<Host>,
    // Past lists with the time at which each was replaced, oldest first.
    past: VecDeque<(Instant, Vec<Host>)>,
    lag: Duration,
    garbled: String,
    outage: Outage,
    counts: Counts,
}

/// The host list without its socket.
#[derive(Debug, Default)]
pub struct List {
    state: Mutex<Inner>,
}

impl Inner {
    fn change(&mut self, now: Instant, hosts: Vec<Host>) {
        let old = std::mem::replace(&mut self.hosts, hosts);
        self.past.push_back((now, old));
    }

    fn shown(&mut self, now: Instant) -> &[Host] {
        let lag = self.lag;
        let expired = |it: &(Instant, Vec<Host>)| now.duration_since(it.0) >= lag;
        while self.past.front().is_some_and(expired) {
            self.past.pop_front();
        }
        self.past.front().map_or(&self.hosts, |it| &it.1)
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
                inner.change(now, hosts);
            }
            Switch::State(name, state) => {
                let named = hosts.iter_mut().filter(|it| it.name == name);
                named.for_each(|it| it.state = state);
                inner.change(now, hosts);
            }
            Switch::Remove(name) => {
                hosts.retain(|it| it.name != name);
                inner.change(now, hosts);
            }
        }
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Answers `GET /hosts`.
    pub async fn read(&self) -> Reply {
        let outage = self.lock().outage;
        if outage != Outage::None {
            self.lock().counts.refused += 1;
        }
        match outage {
            Outage::None => self.show(),
            Outage::Refuse => Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out"),
            Outage::Break => Reply::Break,
            Outage::Hang => std::future::pending().await,
        }
    }

    fn show(&self) -> Reply {
        let mut inner = self.lock();
        inner.counts.reads += 1;
        if !inner.garbled.is_empty() {
            return Reply::new(StatusCode::OK, inner.garbled.clone());
        }
        let hosts = inner.shown(Instant::now());
        Reply::json(StatusCode::OK, &serde_json::json!({"hosts": hosts}))
    }

    /// Answers `GET` and `POST /hosts/control`.
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

/// The host list in this process, on a thread of its own.
#[derive(Debug)]
pub struct Server {
    list: Arc<List>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port with an empty list.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start() -> Self {
        Self::listen(http::ANY_PORT).expect("loopback has a free port")
    }

    /// Starts on an address with an empty list.
    pub fn listen(address: SocketAddr) -> io::Result<Self> {
        let list = Arc::new(List::default());
        let http = http::Server::start(address, list.clone())?;
        Ok(Self { list, http })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.list.set(switch);
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.list.counts()
    }
}
