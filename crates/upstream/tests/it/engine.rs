//! The engine client against scripted engines.

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
    Act, PATIENCE, SHORT, STREAM_HEAD, Upstream, answer, error, events, late, loaded, soon,
};

const COUNT: usize = 4;

fn start(upstream: &Upstream, deadline: Instant) -> Result<Stream, Fault> {
    start_watched(upstream.address, deadline, deadline, Cancellation::never())
}

fn start_watched(
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

/// Reads a stream to its end and gives the number of chunks with how it ended.
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

/// Runs a request against a script, whose later connections answer 404.
fn check_fails(script: &[Act], deadline: Instant, expected: Kind) {
    let upstream = Upstream::start(script.to_vec());
    let fault = run(&upstream, deadline).unwrap_err();
    assert_eq!(fault.kind, expected, "{script:?}: {fault}");
}

fn body(count: usize) -> String {
    let events = events(&loaded().to_string(), 0, COUNT);
    STREAM_HEAD.to_owned() + &events[..count].concat()
}

/// Covers what is sent: name, priority, streaming and id, beside the caller's own fields.
#[test]
fn request_names_the_loaded_adapter() {
    let upstream = Upstream::start(vec![Act::Write(body(COUNT + 1))]);
    assert_eq!(run(&upstream, late()), Ok(COUNT as u64));
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
    assert_eq!(requests.len(), 1, "a whole answer is not cancelled");
}

/// Covers every failure before the first byte: it has not run.
#[test]
fn failures_before_the_first_byte_are_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let fault = start_watched(closed, late(), late(), Cancellation::never()).unwrap_err();
    assert_eq!(fault.kind, Kind::UpstreamRefused);

    let upstream = Upstream::start(Vec::new());
    let past = Instant::now();
    let fault = start(&upstream, past).unwrap_err();
    assert_eq!(fault.kind, Kind::DeadlineBeforeStart);
    let fault = start_watched(upstream.address, past, late(), Cancellation::never()).unwrap_err();
    assert_eq!(fault.kind, Kind::UpstreamRefused);
    let fault =
        start_watched(upstream.address, late(), late(), Cancellation::new(|| true)).unwrap_err();
    assert_eq!(fault.kind, Kind::UpstreamRefused);
    assert_eq!(upstream.stop(), Vec::<String>::new());
}

/// Covers the refusals that engines give before anything runs, and the same words elsewhere.
#[test]
fn only_refusals_of_the_contract_are_not_run() {
    let refusals = [
        (404, "not-loaded", Kind::UpstreamRefused),
        (503, "leaving", Kind::UpstreamLeaving),
        (503, "full", Kind::UpstreamRefused),
    ];
    for (status, code, kind) in refusals {
        assert_eq!(kind.answer().execution, Execution::NotRun);
        check_fails(&[Act::Write(error(status, code))], late(), kind);
    }
    for (status, code) in [(500, "full"), (503, "other"), (400, "not-loaded")] {
        check_fails(
            &[Act::Write(error(status, code))],
            late(),
            Kind::UpstreamLost,
        );
    }
    let plain = [Act::Write(answer(503, "full"))];
    check_fails(&plain, late(), Kind::UpstreamLost);
    // A refusal that breaks off can't be understood.
    let mut cut = error(503, "full");
    cut.truncate(cut.len() - 4);
    check_fails(&[Act::Write(cut)], late(), Kind::UpstreamLost);
}

/// Covers every point after the first byte at which the engine can be lost: never `not-run`.
#[test]
fn failures_after_the_first_byte_are_unknown() {
    let whole = body(COUNT + 1);
    let after_head = STREAM_HEAD.len();
    let writes = [
        0,
        9,
        after_head - 1,
        after_head,
        after_head + 1,
        whole.len() - 3,
    ];
    let lost = writes.map(|count| Act::Write(whole[..count].to_owned()));
    let resets = [1, 20, 60].map(Act::Reset);
    for act in lost.into_iter().chain(resets).chain([Act::Close]) {
        check_fails(&[act], late(), Kind::UpstreamLost);
    }
    for text in ["", &whole[..9], &whole[..after_head], &body(2)] {
        let script = [Act::Hold(text.to_owned())];
        check_fails(&script, soon(), Kind::DeadlineAfterStart);
    }
    for kind in [Kind::UpstreamLost, Kind::DeadlineAfterStart] {
        assert_eq!(kind.answer().execution, Execution::Unknown);
    }
}

