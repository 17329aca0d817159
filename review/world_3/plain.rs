//! Stand-in of an engine of an application service.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http;

/// A request that has reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub engine: String,
    pub at: Instant,
    /// When the engine had answered it; `None` if it had not.
    pub answered_at: Option<Instant>,
}

/// Requests that have reached the engines, in order.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Behavior of an engine.
#[derive(Clone)]
pub struct Behavior {
    /// Time for which a request runs.
    pub work: Duration,
}

/// Engine of an application service. It serves requests until it ends.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    zone: String,
    born: u64,
    is_up: AtomicBool,
    is_leaving: AtomicBool,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    behavior: Behavior,
    arrivals: Arrivals,
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        behavior: Behavior,
        arrivals: Arrivals,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: now_ms(),
            is_up: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            connections: Arc::default(),
            behavior,
            arrivals,
        });
        engine.listen(listener);
        Ok(engine)
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        self.is_up.store(true, Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        let engine = self.clone();
        thread::spawn(move || {
            while engine.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(it) = stream.try_clone() {
                    engine
                        .connections
                        .lock()
                        .expect("no holder panics")
                        .push(it);
                }
                let engine = engine.clone();
                thread::spawn(move || engine.serve(&stream));
            }
        });
    }

    /// Entry in the platform's store.
    pub fn entry(&self, seq: u64) -> String {
        let born = format!(",\"born\":{}", self.born);
        self.entry_with(seq, &born)
    }

    /// The same entry without the start of the engine, as another writer may leave it.
    pub fn entry_without_start(&self, seq: u64) -> String {
        self.entry_with(seq, "")
    }

    fn entry_with(&self, seq: u64, more: &str) -> String {
        let leaving = self.is_leaving.load(Ordering::SeqCst);
        let state = if leaving { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq}{more}}}",
            self.service, self.addr, self.zone
        )
    }

    /// Reports from now on that it leaves, in its entry and in its answers.
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

    /// Answers a request. Returns `None` if the connection has ended.
    fn handle(&self, request: &http::Message, stream: &TcpStream) -> Option<()> {
        let instance = [("Instance-Id", &*self.id)];
        if request.target() == "/healthz" {
            return http::respond(stream, "200 OK", &instance, "").ok();
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|it| it != self.id) {
            return http::respond(stream, "421 Misdirected Request", &instance, "").ok();
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let index = {
            let mut arrivals = self.arrivals.lock().expect("no holder panics");
            arrivals.push(Arrival {
                id: id.clone(),
                engine: self.id.clone(),
                at: Instant::now(),
                answered_at: None,
            });
            arrivals.len() - 1
        };
        thread::sleep(self.behavior.work);
        let mut headers = vec![
            ("Request-Id", &*id),
            ("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Instance-Id", &*self.id),
        ];
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        http::respond(stream, "200 OK", &headers, &format!("done {id}")).ok()?;
        self.arrivals.lock().expect("no holder panics")[index].answered_at = Some(Instant::now());
        Some(())
    }
}
