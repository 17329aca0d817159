//! Tests the client of plain services against scripted instances.

use std::time::Instant;

use kernel::fault::{Execution, Fault, Kind};
use upstream::{
    Cancellation,
    plain::{Client, Request, Response},
};

use crate::support::{Action, Upstream, distant_deadline, format_response, near_deadline};

const CLIENT: Client = Client {
    max_response_bytes: 64,
};

fn call(
    upstream: &Upstream,
    method: &str,
    body: &str,
    deadline: Instant,
) -> Result<Response, Fault> {
    let field = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    CLIENT.call(Request {
        address: upstream.address,
        method,
        target: "/openings?gate=2",
        headers: vec![
            field("Connection", "close, X-Hop"),
            field("X-Hop", "1"),
            field("Transfer-Encoding", "chunked"),
            field("Host", "outside"),
            field("X-Request-Id", "r1"),
        ],
        body: body.as_bytes().to_vec(),
        start_by: deadline,
        deadline,
        cancellation: Cancellation::never(),
    })
}

fn check_fails(action: &Action, deadline: Instant, expected: Kind) {
    let upstream = Upstream::start(vec![action.clone()]);
    let fault = call(&upstream, "POST", "open", deadline).unwrap_err();
    assert_eq!(fault.kind, expected, "{action:?}: {fault}");
    assert!(
        upstream.stop().len() <= 1,
        "the call was sent more than once"
    );
}

/// Covers forwarded and hop-by-hop headers in both directions, methods with and without a body, and
/// a redirect, which is not followed.
#[test]
fn calls_are_forwarded() {
    let redirect = "HTTP/1.1 302 Found\r\nLocation: /x\r\nConnection: X-Own\r\nX-Own: 1\r\n\
                 Content-Length: 2\r\n\r\nok";
    for (method, body) in [
        ("POST", "open"),
        ("GET", ""),
        ("DELETE", "all"),
        ("PURGE", ""),
        ("PUT", ""),
    ] {
        let upstream = Upstream::start(vec![Action::Write(redirect.to_owned())]);
        let response = call(&upstream, method, body, distant_deadline()).unwrap();
        assert_eq!((response.status, &*response.body), (302, &b"ok"[..]));
        assert_eq!(response.headers, [("location".to_owned(), "/x".to_owned())]);

        let requests = upstream.requests();
        let (head, sent) = requests[0].split_once("\r\n\r\n").unwrap();
        assert!(
            head.starts_with(&format!("{method} /openings?gate=2 HTTP/1.1\r\n")),
            "{head}"
        );
        assert!(head.contains("\r\nx-request-id: r1"), "{head}");
        assert!(
            !head.contains("x-hop") && !head.contains("outside"),
            "{head}"
        );
        assert_eq!(sent, body);
    }
}

/// Covers an instance that is shutting down, and similar responses that do not mean this.
#[test]
fn a_leaving_instance_has_not_run_the_call() {
    let leaving =
        |status| format!("HTTP/1.1 {status} X\r\nX-Leaving: true\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(Kind::UpstreamLeaving.answer().execution, Execution::NotRun);
    check_fails(
        &Action::Write(leaving(503)),
        distant_deadline(),
        Kind::UpstreamLeaving,
    );
    for text in [leaving(500), format_response(503, "busy")] {
        let upstream = Upstream::start(vec![Action::Write(text)]);
        assert!(call(&upstream, "POST", "open", distant_deadline()).is_ok());
    }
}

/// Covers connections that are lost at any point after the first byte, and a response over the size
/// limit.
#[test]
fn failures_after_the_first_byte_are_unknown() {
    let complete = format_response(200, "opened");
    for count in [0, 5, complete.len() - 6, complete.len() - 1] {
        let part = complete[..count].to_owned();
        check_fails(
            &Action::Write(part.clone()),
            distant_deadline(),
            Kind::UpstreamLost,
        );
        check_fails(
            &Action::Hold(part),
            near_deadline(),
            Kind::DeadlineAfterStart,
        );
    }
    for action in [Action::Close, Action::Reset(1), Action::Reset(60)] {
        check_fails(&action, distant_deadline(), Kind::UpstreamLost);
    }
    let too_large = format_response(200, &"x".repeat(65));
    check_fails(
        &Action::Write(too_large),
        distant_deadline(),
        Kind::BadAnswer,
    );
}

/// The part that had arrived was taken for the whole answer if it had neither a length nor chunks.
#[test]
fn an_answer_without_a_length_is_complete_unless_its_connection_is_reset() {
    for version in ["1.1", "1.0"] {
        for body in ["", "opened"] {
            let text = format!("HTTP/{version} 200 OK\r\nX-Own: 1\r\n\r\n{body}");
            let upstream = Upstream::start(vec![Action::Write(text.clone())]);
            let response = call(&upstream, "POST", "open", distant_deadline()).unwrap();
            assert_eq!((response.status, &*response.body), (200, body.as_bytes()));
            check_fails(
                &Action::WriteAndReset(text.clone()),
                distant_deadline(),
                Kind::UpstreamLost,
            );
            check_fails(
                &Action::Hold(text),
                near_deadline(),
                Kind::DeadlineAfterStart,
            );
        }
    }
}

/// Covers interim responses before the response to the call, and one that ends HTTP on the connection.
#[test]
fn interim_responses_are_not_taken_for_the_response_to_the_call() {
    let interim = "HTTP/1.1 103 Early Hints\r\nX-Leaving: true\r\n\r\n";
    let text = interim.to_owned() + &format_response(503, "ran");
    let upstream = Upstream::start(vec![Action::Write(text)]);
    let response = call(&upstream, "POST", "open", distant_deadline()).unwrap();
    assert_eq!((response.status, &*response.body), (503, &b"ran"[..]));
    check_fails(
        &Action::Write("HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned()),
        distant_deadline(),
        Kind::UpstreamLost,
    );
}

/// An answer with a status of 600 or above was taken for the response to the call.
#[test]
fn a_response_without_a_final_status_is_none() {
    for status in [
        "000", "001", "099", "101", "199", "600", "799", "999", "2x0",
    ] {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok");
        check_fails(&Action::Write(head), distant_deadline(), Kind::UpstreamLost);
    }
    for status in [200, 299, 304, 404, 599] {
        let upstream = Upstream::start(vec![Action::Write(format_response(status, ""))]);
        let response = call(&upstream, "POST", "open", distant_deadline()).unwrap();
        assert_eq!(response.status, status);
    }
}

/// Covers a deadline that has passed before the call.
#[test]
fn a_call_past_its_deadline_is_not_sent() {
    let upstream = Upstream::start(Vec::new());
    let fault = call(&upstream, "POST", "open", Instant::now()).unwrap_err();
    assert_eq!(fault.kind, Kind::DeadlineBeforeStart);
    assert_eq!(upstream.stop(), Vec::<String>::new());
}