/// Covers an engine that answers for another name or with something else.
#[test]
fn wrong_answers_are_withheld() {
    let other = STREAM_HEAD.to_owned() + &events("signs/bay-summary@8+31", 0, COUNT).concat();
    check_fails(&[Act::Write(other)], late(), Kind::WrongAdapter);
    let garbage = STREAM_HEAD.to_owned() + "data: {}\n\n";
    check_fails(&[Act::Write(garbage)], late(), Kind::BadAnswer);
    let latin = format!("{STREAM_HEAD}data: {}\n\n", "x".repeat(300 * 1024));
    check_fails(&[Act::Write(latin)], late(), Kind::BadAnswer);
}

/// Covers a break at, before and after every boundary between events, and before the answer: the
/// stream is resumed at the first missing chunk and becomes whole.
#[test]
fn a_break_at_every_boundary_is_resumed() {
    let whole = body(COUNT + 1);
    let name = loaded().to_string();
    for event in 0..=COUNT {
        let boundary = body(event).len();
        // An event counts with its empty line.
        let cuts = [
            (boundary, event),
            (boundary - 1, event.saturating_sub(1)),
            (boundary + 1, event),
        ];
        for (cut, from) in cuts {
            let rest = STREAM_HEAD.to_owned() + &events(&name, from, COUNT).concat();
            let script = vec![Act::Write(whole[..cut].to_owned()), Act::Write(rest)];
            let upstream = Upstream::start(script);
            assert_eq!(
                run(&upstream, late()),
                Ok(COUNT as u64),
                "cut at byte {cut}"
            );
            let expected = format!("GET /v1/requests/r%2F1/stream?from={from} HTTP/1.1\r\n");
            let requests = upstream.requests();
            assert!(requests[1].starts_with(&expected), "{requests:?}");
            assert_eq!(requests.len(), 2);
        }
    }
    // The engine got the request, though its connection was reset.
    let script = vec![Act::Reset(20), Act::Write(whole)];
    assert_eq!(run(&Upstream::start(script), late()), Ok(COUNT as u64));
}

/// Covers a stream in chunks of HTTP that breaks anywhere within their framing.
#[test]
fn a_break_within_http_chunks_is_resumed() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let name = loaded().to_string();
    let chunked = |from: usize| {
        let events = events(&name, from, COUNT);
        let chunk = |it: &String| format!("{:x}\r\n{it}\r\n", it.len());
        let chunks: Vec<String> = events.iter().map(chunk).collect();
        format!("{head}{}0\r\n\r\n", chunks.concat())
    };
    let whole = chunked(0);
    for cut in (head.len()..whole.len() - 40).step_by(29) {
        let complete = whole[..cut].matches("\n\n").count();
        let script = vec![
            Act::Write(whole[..cut].to_owned()),
            Act::Write(chunked(complete.min(COUNT))),
        ];
        let upstream = Upstream::start(script);
        assert_eq!(
            run(&upstream, late()),
            Ok(COUNT as u64),
            "cut at byte {cut}"
        );
    }
    let upstream = Upstream::start(vec![Act::Write(whole)]);
    assert_eq!(run(&upstream, late()), Ok(COUNT as u64));
    assert_eq!(upstream.stop().len(), 1, "a whole answer is asked for once");
}

/// Covers a resume that answers for another name.
#[test]
fn a_resume_for_another_name_is_withheld() {
    let other = STREAM_HEAD.to_owned() + &events("signs/bay-summary@8+31", 2, COUNT).concat();
    let script = [Act::Write(body(2)), Act::Write(other)];
    check_fails(&script, late(), Kind::WrongAdapter);
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
    let upstream = Upstream::start(vec![Act::Hold(body(1))]);
    let mut stream = start(&upstream, late()).unwrap();
    assert!(matches!(stream.next(), Item::Chunk { index: 0, .. }));
    drop(stream);
    check_cancelled(&upstream);
}

