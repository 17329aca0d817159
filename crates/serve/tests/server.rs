//! Tests the server over loopback sockets.

use std::{
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Barrier, mpsc},
    thread,
    time::{Duration, Instant},
};

use kernel::fault::{Fault, Kind};
use serve::{
    DrainOutcome, Handler, Limits, Request, Responder, Response, Server, build_error_response,
};

/// Time limit of every wait that has to succeed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit whose expiry a test waits for.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits with timeouts that do not expire on a busy machine.
fn generous_limits() -> Limits {
    Limits {
        header_timeout: TEST_TIMEOUT,
        body_timeout: TEST_TIMEOUT,
        write_timeout: TEST_TIMEOUT,
        queue_timeout: TEST_TIMEOUT,
        ..Limits::default()
    }
}

fn start(limits: Limits, handler: impl Handler + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Server::start(listener, limits, Arc::new(handler)).unwrap()
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

fn connect_and_send(server: &Server, text: &str) -> TcpStream {
    let mut stream = connect(server);
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads a response to its end, and fails on a reset.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// Reads a response until the connection is closed or reset.
fn read_until_close(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    String::from_utf8(bytes).unwrap()
}

fn read_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    line.trim_end().to_owned()
}

fn read_until(reader: &mut impl BufRead, expected: &str) {
    while read_line(reader) != expected {}
}

fn respond_ok(request: Request, responder: Responder) {
    responder.send(Response {
        status: 200,
        headers: Vec::new(),
        body: request.body,
    });
}

fn format_get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
}

/// Sends a request and checks the start of the response and a part of it.
fn check(limits: Limits, request: &str, status: &str, expected_part: &str) {
    let server = start(limits, respond_ok);
    let response = read_to_end(connect_and_send(&server, request));
    assert!(response.starts_with(status), "{response:?}");
    assert!(response.contains(expected_part), "{response:?}");
    server.stop();
}

fn check_rejected(limits: Limits, request: &str, kind: Kind) {
    let answer = kind.answer();
    let status = format!("HTTP/1.1 {} ", answer.status);
    let part = format!(r#""kind":"{}""#, answer.name);
    check(limits, request, &status, &part);
}

/// Covers every part of a request and of a response.
#[test]
fn handler_receives_the_request() {
    let server = start(
        generous_limits(),
        |request: Request, responder: Responder| {
            let description = format!(
                "{} {} {:?} {:?} {}",
                request.method,
                request.path,
                request.query,
                request.headers.get("x-TENANT"),
                String::from_utf8(request.body).unwrap(),
            );
            let response = Response {
                status: 201,
                headers: vec![("X-Served-By".to_owned(), "a".to_owned())],
                body: description.into_bytes(),
            };
            responder.send(response);
        },
    );
    let request = "POST /a%20b?c=d HTTP/1.1\r\nHost: x\r\nX-Tenant: t\r\n\
                   Connection: close\r\nContent-Length: 2\r\n\r\nhi";
    let response = read_to_end(connect_and_send(&server, request));
    assert!(response.starts_with("HTTP/1.1 201 "), "{response:?}");
    assert!(response.contains("x-served-by: a\r\n"), "{response:?}");
    assert!(
        response.ends_with(r#"POST /a%20b Some("c=d") Some("t") hi"#),
        "{response:?}"
    );
    server.stop();
}

/// Covers pipelined requests on one connection, and requests without a body.
#[test]
fn requests_of_one_connection_are_answered_in_order() {
    let server = start(generous_limits(), respond_ok);
    let post = |body: &str| format!("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n{body}");
    let text = post("1") + &post("2") + "HEAD / HTTP/1.1\r\n\r\n" + &post("3") + &format_get("/");
    let response = read_to_end(connect_and_send(&server, &text));
    let bodies: Vec<&str> = response
        .split("HTTP/1.1 200 OK\r\n")
        .filter_map(|it| it.split_once("\r\n\r\n"))
        .map(|(_, body)| body)
        .collect();
    assert_eq!(bodies, ["1", "2", "", "3", ""]);
    server.stop();
}

/// Covers a caller that waits for `100 Continue` before it sends the body.
#[test]
fn expect_continue_is_answered() {
    let server = start(generous_limits(), respond_ok);
    let head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    let mut reader = BufReader::new(connect_and_send(&server, head));
    assert_eq!(read_line(&mut reader), "HTTP/1.1 100 Continue");
    reader.get_mut().write_all(b"hi").unwrap();
    read_until(&mut reader, "HTTP/1.1 200 OK");
    server.stop();
}

/// Callers that never finish their heads or bodies do not block other callers.
#[test]
fn slow_senders_do_not_block_others() {
    let limits = Limits {
        workers: 1,
        ..generous_limits()
    };
    let server = start(limits, respond_ok);
    let slow = [
        "GET / HT",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1",
        "",
    ];
    let slow_callers: Vec<TcpStream> = (0..300)
        .map(|index| connect_and_send(&server, slow[index % slow.len()]))
        .collect();
    for _ in 0..10 {
        let response = read_to_end(connect_and_send(&server, &format_get("/")));
        assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response:?}");
    }
    drop(slow_callers);
    server.stop();
}

/// Each event is written only after the caller has read the one before.
#[test]
fn events_reach_the_caller_one_by_one() {
    let (acknowledge, acknowledged) = mpsc::sync_channel::<()>(0);
    let acknowledged = std::sync::Mutex::new(acknowledged);
    let handler = move |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        for event in ["one\n", "two\n", "three\n"] {
            stream.write(event.as_bytes()).unwrap();
            acknowledged.lock().unwrap().recv().unwrap();
        }
        stream.finish();
    };
    let server = start(generous_limits(), handler);
    let stream = connect_and_send(&server, &format_get("/"));
    let mut reader = BufReader::new(stream);
    for event in ["one", "two", "three"] {
        read_until(&mut reader, event);
        acknowledge.send(()).unwrap();
    }
    read_until(&mut reader, "0");
    server.stop();
}

