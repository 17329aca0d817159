//! Stands for the platform's object API.

use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    control::Outage,
    http::{self, Call, Handler, Reply},
};

pub mod api;
pub mod store;

use api::Api;

/// What can be switched.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Whether and how the API is out.
    Outage(Outage),
    /// The next writes take effect, but their answers are lost.
    LoseAnswers(u64),
    /// Calls a second before 429; zero is no limit.
    CallsPerSecond(f64),
    /// Time that each call takes before it does anything, in milliseconds.
    DelayMs(u64),
    /// How many changes are kept for watches.
    History(usize),
}

/// What was asked so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads of one object.
    pub reads: u64,
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Writes and deletes, whether their conditions held or not.
    pub writes: u64,
    /// Calls that got 429.
    pub throttled: u64,
    /// Calls that met an outage.
    pub refused: u64,
    /// Writes whose answers were lost.
    pub lost: u64,
}

/// The object API in this process, on a thread of its own.
#[derive(Debug)]
pub struct Server {
    api: Arc<Api>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start() -> Self {
        Self::listen(http::ANY_PORT).expect("loopback has a free port")
    }

    /// Starts on an address.
    pub fn listen(address: SocketAddr) -> io::Result<Self> {
        let api = Arc::new(Api::default());
        let http = http::Server::start(address, api.clone())?;
        Ok(Self { api, http })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.api.set(switch);
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.api.counts()
    }
}

impl Handler for Api {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        if call.path == "/control" {
            return control(&self, &call);
        }
        self.platform(call).await
    }
}

/// Answers `GET /control` and `POST /control`.
pub fn control(api: &Api, call: &Call) -> Reply {
    if call.method == Method::GET {
        return Reply::json(StatusCode::OK, &api.counts());
    }
    match call.json() {
        Ok(switch) => {
            api.set(switch);
            Reply::empty(StatusCode::NO_CONTENT)
        }
        Err(reply) => reply,
    }
}
