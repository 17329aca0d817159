//! Resident memory of a host process while upstreams and callers send many large bodies at once.

#[allow(dead_code, reason = "the rest is used by the soak")]
#[path = "../soak/host.rs"]
mod host;
/// The stand-in of the platform's store and engines, shared with the tests of `platform`.
#[allow(dead_code, reason = "the rest is used by the tests of `platform`")]
#[path = "../../../../platform/tests/it"]
mod platform_tests {
    pub mod world;
}

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use host::Host;
use platform_tests::world;
use world::{
    Cluster, WAIT_TIMEOUT,
    client::{Request, Response, read},
    config,
    engine::{Capacity, Engine, Script},
    flood::{Flood, Pace},
    free_addr, wait_until,
};

/// Constants that `host.rs` reads from the soak test's `check` module.
mod check {
    pub const RETRY_ALLOWANCE: u32 = 5400;
}

/// Memory of a host on the platform, in bytes.
const HOST_MEMORY_BYTES: u64 = 390 << 20;

/// Size of a body of which all but the end arrives, in bytes. It is within the limit for one body.
const LARGE_BODY_BYTES: usize = 8_300_000;

/// Size of the body of a sound response. As many of these as there are large bodies would not fit into the memory.
const MODERATE_BODY_BYTES: usize = 512 << 10;

/// Number of large bodies at once, unless `MEMORY_BODIES` names another.
const LARGE_BODIES: usize = 300;

/// Time in which sound requests are sent beside the large bodies.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// Time in which the large bodies arrive, as far as they are read.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// Time in which a sound request has its answer beside the large bodies.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// Time between two readings of the resident memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Only one host at a time is measured.
static MEASURING: Mutex<()> = Mutex::new(());

fn body_count() -> usize {
    let text = std::env::var("MEMORY_BODIES").ok();
    text.map_or(LARGE_BODIES, |it| it.parse().expect("it is a number"))
}

/// Returns the resident memory of a process in bytes; 0 if it has ended.
fn resident_bytes(id: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) << 10
}

