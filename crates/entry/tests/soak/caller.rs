//! Callers that reuse their connections, and the responses that they receive. Some keep a connection for as long as
//! the host does, and press all at once in bursts.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::world::{
    WAIT_TIMEOUT,
    client::{PROMPT_PARTS, Request, Response},
};

/// Maximum number of requests on one connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 6;

/// Upper limits in ms of the pauses of a loyal caller between two requests: within a burst, otherwise, and after a
/// failed connection.
const BURST_PAUSE_MS: u64 = 8;
const STEADY_PAUSE_MS: u64 = 160;
const RECONNECT_PAUSE_MS: u64 = 100;

/// One in this many requests of loyal callers has a long body.
const LONG_BODY_PERIOD: u32 = 40;

/// Length of the padding of a long body.
const PADDING_LENGTH: usize = 64_000;

/// Number of tries of a caller that takes a stream up again, and the pause before each of them.
const RESUME_TRIES: usize = 3;
const RESUME_PAUSE: Duration = Duration::from_millis(150);

/// One in this many requests for streams has a prompt with the part that crashes engines, if there is one.
const CRASHING_PERIOD: u32 = 6;

/// One in this many requests for streams is for an adapter if prompts vary.
const ADAPTER_PERIOD: u32 = 4;

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
    /// A plain request that may be sent to one instance only.
    Single,
}

impl Route {
    pub const ALL: [Self; 5] = [
        Self::Stream,
        Self::Once,
        Self::Write,
        Self::Read,
        Self::Single,
    ];

    /// The routes of loyal callers, most of whose requests are plain.
    const LOYAL: [Self; 7] = [
        Self::Single,
        Self::Single,
        Self::Write,
        Self::Write,
        Self::Read,
        Self::Stream,
        Self::Once,
    ];

    pub fn path(self) -> &'static str {
        match self {
            Self::Stream => "/stream/x",
            Self::Once => "/once/x",
            Self::Write => "/write/x",
            Self::Read => "/read/x",
            Self::Single => "/single/x",
        }
    }

    pub fn is_streamed(self) -> bool {
        matches!(self, Self::Stream | Self::Once)
    }

    pub fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Single | Self::Write)
    }

    /// Maximum number of engines to which a request may be sent.
    pub fn max_attempts(self) -> usize {
        if matches!(self, Self::Once | Self::Single) {
            1
        } else {
            2
        }
    }
}

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub route: Route,
    pub model: String,
    /// Parts of the prompt, if the request has one.
    pub prompt: String,
    /// Length of the padding of the body.
    pub padding: usize,
    pub host: usize,
    pub sent_at: Instant,
    /// The stream that the request continues.
    pub resumed: Option<Resumed>,
    pub answer: Response,
}

/// A stream that a caller takes up again.
#[derive(Clone, Debug)]
pub struct Resumed {
    /// Id of the request whose response began the stream.
    pub first_id: String,
    pub last_event_id: usize,
}

impl Call {
    /// Returns the body of the request.
    pub fn body(&self) -> String {
        body(self.route, &self.id, self.padding)
    }
}

/// Returns the body of a request.
fn body(route: Route, id: &str, padding: usize) -> String {
    let text = if route.is_streamed() {
        "prompt".to_owned()
    } else {
        format!("body of {id}")
    };
    text + &"x".repeat(padding)
}

/// The state shared by all callers.
pub struct Traffic {
    /// The callers' addresses of the hosts.
    pub hosts: Vec<SocketAddr>,
    pub calls: Mutex<Vec<Call>>,
    pub stop: AtomicBool,
    next_id: AtomicUsize,
    started_at: Instant,
    /// Id of the last part of prompts that crashed engines.
    crashing_part: Mutex<Option<String>>,
    /// Time at which the last burst ends, in ms since the start.
    burst_end_ms: AtomicU64,
    /// True if most requests for streams are for the base model, which engines hold at once, and no two prompts are alike.
    varies_prompts: AtomicBool,
}

