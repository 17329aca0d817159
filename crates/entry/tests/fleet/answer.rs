//! Every caller receives the complete response to its own request, or an error.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
};

use standin::{
    client::State,
    engine::{Pace, Switch},
};

use crate::fixture::{
    Delivery, Fixture, TOKENS, chat_request, chat_request_within, check_stream, check_whole, shape,
    wait_until,
};

const REFERENCE: &str = "signs/bay-summary@7";

/// Covers: a stream that breaks after any number of chunks is resumed, for both forms of delivery.
#[test]
fn stream_that_breaks_anywhere_is_resumed() {
    let it = Fixture::start(&shape());
    for after in 0..TOKENS {
        it.set_engines(&Switch::BreakStreams { after, times: 1 });
        let id = format!("break-{after}");
        let stream = chat_request(&id, REFERENCE, Delivery::Streamed).stream(it.entry(0).address());
        check_stream(stream.unwrap(), REFERENCE);
        assert_eq!(it.runs(&id).len(), 1);
        it.set_engines(&Switch::BreakStreams { after, times: 1 });
        let answer = chat_request(&id, REFERENCE, Delivery::Whole).send(it.entry(1).address());
        check_whole(&answer.unwrap(), REFERENCE);
    }
}

/// Covers: an engine that dies during a stream; the caller can tell that the response is
/// incomplete.
#[test]
fn lost_engine_breaks_the_answer_visibly() {
    let it = Fixture::start(&shape());
    it.set_engines(&Switch::Pace(Pace::Stepped));
    let address = it.entry(0).address();
    let (sender, first_read) = mpsc::channel();
    let reader = thread::spawn(move || {
        let request = chat_request_within("lost", REFERENCE, Delivery::Streamed, "8000");
        let mut stream = request.stream(address).unwrap();
        let mut events: Vec<_> = stream.by_ref().take(1).collect();
        sender.send(()).unwrap();
        events.extend(stream.by_ref());
        (events, stream.state)
    });
    wait_until("the request runs", || !it.runs("lost").is_empty());
    let counts = it.engine_counts();
    let index = counts
        .iter()
        .position(|it| !it.entries_for("lost").is_empty());
    let engine = &it.fleet.engines()[index.unwrap()];
    engine.set(&Switch::Step(2)).unwrap();
    // The request may be sent to another engine until the caller has received data.
    first_read.recv().unwrap();
    engine.process().kill();
    let (events, state) = reader.join().unwrap();
    assert!(!events.iter().any(standin::client::Event::is_done));
    let last = events.last().unwrap();
    assert_eq!(last.kind, "error");
    assert_eq!(last.json()["error"]["ran"], "unknown");
    assert_eq!(state, State::Broken);
}

/// Covers: concurrent callers with the same request id, through one host and through two hosts.
#[test]
fn callers_with_one_id_get_their_own_answers() {
    let it = Fixture::start(&shape());
    let references = ["signs/bay-summary@6", REFERENCE, "cards/formula-card@12"];
    let callers: Vec<_> = references
        .iter()
        .flat_map(|reference| [0, 1].map(|entry| (*reference, entry)))
        .map(|(reference, entry)| {
            let address = it.entry(entry).address();
            thread::spawn(move || {
                let stream = chat_request("same", reference, Delivery::Streamed).stream(address);
                check_stream(stream.unwrap(), reference);
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    assert_eq!(it.runs("same").len(), 6);
}

/// Covers: an instance of a plain service that uses the names of the entry host's headers.
#[test]
fn headers_of_an_instance_are_not_taken_for_those_of_the_entry_host() {
    let it = Fixture::start(&shape());
    let entry = it.entry(0);
    let mut stream = TcpStream::connect(entry.address()).unwrap();
    let request = "GET /services/registry/card HTTP/1.1\r\nHost: x\r\nX-Request-Id: own\r\n\
                   Connection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    let instance = body["instance"].as_str().unwrap();
    let values = |name: &str| -> Vec<&str> {
        let fields = head.lines().filter_map(|it| it.split_once(": "));
        let named = fields.filter(|it| it.0.eq_ignore_ascii_case(name));
        named.map(|it| it.1).collect()
    };
    assert_eq!(values("x-request-id"), ["own"]);
    assert_eq!(values("x-served-by"), [entry.name.as_str()]);
    assert_eq!(values("x-upstream"), [instance]);
}

/// Covers: a request id with characters that can't stand in a path.
#[test]
fn a_request_is_explained_under_any_id() {
    let it = Fixture::start(&shape());
    let entry = it.entry(0);
    let id = "order/17%2F+#?";
    check_whole(
        &chat_request(id, REFERENCE, Delivery::Whole)
            .send(entry.address())
            .unwrap(),
        REFERENCE,
    );
    let address = entry.address().to_string();
    let output = it.fleet.run_cli(&["--entry", &address, "explain", id]);
    let output = output.unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains("first token"), "{text}");
}

/// Covers: pipelined calls to a plain service on the kept connections of concurrent callers.
#[test]
fn calls_to_a_plain_service_get_their_own_answers() {
    let it = Fixture::start(&shape());
    let callers: Vec<_> = [0, 0, 1, 1]
        .into_iter()
        .enumerate()
        .map(|(caller, entry)| {
            let address = it.entry(entry).address();
            thread::spawn(move || {
                let ids: Vec<_> = (0..20).map(|it| format!("{caller}-{it}")).collect();
                assert_eq!(call_pipelined(address, &ids), ids);
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
}

/// Sends a call for each id on one connection. Returns the ids in the answers, in their order.
fn call_pipelined(address: SocketAddr, ids: &[String]) -> Vec<String> {
    let mut stream = TcpStream::connect(address).unwrap();
    for (index, id) in ids.iter().enumerate() {
        let connection = if index + 1 == ids.len() {
            "close"
        } else {
            "keep-alive"
        };
        let call = format!(
            "GET /services/registry/{id} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\n\
             Connection: {connection}\r\n\r\n"
        );
        stream.write_all(call.as_bytes()).unwrap();
    }
    let mut answers = String::new();
    stream.read_to_string(&mut answers).unwrap();
    let bodies = answers.split("\r\n\r\n").skip(1);
    bodies.map(read_id).collect()
}

/// Reads the id from the body at the start of a text.
fn read_id(text: &str) -> String {
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<serde_json::Value>();
    let body = values.next().unwrap().unwrap();
    let id = body["request_id"].as_str().unwrap();
    assert_eq!(body["path"], format!("/{id}"));
    id.to_owned()
}