/// Thread that reads the resident memory of a process again and again.
struct Monitor {
    max: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Monitor {
    fn start(id: &str) -> Self {
        let max = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared_max, shared_stop, id) = (max.clone(), stop.clone(), id.to_owned());
        let thread = thread::spawn(move || {
            while !shared_stop.load(Ordering::Relaxed) {
                shared_max.fetch_max(resident_bytes(&id), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { max, stop, thread }
    }

    /// Returns the highest reading.
    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the thread does not panic");
        self.max.load(Ordering::Relaxed)
    }
}

/// Starts instances of a plain service and a host process.
fn start(instances: usize) -> (Cluster, Host) {
    let mut cluster = Cluster::empty();
    let mut config = config(1);
    for service in config["services"].as_array_mut().into_iter().flatten() {
        service["max_conns"] = 2000.into();
    }
    config["limits"]["body_bytes"] = (8 << 20).into();
    cluster.store.put("config", "main", &config);
    for _ in 0..instances {
        let engine = cluster.add_engine("desk");
        engine.set_capacity(Capacity {
            slots: 2000,
            queue: 2000,
            work_time: Duration::ZERO,
        });
    }
    let peers = SocketAddr::from(([127, 0, 1, 1], free_addr().port()));
    let seed = u64::from(peers.port());
    let host = Host::start(seed, 0, peers, cluster.store.addr, &[]);
    wait_until("the host is ready", || host.is_ready());
    (cluster, host)
}

/// Sends sound requests for a time, and checks that each is served. Once the large bodies have arrived, every
/// fourth response has a body of a moderate size.
fn assert_served(host: &Host, cluster: &Cluster) -> usize {
    let moderate = Script::Sends(format!(
        "HTTP/1.1 200 OK\r\n{{headers}}Content-Length: {MODERATE_BODY_BYTES}\r\n\r\n{}",
        "x".repeat(MODERATE_BODY_BYTES)
    ));
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < OBSERVATION_TIME {
        let id = format!("r-sound-{count}");
        for engine in &cluster.engines {
            if count % 4 == 3 && started.elapsed() > ARRIVAL_TIME {
                engine.script_request(&id, moderate.clone());
            }
        }
        let sent_at = Instant::now();
        let response = Request::post("/single/x", &id, "").send(host.callers);
        let elapsed = sent_at.elapsed();
        assert_eq!(response.status, 200, "{id} after {elapsed:?}");
        assert!(elapsed < ANSWER_TIME, "{id} after {elapsed:?}");
        count += 1;
    }
    count
}

fn run_count(cluster: &Cluster, id: &str) -> usize {
    cluster.engines.iter().map(|it| it.run_count(id)).sum()
}

/// Prints the figures and checks that the host has not used more memory than it has.
fn assert_bounded(name: &str, base: u64, max: u64, sound: usize) {
    let count = body_count();
    println!(
        "{name}: {count} at once: {} MB resident before, at most {} MB; {sound} sound requests served",
        base >> 20,
        max >> 20
    );
    assert!(max < HOST_MEMORY_BYTES, "{max} bytes resident");
}

/// The instances send all but the end of their bodies, and keep their connections open.
#[test]
fn many_large_responses_without_end_do_not_exhaust_the_memory_of_a_host() {
    let _measuring = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
    let (cluster, host) = start(4);
    let count = body_count();
    for number in 0..count {
        let flood = [Flood::CloseDelimited, Flood::Chunks][number % 2];
        let script = Script::Floods(200, flood, Pace::Stops(LARGE_BODY_BYTES));
        for engine in &cluster.engines {
            engine.script_request(&format!("r-{number}"), script.clone());
        }
    }
    let base = resident_bytes(host.id());
    let monitor = Monitor::start(host.id());
    let callers: Vec<JoinHandle<Response>> = (0..count)
        .map(|number| {
            let to = host.callers;
            let id = format!("r-{number}");
            thread::spawn(move || {
                let request = Request::post("/single/x", &id, "").with_timeout_ms("6000");
                request.send(to)
            })
        })
        .collect();
    let sound = assert_served(&host, &cluster);
    let responses: Vec<_> = (callers.into_iter())
        .map(|it| it.join().expect("the caller does not panic"))
        .collect();
    let max = monitor.finish();
    assert_bounded("responses", base, max, sound);
    let sent: u64 = (cluster.engines.iter())
        .map(Engine::total_flood_bytes)
        .sum();
    println!("responses: {} MB were sent", sent >> 20);
    for (number, response) in responses.iter().enumerate() {
        let id = format!("r-{number}");
        let runs = run_count(&cluster, &id);
        assert!(runs <= 1, "{id}: {runs} runs");
        if runs == 1 {
            assert!(
                matches!(response.status, 502 | 504),
                "{id}: {}",
                response.status
            );
        }
    }
}

/// The callers send all but the end of their bodies.
#[test]
fn many_large_requests_without_end_do_not_exhaust_the_memory_of_a_host() {
    let _measuring = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
    let (cluster, host) = start(2);
    let count = body_count();
    let base = resident_bytes(host.id());
    let monitor = Monitor::start(host.id());
    let callers: Vec<JoinHandle<Response>> = (0..count)
        .map(|number| {
            let to = host.callers;
            thread::spawn(move || {
                let head = format!(
                    "POST /single/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-{number}\r\n\
                     Timeout-Ms: 6000\r\nContent-Length: {}\r\n\r\n",
                    LARGE_BODY_BYTES + 1
                );
                let mut stream = TcpStream::connect(to).expect("the port is open");
                stream
                    .set_read_timeout(Some(WAIT_TIMEOUT))
                    .expect("the timeout is valid");
                let _ = stream.write_all(head.as_bytes());
                let block = vec![b'x'; LARGE_BODY_BYTES / 100];
                for _ in 0..100 {
                    if stream.write_all(&block).is_err() {
                        break;
                    }
                }
                read(&mut stream)
            })
        })
        .collect();
    let sound = assert_served(&host, &cluster);
    let responses: Vec<_> = (callers.into_iter())
        .map(|it| it.join().expect("the caller does not panic"))
        .collect();
    let max = monitor.finish();
    assert_bounded("requests", base, max, sound);
    let refused = responses.iter().filter(|it| it.status == 503);
    for response in refused.clone() {
        assert!(response.header("retry-after").is_some(), "{response:?}");
    }
    println!("requests: {} answered with 503", refused.count());
    for number in 0..count {
        assert_eq!(run_count(&cluster, &format!("r-{number}")), 0);
    }
}
