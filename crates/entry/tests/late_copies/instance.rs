//! Instance of a plain service with slots and a queue, on raw sockets.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::{Semaphore, SemaphorePermit},
    time::{self, Instant},
};

use crate::world::engine::{ReceivedRequest, read_request, write_response};

/// Number of requests that run at once.
pub const SLOTS: usize = 6;

/// Number of requests that wait for a slot.
const QUEUE: usize = 24;

/// Duration of a run in milliseconds.
const WORK_MS: std::ops::Range<u64> = 30..60;

/// Time after which a run fails.
const FAILURE_TIME: Duration = Duration::from_millis(15);

/// Shares of the runs that fail.
const RETRYABLE_FAILURES: f64 = 0.14;
const OTHER_FAILURES: f64 = 0.03;

/// Share of the responses that are sent again where the next response is expected.
const COPIED: f64 = 0.05;

/// Share of the responses with `Connection: close`.
const CLOSING: f64 = 0.03;

/// Share of the requests on kept connections at whose arrival the connection is closed without reading them.
const UNREAD: f64 = 0.03;

/// Share of the responses in whose place the connection is closed.
const UNANSWERED: f64 = 0.03;

/// Longest time in milliseconds for which an idle connection stays open.
const MAX_IDLE_MS: u64 = 30;

/// What an instance does with connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connections {
    /// Keeps them open, and sends a share of all responses a second time.
    SendCopies,
    /// Closes them when they are idle, when the next request arrives, after a response, or in its place.
    Close,
}

/// What an instance observed.
#[derive(Default)]
pub struct Records {
    /// Number of arrivals by request.
    pub arrivals: BTreeMap<String, usize>,
    /// Statuses of the runs by request.
    pub runs: BTreeMap<String, Vec<u16>>,
    /// Number of responses that were sent again.
    pub copies: usize,
    /// Number of refusals.
    pub refusals: usize,
    /// Number of connections that the instance closed.
    pub closed: usize,
}

/// Instance of a plain service.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub addr: SocketAddr,
    seed: u64,
    connections: Connections,
    slots: Arc<Semaphore>,
    queue: Arc<Semaphore>,
    records: Arc<Mutex<Records>>,
}

/// Result of the wait for a slot.
enum Admission<'a> {
    Slot(SemaphorePermit<'a>),
    /// The queue is full, or the timeout has passed.
    Refused,
    /// The connection was closed.
    CallerLeft,
}

/// Response to a request.
struct Response {
    status: u16,
    head: String,
    body: String,
}

impl Response {
    async fn write(&self, stream: &mut TcpStream) -> bool {
        write_response(stream, self.status, &self.head, self.body.as_bytes()).await
    }
}

