//! Stand-in for a model engine with continuous batching, a limited number of adapter slots, and
//! commands to load and unload adapters.
//!
//! An adapter is loaded under a name `SERVICE/ADAPTER@VERSION+EPOCH`, the loaded adapter name. Each
//! token is sent as one chunk. Chunk `k` of an answer is the text `SERVICE/ADAPTER@VERSION#k `, which
//! names the adapter that was actually loaded. A checker can thus tell whether an answer is complete and which adapter and
//! version produced it.

use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Method, StatusCode};
use kernel::service::Fencing;
use serde::{Deserialize, Serialize};

use crate::{
    control::{Outage, Toggle},
    http::{self, Call, Handler, Reply},
};

pub mod adapter;
pub mod batch;
pub mod chat;
pub mod core;
pub mod report;
pub mod run;

use self::core::Core;

/// Configuration of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The base model.
    pub model: String,
    /// Number of adapter slots.
    pub slots: usize,
    /// Number of requests that run at once.
    pub capacity: usize,
    /// Number of requests that wait in the queue. Further ones get status 503 and code `full`.
    pub queue: usize,
    /// Time per token with an empty batch, in microseconds.
    pub token_us: u64,
    /// Time that each running request adds to a token, in microseconds.
    pub token_per_request_us: u64,
    /// Address of the weight store. Without one, a load takes `load_ms`.
    pub weights: Option<SocketAddr>,
    /// Duration of a load without a weight store, in milliseconds.
    pub load_ms: u64,
    /// Policy for commands with a stale fencing token.
    pub fencing: FencingPolicy,
    /// Age in milliseconds at which the load report is refreshed.
    pub report_lag_ms: u64,
    /// Number of ended requests that can still be resumed.
    pub kept: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: "base-7b".to_owned(),
            slots: 8,
            capacity: 32,
            queue: 64,
            token_us: 2000,
            token_per_request_us: 100,
            weights: None,
            load_ms: 20,
            fencing: FencingPolicy::Checked,
            report_lag_ms: 500,
            kept: 1024,
        }
    }
}

/// Policy for commands with a stale fencing token.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingPolicy {
    /// The command is refused.
    Checked,
    /// The command is carried out.
    Ignored,
}

impl From<Fencing> for FencingPolicy {
    fn from(fencing: Fencing) -> Self {
        match fencing {
            Fencing::Checked => Self::Checked,
            Fencing::Ignored => Self::Ignored,
        }
    }
}

/// Policy for commands to unload an adapter that is in use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnloadPolicy {
    /// The command is refused with status 409 and code `busy`.
    #[default]
    Refuse,
    /// The command is carried out and ends the requests that use the adapter.
    Obey,
}

/// Trigger of token generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pace {
    /// A token is generated after the time per token.
    #[default]
    Timed,
    /// A token is generated only when [`Switch::Step`] allows it.
    Stepped,
}

/// Change of the simulated behavior.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Restarts the engine with empty slots and a new incarnation.
    Restart,
    /// Sets the simulated outage.
    Outage(Outage),
    /// Sets whether the engine is leaving and refuses requests and loads.
    Leaving(Toggle),
    /// Makes answers claim to come from this loaded adapter name. An empty name ends this.
    AnswerAs(String),
    /// Closes the connections of streams after the chunk `after` is sent.
    BreakStreams {
        /// The last chunk that is sent.
        after: u32,
        /// The number of streams.
        times: u64,
    },
    /// Makes the next loads fail; the value is their number.
    FailLoads(u64),
    /// Sets the policy for commands to unload an adapter that is in use.
    Unload(UnloadPolicy),
    /// Sets the policy for commands with a stale fencing token.
    Fencing(FencingPolicy),
    /// Sets the trigger of token generation.
    Pace(Pace),
    /// Allows this many tokens under [`Pace::Stepped`].
    Step(u32),
}

/// Reason for the end of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// All tokens were generated.
    Finished,
    /// The request was cancelled.
    Cancelled,
    /// The adapter was unloaded.
    Unloaded,
    /// The engine restarted.
    Restarted,
}

