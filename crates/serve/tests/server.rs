//! The server over loopback sockets, as callers meet it.

use std::{
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Barrier, mpsc},
    thread,
    time::Duration,
};

use kernel::fault::{Fault, Kind};
use serve::{
    DrainOutcome, Handler, Limits, Request, Responder, Response, Server, build_error_response,
};

/// Longest wait of a test for something that has to happen.
const PATIENCE: Duration = Duration::from_secs(20);
/// A limit that a test waits for.
const SHORT: Duration = Duration::from_millis(100);

/// Limits under which nothing is refused because the machine is busy.
fn patient() -> Limits {
    Limits {
        header_timeout: PATIENCE,
        body_timeout: PATIENCE,
        write_timeout: PATIENCE,
        queue_timeout: PATIENCE,
        ..Limits::default()
    }
}

fn start(limits: Limits, handler: impl Handler + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Server::start(listener, limits, Arc::new(handler)).unwrap()
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn connect_and_send(server: &Server, text: &str) -> TcpStream {
    let mut stream = connect(server);
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads an answer to its end, which must be no reset.
fn read_rest(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Reads an answer until it breaks off, by a close or by a reset.
fn read_cut(mut stream: TcpStream) -> String {
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

fn read_until(reader: &mut impl BufRead, wanted: &str) {
    while read_line(reader) != wanted {}
}

fn answer_ok(request: Request, responder: Responder) {
    responder.send(Response {
        status: 200,
        headers: Vec::new(),
        body: request.body,
    });
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
}

/// Sends a request and compares the answer's first line and, if it is a refusal, its kind.
fn check(limits: Limits, request: &str, status: &str, part: &str) {
    let server = start(limits, answer_ok);
    let answer = read_rest(connect_and_send(&server, request));
    assert!(answer.starts_with(status), "{answer:?}");
    assert!(answer.contains(part), "{answer:?}");
    server.stop();
}

fn check_refused(limits: Limits, request: &str, kind: Kind) {
    let answer = kind.answer();
    let status = format!("HTTP/1.1 {} ", answer.status);
    let part = format!(r#""kind":"{}""#, answer.name);
    check(limits, request, &status, &part);
}

/// Covers the parts of a request that a handler sees.
#[test]
fn handler_sees_the_request() {
    let server = start(patient(), |request: Request, responder: Responder| {
        let seen = format!(
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
            body: seen.into_bytes(),
        };
        responder.send(response);
    });
    let request = "POST /a%20b?c=d HTTP/1.1\r\nHost: x\r\nX-Tenant: t\r\n\
                   Connection: close\r\nContent-Length: 2\r\n\r\nhi";
    let answer = read_rest(connect_and_send(&server, request));
    assert!(answer.starts_with("HTTP/1.1 201 "), "{answer:?}");
    assert!(answer.contains("x-served-by: a\r\n"), "{answer:?}");
    assert!(
        answer.ends_with(r#"POST /a%20b Some("c=d") Some("t") hi"#),
        "{answer:?}"
    );
    server.stop();
}

/// Covers a connection that is used again, with requests sent ahead, and one without a body.
#[test]
fn requests_of_one_connection_are_answered_in_order() {
    let server = start(patient(), answer_ok);
    let post = |body: &str| format!("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n{body}");
    let text = post("1") + &post("2") + "HEAD / HTTP/1.1\r\n\r\n" + &post("3") + &get("/");
    let answer = read_rest(connect_and_send(&server, &text));
    let bodies: Vec<&str> = answer
        .split("HTTP/1.1 200 OK\r\n")
        .filter_map(|it| it.split_once("\r\n\r\n"))
        .map(|(_, body)| body)
        .collect();
    assert_eq!(bodies, ["1", "2", "", "3", ""]);
    server.stop();
}

/// Covers a sender that waits for leave to send its body.
#[test]
fn expected_body_is_asked_for() {
    let server = start(patient(), answer_ok);
    let head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    let mut reader = BufReader::new(connect_and_send(&server, head));
    assert_eq!(read_line(&mut reader), "HTTP/1.1 100 Continue");
    reader.get_mut().write_all(b"hi").unwrap();
    read_until(&mut reader, "HTTP/1.1 200 OK");
    server.stop();
}

/// Covers many callers that never finish their heads or bodies: the others are served.
#[test]
fn slow_senders_hold_nobody_up() {
    let limits = Limits {
        workers: 1,
        ..patient()
    };
    let server = start(limits, answer_ok);
    let slow = [
        "GET / HT",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1",
        "",
    ];
    let held: Vec<TcpStream> = (0..300)
        .map(|index| connect_and_send(&server, slow[index % slow.len()]))
        .collect();
    for _ in 0..10 {
        let answer = read_rest(connect_and_send(&server, &get("/")));
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer:?}");
    }
    drop(held);
    server.stop();
}

/// Covers streaming: the second event is not made until the caller has read the first.
#[test]
fn events_reach_the_caller_one_by_one() {
    let (read, was_read) = mpsc::sync_channel::<()>(0);
    let was_read = std::sync::Mutex::new(was_read);
    let handler = move |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        for event in ["one\n", "two\n", "three\n"] {
            stream.write(event.as_bytes()).unwrap();
            was_read.lock().unwrap().recv().unwrap();
        }
        stream.finish();
    };
    let server = start(patient(), handler);
    let stream = connect_and_send(&server, &get("/"));
    let mut reader = BufReader::new(stream);
    for event in ["one", "two", "three"] {
        read_until(&mut reader, event);
        read.send(()).unwrap();
    }
    read_until(&mut reader, "0");
    server.stop();
}

/// Covers what was written just before a stream is dropped: it arrives, and then the answer breaks.
#[test]
fn last_words_of_a_cut_stream_arrive() {
    let server = start(patient(), |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        stream.write(b"first").unwrap();
        stream.write(b"why it broke").unwrap();
    });
    for _ in 0..50 {
        let answer = read_cut(connect_and_send(&server, &get("/")));
        assert!(answer.contains("why it broke"), "{answer:?}");
        assert!(!answer.ends_with("0\r\n\r\n"));
    }
    server.stop();
}

/// Covers a stream that its handler drops: the last chunk never comes.
#[test]
fn unfinished_stream_is_no_whole_answer() {
    let server = start(patient(), |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        stream.write(b"part").unwrap();
    });
    let answer = read_cut(connect_and_send(&server, &get("/")));
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer:?}");

    // Without chunks only a reset tells a cut from an end.
    let mut old = connect_and_send(&server, "GET / HTTP/1.0\r\n\r\n");
    let error = old.read_to_end(&mut Vec::new()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    server.stop();
}

/// Covers a finished stream to a caller whose HTTP version has no chunks.
#[test]
fn finished_stream_is_whole_without_chunks() {
    let server = start(patient(), |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        stream.write(b"part").unwrap();
        stream.finish();
    });
    let mut answer = Vec::new();
    let mut old = connect_and_send(&server, "GET / HTTP/1.0\r\n\r\n");
    old.read_to_end(&mut answer).unwrap();
    assert!(answer.ends_with(b"\r\n\r\npart"));
    server.stop();
}

/// Covers a handler that panics and one that drops its responder.
#[test]
fn handler_without_answer_is_internal() {
    let server = start(patient(), |request: Request, _: Responder| {
        assert_ne!(request.path, "/panic");
    });
    for path in ["/panic", "/drop"] {
        let answer = read_rest(connect_and_send(&server, &get(path)));
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer:?}");
        assert!(answer.contains(r#""ran":"unknown""#), "{answer:?}");
    }
    server.stop();
}

/// Covers the head's limits.
#[test]
fn bad_heads_are_refused() {
    let limits = Limits {
        header_count: 3,
        header_bytes: 8192,
        ..patient()
    };
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(4));
    let large = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "b".repeat(9000));
    for head in [&many, &large, "GET / HTTP/1.1\r\nA b\r\n\r\n", "\0\r\n\r\n"] {
        check_refused(limits, head, Kind::BadRequest);
    }
}