/// Covers a caller that goes while the engine is silent, before and within the answer.
#[test]
fn a_caller_that_goes_ends_the_wait() {
    let far = Instant::now() + Duration::from_hours(1);
    for text in [String::new(), body(1)] {
        let upstream = Upstream::start(vec![Act::Hold(text)]);
        let asked = Arc::new(AtomicBool::new(false));
        // The caller goes once it was found there while the engine was silent.
        let cancellation = Cancellation::new(move || asked.swap(true, Ordering::AcqRel));
        let fault = match start_watched(upstream.address, far, far, cancellation) {
            Ok(mut stream) => read(&mut stream).1.unwrap_err(),
            Err(fault) => fault,
        };
        assert_eq!(fault.kind, Kind::UpstreamLost);
        check_cancelled(&upstream);
    }
}

fn check_load(act: Act, expected: &LoadOutcome) {
    let upstream = Upstream::start(vec![act]);
    assert_eq!(
        &Client.load(upstream.address, &loaded(), 5, SHORT),
        expected
    );
}

/// Covers the outcomes of an order to load, and what is sent.
#[test]
fn load_outcomes() {
    check_load(Act::Write(answer(200, "")), &LoadOutcome::Done);
    check_load(Act::Write(error(409, "no-slot")), &LoadOutcome::NoSlot);
    check_load(
        Act::Write(error(412, "stale-fence")),
        &LoadOutcome::StaleFence,
    );
    check_load(
        Act::Write(error(502, "load-failed")),
        &LoadOutcome::Failed("m".to_owned()),
    );
    check_load(Act::Write(error(503, "leaving")), &LoadOutcome::Leaving);
    check_load(Act::Write(error(500, "x")), &LoadOutcome::Unknown);
    check_load(Act::Hold(String::new()), &LoadOutcome::Unknown);
    check_load(Act::Close, &LoadOutcome::Unknown);

    let upstream = Upstream::start(vec![Act::Write(answer(200, ""))]);
    Client.load(upstream.address, &loaded(), 5, PATIENCE);
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

fn check_unload(act: Act, expected: UnloadOutcome) {
    let upstream = Upstream::start(vec![act]);
    assert_eq!(
        Client.unload(upstream.address, &loaded(), 5, SHORT),
        expected
    );
}

/// Covers the outcomes of an order to unload.
#[test]
fn unload_outcomes() {
    check_unload(Act::Write(answer(200, "")), UnloadOutcome::Done);
    check_unload(
        Act::Write(error(404, "not-loaded")),
        UnloadOutcome::NotLoaded,
    );
    check_unload(Act::Write(error(409, "busy")), UnloadOutcome::Busy);
    check_unload(
        Act::Write(error(412, "stale-fence")),
        UnloadOutcome::StaleFence,
    );
    check_unload(Act::Write(answer(404, "")), UnloadOutcome::Unknown);
    check_unload(Act::Hold(String::new()), UnloadOutcome::Unknown);
}

/// Covers both reports, and answers that are none.
#[test]
fn reports_are_read() {
    let models = r#"{"data":[{"id":"signs/bay-summary@7+31","running":2},{"id":"base"}],
                     "incarnation":4,"slots":8}"#;
    let load = r#"{"incarnation":4,"running":1,"waiting":2,"capacity":3,"age_ms":200}"#;
    let script = [models, load, "{}", "{}"].map(|it| Act::Write(answer(200, it)));
    let upstream = Upstream::start(script.into());
    let report = Client.fetch_inventory(upstream.address, PATIENCE).unwrap();
    assert_eq!((report.incarnation, report.slots), (4, 8));
    assert_eq!(report.loaded, [(loaded(), 2)]);
    let occupancy = Client.fetch_occupancy(upstream.address, PATIENCE).unwrap();
    assert_eq!((occupancy.waiting, occupancy.age), (2, SHORT));
    let bad = Client
        .fetch_inventory(upstream.address, PATIENCE)
        .unwrap_err();
    assert_eq!(bad.kind, Kind::BadAnswer);
    let bad = Client
        .fetch_occupancy(upstream.address, PATIENCE)
        .unwrap_err();
    assert_eq!(bad.kind, Kind::BadAnswer);
}
