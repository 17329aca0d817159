//! Stands for an instance of a plain service, and counts what it ran.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    control::{Outage, Toggle},
    http::{self, Call, Handler, Reply},
};

/// What an instance is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// The service.
    pub service: String,
}

/// Where a connection is closed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// After the call was read, before it ran.
    BeforeRun,
    /// After the call ran, before its answer.
    BeforeAnswer,
    /// In the middle of the answer's body.
    DuringAnswer,
    /// After the whole answer.
    AfterAnswer,
}

/// What can be switched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Whether and how the instance is out.
    Outage(Outage),
    /// Whether the instance is leaving.
    Leaving(Toggle),
    /// Whether calls get 503 without having run.
    Refuse(Toggle),
    /// Time between reading a call and running it, in milliseconds.
    DelayMs(u64),
    /// Where the connections of the next calls are closed.
    Cut {
        /// Where.
        at: Cut,
        /// Of how many calls.
        times: u64,
    },
}

/// How often a call ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The `X-Request-Id` of the call; empty if it had none.
    pub request: String,
    /// The `Idempotency-Key` of the call; empty if it had none.
    pub key: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// How often it ran.
    pub times: u64,
}

/// What was asked so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls that ran, by what they were.
    pub runs: Vec<Run>,
    /// Calls that came.
    pub calls: u64,
    /// Calls that came while the instance was leaving.
    pub while_leaving: u64,
    /// Calls that were refused or met an outage.
    pub refused: u64,
}

impl Counts {
    /// How many calls ran.
    pub fn total_runs(&self) -> u64 {
        self.runs.iter().map(|it| it.times).sum()
    }

    /// How often calls with a request id ran.
    pub fn runs_of_request(&self, request: &str) -> u64 {
        let runs = self.runs.iter().filter(|it| it.request == request);
        runs.map(|it| it.times).sum()
    }

    /// How often calls with an idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let runs = self.runs.iter().filter(|it| it.key == key);
        runs.map(|it| it.times).sum()
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Label {
    request: String,
    key: String,
    method: String,
    path: String,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<Label, u64>,
    calls: u64,
    while_leaving: u64,
    refused: u64,
    outage: Outage,
    leaving: Toggle,
    refusing: Toggle,
    delay: Duration,
    cut: Option<(Cut, u64)>,
}

/// The instance without its socket.
#[derive(Debug)]
pub struct Instance {
    settings: Settings,
    state: Mutex<State>,
}

/// What becomes of a call that came.
enum Step {
    Run(Duration),
    Refuse(Reply),
    Hang,
}

impl Instance {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the stand-in's lock is poisoned")
    }

    fn set(&self, switch: Switch) {
        let mut state = self.lock();
        match switch {
            Switch::Outage(outage) => state.outage = outage,
            Switch::Leaving(power) => state.leaving = power,
            Switch::Refuse(power) => state.refusing = power,
            Switch::DelayMs(delay) => state.delay = Duration::from_millis(delay),
            Switch::Cut { at, times } => state.cut = Some((at, times)),
        }
    }

    fn counts(&self) -> Counts {
        let state = self.lock();
        let runs = state.runs.iter().map(|(label, times)| Run {
            request: label.request.clone(),
            key: label.key.clone(),
            method: label.method.clone(),
            path: label.path.clone(),
            times: *times,
        });
        Counts {
            runs: runs.collect(),
            calls: state.calls,
            while_leaving: state.while_leaving,
            refused: state.refused,
        }
    }

    async fn serve(&self, call: &Call) -> Reply {
        match self.admit() {
            Step::Run(delay) => tokio::time::sleep(delay).await,
            Step::Refuse(reply) => return reply,
            Step::Hang => return std::future::pending().await,
        }
        let cut = self.next_cut();
        if cut == Some(Cut::BeforeRun) {
            return Reply::Break;
        }
        let body = self.run(call);
        match cut {
            Some(Cut::BeforeAnswer) => Reply::Break,
            Some(Cut::DuringAnswer) => Reply::cut(StatusCode::OK, body.slice(..body.len() / 2)),
            Some(Cut::AfterAnswer) => Reply::new(StatusCode::OK, body).with("connection", "close"),
            _ => Reply::new(StatusCode::OK, body),
        }
    }

    fn admit(&self) -> Step {
        let mut state = self.lock();
        state.calls += 1;
        match state.outage {
            Outage::None => {}
            Outage::Refuse => return state.refuse("outage"),
            Outage::Break => return Step::Refuse(Reply::Break),
            Outage::Hang => return Step::Hang,
        }
        if state.leaving.is_on() {
            state.while_leaving += 1;
            let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "leaving", "leaving");
            return Step::Refuse(reply.with("x-leaving", "true"));
        }
        if state.refusing.is_on() {
            return state.refuse("refused");
        }
        Step::Run(state.delay)
    }

    fn next_cut(&self) -> Option<Cut> {
        let mut state = self.lock();
        let (at, times) = state.cut.filter(|it| it.1 > 0)?;
        state.cut = Some((at, times - 1));
        Some(at)
    }

    fn run(&self, call: &Call) -> Bytes {
        let text = |name| call.header(name).unwrap_or_default().to_owned();
        let label = Label {
            request: text("x-request-id"),
            key: text("idempotency-key"),
            method: call.method.to_string(),
            path: call.path.clone(),
        };
        let mut state = self.lock();
        let times = state.runs.entry(label.clone()).or_default();
        *times += 1;
        let body = serde_json::json!({
            "service": self.settings.service,
            "instance": self.settings.name,
            "method": label.method,
            "path": label.path,
            "request_id": label.request,
            "body_bytes": call.body.len(),
            "times": times,
        });
        body.to_string().into()
    }

    fn control(&self, call: &Call) -> Reply {
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

impl State {
    fn refuse(&mut self, code: &str) -> Step {
        self.refused += 1;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Step::Refuse(Reply::error(status, code, "the call did not run"))
    }
}

impl Handler for Instance {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        if call.path == "/control" {
            return self.control(&call);
        }
        // A call runs on when its caller has gone.
        let served = tokio::spawn(async move { self.serve(&call).await });
        served.await.unwrap_or(Reply::Break)
    }
}

/// An instance of a plain service in this process, on a thread of its own.
#[derive(Debug)]
pub struct Server {
    instance: Arc<Instance>,
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
        let instance = Arc::new(Instance {
            settings,
            state: Mutex::default(),
        });
        let http = http::Server::start(address, instance.clone())?;
        Ok(Self { instance, http })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.instance.set(switch);
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.instance.counts()
    }
}
