//! A drain that begins while connections wait to be accepted.

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

const PATIENCE: Duration = Duration::from_secs(20);
const CALLERS: usize = 16;

/// A log that holds up the thread of the connections until it is released.
struct Gate {
    entered: SyncSender<()>,
    release: Mutex<Receiver<()>>,
}

impl Log for Gate {
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

fn answer(_: Request, responder: Responder) {
    responder.send(Response {
        status: 200,
        ..Response::default()
    });
}

/// Covers callers whose connections nobody has accepted when the drain begins.
#[test]
fn waiting_connections_are_answered() {
    let (entered, held) = sync_channel(1);
    let (release, released) = sync_channel(1);
    let gate = Gate {
        entered,
        release: Mutex::new(released),
    };
    log::set_logger(Box::leak(Box::new(gate))).unwrap();
    log::set_max_level(LevelFilter::Debug);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = Limits {
        queue_timeout: PATIENCE,
        ..Limits::default()
    };
    let server = Server::start(listener, limits, Arc::new(answer)).unwrap();
    let send = |text: &str| {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let malformed = send("\0\r\n\r\n");
    held.recv_timeout(PATIENCE).unwrap();
    let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let callers: Vec<TcpStream> = (0..CALLERS).map(|_| send(request)).collect();
    thread::scope(|scope| {
        let drain = scope.spawn(|| server.drain(PATIENCE));
        thread::yield_now();
        release.send(()).unwrap();
        for mut caller in callers {
            let mut answer = String::new();
            caller.read_to_string(&mut answer).unwrap();
            assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer:?}");
        }
        drop(malformed);
        assert_eq!(drain.join().unwrap(), DrainOutcome::Complete);
    });
    server.stop();
}
