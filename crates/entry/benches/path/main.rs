//! Measures the cost of one request and one stream event on a host: processor time, read and write
//! system calls, wake-ups, and memory with many open streams. It covers both the entry interface
//! and the gateway to a platform.
//!
//!     cargo bench -p entry --bench path
//!
//! Each variant runs as a separate process against stand-ins. The cost of an idle host is measured
//! first and subtracted.

#[allow(dead_code, reason = "the rest is used by the fleet tests")]
#[path = "../../tests/fleet/fixture.rs"]
mod fixture;
#[allow(dead_code, reason = "the rest is used by the soak test")]
#[path = "../../tests/soak/host.rs"]
mod host;
/// The stand-in of the platform's store and engines, shared with the tests of `platform`.
#[allow(dead_code, reason = "the rest is used by the tests of `platform`")]
#[path = "../../../../platform/tests/it"]
mod platform_tests {
    pub mod world;
}
mod usage;

use std::{net::SocketAddr, thread, time::Duration};

use platform_tests::world;
use standin::{client::Stream, fleet::Shape};
use usage::{Cost, Usage};
use world::{
    client::Request,
    config,
    engine::{EVENT_COUNT, Engine, Script},
    free_addr,
    store::Store,
    wait_until,
};

/// Constants that `host.rs` reads from the soak test's `check` module.
mod check {
    pub const RETRY_ALLOWANCE: u32 = 60;
}

/// Number of requests of each kind.
const REQUESTS: u32 = 400;

/// Number of open streams while memory is measured.
const OPEN_STREAMS: usize = 500;

/// Duration of the idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(4);

fn main() {
    println!("| path | | processor µs | reads and writes | wake-ups | threads | MB |");
    println!("| --- | --- | --: | --: | --: | --: | --: |");
    measure_entry_host();
    measure_gateway_host();
}

/// Measures one kind of request and prints a table row.
fn print_request_row(
    path: &str,
    pid: u32,
    idle: &Cost,
    kind: &str,
    events_per_request: u32,
    mut send: impl FnMut(u32),
) {
    let before = Usage::of(pid);
    for number in 0..REQUESTS {
        send(number);
    }
    let after = Usage::of(pid);
    let cost = after.since(&before).minus_idle(idle);
    println!(
        "| {path} | {kind} | {}",
        cost.format_per(REQUESTS * events_per_request)
    );
}

fn print_memory_row(path: &str, pid: u32, before: &Usage) {
    let now = Usage::of(pid);
    println!(
        "| {path} | {OPEN_STREAMS} open streams | | | | {} | {:.1} more |",
        now.threads,
        now.megabytes - before.megabytes
    );
}

fn measure_idle(pid: u32) -> Cost {
    let before = Usage::of(pid);
    thread::sleep(IDLE_TIME);
    Usage::of(pid).since(&before)
}

/// Measures an entry host, which uses `serve` and `upstream`.
fn measure_entry_host() {
    let mut shape: Shape = fixture::shape();
    shape.engine.slots = 600;
    let fixture = fixture::Fixture::start(&shape);
    let entry = fixture.entry(0);
    let pid = entry.process().id();
    let stream = |name: &str| -> Stream {
        let request =
            fixture::chat_request(name, "signs/bay-summary@7", fixture::Delivery::Streamed);
        request
            .stream(entry.address())
            .expect("the request is served")
    };
    for number in 0..20 {
        fixture::check_stream(stream(&format!("warm-{number}")), "signs/bay-summary@7");
    }
    let served = |name: &str| {
        let request = fixture::keyed_request(name, &format!("key-{name}"));
        request
            .send(entry.address())
            .is_ok_and(|it| it.status == 200)
    };
    fixture::wait_until("keyed calls are served", || served("warm-plain"));
    let idle = measure_idle(pid);
    print_request_row("own", pid, &idle, "plain request", 1, |number| {
        // A host on a busy machine may refuse a request, which is then repeated.
        fixture::wait_until("the request is served", || {
            served(&format!("plain-{number}"))
        });
    });
    print_request_row(
        "own",
        pid,
        &idle,
        "event of a stream",
        fixture::TOKENS,
        |number| {
            fixture::check_stream(stream(&format!("stream-{number}")), "signs/bay-summary@7");
        },
    );
    drop(fixture);
    measure_open_streams();
}

fn measure_open_streams() {
    let mut shape: Shape = fixture::shape();
    shape.engine.slots = 600;
    // One token per minute keeps the streams open.
    shape.engine.token_us = 60_000_000;
    let fixture = fixture::Fixture::start(&shape);
    let entry = fixture.entry(0);
    let pid = entry.process().id();
    let before = Usage::of(pid);
    let requests: Vec<_> = (0..OPEN_STREAMS)
        .map(|number| {
            let name = format!("open-{number}");
            let request =
                fixture::chat_request(&name, "signs/bay-summary@7", fixture::Delivery::Streamed);
            let address = entry.address();
            thread::spawn(move || request.stream(address))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    print_memory_row("own", pid, &before);
    drop(fixture);
    drop(requests);
}

/// Measures a gateway host, which uses `gateway`.
fn measure_gateway_host() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let store = Store::start(&runtime);
    store.put("config", "main", &config(1));
    let engines = ["chat", "desk"].map(|it| Engine::start(&runtime, &format!("i-{it}"), it));
    for it in &engines {
        let mut entry = it.entry("ready");
        entry["slots"] = (2 * OPEN_STREAMS).into();
        store.put("servers", &it.id, &entry);
    }
    let peers = SocketAddr::from(([127, 0, 0, 9], free_addr().port()));
    let host = host::Host::start(0, 0, peers, store.addr, &[]);
    wait_until("the host is ready", || host.is_ready());
    let pid = host.id().parse().expect("the process id is a number");
    let stream = |name: &str| {
        let answer = Request::prompt("/stream/x", name, "m").send(host.callers);
        assert!(answer.status == 200 && answer.is_complete);
    };
    for number in 0..20 {
        stream(&format!("warm-{number}"));
    }
    let idle = measure_idle(pid);
    print_request_row("platform", pid, &idle, "plain request", 1, |number| {
        let request = Request::post("/write/x", &format!("plain-{number}"), "gate 3");
        assert_eq!(request.send(host.callers).status, 200);
    });
    let events = u32::try_from(EVENT_COUNT).expect("the event count fits");
    print_request_row(
        "platform",
        pid,
        &idle,
        "event of a stream",
        events,
        |number| {
            stream(&format!("stream-{number}"));
        },
    );
    engines[0].set_default_script(Script::StallsAfter(1));
    let before = Usage::of(pid);
    let open: Vec<_> = (0..OPEN_STREAMS)
        .map(|number| {
            Request::prompt("/once/x", &format!("open-{number}"), "m").start(host.callers)
        })
        .collect();
    wait_until("the streams are open", || {
        usize::try_from(engines[0].running_requests()).expect("the count fits") == OPEN_STREAMS
    });
    print_memory_row("platform", pid, &before);
    drop(open);
}
