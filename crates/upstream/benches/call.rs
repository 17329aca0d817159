//! Processor time of the calling thread for one request to an engine, from the connection to the
//! end of an answer of ten chunks.
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
    let loaded: Loaded = "signs/bay-summary@7+31".parse().expect("it is a name");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let answer = answer(&loaded);
    let engine = thread::spawn(move || serve(&listener, &answer));
    let (start, busy) = (Instant::now(), busy_time());
    for _ in 0..CALLS {
        call(address, &loaded);
    }
    let (elapsed, busy) = (start.elapsed(), busy_time().saturating_sub(busy));
    engine.join().expect("the engine ends");
    println!(
        "{:?} a call, {:?} of it busy",
        elapsed / CALLS,
        busy / CALLS
    );
}

fn answer(loaded: &Loaded) -> String {
    let events: Vec<String> = (0..CHUNKS).map(|index| event(loaded, index)).collect();
    let events = events.concat();
    format!("HTTP/1.1 200 OK\r\n\r\n{events}data: [DONE]\n\n")
}

fn event(loaded: &Loaded, index: u32) -> String {
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

fn serve(listener: &TcpListener, answer: &str) {
    for _ in 0..CALLS {
        let (mut stream, _) = listener.accept().expect("a caller comes");
        read_request(&mut stream);
        stream
            .write_all(answer.as_bytes())
            .expect("the caller reads");
    }
}

fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut space = [0; 4096];
    while !request.ends_with(b"}") {
        let count = stream.read(&mut space).expect("the caller sends");
        request.extend_from_slice(&space[..count]);
    }
}

fn call(address: SocketAddr, loaded: &Loaded) {
    let id: Id = "r1".parse().expect("it is an id");
    let deadline = Instant::now() + Duration::from_mins(1);
    let start = Request {
        address,
        loaded,
        body: &json!({"messages": [{"role": "user", "content": "Which bays are free?"}]}),
        id: &id,
        priority: 1,
        start_by: deadline,
        deadline,
        cancellation: Cancellation::new(|| false),
    };
    let mut stream = Client.start(&start).expect("the engine answers");
    while let Item::Chunk { .. } = stream.next() {}
}

/// Processor time of this thread.
fn busy_time() -> Duration {
    let times = fs::read_to_string("/proc/thread-self/schedstat").expect("the system has /proc");
    let nanoseconds = times.split(' ').next().and_then(|it| it.parse().ok());
    Duration::from_nanos(nanoseconds.expect("the text has a number"))
}
