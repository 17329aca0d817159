//! Tests the engine client against scripted engines.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use kernel::{
    fault::{Execution, Fault, Kind},
    request::Id,
};
use serde_json::{Value, json};
use upstream::{
    Cancellation,
    engine::{Client, Item, LoadOutcome, Request, Stream, UnloadOutcome},
};

use crate::support::{
    Action, SHORT_TIMEOUT, STREAM_HEAD, TEST_TIMEOUT, Upstream, distant_deadline, format_error,
    format_events, format_response, loaded, near_deadline,
};

/// Number of chunks of the response.
const CHUNKS: usize = 4;

fn start(upstream: &Upstream, deadline: Instant) -> Result<Stream, Fault> {
    start_cancellable(upstream.address, deadline, deadline, Cancellation::never())
}

fn start_cancellable(
    address: SocketAddr,
    start_by: Instant,
    deadline: Instant,
    cancellation: Cancellation,
) -> Result<Stream, Fault> {
    let id: Id = "r/1".parse().unwrap();
    Client.start(&Request {
        address,
        loaded: &loaded(),
        body: &json!({"model": "x", "stream": false, "max_tokens": 9}),
        id: &id,
        priority: -3,
        start_by,
        deadline,
        cancellation,
    })
}

/// Reads a stream to its end and returns the number of chunks and the result.
fn read(stream: &mut Stream) -> (u64, Result<(), Fault>) {
    let mut count = 0;
    loop {
        match stream.next() {
            Item::Chunk { index, json } => {
                assert_eq!(index, count);
                assert!(json.contains(&format!("\"t{index}\"")));
                count += 1;
            }
            Item::End => return (count, Ok(())),
            Item::Failed(fault) => return (count, Err(fault)),
        }
    }
}

fn run(upstream: &Upstream, deadline: Instant) -> Result<u64, Fault> {
    let mut stream = start(upstream, deadline)?;
    let (count, end) = read(&mut stream);
    end.map(|()| count)
}

/// Checks the fault of a request to a scripted engine, which responds with 404 after the script.
fn check_fails(script: &[Action], deadline: Instant, expected: Kind) {
    let upstream = Upstream::start(script.to_vec());
    let fault = run(&upstream, deadline).unwrap_err();
    assert_eq!(fault.kind, expected, "{script:?}: {fault}");
}

fn format_stream(count: usize) -> String {
    let events = format_events(&loaded().to_string(), 0, CHUNKS);
    STREAM_HEAD.to_owned() + &events[..count].concat()
}

/// Covers the fields that the client sets, which are `model`, `priority`, `stream`, and the request
/// id, next to the caller's own.
#[test]
fn request_names_the_loaded_adapter() {
    let upstream = Upstream::start(vec![Action::Write(format_stream(CHUNKS + 1))]);
    assert_eq!(run(&upstream, distant_deadline()), Ok(CHUNKS as u64));
    let requests = upstream.requests();
    let (head, body) = requests[0].split_once("\r\n\r\n").unwrap();
    assert!(
        head.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"),
        "{head}"
    );
    assert!(head.contains("\r\nx-request-id: r/1"), "{head}");
    let expected = json!({
        "model": "signs/bay-summary@7+31", "priority": -3, "stream": true, "max_tokens": 9,
    });
    assert_eq!(serde_json::from_str::<Value>(body).unwrap(), expected);
    assert_eq!(requests.len(), 1, "a complete response is not cancelled");
}

/// Covers the failures before the first byte, after which the request has certainly not run.
#[test]
fn failures_before_the_first_byte_are_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let unused_address = listener.local_addr().unwrap();
    drop(listener);
    let fault = start_cancellable(
        unused_address,
        distant_deadline(),
        distant_deadline(),
        Cancellation::never(),
    )
    .unwrap_err();
    assert_eq!(fault.kind, Kind::UpstreamRefused);

    let upstream = Upstream::start(Vec::new());
    let past_deadline = Instant::now();
    let fault = start(&upstream, past_deadline).unwrap_err();
    assert_eq!(fault.kind, Kind::DeadlineBeforeStart);
    let fault = start_cancellable(
        upstream.address,
        past_deadline,
        distant_deadline(),
        Cancellation::never(),
    )
    .unwrap_err();
    assert_eq!(fault.kind, Kind::UpstreamRefused);
    let fault = start_cancellable(
        upstream.address,
        distant_deadline(),
        distant_deadline(),
        Cancellation::new(|| true),
    )
    .unwrap_err();
    assert_eq!(fault.kind, Kind::UpstreamRefused);
    assert_eq!(upstream.stop(), Vec::<String>::new());
}

