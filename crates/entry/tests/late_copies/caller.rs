//! Callers that keep their connections, and the responses that they receive.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::world::{
    WAIT_TIMEOUT,
    client::{Request, Response},
};

/// Callers of each host, and how many of them send requests in a calm phase.
pub const CALLERS_PER_HOST: usize = 32;
const CALM_CALLERS_PER_HOST: usize = 5;

/// Length of a phase. The first phase and every second one after it are overloaded.
const PHASE: Duration = Duration::from_secs(2);

/// Maximum pause in milliseconds after a response, and after a response that is no success.
const PAUSE_MS: u64 = 10;
const FAILURE_PAUSE_MS: u64 = 80;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Must run at most once.
    Single,
    /// Must run at most once, and times out in the instance's queue or soon after it.
    Hurried,
    /// Must run at most once, and runs until its timeout.
    Hanging,
    /// May be repeated.
    Read,
}

impl Kind {
    fn choose(rng: &mut StdRng) -> Self {
        match rng.random_range(0..100) {
            0 => Self::Hanging,
            1..20 => Self::Hurried,
            20..65 => Self::Single,
            _ => Self::Read,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Single | Self::Hurried => "/single/x",
            Self::Hanging => "/single/hang",
            Self::Read => "/read/x",
        }
    }

    fn timeout_ms(self, rng: &mut StdRng) -> u64 {
        match self {
            Self::Single | Self::Read => 2500,
            Self::Hurried => rng.random_range(40..200),
            Self::Hanging => 1100,
        }
    }
}

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub kind: Kind,
    pub answer: Response,
}

/// Callers of all hosts.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

/// One caller.
struct Caller {
    /// Number of the caller at its host.
    number: usize,
    addr: SocketAddr,
    rng: StdRng,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Callers {
    /// Starts the callers of the hosts at these addresses.
    pub fn start(seed: u64, time: Duration, hosts: &[SocketAddr]) -> Self {
        let calls = Arc::default();
        let began = Instant::now();
        let mut threads = Vec::new();
        for addr in hosts {
            for number in 0..CALLERS_PER_HOST {
                let rank = u64::try_from(threads.len()).expect("the number fits");
                let caller = Caller {
                    number,
                    addr: *addr,
                    rng: StdRng::seed_from_u64(seed * 1000 + rank),
                    calls: Arc::clone(&calls),
                };
                threads.push(thread::spawn(move || caller.run(began, time)));
            }
        }
        Self { threads, calls }
    }

    /// Waits for the callers and returns their calls.
    pub fn join(self) -> Vec<Call> {
        for it in self.threads {
            it.join().expect("a caller ends");
        }
        std::mem::take(&mut self.calls.lock().expect("lock is poisoned"))
    }
}

impl Caller {
    fn run(mut self, began: Instant, time: Duration) {
        let mut connection = None;
        loop {
            let elapsed = began.elapsed();
            if elapsed >= time {
                return;
            }
            let is_overloaded = (elapsed.as_secs() / PHASE.as_secs()).is_multiple_of(2);
            if !is_overloaded && self.number >= CALM_CALLERS_PER_HOST {
                thread::sleep(Duration::from_millis(FAILURE_PAUSE_MS));
                continue;
            }
            let status = self.send(&mut connection);
            let pause_ms = if status == 200 {
                PAUSE_MS
            } else {
                FAILURE_PAUSE_MS
            };
            thread::sleep(Duration::from_millis(self.rng.random_range(0..pause_ms)));
        }
    }

    /// Sends a request on the connection, or on a new one. Returns the status of the response; 0 if there is none.
    fn send(&mut self, connection: &mut Option<TcpStream>) -> u16 {
        let id = format!("{:016x}", self.rng.random::<u64>());
        let kind = Kind::choose(&mut self.rng);
        let timeout_ms = kind.timeout_ms(&mut self.rng).to_string();
        let request =
            Request::post(kind.path(), &id, &format!("body of {id}")).with_timeout_ms(&timeout_ms);
        let stream = connection.get_or_insert_with(|| connect(self.addr));
        let answer = request.send_on(stream);
        if !answer.is_complete || answer.header("connection") == Some("close") {
            *connection = None;
        }
        let status = answer.status;
        let call = Call { id, kind, answer };
        self.calls.lock().expect("lock is poisoned").push(call);
        status
    }
}

fn connect(host: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(host).expect("the port is open");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("the timeout is valid");
    stream.set_nodelay(true).expect("the option can be set");
    stream
}
