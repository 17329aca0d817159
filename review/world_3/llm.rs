//! Stand-in of a model engine: it streams events, holds one base model and takes no orders in the scenarios.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{http, system::Record};

/// Time between two events.
pub const EVENT_GAP: Duration = Duration::from_millis(200);

/// Number of events of a stream.
pub const EVENTS: usize = 60;

/// Base model that all engines hold.
pub const MODEL: &str = "base";

/// Model engine. It serves until it ends.
pub struct Engine {
    pub id: String,
    pub version: String,
    addr: SocketAddr,
    zone: String,
    born: u128,
    is_up: AtomicBool,
    is_leaving: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Engine {
    /// Starts an engine with a version of its software.
    pub fn start(id: &str, version: &str, zone: &str, record: Record) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|it| it.to_string())?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            version: version.to_owned(),
            addr: listener.local_addr().map_err(|it| it.to_string())?,
            zone: zone.to_owned(),
            born: now.map_or(0, |it| it.as_millis()),
            is_up: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            record,
        });
        let served = engine.clone();
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while served.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(it) = stream.try_clone() {
                    served
                        .connections
                        .lock()
                        .expect("no holder panics")
                        .push(it);
                }
                let engine = served.clone();
                thread::spawn(move || engine.serve(&stream));
            }
        });
        Ok(engine)
    }

    /// Entry in the platform's store.
    pub fn entry(&self) -> String {
        self.entry_with(&self.version, &format!(",\"born\":{}", self.born))
    }

    /// Entry of a former version, without `born`, as another writer may leave it.
    pub fn entry_without_start(&self, version: &str) -> String {
        self.entry_with(version, "")
    }

    fn entry_with(&self, version: &str, more: &str) -> String {
        let leaving = self.is_leaving.load(Ordering::SeqCst);
        let state = if leaving { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"lugha\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"seq\":1{more}}}",
            self.addr, self.zone, version
        )
    }

    /// Reports from now on that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the engine: its port is closed, and its connections.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for it in self.connections.lock().expect("no holder panics").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if !self.is_up.load(Ordering::SeqCst) || self.handle(&request, stream).is_none() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message, stream: &TcpStream) -> Option<()> {
        let instance = [("Instance-Id", &*self.id)];
        let expected = request.header("expect-instance");
        if expected.is_some_and(|it| it != self.id) {
            return http::respond(stream, "421 Misdirected Request", &instance, "").ok();
        }
        match request.target() {
            "/healthz" => http::respond(stream, "200 OK", &instance, "").ok(),
            "/-/report" => {
                let running = self.running.load(Ordering::SeqCst);
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":1,\"queued\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":140000,\
                     \"handles\":0,\"born\":{}}}",
                    self.born
                );
                let headers = [("Content-Type", "application/json"), instance[0]];
                http::respond(stream, "200 OK", &headers, &body).ok()
            }
            "/-/order" => http::respond(stream, "409 Conflict", &instance, "{}").ok(),
            _ => {
                self.running.fetch_add(1, Ordering::SeqCst);
                let result = self.stream(request, stream);
                self.running.fetch_sub(1, Ordering::SeqCst);
                result
            }
        }
    }

    /// Streams the events of a request. Each names the version that made it.
    fn stream(&self, request: &http::Message, mut stream: &TcpStream) -> Option<()> {
        let id = request.header("request-id").unwrap_or_default();
        let last = request
            .header("last-event-id")
            .and_then(|it| it.parse::<usize>().ok());
        let first = last.map_or(1, |it| it + 1);
        self.record.line(&format!(
            "engine {} ({}) runs request {id} from event {first}",
            self.id, self.version
        ));
        let leaving = if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nInstance-Id: {}\r\n{leaving}\
             Weight-Versions: 1\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in first..=EVENTS {
            thread::sleep(EVENT_GAP);
            if !self.is_up.load(Ordering::SeqCst) {
                return None;
            }
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}
