//! Stand-in for an engine, or for an instance of an application service. It is sound.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, atomic::{AtomicBool, AtomicU32, Ordering}},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Connection, Head},
    store::Store,
};

/// Part of a prompt that crashes each engine that begins to write an answer on it, while the engine is told so.
pub const DEADLY_PART: &str = "dead";

/// Time after which an engine begins to write an answer.
const PREFILL_TIME: Duration = Duration::from_millis(60);

/// Time for which a crashed engine is down.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// One request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub has_run: bool,
}

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time for which a request without a stream runs.
    pub time: Duration,
    /// Number of events of a stream, and the time before each.
    pub events: usize,
    pub interval: Duration,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Times of its crashes.
    pub ends: Arc<Mutex<Vec<Instant>>>,
    work: Work,
    runs: Arc<AtomicU32>,
    is_down: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    /// True while the engine crashes on [`DEADLY_PART`].
    pub crashes: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    slots: u32,
}

impl Engine {
    /// Starts an engine and writes its entry.
    pub fn start(id: &str, service: &str, version: &str, zone: &str, work: Work, store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().expect("the socket is bound"),
            arrivals: Arc::default(),
            ends: Arc::default(),
            work,
            runs: Arc::default(),
            is_down: Arc::default(),
            has_left: Arc::default(),
            crashes: Arc::default(),
            channels: Arc::default(),
            store: store.clone(),
            slots: if service == "lugha" { 64 } else { 6 },
        };
        engine.register();
        let served = engine.clone();
        std::thread::spawn(move || served.accept(listener));
        engine
    }

    fn register(&self) {
        self.store.put("servers", &self.id, &self.entry());
    }

    /// Reports that the engine leaves. It goes on with its work.
    pub fn drain(&self) {
        self.store.put("servers", &self.id, &self.entry().replace("\"ready\"", "\"draining\""));
    }

    /// Ends the engine, which has drained.
    pub fn leave(&self) {
        self.store.remove("servers", &self.id);
        self.has_left.store(true, Ordering::SeqCst);
    }

    /// Accepts channels, also after a crash.
    fn accept(&self, first: TcpListener) {
        let mut listener = Some(first);
        while !self.has_left.load(Ordering::SeqCst) {
            if self.is_down.load(Ordering::SeqCst) {
                self.ends.lock().expect("no panic").push(Instant::now());
                // The port refuses channels meanwhile.
                listener = None;
                for it in self.channels.lock().expect("no panic").drain(..) {
                    let _ = it.shutdown(Shutdown::Both);
                }
                std::thread::sleep(DOWN_TIME);
                self.is_down.store(false, Ordering::SeqCst);
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.addr).ok();
                self.register();
            }
            let Some(open) = &listener else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(it) = stream.try_clone() {
                self.channels.lock().expect("no panic").push(it);
            }
            let served = self.clone();
            std::thread::spawn(move || served.serve(Connection::new(stream)));
        }
        for it in self.channels.lock().expect("no panic").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    /// Entry in the platform's list.
    fn entry(&self) -> String {
        let slots = self.slots;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis());
        let models = if self.service == "lugha" {
            "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]"
        } else {
            "[]"
        };
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born},\"stage\":\"both\",\"models\":{models}}}",
            self.service, self.addr, self.zone, self.version
        )
    }

    fn record(&self, id: &str, has_run: bool) {
        let it = Arrival { at: Instant::now(), id: id.to_owned(), has_run };
        self.arrivals.lock().expect("no panic").push(it);
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(head) = connection.read_head() {
            if connection.read_request_body(&head).is_none() {
                return;
            }
            let (_, path) = head.target();
            let is_open = match path {
                "/-/report" => {
                    let report = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\
                         \"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":142398,\
                         \"handles\":0,\"pending\":[]}";
                    connection.respond(200, &[("Instance-Id", self.id.clone())], report)
                }
                "/healthz" => connection.respond(200, &[("Instance-Id", self.id.clone())], ""),
                "/-/order" => connection.respond(200, &[], "{}"),
                _ => self.run(&mut connection, &head),
            };
            if !is_open {
                return;
            }
        }
    }

    /// Runs a request. Returns whether the connection stays open.
    fn run(&self, connection: &mut Connection, head: &Head) -> bool {
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let not_run = [("Not-Executed", "1".to_owned()), ("Instance-Id", self.id.clone()), ("Request-Id", id.clone())];
        if head.get("expect-instance").is_some_and(|it| it != self.id) {
            self.record(&id, false);
            return connection.respond(421, &not_run, "");
        }
        let timeout = head.get("timeout-ms").and_then(|it| it.parse().ok()).unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let seal = ("Response-Seal", format!("{}.{run:x}", self.id));
        if self.service == "lugha" {
            self.record(&id, true);
            return self.stream(connection, head, &[seal, ("Request-Id", id)], deadline);
        }
        self.record(&id, true);
        std::thread::sleep(self.work.time);
        connection.respond(200, &[seal, ("Request-Id", id.clone())], &format!("answer to {id}\n"))
    }

    /// Streams the events after `Last-Event-Id`. Stops when the channel closes or the time is up.
    fn stream(&self, connection: &mut Connection, head: &Head, headers: &[(&str, String)], deadline: Instant) -> bool {
        let last: Option<usize> = head.get("last-event-id").and_then(|it| it.parse().ok());
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
            Weight-Versions: 1\r\n"
            .to_owned();
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        if !connection.send(text.as_bytes()) {
            return false;
        }
        if connection.is_closed_within(PREFILL_TIME) {
            return false;
        }
        let parts = head.get("prompt-prefix").unwrap_or_default();
        let is_deadly = parts.split(',').any(|it| it.split(':').next() == Some(DEADLY_PART));
        if is_deadly && self.crashes.load(Ordering::SeqCst) {
            self.is_down.store(true, Ordering::SeqCst);
            return false;
        }
        for number in last.map_or(0, |it| it + 1)..self.work.events {
            if connection.is_closed_within(self.work.interval) || Instant::now() > deadline {
                return false;
            }
            let event = format!("id: {number}\ndata: {} token {number}\n\n", self.version);
            if !connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
                return false;
            }
        }
        connection.send(b"0\r\n\r\n")
    }
}
