//! Callers that reuse their connections, and the responses that they receive.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::world::{
    WAIT_TIMEOUT,
    client::{Request, Response},
};

/// Maximum number of requests on one connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 6;

/// Number of requested adapters.
const ADAPTERS: usize = 12;

/// The time limit that callers send with each request.
const TIMEOUT_MS: &str = "4000";

/// The routes of the stand-in's configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// A streamed request that may be resumed.
    Stream,
    /// A streamed request that may run only once.
    Once,
    /// A plain request that may run only once.
    Write,
    /// A plain request that may be repeated.
    Read,
}

impl Route {
    pub const ALL: [Self; 4] = [Self::Stream, Self::Once, Self::Write, Self::Read];

    pub fn path(self) -> &'static str {
        match self {
            Self::Stream => "/stream/x",
            Self::Once => "/once/x",
            Self::Write => "/write/x",
            Self::Read => "/read/x",
        }
    }

    pub fn is_streamed(self) -> bool {
        matches!(self, Self::Stream | Self::Once)
    }

    pub fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Write)
    }

    /// Maximum number of engines to which a request may be sent.
    pub fn max_attempts(self) -> usize {
        if self == Self::Once { 1 } else { 2 }
    }
}

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub route: Route,
    pub model: String,
    pub host: usize,
    pub sent_at: Instant,
    pub answer: Response,
}

/// The state shared by all callers.
pub struct Traffic {
    /// The callers' addresses of the hosts.
    pub hosts: Vec<SocketAddr>,
    pub calls: Mutex<Vec<Call>>,
    pub stop: AtomicBool,
    next_id: AtomicUsize,
}

impl Traffic {
    pub fn new(hosts: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            hosts,
            calls: Mutex::default(),
            stop: AtomicBool::new(false),
            next_id: AtomicUsize::new(0),
        })
    }

    /// Creates a request with a new id.
    pub fn next_request(&self, rng: &mut StdRng, route: Route) -> (String, String, Request) {
        let id = format!("r-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let rank = rng
            .random_range(0..ADAPTERS)
            .min(rng.random_range(0..ADAPTERS));
        let model = format!("m/a{rank}");
        let request = if route.is_streamed() {
            Request::prompt(route.path(), &id, &model)
        } else {
            Request::post(route.path(), &id, &format!("body of {id}"))
        };
        (id, model, request)
    }

    /// Sends one request on a new connection.
    pub fn send(&self, rng: &mut StdRng, route: Route, host: usize) -> Response {
        let mut connection = None;
        self.send_on(rng, route, host, &mut connection)
    }

    fn send_on(
        &self,
        rng: &mut StdRng,
        route: Route,
        host: usize,
        connection: &mut Option<TcpStream>,
    ) -> Response {
        let (id, model, request) = self.next_request(rng, route);
        let request = request.with_timeout_ms(TIMEOUT_MS);
        let sent_at = Instant::now();
        if connection.is_none() {
            *connection = connect(self.hosts[host]);
        }
        let answer = match connection {
            Some(it) => request.send_on(it),
            None => Response::default(),
        };
        let closes = answer.header("connection") == Some("close");
        if answer.status == 0 || !answer.is_complete || closes {
            *connection = None;
        }
        let call = Call {
            id,
            route,
            model,
            host,
            sent_at,
            answer: answer.clone(),
        };
        self.calls.lock().expect("lock is poisoned").push(call);
        answer
    }
}

/// Connects to a host. Returns `None` if the connection fails.
fn connect(host: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(host).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Starts a thread that sends requests until told to stop.
pub fn spawn(traffic: &Arc<Traffic>, seed: u64) -> JoinHandle<()> {
    let traffic = traffic.clone();
    thread::spawn(move || {
        let mut rng = StdRng::seed_from_u64(seed);
        while !traffic.stop.load(Ordering::Relaxed) {
            let host = rng.random_range(0..traffic.hosts.len());
            let mut connection = None;
            for _ in 0..rng.random_range(1..=MAX_REQUESTS_PER_CONNECTION) {
                let route = Route::ALL[rng.random_range(0..Route::ALL.len())];
                let answer = traffic.send_on(&mut rng, route, host, &mut connection);
                let pause = if answer.status == 0 { 50 } else { 10 };
                thread::sleep(Duration::from_millis(rng.random_range(0..pause)));
                if connection.is_none() || traffic.stop.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
    })
}
