//! The cost of placing requests through another host.

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
    board::{Board, Listener},
    cost::{self, float},
};

const CALLERS: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(10);

/// A permit of ordinary size.
pub fn permit() -> Permit {
    Permit {
        number: Number(123_456),
        upstream: "dar-1-engine-07".parse().expect("a name"),
        address: SocketAddr::from(([10, 20, 30, 40], 8000)),
        loaded: "signs/bay-summary@7+21474836480".parse().expect("a name"),
        fence: 5,
        start_by: Duration::from_secs(1),
        run_by: Duration::from_secs(30),
        load_stall: Duration::ZERO,
        queue_wait: Duration::from_micros(150),
    }
}

fn ask(holder: Holder) -> Request {
    Request {
        request: "0f8fad5b-d9cb-469f-a165-70867728950e"
            .parse()
            .expect("an id"),
        holder,
        reference: "signs/bay-summary@7".parse().expect("a reference"),
        model: "base-8b".parse().expect("a name"),
        tenant: "maegesho".parse().expect("a name"),
        class: Class::Interactive,
        remaining: Duration::from_secs(5),
        prefix: 0x1234_5678_9abc_def0,
        max_tokens: 256,
    }
}

fn start(name: &str, seeds: Vec<SocketAddr>) -> Service {
    let host: Host = name.parse().expect("a name");
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let me = Identity {
        holder: holder(name),
        domain: "domain-0".parse().expect("a name"),
        address: listen,
    };
    let settings = Settings::new(me, listen, b"key".to_vec(), seeds);
    let board: Arc<Board> = Arc::default();
    let listener = Arc::new(Listener { host, board });
    Service::start(settings, listener, Arc::new(clock::System)).expect("the sockets open")
}

fn holder(name: &str) -> Holder {
    Holder {
        host: name.parse().expect("a name"),
        incarnation: 1_764_800_000_000,
    }
}

fn streams(service: &Service) -> u64 {
    let totals = service.handle().counters();
    totals.stream_bytes_in + totals.stream_bytes_out
}

/// Places and releases requests and gives the times of the placements.
fn call(handle: &Handle, calls: usize) -> Vec<Duration> {
    let steward: Host = "entry-a".parse().expect("a name");
    let one = |_| {
        let start = Instant::now();
        let verdict = handle.place(&steward, ask(holder("entry-b")), TIMEOUT);
        let took = start.elapsed();
        if let Ok(Verdict::Granted(it)) = verdict {
            handle.release(
                &steward,
                it.upstream,
                it.fence,
                it.number,
                Outcome::Completed,
            );
        }
        took
    };
    (0..calls).map(one).collect()
}

/// Times calls between two hosts.
pub fn measure(calls: usize) {
    let a = start("entry-a", Vec::new());
    let b = start("entry-b", vec![a.address()]);
    while b.handle().members().len() < 2 {
        thread::sleep(Duration::from_millis(10));
    }
    call(&b.handle(), 100);
    let bytes = streams(&a);
    let processor = cost::processor();
    let start = Instant::now();
    let threads: Vec<_> = (0..CALLERS)
        .map(|_| {
            let handle = b.handle();
            thread::spawn(move || call(&handle, calls / CALLERS))
        })
        .collect();
    let mut times: Vec<Duration> = Vec::new();
    for thread in threads {
        times.extend(thread.join().expect("a caller panicked"));
    }
    let span = start.elapsed();
    let processor = cost::processor().saturating_sub(processor);
    let bytes = streams(&a) - bytes;
    times.sort_unstable();
    let count = float(times.len());
    println!("place and release between two hosts, {CALLERS} callers:");
    println!(
        "  {:.0} a second, median {:?}, 99th percentile {:?}",
        count / span.as_secs_f64(),
        times[times.len() / 2],
        times[times.len() * 99 / 100],
    );
    println!(
        "  {:.0} bytes and {:.1} µs of processor time each, for both hosts together",
        float(bytes) / count,
        processor.as_secs_f64() * 1e6 / count,
    );
    b.stop();
    a.stop();
}