impl Instance {
    pub fn start(runtime: &Runtime, id: &str, seed: u64, connections: Connections) -> Self {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a port is free");
        let instance = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("the listener is bound"),
            seed,
            connections,
            slots: Arc::new(Semaphore::new(SLOTS)),
            queue: Arc::new(Semaphore::new(QUEUE)),
            records: Arc::default(),
        };
        let it = instance.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(it.clone().serve(stream));
            }
        });
        instance
    }

    /// Returns the entry of the instance in the platform's list.
    pub fn entry(&self) -> Value {
        json!({
            "service": "desk", "addr": self.addr.to_string(), "zone": "z-1", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "stage": "both", "models": [],
            "seq": 99, "born": 1_700_000_000_000_u64,
        })
    }

    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().expect("no holder panics")
    }

    /// Generator for the behavior towards one request.
    fn rng(&self, request: &str) -> StdRng {
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.id, request).hash(&mut hasher);
        StdRng::seed_from_u64(hasher.finish())
    }

    /// Serves the requests of one connection.
    async fn serve(self, mut stream: TcpStream) {
        let mut rng = self.rng("");
        let mut copy: Option<Response> = None;
        let mut is_kept = false;
        loop {
            if is_kept && self.closes_idle(&stream, &mut rng).await {
                self.records().closed += 1;
                return;
            }
            let Some(request) = read_request(&mut stream).await else {
                return;
            };
            is_kept = true;
            if let Some(it) = copy.take() {
                self.records().copies += 1;
                it.write(&mut stream).await;
            }
            let id = request.headers.get("request-id").cloned();
            let id = id.unwrap_or_default();
            *self.records().arrivals.entry(id.clone()).or_default() += 1;
            rng = self.rng(&id);
            let Some(mut response) = self.handle(&stream, &request, &id, &mut rng).await else {
                return;
            };
            let closes = self.connections == Connections::Close;
            if closes && rng.random_bool(UNANSWERED) {
                self.records().closed += 1;
                return;
            }
            let is_last = closes && rng.random_bool(CLOSING);
            if is_last {
                response.head += "Connection: close\r\n";
                self.records().closed += 1;
            }
            if !response.write(&mut stream).await || is_last {
                return;
            }
            if self.connections == Connections::SendCopies && rng.random_bool(COPIED) {
                copy = Some(response);
            }
        }
    }

    /// Waits for the next request on a kept connection. Returns whether the connection is to be closed instead.
    async fn closes_idle(&self, stream: &TcpStream, rng: &mut StdRng) -> bool {
        if self.connections != Connections::Close {
            return false;
        }
        let max_idle = Duration::from_millis(rng.random_range(0..MAX_IDLE_MS));
        time::timeout(max_idle, stream.peek(&mut [0]))
            .await
            .is_err()
            || rng.random_bool(UNREAD)
    }

    /// Runs or refuses a request. Returns `None` if its connection was closed while it was queued.
    async fn handle(
        &self,
        stream: &TcpStream,
        request: &ReceivedRequest,
        id: &str,
        rng: &mut StdRng,
    ) -> Option<Response> {
        let timeout_ms = request.headers.get("timeout-ms");
        let timeout_ms = timeout_ms.and_then(|it| it.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let _slot = match self.wait_for_slot(stream, deadline).await {
            Admission::Slot(it) => it,
            Admission::Refused => return Some(self.refuse(id)),
            Admission::CallerLeft => return None,
        };
        let path = request.request_line.split(' ').nth(1).unwrap_or_default();
        let failures = if path.starts_with("/read/") {
            RETRYABLE_FAILURES
        } else {
            OTHER_FAILURES
        };
        let now = Instant::now();
        let work = Duration::from_millis(rng.random_range(WORK_MS));
        let (status, end) = if rng.random_bool(failures) {
            (500, now + FAILURE_TIME)
        } else if path.ends_with("/hang") || now + work > deadline {
            (504, deadline)
        } else {
            (200, now + work)
        };
        self.record_run(id, status);
        time::sleep_until(end).await;
        let seal = format!("seal-{}-{id}", self.id);
        Some(Response {
            status,
            head: format!("Request-Id: {id}\r\nResponse-Seal: {seal}\r\n"),
            body: format!("body of {id}"),
        })
    }

    /// Waits in the queue for a slot, unless there is a free one.
    async fn wait_for_slot(&self, stream: &TcpStream, deadline: Instant) -> Admission<'_> {
        if let Ok(it) = self.slots.try_acquire() {
            return Admission::Slot(it);
        }
        let Ok(_place) = self.queue.try_acquire() else {
            return Admission::Refused;
        };
        tokio::select! {
            it = self.slots.acquire() => Admission::Slot(it.expect("the semaphore stays open")),
            () = time::sleep_until(deadline) => Admission::Refused,
            () = wait_until_closed(stream) => Admission::CallerLeft,
        }
    }

    fn record_run(&self, id: &str, status: u16) {
        let runs = &mut self.records().runs;
        runs.entry(id.to_owned()).or_default().push(status);
    }

    fn refuse(&self, id: &str) -> Response {
        self.records().refusals += 1;
        Response {
            status: 503,
            head: format!("Request-Id: {id}\r\nNot-Executed: 1\r\n"),
            body: String::new(),
        }
    }
}

/// Waits until the peer closes the connection. The next request may arrive meanwhile.
async fn wait_until_closed(stream: &TcpStream) {
    let has_next = stream.peek(&mut [0]).await.is_ok_and(|it| it > 0);
    if has_next {
        std::future::pending::<()>().await;
    }
}