/// Covers the error codes that engines use before anything runs, and the same codes with another
/// status or form.
#[test]
fn only_specified_error_codes_are_not_run() {
    let rejections = [
        (404, "not-loaded", Kind::UpstreamRefused),
        (503, "leaving", Kind::UpstreamLeaving),
        (503, "full", Kind::UpstreamRefused),
    ];
    for (status, code, kind) in rejections {
        assert_eq!(kind.answer().execution, Execution::NotRun);
        check_fails(
            &[Action::Write(format_error(status, code))],
            distant_deadline(),
            kind,
        );
    }
    for (status, code) in [(500, "full"), (503, "other"), (400, "not-loaded")] {
        check_fails(
            &[Action::Write(format_error(status, code))],
            distant_deadline(),
            Kind::UpstreamLost,
        );
    }
    let without_code = [Action::Write(format_response(503, "full"))];
    check_fails(&without_code, distant_deadline(), Kind::UpstreamLost);
    // A truncated error body cannot be parsed.
    let mut truncated = format_error(503, "full");
    truncated.truncate(truncated.len() - 4);
    check_fails(
        &[Action::Write(truncated)],
        distant_deadline(),
        Kind::UpstreamLost,
    );
}

/// Covers connections that are lost at any point after the first byte; the execution is unknown.
#[test]
fn failures_after_the_first_byte_are_unknown() {
    let complete = format_stream(CHUNKS + 1);
    let after_head = STREAM_HEAD.len();
    let writes = [
        0,
        9,
        after_head - 1,
        after_head,
        after_head + 1,
        complete.len() - 3,
    ];
    let lost = writes.map(|count| Action::Write(complete[..count].to_owned()));
    let resets = [1, 20, 60].map(Action::Reset);
    for action in lost.into_iter().chain(resets).chain([Action::Close]) {
        check_fails(&[action], distant_deadline(), Kind::UpstreamLost);
    }
    for text in [
        "",
        &complete[..9],
        &complete[..after_head],
        &format_stream(2),
    ] {
        let script = [Action::Hold(text.to_owned())];
        check_fails(&script, near_deadline(), Kind::DeadlineAfterStart);
    }
    for kind in [Kind::UpstreamLost, Kind::DeadlineAfterStart] {
        assert_eq!(kind.answer().execution, Execution::Unknown);
    }
}

/// Covers an engine that responds for another adapter or with an invalid stream.
#[test]
fn wrong_responses_are_not_delivered() {
    let other =
        STREAM_HEAD.to_owned() + &format_events("signs/bay-summary@8+31", 0, CHUNKS).concat();
    check_fails(
        &[Action::Write(other)],
        distant_deadline(),
        Kind::WrongAdapter,
    );
    let garbage = STREAM_HEAD.to_owned() + "data: {}\n\n";
    check_fails(
        &[Action::Write(garbage)],
        distant_deadline(),
        Kind::BadAnswer,
    );
    let oversized_line = format!("{STREAM_HEAD}data: {}\n\n", "x".repeat(300 * 1024));
    check_fails(
        &[Action::Write(oversized_line)],
        distant_deadline(),
        Kind::BadAnswer,
    );
}

/// Covers a break at, before, and after every boundary between events, and before the response. The
/// stream is resumed at the first missing chunk and completes.
#[test]
fn a_break_at_every_boundary_is_resumed() {
    let complete = format_stream(CHUNKS + 1);
    let name = loaded().to_string();
    for event in 0..=CHUNKS {
        let boundary = format_stream(event).len();
        // An event is complete only with its empty line. The stream has neither a length nor chunks.
        let cuts = [
            (boundary, event),
            (boundary - 1, event.saturating_sub(1)),
            (boundary + 1, event),
        ];
        for (cut, from) in cuts {
            let rest = STREAM_HEAD.to_owned() + &format_events(&name, from, CHUNKS).concat();
            for end in [Action::Write, Action::WriteAndReset] {
                let first = end(complete[..cut].to_owned());
                let description = format!("{first:?}");
                let upstream = Upstream::start(vec![first, Action::Write(rest.clone())]);
                let count = run(&upstream, distant_deadline());
                assert_eq!(count, Ok(CHUNKS as u64), "{description}");
                let expected = format!("GET /v1/requests/r%2F1/stream?from={from} HTTP/1.1\r\n");
                let requests = upstream.requests();
                assert!(requests[1].starts_with(&expected), "{requests:?}");
                assert_eq!(requests.len(), 2);
            }
        }
    }
    // The engine may have received the request although its connection was reset.
    let script = vec![Action::Reset(20), Action::Write(complete)];
    assert_eq!(
        run(&Upstream::start(script), distant_deadline()),
        Ok(CHUNKS as u64)
    );
}

