//! Tests for starting, controlling, signaling and stopping the processes of a fleet.

use std::{
    os::unix::process::ExitStatusExt,
    path::Path,
    process::{Command, Stdio},
    time::Duration,
};

use standin::{
    client::Request,
    engine::{Counts, Switch},
    fleet::{
        Failure, Fleet, Shape,
        process::{Pending, Spec, WaitOutcome},
        programs,
    },
};

fn small_shape() -> Shape {
    Shape {
        engines: 1,
        plains: vec!["barrier".to_owned()],
        ..Shape::default()
    }
}

fn is_running(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

fn spawn(program: &str, arguments: &[&str], name: &str) -> Result<Pending, Failure> {
    let arguments: Vec<String> = arguments.iter().map(|it| (*it).to_owned()).collect();
    let log = std::env::temp_dir().join(format!("comfreywing-{name}-{}", std::process::id()));
    let spawned = Pending::spawn(&Spec {
        name,
        program: Path::new(program),
        arguments: &arguments,
        ready_prefix: "ready",
        log: log.clone(),
    });
    let _ = std::fs::remove_file(log);
    spawned
}

// Stand-ins run as processes, appear in the host list, accept switches, and end when the fleet is
// dropped.
#[test]
fn stand_ins_start_and_end_with_the_fleet() {
    let fleet = Fleet::start_standins(&small_shape()).unwrap();
    let list = Request::new("GET", "/hosts")
        .send(fleet.platform())
        .unwrap();
    let hosts = list.json()["hosts"].as_array().unwrap().len();
    assert_eq!(hosts, 4);
    let engine = &fleet.engines()[0];
    engine.set(&Switch::FailLoads(1)).unwrap();
    let counts: Counts = engine.counts().unwrap();
    assert_eq!(counts, Counts::default());
    let upstreams = fleet.engines().iter().chain(fleet.plains());
    let ids: Vec<u32> = upstreams.map(|it| it.process().id()).collect();
    assert!(ids.iter().all(|it| is_running(*it)));
    drop(fleet);
    assert!(!ids.iter().any(|it| is_running(*it)));
}

// A stopped process can be resumed, and can be killed while it is stopped.
#[test]
fn processes_can_be_paused_and_killed_while_paused() {
    let process = spawn(
        "/bin/sh",
        &["-c", "echo ready 127.0.0.1:1; cat"],
        "signalled",
    );
    let process = process.unwrap().ready().unwrap();
    let wait_for_state = |expected: &str| {
        let status = format!("/proc/{}/stat", process.id());
        while !std::fs::read_to_string(&status).unwrap().contains(expected) {
            std::thread::yield_now();
        }
    };
    process.pause();
    wait_for_state(") T ");
    process.resume();
    wait_for_state(") S ");
    process.pause();
    process.kill();
    assert!(matches!(
        process.wait(Duration::ZERO),
        WaitOutcome::Exited(_)
    ));
    process.resume();
}

// The error names a process that cannot be started, exits early or prints something other than its
// address.
#[test]
fn failed_starts_name_the_process() {
    let missing = spawn("/nonexistent", &[], "missing").unwrap_err();
    assert!(
        matches!(&missing, Failure::Start { name, .. } if name == "missing"),
        "{missing}"
    );
    let ended = spawn("/bin/sh", &["-c", "exit 3"], "ended")
        .unwrap()
        .ready()
        .unwrap_err();
    assert!(
        matches!(&ended, Failure::Ended { name, .. } if name == "ended"),
        "{ended}"
    );
    let other = spawn("/bin/sh", &["-c", "echo hello; cat"], "other").unwrap();
    let other = other.ready().unwrap_err();
    assert!(
        matches!(&other, Failure::Output { line, .. } if line == "hello"),
        "{other}"
    );
}

// When its standard input closes, the guard kills the registered processes that still run the given
// program. A registered process that runs another program survives: its id may have been reused.
#[test]
fn the_guard_kills_the_processes_left_behind() {
    let child = |program: &str| {
        let spawned = Command::new(program).stdin(Stdio::piped()).arg("-").spawn();
        spawned.unwrap()
    };
    let (mut registered, mut other) = (child("/bin/cat"), child("/bin/sh"));
    let standin = programs::build_standin().unwrap();
    let guard = spawn(standin.to_str().unwrap(), &["guard", "/bin/cat"], "guard");
    let guard = guard.unwrap().ready().unwrap();
    for child in [&registered, &other] {
        guard.write_line(&child.id().to_string()).unwrap();
    }
    // Waiting for a child closes its standard input, which would end the child without the guard.
    let _input = registered.stdin.take();
    guard.close_input();
    assert_eq!(registered.wait().unwrap().signal(), Some(9));
    assert!(
        matches!(guard.wait(Duration::from_mins(1)), WaitOutcome::Exited(status) if status.success())
    );
    assert_eq!(other.try_wait().unwrap(), None);
    other.kill().unwrap();
    other.wait().unwrap();
}
