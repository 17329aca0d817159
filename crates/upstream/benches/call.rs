//! Measures the processor time of the calling thread for one request to an engine, from connecting
//! to the end of a response of ten chunks.
//!
//! `cargo bench -p upstream --bench call`

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use kernel::{reference::Loaded, request::Id};
use serde_json::json;
use upstream::{
    Cancellation,
    engine::{Client, Item, Request},
};

const CALLS: u32 = 3_000;
const CHUNKS: u32 = 10;

fn main() {
    let loaded: Loaded = "signs/bay-summary@7+31".parse().expect("the name is valid");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let response = format_response(&loaded);
    let engine = thread::spawn(move || serve(&listener, &response));
    let (start, cpu_time) = (Instant::now(), read_cpu_time());
    for _ in 0..CALLS {
        call(address, &loaded);
    }
    let (elapsed, cpu_time) = (start.elapsed(), read_cpu_time().saturating_sub(cpu_time));
    engine.join().expect("the engine thread ends");
    println!(
        "{:?} a call, {:?} of it busy",
        elapsed / CALLS,
        cpu_time / CALLS
    );
}

fn format_response(loaded: &Loaded) -> String {
    let events: Vec<String> = (0..CHUNKS)
        .map(|index| format_event(loaded, index))
        .collect();
    let events = events.concat();
    format!("HTTP/1.1 200 OK\r\n\r\n{events}data: [DONE]\n\n")
}

fn format_event(loaded: &Loaded, index: u32) -> String {
    let finish = if index + 1 == CHUNKS {
        "\"stop\""
    } else {
        "null"
    };
    format!(
        "id: {index}\ndata: {{\"model\":\"{loaded}\",\"choices\":[{{\"index\":0,\
         \"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn serve(listener: &TcpListener, response: &str) {
    for _ in 0..CALLS {
        let (mut stream, _) = listener.accept().expect("a caller connects");
        read_request(&mut stream);
        stream
            .write_all(response.as_bytes())
            .expect("the response is written");
    }
}

fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !request.ends_with(b"}") {
        let count = stream.read(&mut buffer).expect("the request is read");
        request.extend_from_slice(&buffer[..count]);
    }
}

fn call(address: SocketAddr, loaded: &Loaded) {
    let id: Id = "r1".parse().expect("the id is valid");
    let deadline = Instant::now() + Duration::from_mins(1);
    let request = Request {
        address,
        loaded,
        body: &json!({"messages": [{"role": "user", "content": "Which bays are free?"}]}),
        id: &id,
        priority: 1,
        start_by: deadline,
        deadline,
        cancellation: Cancellation::new(|| false),
    };
    let mut stream = Client.start(&request).expect("the engine responds");
    while let Item::Chunk { .. } = stream.next() {}
}

/// Returns the processor time of this thread.
fn read_cpu_time() -> Duration {
    let times = fs::read_to_string("/proc/thread-self/schedstat").expect("the system has /proc");
    let nanoseconds = times.split(' ').next().and_then(|it| it.parse().ok());
    Duration::from_nanos(nanoseconds.expect("the text has a number"))
}
