//! Stand-in for the platform's object API.

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

/// Change of the simulated behavior or of a limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Sets the simulated outage.
    Outage(Outage),
    /// Makes the next writes take effect without a response; the value is their number.
    LoseAnswers(u64),
    /// Sets the rate above which calls get status 429; zero means no limit.
    CallsPerSecond(f64),
    /// Sets the delay in milliseconds before a call is processed.
    DelayMs(u64),
    /// Sets the number of changes that are retained for watches.
    History(usize),
}

/// Counters of the calls received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads of a single object.
    pub reads: u64,
    /// List calls.
    pub lists: u64,
    /// Watch calls.
    pub watches: u64,
    /// Writes and deletes, including those whose precondition failed.
    pub writes: u64,
    /// Calls that got status 429.
    pub throttled: u64,
    /// Calls received during an outage.
    pub refused: u64,
    /// Writes that took effect without a response.
    pub lost: u64,
}

/// The object API, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    api: Arc<Api>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port of loopback.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start() -> Self {
        Self::listen(http::ANY_PORT).expect("loopback has a free port")
    }

    /// Starts on the given address.
    pub fn listen(address: SocketAddr) -> io::Result<Self> {
        let api = Arc::new(Api::default());
        let http = http::Server::start(address, api.clone())?;
        Ok(Self { api, http })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.api.set(switch);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.api.counts()
    }
}

impl Handler for Api {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        if call.path == "/control" {
            return control(&self, &call);
        }
        self.handle(call).await
    }
}

/// Handles `GET /control` and `POST /control`.
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