impl Traffic {
    pub fn new(hosts: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            hosts,
            calls: Mutex::default(),
            stop: AtomicBool::new(false),
            next_id: AtomicUsize::new(0),
            started_at: Instant::now(),
            crashing_part: Mutex::default(),
            burst_end_ms: AtomicU64::new(0),
            varies_prompts: AtomicBool::new(false),
        })
    }

    /// Makes all loyal callers send without pauses for a time in ms.
    pub fn start_burst(&self, ms: u64) {
        self.burst_end_ms
            .fetch_max(self.elapsed_ms() + ms, Ordering::Relaxed);
    }

    /// Makes most requests for streams be for the base model from now on, and no two prompts alike.
    pub fn vary_prompts(&self) {
        self.varies_prompts.store(true, Ordering::Relaxed);
    }

    fn has_varied_prompts(&self) -> bool {
        self.varies_prompts.load(Ordering::Relaxed)
    }

    fn is_burst(&self) -> bool {
        self.elapsed_ms() < self.burst_end_ms.load(Ordering::Relaxed)
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).expect("the time fits")
    }

    /// Makes some prompts have a part from now on.
    pub fn use_part(&self, id: &str) {
        *self.crashing_part.lock().expect("lock is poisoned") = Some(id.to_owned());
    }

    /// Chooses the parts of the prompt of a request with this number.
    fn choose_prompt(&self, rng: &mut StdRng, route: Route, number: usize) -> String {
        let part = self.crashing_part.lock().expect("lock is poisoned").clone();
        match part {
            Some(part) if route == Route::Stream && rng.random_range(0..CRASHING_PERIOD) == 0 => {
                format!("{PROMPT_PARTS},{part}:20,{:x}:20", 0x10000 + number)
            }
            _ if self.has_varied_prompts() => {
                format!("{:x}:40,{:x}:20", 0x100 + number % 16, 0x10000 + number)
            }
            _ => PROMPT_PARTS.to_owned(),
        }
    }

    /// Creates a request with a new id. The answer of the call is still empty.
    fn next_request(
        &self,
        rng: &mut StdRng,
        route: Route,
        padding: usize,
        host: usize,
    ) -> (Call, Request) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("r-{number}");
        let rank = rng
            .random_range(0..ADAPTERS)
            .min(rng.random_range(0..ADAPTERS));
        let is_for_base = route.is_streamed()
            && self.has_varied_prompts()
            && rng.random_range(0..ADAPTER_PERIOD) != 0;
        let model = if is_for_base {
            "m".to_owned()
        } else {
            format!("m/a{rank}")
        };
        let prompt = self.choose_prompt(rng, route, number);
        let request = if route.is_streamed() {
            Request::prompt_of(route.path(), &id, &model, &prompt)
        } else {
            Request::post(route.path(), &id, &body(route, &id, padding))
        };
        let call = Call {
            id,
            route,
            model,
            prompt,
            padding,
            host,
            sent_at: Instant::now(),
            resumed: None,
            answer: Response::default(),
        };
        (call, request.with_timeout_ms(TIMEOUT_MS))
    }

    /// Sends one request on a new connection.
    pub fn send(&self, rng: &mut StdRng, route: Route, host: usize) -> Response {
        let mut connection = None;
        self.send_on(rng, route, 0, host, &mut connection)
    }

    /// Sends one request on a new connection, its last byte at `at`, with a body of this length if it is given.
    pub fn send_last_byte_at(
        &self,
        rng: &mut StdRng,
        route: Route,
        body_length: Option<usize>,
        host: usize,
        at: Instant,
    ) -> Call {
        let (mut call, _) = self.next_request(rng, route, 0, host);
        let length = call.body().len();
        call.padding = body_length.map_or(0, |it| it.saturating_sub(length));
        let request = if route.is_streamed() {
            Request::prompt_of(route.path(), &call.id, &call.model, &call.prompt)
        } else {
            Request::post(route.path(), &call.id, &call.body())
        };
        call.answer = connect(self.hosts[host])
            .map(|mut it| request.send_last_byte_at(&mut it, at).1)
            .unwrap_or_default();
        self.record(call.clone());
        call
    }

    fn send_on(
        &self,
        rng: &mut StdRng,
        route: Route,
        padding: usize,
        host: usize,
        connection: &mut Option<TcpStream>,
    ) -> Response {
        let (mut call, request) = self.next_request(rng, route, padding, host);
        if connection.is_none() {
            *connection = connect(self.hosts[host]);
        }
        let unasked_bytes = connection.as_ref().map_or(0, count_waiting_bytes);
        let mut answer = match connection {
            Some(it) => request.send_on(it),
            None => Response::default(),
        };
        answer.excess_bytes += unasked_bytes;
        let closes = answer.header("connection") == Some("close");
        if answer.status == 0 || !answer.is_complete || closes {
            *connection = None;
        }
        call.answer = answer.clone();
        self.record(call.clone());
        if route == Route::Stream {
            self.take_up(call);
        }
        answer
    }

    fn record(&self, call: Call) {
        self.calls.lock().expect("lock is poisoned").push(call);
    }

    /// Takes a stream that broke off up again at the next hosts, until it is complete.
    fn take_up(&self, mut call: Call) {
        let first_id = call.id.clone();
        let mut last_event_id = None;
        for _ in 0..RESUME_TRIES {
            let is_over = call.answer.status == 200 && call.answer.is_complete;
            last_event_id = call.answer.events().pop().map(|it| it.id).or(last_event_id);
            let Some(last_event_id) = last_event_id.filter(|_| !is_over) else {
                return;
            };
            thread::sleep(RESUME_PAUSE);
            call.id = format!("r-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
            call.host = (call.host + 1) % self.hosts.len();
            call.sent_at = Instant::now();
            let request =
                Request::prompt_of(call.route.path(), &call.id, &call.model, &call.prompt)
                    .with_timeout_ms(TIMEOUT_MS)
                    .resuming(last_event_id, &first_id);
            call.resumed = Some(Resumed {
                first_id: first_id.clone(),
                last_event_id,
            });
            call.answer = connect(self.hosts[call.host])
                .map(|mut it| request.send_on(&mut it))
                .unwrap_or_default();
            self.record(call.clone());
        }
    }
}

