//! Tests of the failures of calls, with a server that follows a script.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    time::Duration,
};

use objects::{
    http::Client,
    object::{Failure, Reason, Store},
};

const REASON: Reason = Reason::Config;

/// The behavior of the server on its only connection.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Closes the connection without reading.
    CloseUnread,
    /// Reads the request and closes the connection.
    CloseRead,
    /// Reads the request, sends this text and closes the connection.
    Send(&'static str),
    /// Receives the request, sends this text and resets the connection.
    SendAndReset(&'static str),
    /// Reads the request and waits until the client closes the connection.
    Silence,
}

/// The outcome of a call as the client reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Success,
    NoEffect,
    /// The call may be repeated after this many seconds.
    Throttled(u64),
    Unknown,
    Conflict,
    TooLarge,
    Gap,
}

fn outcome<T>(result: &Result<T, Failure>) -> Outcome {
    match result {
        Ok(_) => Outcome::Success,
        Err(Failure::Unavailable { .. }) => Outcome::NoEffect,
        Err(Failure::Throttled { after }) => Outcome::Throttled(after.as_secs()),
        Err(Failure::Unknown { .. }) => Outcome::Unknown,
        Err(Failure::Conflict { .. }) => Outcome::Conflict,
        Err(Failure::TooLarge { .. }) => Outcome::TooLarge,
        Err(Failure::Gap { .. }) => Outcome::Gap,
    }
}

fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|it| it.split("\r\n").next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    let _ = stream.read_exact(&mut body);
}

fn run_script(script: Script, stream: &mut TcpStream) {
    match script {
        Script::CloseUnread => {}
        Script::CloseRead => read_request(stream),
        Script::Send(text) => {
            read_request(stream);
            stream.write_all(text.as_bytes()).unwrap();
            let _ = stream.shutdown(Shutdown::Write);
        }
        Script::SendAndReset(text) => {
            // Closing a socket with unread bytes resets the connection.
            let mut buffer = [0; 4096];
            while !buffer.windows(4).any(|it| it == b"\r\n\r\n") {
                stream.peek(&mut buffer).unwrap();
            }
            stream.write_all(text.as_bytes()).unwrap();
        }
        Script::Silence => {
            read_request(stream);
            let _ = stream.read(&mut [0]);
        }
    }
}

/// Makes a call to a server that follows `script`.
fn call_with<T: Send>(script: Script, call: impl FnOnce(&Client) -> T + Send) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    std::thread::scope(|scope| {
        scope.spawn(move || run_script(script, &mut listener.accept().unwrap().0));
        call(&client)
    })
}

/// Checks the outcomes of writes and of reads.
fn check(script: Script, write: Outcome, read: Outcome) {
    let created = call_with(script, |it| outcome(&it.create(REASON, "a", b"1")));
    assert_eq!(created, write, "create: {script:?}");
    let updated = call_with(script, |it| outcome(&it.update(REASON, "a", 1, b"1")));
    assert_eq!(updated, write, "update: {script:?}");
    let listed = call_with(script, |it| outcome(&it.list(REASON, "a", "", 1)));
    assert_eq!(listed, read, "list: {script:?}");
    let watched = call_with(script, |it| {
        outcome(&it.watch(REASON, "a", 1, Duration::ZERO))
    });
    assert_eq!(watched, read, "watch: {script:?}");
}

// Without a complete response the outcome of a write is unknown; a read has no effect.
#[test]
fn no_response() {
    check(Script::CloseUnread, Outcome::Unknown, Outcome::NoEffect);
    check(Script::CloseRead, Outcome::Unknown, Outcome::NoEffect);
    check(
        Script::Send("HTTP/1.1 20"),
        Outcome::Unknown,
        Outcome::NoEffect,
    );
    check(
        Script::Send("HTTP/1.1 200 OK\r\nETag: \"7"),
        Outcome::Unknown,
        Outcome::NoEffect,
    );
    check(
        Script::Send("SSH-2.0-x\r\n\r\n"),
        Outcome::Unknown,
        Outcome::NoEffect,
    );
}

// A call to a server that never responds times out, and the outcome of a write is unknown.
#[test]
fn unresponsive_server() {
    let created = call_with(Script::Silence, |it| outcome(&it.create(REASON, "a", b"1")));
    assert_eq!(created, Outcome::Unknown);
    let read = call_with(Script::Silence, |it| outcome(&it.get(REASON, "a")));
    assert_eq!(read, Outcome::NoEffect);
}

// A refused write has no effect; after a redirect or a server error the outcome is unknown.
#[test]
fn refusals_and_server_errors() {
    const REFUSED: [&str; 4] = [
        "HTTP/1.1 400 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 403 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 405 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n",
    ];
    const AMBIGUOUS: [&str; 4] = [
        "HTTP/1.1 302 x\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 502 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 504 x\r\ncontent-length: 0\r\n\r\n",
    ];
    for text in REFUSED {
        check(Script::Send(text), Outcome::NoEffect, Outcome::NoEffect);
    }
    for text in AMBIGUOUS {
        check(Script::Send(text), Outcome::Unknown, Outcome::NoEffect);
    }
}

