//! Every way in which a call can fail, against a server that answers by script.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    time::Duration,
};

use objects::{
    http::Client,
    object::{Failure, Reason, Store},
};

const R: Reason = Reason::Config;

/// What the server does with its one connection.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Closes it without reading.
    CloseUnread,
    /// Reads the request and closes it.
    CloseRead,
    /// Reads the request, sends this and closes it.
    Send(&'static str),
    /// Reads the request and waits until the client closes it.
    Silence,
}

/// What a failure says of the effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    Done,
    NoEffect,
    Throttled(u64),
    Unknown,
    Conflict,
    TooLarge,
    Gap,
}

fn told<T>(outcome: &Result<T, Failure>) -> Told {
    match outcome {
        Ok(_) => Told::Done,
        Err(Failure::Unavailable { .. }) => Told::NoEffect,
        Err(Failure::Throttled { after }) => Told::Throttled(after.as_secs()),
        Err(Failure::Unknown { .. }) => Told::Unknown,
        Err(Failure::Conflict { .. }) => Told::Conflict,
        Err(Failure::TooLarge { .. }) => Told::TooLarge,
        Err(Failure::Gap { .. }) => Told::Gap,
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

fn play(script: Script, stream: &mut TcpStream) {
    match script {
        Script::CloseUnread => {}
        Script::CloseRead => read_request(stream),
        Script::Send(text) => {
            read_request(stream);
            stream.write_all(text.as_bytes()).unwrap();
            let _ = stream.shutdown(Shutdown::Write);
        }
        Script::Silence => {
            read_request(stream);
            let _ = stream.read(&mut [0]);
        }
    }
}

fn answer<T: Send>(script: Script, call: impl FnOnce(&Client) -> T + Send) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    std::thread::scope(|scope| {
        scope.spawn(move || play(script, &mut listener.accept().unwrap().0));
        call(&client)
    })
}

fn check(script: Script, write: Told, read: Told) {
    let created = answer(script, |it| told(&it.create(R, "a", b"1")));
    assert_eq!(created, write, "create: {script:?}");
    let updated = answer(script, |it| told(&it.update(R, "a", 1, b"1")));
    assert_eq!(updated, write, "update: {script:?}");
    let listed = answer(script, |it| told(&it.list(R, "a", "", 1)));
    assert_eq!(listed, read, "list: {script:?}");
    let watched = answer(script, |it| told(&it.watch(R, "a", 1, Duration::ZERO)));
    assert_eq!(watched, read, "watch: {script:?}");
}

// A call that was sent and got no answer: a write is unknown, a read had no effect.
#[test]
fn no_answer() {
    check(Script::CloseUnread, Told::Unknown, Told::NoEffect);
    check(Script::CloseRead, Told::Unknown, Told::NoEffect);
    check(Script::Send("HTTP/1.1 20"), Told::Unknown, Told::NoEffect);
    check(
        Script::Send("HTTP/1.1 200 OK\r\nETag: \"7"),
        Told::Unknown,
        Told::NoEffect,
    );
    check(
        Script::Send("SSH-2.0-x\r\n\r\n"),
        Told::Unknown,
        Told::NoEffect,
    );
}

// A server that never answers: the call ends by itself and a write is unknown.
#[test]
fn silence() {
    let created = answer(Script::Silence, |it| told(&it.create(R, "a", b"1")));
    assert_eq!(created, Told::Unknown);
    let read = answer(Script::Silence, |it| told(&it.get(R, "a")));
    assert_eq!(read, Told::NoEffect);
}

// A refusal had no effect; a server error may have had one.
#[test]
fn refusals() {
    const REFUSED: [&str; 4] = [
        "HTTP/1.1 400 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 403 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 405 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n",
    ];
    const UNCLEAR: [&str; 4] = [
        "HTTP/1.1 302 x\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 502 x\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 504 x\r\ncontent-length: 0\r\n\r\n",
    ];
    for text in REFUSED {
        check(Script::Send(text), Told::NoEffect, Told::NoEffect);
    }
    for text in UNCLEAR {
        check(Script::Send(text), Told::Unknown, Told::NoEffect);
    }
}

// A throttled call tells when to come back: as asked for, within bounds, or by default.
#[test]
fn throttling() {
    let asked = Script::Send("HTTP/1.1 429 x\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n");
    check(asked, Told::Throttled(7), Told::Throttled(7));
    let none = Script::Send("HTTP/1.1 429 x\r\ncontent-length: 0\r\n\r\n");
    check(none, Told::Throttled(1), Told::Throttled(1));
    let date = Script::Send("HTTP/1.1 429 x\r\nretry-after: tomorrow\r\ncontent-length: 0\r\n\r\n");
    check(date, Told::Throttled(1), Told::Throttled(1));
    let long = Script::Send("HTTP/1.1 429 x\r\nretry-after: 86400\r\ncontent-length: 0\r\n\r\n");
    check(long, Told::Throttled(30), Told::Throttled(30));
}

// Conditions and limits that the platform tells of.
#[test]
fn conditions() {
    let conflict = Script::Send("HTTP/1.1 412 x\r\ncontent-length: 0\r\n\r\n");
    check(conflict, Told::Conflict, Told::NoEffect);
    let large = Script::Send("HTTP/1.1 413 x\r\ncontent-length: 0\r\n\r\n");
    check(large, Told::TooLarge, Told::NoEffect);
    let gone = Script::Send("HTTP/1.1 410 x\r\ncontent-length: 0\r\n\r\n");
    let watched = answer(gone, |it| told(&it.watch(R, "a", 1, Duration::ZERO)));
    assert_eq!(watched, Told::Gap);
}

// A success without a version can't be used: a write may have taken effect.
#[test]
fn success_without_version() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: \"-7\"\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: \"99999999999999999999\"\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\netag: W/\"7\"\r\ncontent-length: 0\r\n\r\n",
    ] {
        check(Script::Send(text), Told::Unknown, Told::NoEffect);
        let read = answer(Script::Send(text), |it| told(&it.get(R, "a")));
        assert_eq!(read, Told::NoEffect, "{text:?}");
    }
}

// The head of an answer settles a write; a value that breaks off is not taken for the whole.
#[test]
fn body_that_breaks_off() {
    let cut = Script::Send("HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 9\r\n\r\nhalf");
    check(cut, Told::Done, Told::NoEffect);
    assert_eq!(answer(cut, |it| told(&it.get(R, "a"))), Told::NoEffect);
}

// Lists and watches whose bodies can't be understood are failures, not empty answers.
#[test]
fn garbled_bodies() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        check(Script::Send(text), Told::Unknown, Told::NoEffect);
    }
    let back =
        Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n{\"events\":[],\"revision\":0}");
    let watched = answer(back, |it| told(&it.watch(R, "a", 1, Duration::ZERO)));
    assert_eq!(watched, Told::NoEffect);
}

// A connection that the server closed while it was idle doesn't make the next write unknown.
#[test]
fn idle_connections_are_not_trusted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let done = Script::Send("HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n");
    let (closed, first_closed) = std::sync::mpsc::sync_channel(2);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..2 {
                play(done, &mut listener.accept().unwrap().0);
                closed.send(()).unwrap();
            }
        });
        assert_eq!(told(&client.create(R, "a", b"1")), Told::Done);
        first_closed.recv().unwrap();
        assert_eq!(told(&client.create(R, "b", b"1")), Told::Done);
    });
}