/// Data that was written just before a stream is dropped arrives before the connection breaks.
#[test]
fn last_data_of_a_truncated_stream_arrives() {
    let server = start(generous_limits(), |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        stream.write(b"first").unwrap();
        stream.write(b"why it broke").unwrap();
    });
    for _ in 0..50 {
        let response = read_until_close(connect_and_send(&server, &format_get("/")));
        assert!(response.contains("why it broke"), "{response:?}");
        assert!(!response.ends_with("0\r\n\r\n"));
    }
    server.stop();
}

/// A stream that its handler drops ends without a last chunk.
#[test]
fn unfinished_stream_is_not_a_complete_response() {
    let server = start(generous_limits(), |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        stream.write(b"part").unwrap();
    });
    let response = read_until_close(connect_and_send(&server, &format_get("/")));
    assert!(!response.ends_with("0\r\n\r\n"), "{response:?}");

    // Without chunks, only a reset distinguishes a truncated response from a complete one.
    let mut http_1_0 = connect_and_send(&server, "GET / HTTP/1.0\r\n\r\n");
    let error = http_1_0.read_to_end(&mut Vec::new()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    server.stop();
}

/// Covers HTTP/1.0, which has no chunks.
#[test]
fn finished_stream_is_complete_without_chunks() {
    let server = start(generous_limits(), |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        stream.write(b"part").unwrap();
        stream.finish();
    });
    let mut response = Vec::new();
    let mut http_1_0 = connect_and_send(&server, "GET / HTTP/1.0\r\n\r\n");
    http_1_0.read_to_end(&mut response).unwrap();
    assert!(response.ends_with(b"\r\n\r\npart"));
    server.stop();
}

/// Covers a handler that panics and one that drops its responder.
#[test]
fn handler_without_response_is_an_internal_error() {
    let server = start(generous_limits(), |request: Request, _: Responder| {
        assert_ne!(request.path, "/panic");
    });
    for path in ["/panic", "/drop"] {
        let response = read_to_end(connect_and_send(&server, &format_get(path)));
        assert!(response.starts_with("HTTP/1.1 500 "), "{response:?}");
        assert!(response.contains(r#""ran":"unknown""#), "{response:?}");
    }
    server.stop();
}

/// Covers the limits on the request head, and malformed heads.
#[test]
fn bad_heads_are_rejected() {
    let limits = Limits {
        header_count: 3,
        header_bytes: 8192,
        ..generous_limits()
    };
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(4));
    let large = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "b".repeat(9000));
    for head in [&many, &large, "GET / HTTP/1.1\r\nA b\r\n\r\n", "\0\r\n\r\n"] {
        check_rejected(limits, head, Kind::BadRequest);
    }
}

