//! Measures the processor time of the acceptor thread for each event of paced streams, and the peak
//! memory of the process, callers included.
//!
//! `cargo bench -p serve --bench stream`

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serve::{Limits, Request, Responder, Server};

const EVENTS: usize = 100;
const EVENT_BYTES: usize = 300;
/// Interval between the events of one stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(62);

fn main() {
    for streams in [150, 300, 600, 1200] {
        measure(streams);
    }
}

fn measure(streams: usize) {
    let limits = Limits {
        peer_connections: streams,
        queue: streams,
        workers: streams,
        ..Limits::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let server = Server::start(listener, limits, Arc::new(respond)).expect("the server starts");
    let address = server.address();
    let start = Instant::now();
    let callers: Vec<_> = (0..streams)
        .map(|_| thread::spawn(move || call(address)))
        .collect();
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let elapsed = start.elapsed();
    let cpu_time = read_acceptor_cpu_time();
    let peak_kb = read_peak_memory_kb();
    server.stop();
    let events = streams * EVENTS;
    println!(
        "streams {streams}: {:.0} events/s, {:.1} us of the acceptor thread an event, {:.1}% of a core, {peak_kb} kB at most",
        to_f64(events) / elapsed.as_secs_f64(),
        cpu_time.as_secs_f64() * 1e6 / to_f64(events),
        cpu_time.as_secs_f64() / elapsed.as_secs_f64() * 100.0,
    );
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("the count is small"))
}

fn respond(_: Request, responder: Responder) {
    let mut stream = responder.stream(200, Vec::new());
    let event = [b'x'; EVENT_BYTES];
    for _ in 0..EVENTS {
        thread::sleep(EVENT_INTERVAL);
        stream.write(&event).expect("the caller is connected");
    }
    stream.finish();
}

fn call(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    let request = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(request).expect("the request is sent");
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .expect("the response is read");
    assert!(
        response.ends_with(b"0\r\n\r\n"),
        "the response is truncated"
    );
}

/// Returns the peak resident memory of the process.
fn read_peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system has /proc");
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let number = line.and_then(|it| it.trim().strip_suffix(" kB"));
    number
        .and_then(|it| it.parse().ok())
        .expect("the line has a number")
}

/// Returns the processor time of the acceptor thread.
fn read_acceptor_cpu_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("the system has /proc");
    let nanoseconds = tasks.flatten().find_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        if name.trim() != "serve-acceptor" {
            return None;
        }
        let times = fs::read_to_string(task.path().join("schedstat")).ok()?;
        times.split(' ').next()?.parse().ok()
    });
    Duration::from_nanos(nanoseconds.expect("the thread runs"))
}