// The retry delay is the `Retry-After` header up to the maximum, or the default if the header is
// absent or invalid.
#[test]
fn throttling() {
    let requested = Script::Send("HTTP/1.1 429 x\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n");
    check(requested, Outcome::Throttled(7), Outcome::Throttled(7));
    let absent = Script::Send("HTTP/1.1 429 x\r\ncontent-length: 0\r\n\r\n");
    check(absent, Outcome::Throttled(1), Outcome::Throttled(1));
    let invalid =
        Script::Send("HTTP/1.1 429 x\r\nretry-after: tomorrow\r\ncontent-length: 0\r\n\r\n");
    check(invalid, Outcome::Throttled(1), Outcome::Throttled(1));
    let too_long =
        Script::Send("HTTP/1.1 429 x\r\nretry-after: 86400\r\ncontent-length: 0\r\n\r\n");
    check(too_long, Outcome::Throttled(30), Outcome::Throttled(30));
}

// The statuses for conflicts, values that are too large and dropped changes map to their failures.
#[test]
fn error_statuses_map_to_failures() {
    let conflict = Script::Send("HTTP/1.1 412 x\r\ncontent-length: 0\r\n\r\n");
    check(conflict, Outcome::Conflict, Outcome::NoEffect);
    let large = Script::Send("HTTP/1.1 413 x\r\ncontent-length: 0\r\n\r\n");
    check(large, Outcome::TooLarge, Outcome::NoEffect);
    let dropped = Script::Send("HTTP/1.1 410 x\r\ncontent-length: 0\r\n\r\n");
    let watched = call_with(dropped, |it| {
        outcome(&it.watch(REASON, "a", 1, Duration::ZERO))
    });
    assert_eq!(watched, Outcome::Gap);
}

// A successful response without a valid version is malformed: the outcome of a write is unknown.
#[test]
fn success_without_version() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: \"-7\"\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: \"99999999999999999999\"\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: W/\"7\"\r\ncontent-length: 0\r\n\r\n",
    ] {
        check(Script::Send(text), Outcome::Unknown, Outcome::NoEffect);
        let read = call_with(Script::Send(text), |it| outcome(&it.get(REASON, "a")));
        assert_eq!(read, Outcome::NoEffect, "{text:?}");
    }
}

// The headers of a response suffice for a write; a read with a truncated body fails.
#[test]
fn truncated_body() {
    let truncated = Script::Send("HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 9\r\n\r\nhalf");
    check(truncated, Outcome::Success, Outcome::NoEffect);
    assert_eq!(
        call_with(truncated, |it| outcome(&it.get(REASON, "a"))),
        Outcome::NoEffect
    );
}

/// The part of a value that had arrived was taken for the whole if the response had neither a length nor chunks.
#[test]
fn a_value_without_a_length_is_complete_unless_its_connection_is_reset() {
    for text in [
        "HTTP/1.1 200 OK\r\netag: \"7\"\r\n\r\nvalue",
        "HTTP/1.0 200 OK\r\netag: \"7\"\r\n\r\nvalue",
    ] {
        let whole = call_with(Script::Send(text), |it| it.get(REASON, "a"));
        let object = whole.unwrap().expect("the object exists");
        assert_eq!((object.version, &*object.value), (7, &b"value"[..]));
        let cut = call_with(Script::SendAndReset(text), |it| {
            outcome(&it.get(REASON, "a"))
        });
        assert_eq!(cut, Outcome::NoEffect, "{text:?}");
    }
}

// Lists and watches with malformed bodies are failures, not empty results.
#[test]
fn malformed_bodies() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        check(Script::Send(text), Outcome::Unknown, Outcome::NoEffect);
    }
    let earlier_revision =
        Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n{\"events\":[],\"revision\":0}");
    let watched = call_with(earlier_revision, |it| {
        outcome(&it.watch(REASON, "a", 1, Duration::ZERO))
    });
    assert_eq!(watched, Outcome::NoEffect);
}

// A write is not sent on an idle connection that the server has closed, which would make its
// outcome unknown.
#[test]
fn closed_idle_connections_are_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let success = Script::Send("HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n");
    let (closed_sender, closed_receiver) = std::sync::mpsc::sync_channel(2);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..2 {
                run_script(success, &mut listener.accept().unwrap().0);
                closed_sender.send(()).unwrap();
            }
        });
        assert_eq!(outcome(&client.create(REASON, "a", b"1")), Outcome::Success);
        closed_receiver.recv().unwrap();
        assert_eq!(outcome(&client.create(REASON, "b", b"1")), Outcome::Success);
    });
}
