//! Stand-in for the weight store, which limits the rate of loads and slows loads down when too many
//! are in flight.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    bucket::Bucket,
    control::Outage,
    http::{self, Call, Handler, Reply},
};

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Rate of loads above which calls get status 429; zero means no limit.
    pub loads_per_second: f64,
    /// Number of concurrent loads that callers should not exceed. Loads beyond this number are
    /// counted as breaches in [`Counts::over_full_speed`], but slow down only beyond
    /// [`Settings::in_flight_cap`].
    pub full_speed: u32,
    /// Number of loads in flight beyond which each load takes proportionally longer.
    pub in_flight_cap: u32,
    /// Duration of a load in milliseconds.
    pub load_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loads_per_second: 4.5,
            full_speed: 2,
            in_flight_cap: 16,
            load_ms: 250,
        }
    }
}

/// Change of the limits or of the simulated behavior.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Replaces the limits.
    Limits(Settings),
    /// Sets the adapters that the store does not have, as `SERVICE/ADAPTER@VERSION`.
    Missing(BTreeSet<String>),
    /// Sets the simulated outage.
    Outage(Outage),
}

/// Counters of the loads.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Loads that were started.
    pub started: u64,
    /// Loads that finished.
    pub finished: u64,
    /// Loads refused because the rate was exceeded.
    pub over_rate: u64,
    /// Loads started while [`Settings::full_speed`] or more loads were in flight.
    pub over_full_speed: u64,
    /// Loads started while [`Settings::in_flight_cap`] or more loads were in flight.
    pub over_cap: u64,
    /// Loads requested during an outage.
    pub refused: u64,
    /// Loads of adapters that the store does not have.
    pub missing: u64,
    /// Loads in flight at present.
    pub in_flight: u32,
    /// Maximum number of loads that were in flight at once.
    pub peak_in_flight: u32,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    bucket: Bucket,
    missing: BTreeSet<String>,
    outage: Outage,
    counts: Counts,
}

/// The weight store without its HTTP server.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
}

fn rate_limiter(settings: &Settings) -> Bucket {
    Bucket::new(settings.loads_per_second, settings.loads_per_second.ceil())
}

impl Store {
    fn new(settings: Settings) -> Self {
        Self {
            state: Mutex::new(State {
                settings,
                bucket: rate_limiter(&settings),
                missing: BTreeSet::new(),
                outage: Outage::None,
                counts: Counts::default(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the stand-in's lock is poisoned")
    }

    fn set(&self, switch: Switch) {
        let mut state = self.lock();
        match switch {
            Switch::Limits(settings) => {
                state.bucket = rate_limiter(&settings);
                state.settings = settings;
            }
            Switch::Missing(missing) => state.missing = missing,
            Switch::Outage(outage) => state.outage = outage,
        }
    }

    async fn load(self: Arc<Self>, adapter: &str) -> Reply {
        let (reply, duration) = match self.admit(adapter) {
            Admission::Respond(reply) => return reply,
            Admission::Hang => return std::future::pending().await,
            Admission::Load(duration) => (Reply::new(StatusCode::OK, adapter.to_owned()), duration),
        };
        let load = InFlightLoad(self);
        tokio::time::sleep(duration).await;
        load.0.lock().counts.finished += 1;
        reply
    }

    fn admit(&self, adapter: &str) -> Admission {
        let mut state = self.lock();
        if state.outage != Outage::None {
            state.counts.refused += 1;
        }
        match state.outage {
            Outage::None => {}
            Outage::Refuse => return refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Outage::Break => return Admission::Respond(Reply::Close),
            Outage::Hang => return Admission::Hang,
        }
        if state.missing.contains(adapter) {
            state.counts.missing += 1;
            return refuse(StatusCode::NOT_FOUND, "not-found");
        }
        if !state.bucket.try_take(Instant::now()) {
            state.counts.over_rate += 1;
            return refuse(StatusCode::TOO_MANY_REQUESTS, "throttled");
        }
        Admission::Load(state.begin_load())
    }

    fn control(&self, call: &Call) -> Reply {
        if call.method == Method::GET {
            return Reply::json(StatusCode::OK, &self.lock().counts);
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
    fn begin_load(&mut self) -> Duration {
        let Settings {
            full_speed,
            in_flight_cap,
            load_ms,
            ..
        } = self.settings;
        let counts = &mut self.counts;
        counts.started += 1;
        counts.over_full_speed += u64::from(counts.in_flight >= full_speed);
        counts.over_cap += u64::from(counts.in_flight >= in_flight_cap);
        counts.in_flight += 1;
        counts.peak_in_flight = counts.peak_in_flight.max(counts.in_flight);
        let slowdown = f64::from(counts.in_flight) / f64::from(in_flight_cap.max(1));
        Duration::from_millis(load_ms).mul_f64(slowdown.max(1.0))
    }
}

enum Admission {
    Load(Duration),
    Respond(Reply),
    Hang,
}

fn refuse(status: StatusCode, code: &str) -> Admission {
    Admission::Respond(Reply::error(status, code, "the store did not load"))
}

/// A load in flight. It ends when this is dropped, which also happens when the caller disconnects.
struct InFlightLoad(Arc<Store>);

impl Drop for InFlightLoad {
    fn drop(&mut self) {
        self.0.lock().counts.in_flight -= 1;
    }
}

impl Handler for Store {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        if call.path == "/control" {
            return self.control(&call);
        }
        match call.path.strip_prefix("/weights/") {
            Some(adapter) => self.load(adapter).await,
            None => Reply::error(StatusCode::NOT_FOUND, "unknown-path", &call.path),
        }
    }
}

/// The weight store, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    store: Arc<Store>,
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
        let store = Arc::new(Store::new(settings));
        let http = http::Server::start(address, store.clone())?;
        Ok(Self { store, http })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        self.store.set(switch);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.store.lock().counts
    }
}
