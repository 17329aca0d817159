//! Measures the latency and cost of permit requests to another host.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use kernel::{
    clock,
    name::Host,
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    request::Class,
};
use member::Identity;
use peer::{Handle, Service, Settings};

use crate::{
    tracker::{Observer, Tracker},
    usage::{self, to_f64},
};

/// Number of threads that make calls concurrently.
const CALLERS: usize = 8;

/// Timeout of a permit request.
const PLACE_TIMEOUT: Duration = Duration::from_secs(10);

/// A permit whose encoded size is typical.
pub fn permit() -> Permit {
    Permit {
        number: Number(123_456),
        upstream: "dar-1-engine-07".parse().expect("a valid name"),
        address: SocketAddr::from(([10, 20, 30, 40], 8000)),
        loaded: "signs/bay-summary@7+21474836480"
            .parse()
            .expect("a valid name"),
        fence: 5,
        start_by: Duration::from_secs(1),
        run_by: Duration::from_secs(30),
        load_stall: Duration::ZERO,
        queue_wait: Duration::from_micros(150),
    }
}

/// A permit request whose encoded size is typical.
fn permit_request(holder: Holder) -> Request {
    Request {
        request: "0f8fad5b-d9cb-469f-a165-70867728950e"
            .parse()
            .expect("a valid id"),
        holder,
        reference: "signs/bay-summary@7".parse().expect("a valid reference"),
        model: "base-8b".parse().expect("a valid name"),
        tenant: "maegesho".parse().expect("a valid name"),
        class: Class::Interactive,
        remaining: Duration::from_secs(5),
        prefix: 0x1234_5678_9abc_def0,
        max_tokens: 256,
    }
}

/// Starts a host on a loopback socket.
fn start(name: &str, seeds: Vec<SocketAddr>) -> Service {
    let host: Host = name.parse().expect("a valid name");
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let identity = Identity {
        holder: holder(name),
        domain: "domain-0".parse().expect("a valid name"),
        address: listen,
    };
    let settings = Settings::new(identity, listen, b"key".to_vec(), seeds);
    let tracker: Arc<Tracker> = Arc::default();
    let observer = Arc::new(Observer { host, tracker });
    Service::start(settings, observer, Arc::new(clock::System)).expect("the sockets open")
}

fn holder(name: &str) -> Holder {
    Holder {
        host: name.parse().expect("a valid name"),
        incarnation: 1_764_800_000_000,
    }
}

/// Returns the number of bytes that a host has sent and received on connections.
fn stream_bytes(service: &Service) -> u64 {
    let totals = service.handle().counters();
    totals.stream_bytes_in + totals.stream_bytes_out
}

/// Requests and releases permits. Returns the latency of each permit request.
fn place_and_release(handle: &Handle, calls: usize) -> Vec<Duration> {
    let steward: Host = "entry-a".parse().expect("a valid name");
    let place_one = |_| {
        let start = Instant::now();
        let verdict = handle.place(&steward, permit_request(holder("entry-b")), PLACE_TIMEOUT);
        let latency = start.elapsed();
        if let Ok(Verdict::Granted(it)) = verdict {
            handle.release(
                &steward,
                it.upstream,
                it.fence,
                it.number,
                Outcome::Completed,
            );
        }
        latency
    };
    (0..calls).map(place_one).collect()
}

/// Measures permit requests and releases between two hosts and prints the results.
pub fn measure(calls: usize) {
    let a = start("entry-a", Vec::new());
    let b = start("entry-b", vec![a.address()]);
    while b.handle().members().len() < 2 {
        thread::sleep(Duration::from_millis(10));
    }
    // Opens the connection and warms up both hosts.
    place_and_release(&b.handle(), 100);
    let bytes = stream_bytes(&a);
    let cpu_time = usage::cpu_time();
    let start = Instant::now();
    let threads: Vec<_> = (0..CALLERS)
        .map(|_| {
            let handle = b.handle();
            thread::spawn(move || place_and_release(&handle, calls / CALLERS))
        })
        .collect();
    let mut latencies: Vec<Duration> = Vec::new();
    for thread in threads {
        latencies.extend(thread.join().expect("a caller panicked"));
    }
    let elapsed = start.elapsed();
    let cpu_time = usage::cpu_time().saturating_sub(cpu_time);
    let bytes = stream_bytes(&a) - bytes;
    latencies.sort_unstable();
    let count = to_f64(latencies.len());
    println!("place and release between two hosts, {CALLERS} concurrent callers:");
    println!(
        "  {:.0} per second, median {:?}, 99th percentile {:?}",
        count / elapsed.as_secs_f64(),
        latencies[latencies.len() / 2],
        latencies[latencies.len() * 99 / 100],
    );
    println!(
        "  {:.0} bytes and {:.1} µs of CPU time per permit, for both hosts together",
        to_f64(bytes) / count,
        cpu_time.as_secs_f64() * 1e6 / count,
    );
    b.stop();
    a.stop();
}