/// A request that the engine accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalEntry {
    /// The value of the `X-Request-Id` header.
    pub request: String,
    /// The loaded adapter name that was requested.
    pub loaded: String,
    /// Chunks generated so far.
    pub chunks: u32,
    /// Reason for its end, or `None` while it waits or runs.
    pub ended: Option<End>,
}

/// Counters and journal of the engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// All accepted requests, in the order of acceptance.
    pub journal: Vec<JournalEntry>,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Loads refused because no slot was free.
    pub no_slot: u64,
    /// Unloads that were carried out.
    pub unloads: u64,
    /// Commands to unload an adapter in use, whether refused or carried out.
    pub busy_unloads: u64,
    /// Requests that were ended by an unload.
    pub ended_by_unload: u64,
    /// Commands refused because of a stale fencing token.
    pub stale_refused: u64,
    /// Commands carried out in spite of a stale fencing token.
    pub stale_obeyed: u64,
    /// Requests for an adapter that was not loaded.
    pub not_loaded: u64,
    /// Requests refused because batch and queue were full.
    pub full: u64,
    /// Requests and loads received while the engine was leaving.
    pub while_leaving: u64,
    /// Requests that are running or waiting at present.
    pub active: usize,
    /// Maximum number of requests that ran at once.
    pub peak_running: usize,
    /// Tokens generated.
    pub tokens: u64,
}

impl Counts {
    /// Returns the journal entries of a request. An entry host names its attempts
    /// `REQUEST~ATTEMPT`.
    pub fn entries_for(&self, request: &str) -> Vec<&JournalEntry> {
        let entries = self.journal.iter();
        let matches = |it: &&JournalEntry| it.request.split('~').next() == Some(request);
        entries.filter(matches).collect()
    }
}

/// An engine, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    core: Arc<Core>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port of loopback.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(settings: Settings) -> Self {
        Self::listen(http::ANY_PORT, settings).expect("loopback has a free port")
    }

    /// Starts on the given address.
    pub fn listen(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let core = Arc::new(Core::new(settings));
        let http = http::Server::start(address, core.clone())?;
        Ok(Self { core, http })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.core.set(switch);
    }

    /// Returns the counters and the journal.
    pub fn counts(&self) -> Counts {
        self.core.lock().counts()
    }
}

impl Handler for Core {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        if call.path == "/control" {
            return control(&self, &call);
        }
        match self.outage() {
            Outage::None => {}
            Outage::Refuse => {
                return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out of service");
            }
            Outage::Break => return Reply::Close,
            Outage::Hang => return std::future::pending().await,
        }
        route(self, call).await
    }
}

async fn route(core: Arc<Core>, call: Call) -> Reply {
    match (&call.method, call.path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => run::complete(core, &call).await,
        (&Method::POST, "/v1/load_lora_adapter") => adapter::load(core, &call).await,
        (&Method::POST, "/v1/unload_lora_adapter") => adapter::unload(&core, &call),
        (&Method::GET, "/v1/models") => Reply::json(StatusCode::OK, &core.lock().models()),
        (&Method::GET, "/v1/load") => Reply::json(StatusCode::OK, &core.lock().report()),
        (method, path) => match (method, parse_request_path(path)) {
            (&Method::GET, Some((id, "stream"))) => run::resume(&core, id, &call),
            (&Method::POST, Some((id, "cancel"))) => run::cancel(&core, id),
            _ => Reply::error(StatusCode::NOT_FOUND, "unknown-path", path),
        },
    }
}

/// Splits `/v1/requests/ID/ACTION` into the id and the action.
fn parse_request_path(path: &str) -> Option<(&str, &str)> {
    path.strip_prefix("/v1/requests/")?.rsplit_once('/')
}

fn control(core: &Core, call: &Call) -> Reply {
    if call.method == Method::GET {
        return Reply::json(StatusCode::OK, &core.lock().counts());
    }
    match call.json() {
        Ok(switch) => {
            core.set(switch);
            Reply::empty(StatusCode::NO_CONTENT)
        }
        Err(reply) => reply,
    }
}
