//! Stand-in of a model engine with adapters: it carries out orders, and streams a few events.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, json, llm::MODEL, store::Store, system::Record};

/// Time of a load from the weight store.
const LOAD: Duration = Duration::from_millis(250);

/// Time until the first event of a stream, and between two events.
const EVENT_GAP: Duration = Duration::from_millis(60);

/// Number of events of a stream.
const EVENTS: usize = 12;

/// Time from a change until the engine has written its entry.
const BEAT: Duration = Duration::from_millis(600);

/// Stream that has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub engine: String,
    pub version: u64,
    pub began_at: Instant,
}

/// Runs of all engines, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Default)]
struct State {
    /// Versions of the adapters that are held.
    held: BTreeMap<String, u64>,
    pending: BTreeSet<String>,
    /// Running requests by adapter.
    running: BTreeMap<String, usize>,
    /// Number of orders accepted.
    seq: u64,
}

/// Model engine with adapters. It serves until it ends.
pub struct Engine {
    pub id: String,
    addr: SocketAddr,
    zone: String,
    born: u128,
    is_up: AtomicBool,
    state: Mutex<State>,
    connections: Mutex<Vec<TcpStream>>,
    store: Store,
    runs: Runs,
    record: Record,
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &str,
        held: &[(&str, u64)],
        store: Store,
        runs: Runs,
        record: Record,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|it| it.to_string())?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = State {
            held: held
                .iter()
                .map(|(name, version)| ((*name).to_owned(), *version))
                .collect(),
            ..State::default()
        };
        let engine = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().map_err(|it| it.to_string())?,
            zone: zone.to_owned(),
            born: now.map_or(0, |it| it.as_millis()),
            is_up: AtomicBool::new(true),
            state: Mutex::new(state),
            connections: Mutex::default(),
            store,
            runs,
            record,
        });
        engine.write_entry();
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn models(&self) -> String {
        let state = self.lock();
        let adapters = state
            .held
            .iter()
            .map(|(name, version)| format!("\"{name}@{version}\""));
        let adapters: Vec<String> = adapters.collect();
        format!(
            "[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]",
            adapters.join(",")
        )
    }

    fn write_entry(&self) {
        let (models, seq) = (self.models(), self.lock().seq);
        let entry = format!(
            "{{\"service\":\"lugha\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"stage\":\"both\",\"models\":{models},\"seq\":{seq},\"born\":{}}}",
            self.addr, self.zone, self.born
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Ends the engine: its port is closed, and its connections.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for it in self.connections.lock().expect("no holder panics").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: &Arc<Self>, stream: &TcpStream) {
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

    fn handle(self: &Arc<Self>, request: &http::Message, stream: &TcpStream) -> Option<()> {
        let instance = [
            ("Instance-Id", &*self.id),
            ("Content-Type", "application/json"),
        ];
        let expected = request.header("expect-instance");
        if expected.is_some_and(|it| it != self.id) {
            return http::respond(stream, "421 Misdirected Request", &instance[..1], "").ok();
        }
        match request.target() {
            "/healthz" => http::respond(stream, "200 OK", &instance[..1], "").ok(),
            "/-/report" => {
                let models = self.models();
                let state = self.lock();
                let pending = state.pending.iter().map(|it| format!("\"{MODEL}/{it}\""));
                let pending: Vec<String> = pending.collect();
                let running: usize = state.running.values().sum();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{models},\"pending\":[{}],\"busy\":false,\"seq\":{},\"queued\":0,\
                     \"running\":{running},\"kv_used\":0,\"kv_total\":140000,\"handles\":0,\"born\":{}}}",
                    pending.join(","),
                    state.seq,
                    self.born
                );
                drop(state);
                http::respond(stream, "200 OK", &instance, &body).ok()
            }
            "/-/order" => {
                let status = self.order(&String::from_utf8_lossy(&request.body));
                http::respond(stream, status, &instance, "{}").ok()
            }
            _ => self.stream(request, stream),
        }
    }

    fn order(self: &Arc<Self>, body: &str) -> &'static str {
        let Some(order) = json::parse(body) else {
            return "400 Bad Request";
        };
        let text = |name: &str| {
            order
                .get(name)
                .and_then(json::Value::text)
                .map(str::to_owned)
        };
        let number = |name: &str| order.get(name).and_then(json::Value::number);
        let Some(adapter) = text("adapter") else {
            return "200 OK";
        };
        let mut state = self.lock();
        if number("expected").is_some_and(|it| it != state.seq) {
            return "409 Conflict";
        }
        self.record
            .line(&format!("engine {} is ordered {body}", self.id));
        if text("op").as_deref() == Some("unload") {
            state.seq += 1;
            state.held.remove(&adapter);
            return "200 OK";
        }
        let version = number("version").unwrap_or(1);
        if state.held.get(&adapter) == Some(&version) {
            return "200 OK";
        }
        state.seq += 1;
        state.pending.insert(format!("{adapter}@{version}"));
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD);
            // A replacement waits for its runs to finish.
            while engine
                .lock()
                .running
                .get(&adapter)
                .is_some_and(|it| *it > 0)
            {
                thread::sleep(Duration::from_millis(5));
            }
            let mut state = engine.lock();
            state.pending.remove(&format!("{adapter}@{version}"));
            state.held.insert(adapter.clone(), version);
            drop(state);
            engine
                .record
                .line(&format!("engine {} holds {adapter}@{version}", engine.id));
            thread::sleep(BEAT);
            engine.write_entry();
        });
        "202 Accepted"
    }

    /// Streams the events of a request for an adapter, or rejects it if the adapter or its version isn't there.
    fn stream(&self, request: &http::Message, stream: &TcpStream) -> Option<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let name = request.header("model").unwrap_or_default();
        let adapter = name.split_once('/').map_or("", |it| it.1).to_owned();
        let expected = request
            .header("expect-version")
            .and_then(|it| it.parse::<u64>().ok());
        let version = {
            let mut state = self.lock();
            let held = state.held.get(&adapter).copied();
            let held = held.filter(|it| expected.is_none_or(|expected| expected == *it));
            if held.is_some() {
                *state.running.entry(adapter.clone()).or_default() += 1;
            }
            held
        };
        let Some(version) = version else {
            let headers = [
                ("Instance-Id", &*self.id),
                ("Request-Id", &*id),
                ("Not-Executed", "1"),
            ];
            return http::respond(stream, "421 Misdirected Request", &headers, "").ok();
        };
        let result = self.write_events(&id, &adapter, version, stream);
        if let Some(it) = self.lock().running.get_mut(&adapter) {
            *it -= 1;
        }
        result
    }

    fn write_events(
        &self,
        id: &str,
        adapter: &str,
        version: u64,
        mut stream: &TcpStream,
    ) -> Option<()> {
        thread::sleep(EVENT_GAP);
        self.runs.lock().expect("no holder panics").push(Run {
            request: id.to_owned(),
            engine: self.id.clone(),
            version,
            began_at: Instant::now(),
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nInstance-Id: {}\r\n\
             Weight-Versions: {version}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {adapter}@{version} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(EVENT_GAP);
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}