/// Covers a head that stops half way, as the first request and after another one.
#[test]
fn slow_head_is_refused() {
    let limits = Limits {
        header_timeout: SHORT,
        ..patient()
    };
    check_refused(limits, "GET / HTTP/1.1\r\nHos", Kind::SlowSender);

    let server = start(limits, answer_ok);
    let stream = connect_and_send(&server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut reader = BufReader::new(stream);
    read_until(&mut reader, "");
    reader.get_mut().write_all(b"GET / HT").unwrap();
    let answer = read_rest(reader.into_inner());
    assert!(answer.contains(r#""kind":"slow-sender""#), "{answer:?}");
    server.stop();
}

/// Covers the body's limits, with the size told in advance and not, and the request id.
#[test]
fn bad_bodies_are_refused() {
    let limits = Limits {
        body_bytes: 8,
        body_timeout: SHORT,
        ..patient()
    };
    let body = |rest: &str| format!("POST / HTTP/1.1\r\nX-Request-Id: r1\r\n{rest}");
    let large = body("Content-Length: 9\r\n\r\n123456789");
    check_refused(limits, &large, Kind::BodyTooLarge);
    check(limits, &large, "HTTP/1.1 413 ", r#""request_id":"r1""#);
    let chunked = body("Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n");
    check_refused(limits, &chunked, Kind::BodyTooLarge);
    let slow = body("Content-Length: 8\r\n\r\n1234");
    check_refused(limits, &slow, Kind::SlowSender);
    let broken = body("Transfer-Encoding: chunked\r\n\r\nz\r\n");
    check_refused(limits, &broken, Kind::BadRequest);
}

/// Covers the limit on all bodies together: what is too much is refused, and room is freed.
#[test]
fn bodies_share_a_limit() {
    let limits = Limits {
        total_body_bytes: 8,
        ..patient()
    };
    let (entered, running) = mpsc::sync_channel(1);
    let (release, released) = mpsc::sync_channel::<()>(1);
    let released = std::sync::Mutex::new(released);
    let server = start(limits, move |request: Request, responder: Responder| {
        entered.send(()).unwrap();
        released.lock().unwrap().recv().unwrap();
        answer_ok(request, responder);
    });
    let post = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 5\r\n\r\n12345";
    for _ in 0..2 {
        let first = connect_and_send(&server, post);
        running.recv_timeout(PATIENCE).unwrap();
        let second = read_rest(connect_and_send(&server, post));
        assert!(second.contains(r#""kind":"overloaded""#), "{second:?}");
        release.send(()).unwrap();
        assert!(read_rest(first).ends_with("12345"));
    }
    server.stop();
}

/// Covers a caller that sends far more than the limit: it still gets the answer, no reset.
#[test]
fn refusal_of_a_large_body_can_be_read() {
    let length = 512 * 1024;
    let request = format!(
        "POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{}",
        "x".repeat(length)
    );
    let limits = Limits {
        body_bytes: 1024,
        ..patient()
    };
    check_refused(limits, &request, Kind::BodyTooLarge);
}

/// Covers a connection that is kept open without a request.
#[test]
fn idle_connection_is_closed() {
    let limits = Limits {
        idle_timeout: SHORT,
        ..patient()
    };
    check(
        limits,
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "HTTP/1.1 200 ",
        "",
    );
    check(limits, "", "", "");
}

/// Covers the limits on connections: the one too many is told so, a freed place is given again.
#[test]
fn excess_connections_are_refused() {
    let one = |connections, peer_connections| Limits {
        connections,
        peer_connections,
        ..patient()
    };
    for limits in [one(1, 2), one(2, 1)] {
        let server = start(limits, answer_ok);
        let mut first = connect_and_send(&server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        first.read_exact(&mut [0; 12]).unwrap();
        let answer = read_rest(connect(&server));
        assert!(answer.contains(r#""kind":"overloaded""#), "{answer:?}");
        assert!(answer.contains("Retry-After: 1\r\n"), "{answer:?}");

        first.shutdown(Shutdown::Write).unwrap();
        read_rest(first);
        while !read_cut(connect_and_send(&server, &get("/"))).contains(" 200 ") {}
        server.stop();
    }
}

/// Covers a full queue: the request is refused while the others still run.
#[test]
fn excess_requests_are_refused() {
    let limits = Limits {
        workers: 1,
        queue: 1,
        queue_timeout: PATIENCE,
        ..patient()
    };
    let (entered, running) = mpsc::sync_channel(1);
    let (release, released) = mpsc::sync_channel::<()>(2);
    let released = std::sync::Mutex::new(released);
    let server = start(limits, move |request: Request, responder: Responder| {
        entered.send(()).unwrap();
        released.lock().unwrap().recv().unwrap();
        answer_ok(request, responder);
    });
    let first = connect_and_send(&server, &get("/"));
    running.recv_timeout(PATIENCE).unwrap();
    let second = connect_and_send(&server, &get("/"));
    while server.in_flight() < 2 {
        thread::yield_now();
    }
    let third = read_rest(connect_and_send(&server, &get("/")));
    assert!(third.contains(r#""kind":"overloaded""#), "{third:?}");
    assert!(third.contains("retry-after: 1\r\n"), "{third:?}");
    for waiting in [first, second] {
        release.send(()).unwrap();
        assert!(read_rest(waiting).contains(" 200 "));
    }
    server.stop();
}

/// Covers a request for which no worker becomes free in time: it is refused and never handled.
#[test]
fn request_that_waits_too_long_is_refused() {
    let limits = Limits {
        workers: 1,
        queue_timeout: SHORT,
        ..patient()
    };
    let (entered, running) = mpsc::sync_channel(2);
    let (release, released) = mpsc::sync_channel::<()>(2);
    let released = std::sync::Mutex::new(released);
    let server = start(limits, move |request: Request, responder: Responder| {
        entered.send(request.path.clone()).unwrap();
        released.lock().unwrap().recv().unwrap();
        answer_ok(request, responder);
    });
    let first = connect_and_send(&server, &get("/first"));
    assert_eq!(running.recv_timeout(PATIENCE).unwrap(), "/first");
    let second = read_rest(connect_and_send(&server, &get("/second")));
    assert!(second.contains(r#""kind":"overloaded""#), "{second:?}");
    release.send(()).unwrap();
    // One that runs is waited for, however long it takes.
    assert!(read_rest(first).contains(" 200 "));
    release.send(()).unwrap();
    assert!(read_rest(connect_and_send(&server, &get("/third"))).contains(" 200 "));
    assert_eq!(running.recv_timeout(PATIENCE).unwrap(), "/third");
    server.stop();
}

/// Covers a caller that disconnects while its handler waits, and while it streams.
#[test]
fn handler_notices_that_the_caller_has_gone() {
    let (entered, running) = mpsc::sync_channel(1);
    let (noticed, left) = mpsc::sync_channel(1);
    let server = start(patient(), move |request: Request, responder: Responder| {
        let caller = responder.caller();
        let mut stream = (request.path == "/stream").then(|| responder.stream(200, Vec::new()));
        entered.send(()).unwrap();
        while !caller.is_disconnected() {
            thread::yield_now();
        }
        let written = stream.as_mut().map(|it| it.write(b"x"));
        assert_ne!(written, Some(Ok(())));
        noticed.send(()).unwrap();
    });
    for path in ["/wait", "/stream"] {
        let stream = connect_and_send(&server, &get(path));
        running.recv_timeout(PATIENCE).unwrap();
        drop(stream);
        left.recv_timeout(PATIENCE).unwrap();
    }
    server.stop();
}

/// Covers a caller that never reads: the handler is freed, however much it writes.
#[test]
fn slow_reader_is_dropped() {
    let limits = Limits {
        write_timeout: SHORT,
        ..patient()
    };
    let (noticed, left) = mpsc::sync_channel(1);
    let server = start(limits, move |_: Request, responder: Responder| {
        let mut stream = responder.stream(200, Vec::new());
        while stream.write(&vec![0; 65536]).is_ok() {}
        noticed.send(()).unwrap();
    });
    let caller = connect_and_send(&server, &get("/"));
    left.recv_timeout(PATIENCE).unwrap();
    drop(caller);

    // One that reads a byte now and then gains next to nothing.
    let mut caller = connect_and_send(&server, &get("/"));
    while left.try_recv().is_err() {
        let _ = caller.read(&mut [0]);
        thread::sleep(SHORT / 4);
    }
    server.stop();
}

/// Covers a drain under load: every request that was sent is answered whole, streams included.
#[test]
fn drain_cuts_nothing() {
    const CALLERS: usize = 32;
    let barrier = Arc::new(Barrier::new(CALLERS + 1));
    let entered = barrier.clone();
    let limits = Limits {
        workers: CALLERS,
        ..patient()
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
    let kept = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| connect_and_send(&server, kept))
        .map(|stream| thread::spawn(move || read_rest(stream)))
        .collect();
    barrier.wait();
    assert_eq!(server.drain(PATIENCE), DrainOutcome::Complete);
    for caller in callers {
        let answer = caller.join().unwrap();
        assert_eq!(answer.matches("part\n").count(), 100);
        assert!(answer.ends_with("0\r\n\r\n"));
    }
    assert_eq!(read_rest(idle), "");
    server.stop();
}

/// Covers the limit of a drain: what still runs is cut, counted, and seen as cut by its caller.
#[test]
fn drain_counts_what_it_cuts() {
    let (entered, running) = mpsc::sync_channel(1);
    let server = start(patient(), move |_: Request, responder: Responder| {
        let stream = responder.stream(200, Vec::new());
        entered.send(()).unwrap();
        while !stream.is_caller_disconnected() {
            thread::yield_now();
        }
    });
    let stream = connect_and_send(&server, &get("/"));
    running.recv_timeout(PATIENCE).unwrap();
    assert_eq!(server.drain(SHORT), DrainOutcome::Aborted(1));
    assert!(!read_cut(stream).ends_with("0\r\n\r\n"));
    server.stop();
}

/// Covers the answer to a fault, for each kind: status, words, id and time to come back.
#[test]
fn refusals_follow_the_table() {
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

/// Covers limits that make no sense.
#[test]
fn bad_limits_are_named() {
    let limits = Limits {
        workers: 0,
        ..patient()
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let failure = Server::start(listener, limits, Arc::new(answer_ok)).err();
    let message = failure.unwrap().to_string();
    assert_eq!(message, "the limit workers is 0, it must be at least 1");
}