/// Covers a stream in chunked transfer coding that breaks anywhere in the framing.
#[test]
fn a_break_within_http_chunks_is_resumed() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let name = loaded().to_string();
    let chunked = |from: usize| {
        let events = format_events(&name, from, CHUNKS);
        let chunk = |it: &String| format!("{:x}\r\n{it}\r\n", it.len());
        let chunks: Vec<String> = events.iter().map(chunk).collect();
        format!("{head}{}0\r\n\r\n", chunks.concat())
    };
    let complete = chunked(0);
    for cut in (head.len()..complete.len() - 40).step_by(29) {
        let complete_events = complete[..cut].matches("\n\n").count();
        let script = vec![
            Action::Write(complete[..cut].to_owned()),
            Action::Write(chunked(complete_events.min(CHUNKS))),
        ];
        let upstream = Upstream::start(script);
        assert_eq!(
            run(&upstream, distant_deadline()),
            Ok(CHUNKS as u64),
            "cut at byte {cut}"
        );
    }
    let upstream = Upstream::start(vec![Action::Write(complete)]);
    assert_eq!(run(&upstream, distant_deadline()), Ok(CHUNKS as u64));
    assert_eq!(
        upstream.stop().len(),
        1,
        "a complete response is requested once"
    );
}

/// A stream was given up 300 ms after it broke off, although its engine was only out of reach for a second.
#[test]
fn a_stream_outlasts_an_engine_that_is_out_of_reach_for_a_second() {
    let rest = STREAM_HEAD.to_owned() + &format_events(&loaded().to_string(), 2, CHUNKS).concat();
    let unavailable = Action::Write(format_error(503, "outage"));
    for failure in [Action::Close, Action::Reset(20), unavailable] {
        let mut script = vec![Action::Write(format_stream(2))];
        script.extend(vec![failure.clone(); 6]);
        script.push(Action::Write(rest.clone()));
        let upstream = Upstream::start(script);
        let count = run(&upstream, distant_deadline());
        assert_eq!(count, Ok(CHUNKS as u64), "{failure:?}");
    }
}

/// Covers a refusal and a status report with neither a length nor chunks.
#[test]
fn a_message_without_a_length_is_complete_unless_its_connection_is_reset() {
    let refusal = "HTTP/1.1 503 X\r\n\r\n{\"error\":{\"code\":\"full\"}}".to_owned();
    check_fails(
        &[Action::Write(refusal.clone())],
        distant_deadline(),
        Kind::UpstreamRefused,
    );
    check_fails(
        &[Action::WriteAndReset(refusal)],
        distant_deadline(),
        Kind::UpstreamLost,
    );
    let report = "HTTP/1.1 200 OK\r\n\r\n{\"data\":[],\"incarnation\":1,\"slots\":2}".to_owned();
    let fetch = |action| {
        let upstream = Upstream::start(vec![action]);
        Client.fetch_inventory(upstream.address, TEST_TIMEOUT)
    };
    assert!(fetch(Action::Write(report.clone())).is_ok());
    assert!(fetch(Action::WriteAndReset(report)).is_err());
}

/// Covers a resumed stream that names another adapter.
#[test]
fn a_resumed_stream_of_another_adapter_is_not_delivered() {
    let other =
        STREAM_HEAD.to_owned() + &format_events("signs/bay-summary@8+31", 2, CHUNKS).concat();
    let script = [Action::Write(format_stream(2)), Action::Write(other)];
    check_fails(&script, distant_deadline(), Kind::WrongAdapter);
}

fn check_cancelled(upstream: &Upstream) {
    let requests = upstream.requests();
    let last = requests.last().unwrap();
    assert!(
        last.starts_with("POST /v1/requests/r%2F1/cancel "),
        "{last}"
    );
}

/// Covers a stream that is dropped before its end.
#[test]
fn a_dropped_stream_is_cancelled() {
    let upstream = Upstream::start(vec![Action::Hold(format_stream(1))]);
    let mut stream = start(&upstream, distant_deadline()).unwrap();
    assert!(matches!(stream.next(), Item::Chunk { index: 0, .. }));
    drop(stream);
    check_cancelled(&upstream);
}

