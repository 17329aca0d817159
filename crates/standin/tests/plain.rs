//! Tests for the stand-in of a plain service.

use std::{io::Write, net::TcpStream};

use standin::{
    client::{Answer, Failure, Request},
    control::{Outage, Toggle},
    plain::{Cut, Server, Settings, Switch},
};

fn with_server(run: impl FnOnce(&Server)) {
    run(&Server::start(Settings {
        name: "barrier-a1".to_owned(),
        service: "barrier".to_owned(),
    }));
}

fn request_opening(server: &Server, id: &str) -> Result<Answer, Failure> {
    let request = Request::post("/openings?lane=2", &"lane 2");
    let request = request
        .with("x-request-id", id)
        .with("idempotency-key", "k1");
    request.send(server.address())
}

// Calls are counted by request id, idempotency key and path, and each answer describes the call that ran.
#[test]
fn counts_runs() {
    with_server(|server| {
        let answer = request_opening(server, "r1").unwrap();
        assert_eq!(answer.json()["instance"], "barrier-a1");
        assert_eq!(answer.json()["path"], "/openings");
        request_opening(server, "r1").unwrap();
        request_opening(server, "r2").unwrap();
        let counts = server.counts();
        assert_eq!(
            (counts.runs_of_request("r1"), counts.runs_of_request("r2")),
            (2, 1)
        );
        assert_eq!((counts.runs_of_key("k1"), counts.total_runs()), (3, 3));
    });
}

// A call whose connection is closed before the run is not counted as run; one whose connection is
// closed later is.
#[test]
fn closes_connections_at_each_point() {
    let cuts = [
        (Cut::BeforeRun, 0, false),
        (Cut::BeforeAnswer, 1, false),
        (Cut::DuringAnswer, 1, false),
        (Cut::AfterAnswer, 1, true),
    ];
    for (at, runs, answered) in cuts {
        with_server(|server| {
            server.set(Switch::Cut { at, times: 1 });
            assert_eq!(request_opening(server, "r1").is_ok(), answered, "{at:?}");
            assert_eq!(server.counts().runs_of_request("r1"), runs, "{at:?}");
            assert_eq!(request_opening(server, "r2").unwrap().status, 200);
        });
    }
}

// An instance that is leaving, refuses calls or has an outage runs no call.
#[test]
fn refuses_without_running() {
    with_server(|server| {
        server.set(Switch::Leaving(Toggle::On));
        let leaving = request_opening(server, "r1").unwrap();
        assert_eq!((leaving.status, leaving.header("x-leaving")), (503, "true"));
        server.set(Switch::Leaving(Toggle::Off));
        server.set(Switch::Refuse(Toggle::On));
        let refused = request_opening(server, "r1").unwrap();
        assert_eq!((refused.status, refused.header("x-leaving")), (503, ""));
        server.set(Switch::Outage(Outage::Break));
        assert!(request_opening(server, "r1").is_err());
        let counts = server.counts();
        assert_eq!((counts.total_runs(), counts.calls), (0, 3));
        assert_eq!((counts.while_leaving, counts.refused), (1, 1));
    });
}

// A call runs exactly once even if its caller disconnects before the run.
#[test]
fn a_call_runs_after_its_caller_disconnects() {
    with_server(|server| {
        server.set(Switch::DelayMs(20));
        let mut caller = TcpStream::connect(server.address()).unwrap();
        caller
            .write_all(b"POST /openings HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        while server.counts().calls == 0 {
            std::thread::yield_now();
        }
        drop(caller);
        while server.counts().total_runs() == 0 {
            std::thread::yield_now();
        }
        assert_eq!(server.counts().total_runs(), 1);
    });
}
