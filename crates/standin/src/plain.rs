//! Stand-in for an instance of a plain service, which counts the calls that it runs.

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

/// Identity of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance.
    pub name: String,
    /// The name of its service.
    pub service: String,
}

/// Point at which the connection of a call is closed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// After the call is read and before it runs.
    BeforeRun,
    /// After the call has run and before the response.
    BeforeAnswer,
    /// In the middle of the response body.
    DuringAnswer,
    /// After the whole response.
    AfterAnswer,
    /// By the peer only: the response body never ends.
    ByPeer,
}

/// Change of the simulated behavior.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Sets the simulated outage.
    Outage(Outage),
    /// Sets whether the instance is leaving and refuses calls.
    Leaving(Toggle),
    /// Sets whether calls get status 503 without running.
    Refuse(Toggle),
    /// Sets the delay between reading a call and running it, in milliseconds.
    DelayMs(u64),
    /// Closes the connections of the next calls early.
    Cut {
        /// The point at which they are closed.
        at: Cut,
        /// The number of calls.
        times: u64,
    },
}

/// Number of runs of calls that agree in request id, key, method and path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The `X-Request-Id` of the call; empty if it had none.
    pub request: String,
    /// The `Idempotency-Key` of the call; empty if it had none.
    pub key: String,
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The number of runs.
    pub times: u64,
}

/// Counters of the calls received.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// The calls that ran.
    pub runs: Vec<Run>,
    /// Calls received.
    pub calls: u64,
    /// Calls received while the instance was leaving.
    pub while_leaving: u64,
    /// Calls refused by [`Switch::Refuse`] or [`Outage::Refuse`].
    pub refused: u64,
}

impl Counts {
    /// Returns the number of runs of all calls.
    pub fn total_runs(&self) -> u64 {
        self.runs.iter().map(|it| it.times).sum()
    }

    /// Returns the number of runs of calls with a request id.
    pub fn runs_of_request(&self, request: &str) -> u64 {
        let runs = self.runs.iter().filter(|it| it.request == request);
        runs.map(|it| it.times).sum()
    }

    /// Returns the number of runs of calls with an idempotency key.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let runs = self.runs.iter().filter(|it| it.key == key);
        runs.map(|it| it.times).sum()
    }
}

/// Identity of calls whose runs are counted together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CallKey {
    request: String,
    key: String,
    method: String,
    path: String,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<CallKey, u64>,
    calls: u64,
    while_leaving: u64,
    refused: u64,
    outage: Outage,
    leaving: Toggle,
    refusing: Toggle,
    delay: Duration,
    /// Point at which connections are closed, and the number of calls left to which this applies.
    cut: Option<(Cut, u64)>,
}

/// The instance without its HTTP server.
#[derive(Debug)]
pub struct Instance {
    settings: Settings,
    state: Mutex<State>,
}

/// Decision on a call before it runs.
enum Admission {
    Run(Duration),
    Respond(Reply),
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
            Switch::Leaving(toggle) => state.leaving = toggle,
            Switch::Refuse(toggle) => state.refusing = toggle,
            Switch::DelayMs(delay) => state.delay = Duration::from_millis(delay),
            Switch::Cut { at, times } => state.cut = Some((at, times)),
        }
    }

    fn counts(&self) -> Counts {
        let state = self.lock();
        let runs = state.runs.iter().map(|(call_key, times)| Run {
            request: call_key.request.clone(),
            key: call_key.key.clone(),
            method: call_key.method.clone(),
            path: call_key.path.clone(),
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
            Admission::Run(delay) => tokio::time::sleep(delay).await,
            Admission::Respond(reply) => return reply,
            Admission::Hang => return std::future::pending().await,
        }
        let cut = self.take_cut();
        if cut == Some(Cut::BeforeRun) {
            return Reply::Close;
        }
        let body = self.record_run(call);
        match cut {
            Some(Cut::BeforeAnswer) => Reply::Close,
            Some(Cut::DuringAnswer) => {
                Reply::truncated(StatusCode::OK, body.slice(..body.len() / 2))
            }
            Some(Cut::ByPeer) => Reply::endless(StatusCode::OK, &body),
            Some(Cut::AfterAnswer) => self.answer(body).with("connection", "close"),
            _ => self.answer(body),
        }
    }

    /// Builds the response to a call that ran. Its headers have meanings of the instance's own, although
    /// an entry host uses the same names.
    fn answer(&self, body: Bytes) -> Reply {
        Reply::new(StatusCode::OK, body)
            .with("x-request-id", &self.settings.name)
            .with("x-served-by", &self.settings.name)
            .with("x-upstream", "none")
    }

    fn admit(&self) -> Admission {
        let mut state = self.lock();
        state.calls += 1;
        match state.outage {
            Outage::None => {}
            Outage::Refuse => return state.refuse("outage"),
            Outage::Break => return Admission::Respond(Reply::Close),
            Outage::Hang => return Admission::Hang,
        }
        if state.leaving.is_on() {
            state.while_leaving += 1;
            let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "leaving", "leaving");
            return Admission::Respond(reply.with("x-leaving", "true"));
        }
        if state.refusing.is_on() {
            return state.refuse("refused");
        }
        Admission::Run(state.delay)
    }

    fn take_cut(&self) -> Option<Cut> {
        let mut state = self.lock();
        let (at, times) = state.cut.filter(|it| it.1 > 0)?;
        state.cut = Some((at, times - 1));
        Some(at)
    }

    fn record_run(&self, call: &Call) -> Bytes {
        let text = |name| call.header(name).unwrap_or_default().to_owned();
        let call_key = CallKey {
            request: text("x-request-id"),
            key: text("idempotency-key"),
            method: call.method.to_string(),
            path: call.path.clone(),
        };
        let mut state = self.lock();
        let times = state.runs.entry(call_key.clone()).or_default();
        *times += 1;
        let body = serde_json::json!({
            "service": self.settings.service,
            "instance": self.settings.name,
            "method": call_key.method,
            "path": call_key.path,
            "request_id": call_key.request,
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
    fn refuse(&mut self, code: &str) -> Admission {
        self.refused += 1;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Admission::Respond(Reply::error(status, code, "the call did not run"))
    }
}

impl Handler for Instance {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        if call.path == "/control" {
            return self.control(&call);
        }
        // A call runs to its end even if its caller disconnects.
        let served = tokio::spawn(async move { self.serve(&call).await });
        served.await.unwrap_or(Reply::Close)
    }
}

/// An instance of a plain service, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    instance: Arc<Instance>,
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
        let instance = Arc::new(Instance {
            settings,
            state: Mutex::default(),
        });
        let http = http::Server::start(address, instance.clone())?;
        Ok(Self { instance, http })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.instance.set(switch);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.instance.counts()
    }
}