/// Covers a caller that disconnects while the engine is silent, before and during the response.
#[test]
fn a_cancelled_call_stops_waiting() {
    let far_deadline = Instant::now() + Duration::from_hours(1);
    for text in [String::new(), format_stream(1)] {
        let upstream = Upstream::start(vec![Action::Hold(text)]);
        let checked = Arc::new(AtomicBool::new(false));
        // The first check finds the caller connected, and every later one finds it disconnected.
        let cancellation = Cancellation::new(move || checked.swap(true, Ordering::AcqRel));
        let fault =
            match start_cancellable(upstream.address, far_deadline, far_deadline, cancellation) {
                Ok(mut stream) => read(&mut stream).1.unwrap_err(),
                Err(fault) => fault,
            };
        assert_eq!(fault.kind, Kind::UpstreamLost);
        check_cancelled(&upstream);
    }
}

fn check_load(action: Action, expected: &LoadOutcome) {
    let upstream = Upstream::start(vec![action]);
    assert_eq!(
        &Client.load(upstream.address, &loaded(), 5, SHORT_TIMEOUT),
        expected
    );
}

/// Covers the outcomes of an order to load, and its request.
#[test]
fn load_outcomes_are_classified() {
    check_load(Action::Write(format_response(200, "")), &LoadOutcome::Done);
    check_load(
        Action::Write(format_error(409, "no-slot")),
        &LoadOutcome::NoSlot,
    );
    check_load(
        Action::Write(format_error(412, "stale-fence")),
        &LoadOutcome::StaleFence,
    );
    check_load(
        Action::Write(format_error(502, "load-failed")),
        &LoadOutcome::Failed("m".to_owned()),
    );
    check_load(
        Action::Write(format_error(503, "leaving")),
        &LoadOutcome::Leaving,
    );
    check_load(Action::Write(format_error(500, "x")), &LoadOutcome::Unknown);
    check_load(Action::Hold(String::new()), &LoadOutcome::Unknown);
    check_load(Action::Close, &LoadOutcome::Unknown);

    let upstream = Upstream::start(vec![Action::Write(format_response(200, ""))]);
    Client.load(upstream.address, &loaded(), 5, TEST_TIMEOUT);
    let request = &upstream.requests()[0];
    assert!(
        request.starts_with("POST /v1/load_lora_adapter "),
        "{request}"
    );
    let (_, body) = request.split_once("\r\n\r\n").unwrap();
    let expected = json!({
        "lora_name": "signs/bay-summary@7+31", "lora_path": "signs/bay-summary@7", "fence": 5,
    });
    assert_eq!(serde_json::from_str::<Value>(body).unwrap(), expected);
}

fn check_unload(action: Action, expected: UnloadOutcome) {
    let upstream = Upstream::start(vec![action]);
    assert_eq!(
        Client.unload(upstream.address, &loaded(), 5, SHORT_TIMEOUT),
        expected
    );
}

/// Covers the outcomes of an order to unload.
#[test]
fn unload_outcomes_are_classified() {
    check_unload(Action::Write(format_response(200, "")), UnloadOutcome::Done);
    check_unload(
        Action::Write(format_error(404, "not-loaded")),
        UnloadOutcome::NotLoaded,
    );
    check_unload(
        Action::Write(format_error(409, "busy")),
        UnloadOutcome::Busy,
    );
    check_unload(
        Action::Write(format_error(412, "stale-fence")),
        UnloadOutcome::StaleFence,
    );
    check_unload(
        Action::Write(format_response(404, "")),
        UnloadOutcome::Unknown,
    );
    check_unload(Action::Hold(String::new()), UnloadOutcome::Unknown);
}

/// Covers both status queries, and invalid responses.
#[test]
fn status_queries_are_parsed() {
    let models = r#"{"data":[{"id":"signs/bay-summary@7+31","running":2},{"id":"base"}],
                     "incarnation":4,"slots":8}"#;
    let load = r#"{"incarnation":4,"running":1,"waiting":2,"capacity":3,"age_ms":200}"#;
    let script = [models, load, "{}", "{}"].map(|it| Action::Write(format_response(200, it)));
    let upstream = Upstream::start(script.into());
    let inventory = Client
        .fetch_inventory(upstream.address, TEST_TIMEOUT)
        .unwrap();
    assert_eq!((inventory.incarnation, inventory.slots), (4, 8));
    assert_eq!(inventory.loaded, [(loaded(), 2)]);
    let occupancy = Client
        .fetch_occupancy(upstream.address, TEST_TIMEOUT)
        .unwrap();
    assert_eq!((occupancy.waiting, occupancy.age), (2, SHORT_TIMEOUT));
    let fault = Client
        .fetch_inventory(upstream.address, TEST_TIMEOUT)
        .unwrap_err();
    assert_eq!(fault.kind, Kind::BadAnswer);
    let fault = Client
        .fetch_occupancy(upstream.address, TEST_TIMEOUT)
        .unwrap_err();
    assert_eq!(fault.kind, Kind::BadAnswer);
}