/// Covers a head that stops half way, in the first request and in a later one.
#[test]
fn slow_head_is_rejected() {
    let limits = Limits {
        header_timeout: SHORT_TIMEOUT,
        ..generous_limits()
    };
    check_rejected(limits, "GET / HTTP/1.1\r\nHos", Kind::SlowSender);

    let server = start(limits, respond_ok);
    let stream = connect_and_send(&server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut reader = BufReader::new(stream);
    read_until(&mut reader, "");
    reader.get_mut().write_all(b"GET / HT").unwrap();
    let response = read_to_end(reader.into_inner());
    assert!(response.contains(r#""kind":"slow-sender""#), "{response:?}");
    server.stop();
}

/// Covers the limits on the body, with and without a declared size, and the request id.
#[test]
fn bad_bodies_are_rejected() {
    let limits = Limits {
        body_bytes: 8,
        body_timeout: SHORT_TIMEOUT,
        ..generous_limits()
    };
    let body = |rest: &str| format!("POST / HTTP/1.1\r\nX-Request-Id: r1\r\n{rest}");
    let large = body("Content-Length: 9\r\n\r\n123456789");
    check_rejected(limits, &large, Kind::BodyTooLarge);
    check(limits, &large, "HTTP/1.1 413 ", r#""request_id":"r1""#);
    let chunked = body("Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n");
    check_rejected(limits, &chunked, Kind::BodyTooLarge);
    let slow = body("Content-Length: 8\r\n\r\n1234");
    check_rejected(limits, &slow, Kind::SlowSender);
    let broken = body("Transfer-Encoding: chunked\r\n\r\nz\r\n");
    check_rejected(limits, &broken, Kind::BadRequest);
}

/// A request over the limit on all bodies is rejected, and finished requests free their share.
#[test]
fn total_size_of_bodies_is_limited() {
    let limits = Limits {
        total_body_bytes: 8,
        ..generous_limits()
    };
    let (entered, running) = mpsc::sync_channel(1);
    let (release, released) = mpsc::sync_channel::<()>(1);
    let released = std::sync::Mutex::new(released);
    let server = start(limits, move |request: Request, responder: Responder| {
        entered.send(()).unwrap();
        released.lock().unwrap().recv().unwrap();
        respond_ok(request, responder);
    });
    let post = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 5\r\n\r\n12345";
    for _ in 0..2 {
        let first = connect_and_send(&server, post);
        running.recv_timeout(TEST_TIMEOUT).unwrap();
        let second = read_to_end(connect_and_send(&server, post));
        assert!(second.contains(r#""kind":"overloaded""#), "{second:?}");
        release.send(()).unwrap();
        assert!(read_to_end(first).ends_with("12345"));
    }
    server.stop();
}

/// A caller that sends far more than the limit still gets the response instead of a reset.
#[test]
fn rejection_of_a_large_body_can_be_read() {
    let length = 512 * 1024;
    let request = format!(
        "POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{}",
        "x".repeat(length)
    );
    let limits = Limits {
        body_bytes: 1024,
        ..generous_limits()
    };
    check_rejected(limits, &request, Kind::BodyTooLarge);
}

/// Covers a connection that is idle after a request and one that never sends a request.
#[test]
fn idle_connection_is_closed() {
    let limits = Limits {
        idle_timeout: SHORT_TIMEOUT,
        ..generous_limits()
    };
    check(
        limits,
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "HTTP/1.1 200 ",
        "",
    );
    check(limits, "", "", "");
}

/// A connection over a limit gets an error response, and a closed connection frees its share.
#[test]
fn excess_connections_are_rejected() {
    let limits_of = |connections, peer_connections| Limits {
        connections,
        peer_connections,
        ..generous_limits()
    };
    for limits in [limits_of(1, 2), limits_of(2, 1)] {
        let server = start(limits, respond_ok);
        let mut first = connect_and_send(&server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        first.read_exact(&mut [0; 12]).unwrap();
        let response = read_to_end(connect(&server));
        assert!(response.contains(r#""kind":"overloaded""#), "{response:?}");
        assert!(response.contains("Retry-After: 1\r\n"), "{response:?}");

        first.shutdown(Shutdown::Write).unwrap();
        read_to_end(first);
        while !read_until_close(connect_and_send(&server, &format_get("/"))).contains(" 200 ") {}
        server.stop();
    }
}

/// A request that finds the queue full is rejected while the earlier ones still run.
#[test]
fn excess_requests_are_rejected() {
    let limits = Limits {
        workers: 1,
        queue: 1,
        queue_timeout: TEST_TIMEOUT,
        ..generous_limits()
    };
    let (entered, running) = mpsc::sync_channel(1);
    let (release, released) = mpsc::sync_channel::<()>(2);
    let released = std::sync::Mutex::new(released);
    let server = start(limits, move |request: Request, responder: Responder| {
        entered.send(()).unwrap();
        released.lock().unwrap().recv().unwrap();
        respond_ok(request, responder);
    });
    let first = connect_and_send(&server, &format_get("/"));
    running.recv_timeout(TEST_TIMEOUT).unwrap();
    let second = connect_and_send(&server, &format_get("/"));
    while server.in_flight() < 2 {
        thread::yield_now();
    }
    let third = read_to_end(connect_and_send(&server, &format_get("/")));
    assert!(third.contains(r#""kind":"overloaded""#), "{third:?}");
    assert!(third.contains("retry-after: 1\r\n"), "{third:?}");
    for waiting in [first, second] {
        release.send(()).unwrap();
        assert!(read_to_end(waiting).contains(" 200 "));
    }
    server.stop();
}

/// A request for which no worker becomes free in time is rejected and never handled.
#[test]
fn request_that_waits_too_long_is_rejected() {
    let limits = Limits {
        workers: 1,
        queue_timeout: SHORT_TIMEOUT,
        ..generous_limits()
    };
    let (entered, running) = mpsc::sync_channel(2);
    let (release, released) = mpsc::sync_channel::<()>(2);
    let released = std::sync::Mutex::new(released);
    let server = start(limits, move |request: Request, responder: Responder| {
        entered.send(request.path.clone()).unwrap();
        released.lock().unwrap().recv().unwrap();
        respond_ok(request, responder);
    });
    let first = connect_and_send(&server, &format_get("/first"));
    assert_eq!(running.recv_timeout(TEST_TIMEOUT).unwrap(), "/first");
    let second = read_to_end(connect_and_send(&server, &format_get("/second")));
    assert!(second.contains(r#""kind":"overloaded""#), "{second:?}");
    release.send(()).unwrap();
    // A request that already runs is not limited by the queue timeout.
    assert!(read_to_end(first).contains(" 200 "));
    release.send(()).unwrap();
    assert!(read_to_end(connect_and_send(&server, &format_get("/third"))).contains(" 200 "));
    assert_eq!(running.recv_timeout(TEST_TIMEOUT).unwrap(), "/third");
    server.stop();
}

/// Covers a caller that disconnects before the response and during a streamed one.
#[test]
fn handler_sees_that_the_caller_has_disconnected() {
    let (entered, running) = mpsc::sync_channel(1);
    let (noticed, disconnected) = mpsc::sync_channel(1);
    let server = start(
        generous_limits(),
        move |request: Request, responder: Responder| {
            let caller = responder.caller();
            let mut stream = (request.path == "/stream").then(|| responder.stream(200, Vec::new()));
            entered.send(()).unwrap();
            while !caller.is_disconnected() {
                thread::yield_now();
            }
            let written = stream.as_mut().map(|it| it.write(b"x"));
            assert_ne!(written, Some(Ok(())));
            noticed.send(()).unwrap();
        },
    );
    for path in ["/wait", "/stream"] {
        let stream = connect_and_send(&server, &format_get(path));
        running.recv_timeout(TEST_TIMEOUT).unwrap();
        drop(stream);
        disconnected.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    server.stop();
}

/// The handler of a caller that never reads gets an error from `write` and ends.
#[test]
fn slow_reader_is_dropped() {
    let limits = Limits {
        write_timeout: SHORT_TIMEOUT,
        ..generous_limits()
    };
    let (noticed, disconnected) = mpsc::sync_channel(1);
    let server = start(limits, move |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        while stream.write(&vec![0; 65536]).is_ok() {}
        noticed.send(()).unwrap();
    });
    let caller = connect_and_send(&server, &format_get("/"));
    disconnected.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(caller);

    // Reading a byte now and then hardly extends the deadline.
    let mut caller = connect_and_send(&server, &format_get("/"));
    while disconnected.try_recv().is_err() {
        let _ = caller.read(&mut [0]);
        thread::sleep(SHORT_TIMEOUT / 4);
    }
    server.stop();
}

/// A drain under load completes every request that was sent, streams included.
#[test]
fn drain_completes_all_requests() {
    const CALLERS: usize = 32;
    let barrier = Arc::new(Barrier::new(CALLERS + 1));
    let entered = barrier.clone();
    let limits = Limits {
        workers: CALLERS,
        ..generous_limits()
    };
    let server = start(limits, move |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        entered.wait();
        for _ in 0..100 {
            stream.write(b"part\n").unwrap();
            thread::yield_now();
        }
        stream.finish();
    });
    let idle = connect(&server);
    let keep_alive = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| connect_and_send(&server, keep_alive))
        .map(|stream| thread::spawn(move || read_to_end(stream)))
        .collect();
    barrier.wait();
    assert_eq!(server.drain(TEST_TIMEOUT), DrainOutcome::Complete);
    for caller in callers {
        let response = caller.join().unwrap();
        assert_eq!(response.matches("part\n").count(), 100);
        assert!(response.ends_with("0\r\n\r\n"));
    }
    assert_eq!(read_to_end(idle), "");
    server.stop();
}

/// A drain did not begin for as long as callers kept opening connections.
#[test]
fn drain_ends_while_callers_keep_connecting() {
    let server = start(generous_limits(), respond_ok);
    let address = server.address();
    let (connected, first) = mpsc::sync_channel(1);
    let caller = thread::spawn(move || {
        let start = Instant::now();
        while TcpStream::connect(address).is_ok() {
            if start.elapsed() > TEST_TIMEOUT {
                return false;
            }
            let _ = connected.try_send(());
            thread::sleep(Duration::from_millis(5));
        }
        true
    });
    first.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(server.drain(TEST_TIMEOUT), DrainOutcome::Complete);
    let was_refused = caller.join().unwrap();
    assert!(
        was_refused,
        "connections were accepted for {TEST_TIMEOUT:?}"
    );
    server.stop();
}

/// Requests that outlast the drain's time limit are aborted and counted, and their responses are
/// visibly truncated.
#[test]
fn drain_counts_aborted_requests() {
    let (entered, running) = mpsc::sync_channel(1);
    let server = start(
        generous_limits(),
        move |_: Request, responder: Responder| {
            let stream = responder.stream(200, Vec::new());
            entered.send(()).unwrap();
            while !stream.is_caller_disconnected() {
                thread::yield_now();
            }
        },
    );
    let stream = connect_and_send(&server, &format_get("/"));
    running.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(server.drain(SHORT_TIMEOUT), DrainOutcome::Aborted(1));
    assert!(!read_until_close(stream).ends_with("0\r\n\r\n"));
    server.stop();
}

/// Covers the error response of every fault kind: status, body, request id, and `Retry-After`.
#[test]
fn error_responses_follow_the_fault_table() {
    for &kind in Kind::ALL {
        let answer = kind.answer();
        let fault = Fault::new(kind, "a \"b\"").with_retry_after(Duration::from_millis(1001));
        let response = build_error_response(&fault, Some("r"));
        let body = format!(
            r#"{{"error":{{"kind":"{}","message":"a \"b\"","ran":"{}","request_id":"r"}}}}"#,
            answer.name, answer.execution
        );
        assert_eq!(response.status, answer.status);
        assert_eq!(String::from_utf8(response.body).unwrap(), body);
        let retry = ("Retry-After".to_owned(), "2".to_owned());
        assert!(response.headers.contains(&retry));
    }
}

/// The error names the limit, its value, and its minimum.
#[test]
fn invalid_limits_are_named() {
    let limits = Limits {
        workers: 0,
        ..generous_limits()
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let failure = Server::start(listener, limits, Arc::new(respond_ok)).err();
    let message = failure.unwrap().to_string();
    assert_eq!(message, "the limit workers is 0, it must be at least 1");
}
