//! Calls whose whole response is read: orders, status queries, and calls to the store.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use gateway::{
    call,
    connection::{Failure, Pool},
    memory::{Budget, Kind},
};
use hyper::Request;
use tokio::{runtime::Builder, task::LocalSet};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Serves each request with the next of the statuses, and keeps connections open. Returns its address and the number of
/// connections so far.
fn start_upstream(statuses: &[&str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let statuses: Vec<String> = statuses.iter().map(|it| (*it).to_owned()).collect();
    let (count, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let connections = count.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            connections.fetch_add(1, Ordering::SeqCst);
            let (statuses, served) = (statuses.clone(), served.clone());
            thread::spawn(move || {
                let mut writer = &stream;
                for line in BufReader::new(&stream).lines().map_while(Result::ok) {
                    if line.is_empty() {
                        let number = served.fetch_add(1, Ordering::SeqCst);
                        let status = &statuses[number % statuses.len()];
                        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok");
                        let _ = writer.write_all(head.as_bytes());
                    }
                }
            });
        }
    });
    (addr, count)
}

#[test]
fn a_response_without_a_final_status_is_none_and_its_connection_is_not_used_again() {
    for status in ["000", "099", "101", "600", "999"] {
        let (addr, connections) = start_upstream(&["200", status, "200", "200"]);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime starts");
        LocalSet::new().block_on(&runtime, async {
            let pool = Pool::new(Budget::new(Kind::Store, 1 << 20));
            let mut outcomes = Vec::new();
            for _ in 0..4 {
                let request = Request::get("/x").body(Bytes::new()).expect("it is valid");
                let outcome = call::send(&pool, addr, request, TIMEOUT).await;
                outcomes.push(outcome.map(|it| it.accept().0.status.as_u16()));
            }
            assert!(
                matches!(
                    &*outcomes,
                    [Ok(200), Err(Failure::Malformed(_)), Ok(200), Ok(200)]
                ),
                "{status}: {outcomes:?}"
            );
        });
        assert_eq!(connections.load(Ordering::SeqCst), 2, "{status}");
    }
}
