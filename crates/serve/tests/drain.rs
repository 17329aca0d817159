//! Tests a drain that starts while connections wait to be accepted.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log::{LevelFilter, Log, Metadata, Record};
use serve::{DrainOutcome, Limits, Request, Responder, Response, Server};

/// Time limit of every wait that has to succeed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const CALLERS: usize = 16;

/// Logger that blocks the acceptor thread on the rejection of a malformed request until released.
struct BlockingLog {
    entered: SyncSender<()>,
    release: Mutex<Receiver<()>>,
}

impl Log for BlockingLog {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        if record.args().to_string().contains("bad-request") {
            self.entered.send(()).unwrap();
            self.release.lock().unwrap().recv().unwrap();
        }
    }

    fn flush(&self) {}
}

fn respond(_: Request, responder: Responder) {
    responder.send(Response {
        status: 200,
        ..Response::default()
    });
}

/// Closing the listener would reset connections that have not been accepted when the drain starts.
/// The logger blocks the acceptor thread, so that the connections of all callers are still pending.
#[test]
fn connections_pending_at_drain_are_answered() {
    let (entered, blocked) = sync_channel(1);
    let (release, released) = sync_channel(1);
    let log = BlockingLog {
        entered,
        release: Mutex::new(released),
    };
    log::set_logger(Box::leak(Box::new(log))).unwrap();
    log::set_max_level(LevelFilter::Debug);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = Limits {
        queue_timeout: TEST_TIMEOUT,
        ..Limits::default()
    };
    let server = Server::start(listener, limits, Arc::new(respond)).unwrap();
    let send = |text: &str| {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let malformed = send("\0\r\n\r\n");
    blocked.recv_timeout(TEST_TIMEOUT).unwrap();
    let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let callers: Vec<TcpStream> = (0..CALLERS).map(|_| send(request)).collect();
    thread::scope(|scope| {
        let drain = scope.spawn(|| server.drain(TEST_TIMEOUT));
        thread::yield_now();
        release.send(()).unwrap();
        for mut caller in callers {
            let mut response = String::new();
            caller.read_to_string(&mut response).unwrap();
            assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response:?}");
        }
        drop(malformed);
        assert_eq!(drain.join().unwrap(), DrainOutcome::Complete);
    });
    server.stop();
}
