//! Tests with a proxy that sends each response to a write a second time, where the next response of
//! the connection is expected.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use journal::Scope;
use kernel::{clock::System, permit::Holder};
use objects::{
    http::Client,
    journal::{Decision, Journal},
    object::{Failure, Reason, Store},
};
use standin::object::Server;

const REASON: Reason = Reason::Config;

/// Starts a proxy in front of a server. Its threads end with the connections of the clients.
fn start_proxy(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || forward(client, TcpStream::connect(server).unwrap()));
        }
    });
    address
}

/// Forwards the requests of one connection until the client closes it.
fn forward(mut client: TcpStream, mut server: TcpStream) {
    let mut late_copy = Vec::new();
    while let Some(request) = read_message(&mut client) {
        server.write_all(&request).unwrap();
        let response = read_message(&mut server).unwrap();
        if client.write_all(&late_copy).is_err() || client.write_all(&response).is_err() {
            return;
        }
        late_copy.clear();
        if request.starts_with(b"PUT ") {
            late_copy = response;
        }
    }
}

/// Reads a message with its body. Returns `None` if the connection is closed before the first byte.
fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    let mut byte = [0];
    while !message.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        message.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&message).to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|it| it.split("\r\n").next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    message.append(&mut body);
    Some(message)
}

/// A write that conflicts is not taken for a success.
#[test]
fn a_late_copy_of_a_response_does_not_confirm_the_next_write() {
    let server = Server::start();
    let other = Client::new(server.address());
    other.create(REASON, "taken", b"theirs").unwrap();
    let client = Client::new(start_proxy(server.address()));
    client.create(REASON, "free", b"ours").unwrap();
    let key = "taken".to_owned();
    let conflict = Err(Failure::Conflict { key });
    assert_eq!(client.create(REASON, "taken", b"ours"), conflict);
}

fn open(address: SocketAddr, host: &str) -> Journal {
    let holder = Holder {
        host: host.parse().unwrap(),
        incarnation: 1,
    };
    Journal::new(Arc::new(Client::new(address)), holder, Arc::new(System))
}

fn scope(key: &str) -> Scope {
    Scope {
        service: "barrier".parse().unwrap(),
        tenant: "mall".parse().unwrap(),
        key: key.parse().unwrap(),
    }
}

fn begin(journal: &Journal, key: &str) -> Decision {
    let deadline = Instant::now() + Duration::from_mins(1);
    journal.begin(&scope(key), &[7; 32], deadline)
}

/// Of two hosts that get calls with the same key, only one makes the call.
#[test]
fn a_late_copy_of_a_response_does_not_let_a_key_run_twice() {
    let shard = scope("key").digest().shard();
    let earlier_key = (0..10_000)
        .map(|it| format!("earlier-{it}"))
        .find(|it| scope(it).digest().shard() == shard)
        .unwrap();
    let server = Server::start();
    let one = open(start_proxy(server.address()), "e1");
    let two = open(server.address(), "e2");
    assert!(matches!(begin(&one, &earlier_key), Decision::First(_)));
    assert!(matches!(begin(&two, "key"), Decision::First(_)));
    let decision = begin(&one, "key");
    assert!(matches!(decision, Decision::Running), "{decision:?}");
}
