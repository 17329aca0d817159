//! Stands for a model engine: continuous batching, few adapter slots, orders to load and unload.
//!
//! Chunk `k` of an answer is the text `SERVICE/ADAPTER@VERSION#k ` of what was really loaded, so
//! that a checker can tell whether an answer is whole and from which adapter and version.

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

/// What an engine is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Its base model.
    pub model: String,
    /// Adapter slots.
    pub slots: usize,
    /// Requests that run at once.
    pub capacity: usize,
    /// Requests that wait; more get 503 `full`.
    pub queue: usize,
    /// Time of a token with an empty batch, in microseconds.
    pub token_us: u64,
    /// Time that each running request adds to a token, in microseconds.
    pub token_per_request_us: u64,
    /// The weight store; without one a load takes `load_ms`.
    pub weights: Option<SocketAddr>,
    /// Time of a load without a weight store, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: FencingPolicy,
    /// Age of the load report before it is made anew, in milliseconds.
    pub report_lag_ms: u64,
    /// Ended requests that can still be resumed.
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

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingPolicy {
    /// It refuses the order.
    Checked,
    /// It obeys the order.
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

/// What an engine does with an order to unload an adapter that is in use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnloadPolicy {
    /// It refuses with 409 `busy`.
    #[default]
    Refuse,
    /// It obeys and ends the requests.
    Obey,
}

/// When tokens are made.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pace {
    /// After the time of a token.
    #[default]
    Timed,
    /// One for each [`Switch::Step`].
    Stepped,
}

/// What can be switched.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Restarts cold, with a new incarnation.
    Restart,
    /// Whether and how the engine is out.
    Outage(Outage),
    /// Whether the engine is leaving.
    Leaving(Toggle),
    /// The name that answers claim to come from; empty ends it.
    AnswerAs(String),
    /// Streams break off after the chunk `after` was sent.
    BreakStreams {
        /// The last chunk that is sent.
        after: u32,
        /// How many streams.
        times: u64,
    },
    /// The next loads fail.
    FailLoads(u64),
    /// What becomes of orders to unload an adapter in use.
    Unload(UnloadPolicy),
    /// What becomes of orders with an old fencing number.
    Fencing(FencingPolicy),
    /// When tokens are made.
    Pace(Pace),
    /// Makes this many tokens under [`Pace::Stepped`].
    Step(u32),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Every token was made.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// Its adapter was unloaded.
    Unloaded,
    /// The engine restarted.
    Restarted,
}

/// What the engine ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalEntry {
    /// The `X-Request-Id`.
    pub request: String,
    /// The name that was asked for.
    pub loaded: String,
    /// Chunks made so far.
    pub chunks: u32,
    /// How it ended; none while it runs.
    pub ended: Option<End>,
}

/// What was asked so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Every request that was taken, in their order.
    pub journal: Vec<JournalEntry>,
    /// Loads that ended well.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Loads refused for want of a slot.
    pub no_slot: u64,
    /// Unloads that were done.
    pub unloads: u64,
    /// FencingPolicy to unload an adapter in use, obeyed or not.
    pub busy_unloads: u64,
    /// Requests that an unload ended.
    pub ended_by_unload: u64,
    /// FencingPolicy refused for an old fencing number.
    pub stale_refused: u64,
    /// FencingPolicy with an old fencing number that were obeyed.
    pub stale_obeyed: u64,
    /// Requests for an adapter that is not loaded.
    pub not_loaded: u64,
    /// Requests refused because the engine was full.
    pub full: u64,
    /// Requests and loads that came while the engine was leaving.
    pub while_leaving: u64,
    /// Requests running or waiting now.
    pub active: usize,
    /// The most requests that ran at once.
    pub peak_running: usize,
    /// Tokens made.
    pub tokens: u64,
}

impl Counts {
    /// The entries of a request. An entry host names its attempts `REQUEST~ATTEMPT`.
    pub fn entries_for(&self, request: &str) -> Vec<&JournalEntry> {
        let entries = self.journal.iter();
        let caller = |it: &&JournalEntry| it.request.split('~').next() == Some(request);
        entries.filter(caller).collect()
    }
}

/// An engine in this process, on a thread of its own.
#[derive(Debug)]
pub struct Server {
    core: Arc<Core>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(settings: Settings) -> Self {
        Self::listen(http::ANY_PORT, settings).expect("loopback has a free port")
    }

    /// Starts on an address.
    pub fn listen(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let core = Arc::new(Core::new(settings));
        let http = http::Server::start(address, core.clone())?;
        Ok(Self { core, http })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.core.set(switch);
    }

    /// What was asked so far.
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
            Outage::Break => return Reply::Break,
            Outage::Hang => return std::future::pending().await,
        }
        route(self, call).await
    }
}

async fn route(core: Arc<Core>, call: Call) -> Reply {
    match (&call.method, call.path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => run::start(core, &call).await,
        (&Method::POST, "/v1/load_lora_adapter") => adapter::load(core, &call).await,
        (&Method::POST, "/v1/unload_lora_adapter") => adapter::unload(&core, &call),
        (&Method::GET, "/v1/models") => Reply::json(StatusCode::OK, &core.lock().models()),
        (&Method::GET, "/v1/load") => Reply::json(StatusCode::OK, &core.lock().report()),
        (method, path) => match (method, request(path)) {
            (&Method::GET, Some((id, "stream"))) => run::resume(&core, id, &call),
            (&Method::POST, Some((id, "cancel"))) => run::cancel(&core, id),
            _ => Reply::error(StatusCode::NOT_FOUND, "unknown-path", path),
        },
    }
}

/// The id and the verb of `/v1/requests/ID/VERB`.
fn request(path: &str) -> Option<(&str, &str)> {
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