/// Connects to a host. Returns `None` if the connection fails.
fn connect(host: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(host).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Counts bytes that have arrived on a connection without a request.
fn count_waiting_bytes(stream: &TcpStream) -> usize {
    let set_nonblocking = |it| stream.set_nonblocking(it).expect("the mode can be set");
    set_nonblocking(true);
    let count = stream.peek(&mut [0; 256]).unwrap_or(0);
    set_nonblocking(false);
    count
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
                let answer = traffic.send_on(&mut rng, route, 0, host, &mut connection);
                let pause = if answer.status == 0 { 50 } else { 10 };
                thread::sleep(Duration::from_millis(rng.random_range(0..pause)));
                if connection.is_none() || traffic.stop.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
    })
}

/// Starts a thread that sends requests for streams, each on a new connection, until told to stop.
pub fn spawn_streaming(traffic: &Arc<Traffic>, seed: u64) -> JoinHandle<()> {
    let traffic = traffic.clone();
    thread::spawn(move || {
        let mut rng = StdRng::seed_from_u64(seed);
        while !traffic.stop.load(Ordering::Relaxed) {
            let host = rng.random_range(0..traffic.hosts.len());
            traffic.send(&mut rng, Route::Stream, host);
            thread::sleep(Duration::from_millis(rng.random_range(0..STEADY_PAUSE_MS)));
        }
    })
}

/// Starts a thread that sends requests to one host until told to stop, on a connection that it keeps for as long as
/// the host does.
pub fn spawn_loyal(traffic: &Arc<Traffic>, seed: u64, host: usize) -> JoinHandle<()> {
    let traffic = traffic.clone();
    thread::spawn(move || {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut connection = None;
        while !traffic.stop.load(Ordering::Relaxed) {
            let route = Route::LOYAL[rng.random_range(0..Route::LOYAL.len())];
            let is_long = !route.is_streamed() && rng.random_range(0..LONG_BODY_PERIOD) == 0;
            let padding = if is_long { PADDING_LENGTH } else { 0 };
            let answer = traffic.send_on(&mut rng, route, padding, host, &mut connection);
            let max_pause_ms = if answer.status == 0 {
                RECONNECT_PAUSE_MS
            } else if traffic.is_burst() {
                BURST_PAUSE_MS
            } else {
                STEADY_PAUSE_MS
            };
            thread::sleep(Duration::from_millis(rng.random_range(0..max_pause_ms)));
        }
    })
}
