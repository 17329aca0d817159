//! Stand-in of the platform's metadata store, by the pages: lists, watches, conditional writes. A write that changes
//! nothing does not increase the revision.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json};

#[derive(Clone)]
struct Object {
    rev: u64,
    spec: String,
}

struct Change {
    rev: u64,
    kind: String,
    name: String,
    object: Object,
    deleted: bool,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Number of times that all open channels went silent.
    silences: u64,
    /// Number of watches that wait.
    waiting: usize,
    /// True while the store turns every call away.
    is_busy: bool,
}

/// Stand-in of the store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn text_of(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"created\":1,\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":null}}",
        object.rev, object.spec
    )
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        store.lock().rev = 7;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no holder panics")
    }

    /// Writes an object, as the operator or an engine does. Returns when the write was acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.lock().put(kind, name, spec);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Removes an object. Returns when that was acknowledged.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        self.lock().remove(kind, name);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Lets all open channels go silent for good, without a reset. New ones work. Returns the number of watches that wait.
    pub fn silence_channels(&self) -> usize {
        let mut state = self.lock();
        state.silences += 1;
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        self.state.1.notify_all();
        waiting
    }

    /// Lets the store turn every call away, or answer again. It does nothing meanwhile, as 503 says.
    pub fn set_busy(&self, is_busy: bool) {
        self.lock().is_busy = is_busy;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let silences = self.lock().silences;
        while let Ok(Some(request)) = http::read(&mut reader) {
            // The store takes some ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let answer = self.answer(&request, silences);
            if self.lock().silences != silences {
                // The channel stays open, and nothing is ever heard on it.
                while let Ok(Some(_)) = http::read(&mut reader) {}
                return;
            }
            let headers = [("Content-Type", "application/json")];
            if http::respond(&stream, answer.0, &headers, &answer.1).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body of the answer on a channel that was opened after so many silences.
    fn answer(&self, request: &http::Message, silences: u64) -> (&'static str, String) {
        if self.lock().is_busy {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
        };
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if let Some(since) = parameter("watch").and_then(|it| it.parse().ok()) {
            let wait = parameter("wait_ms")
                .and_then(|it| it.parse().ok())
                .unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait), silences);
        }
        if request.method() == "GET" && name.is_empty() {
            let after = parameter("after").unwrap_or_default();
            return ("200 OK", self.lock().list(kind, &after));
        }
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let metadata = body.as_ref().and_then(|it| it.get("metadata"));
        let named = metadata
            .and_then(|it| it.get("name"))
            .and_then(json::Value::text);
        let name = if name.is_empty() {
            named.unwrap_or_default()
        } else {
            name
        };
        let rev = metadata
            .and_then(|it| it.get("rev"))
            .and_then(json::Value::number);
        let rev = rev.or_else(|| parameter("rev").and_then(|it| it.parse().ok()));
        let spec = body
            .as_ref()
            .and_then(|it| it.raw("spec"))
            .unwrap_or("null");
        let answer = self.lock().write(request.method(), kind, name, rev, spec);
        self.state.1.notify_all();
        answer
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        silences: u64,
    ) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        if since > state.rev {
            return ("410 Gone", "{}".to_owned());
        }
        state.waiting += 1;
        loop {
            if state.silences != silences {
                return ("", String::new());
            }
            let events = state.events(kind, since);
            let now = Instant::now();
            if state.is_busy || !events.is_empty() || now >= end {
                state.waiting -= 1;
                if state.is_busy {
                    return ("503 Service Unavailable", "{}".to_owned());
                }
                let rev = state.rev;
                let body = format!("{{\"events\":[{}],\"as_of\":{rev}}}", events.join(","));
                return ("200 OK", body);
            }
            let (next, _) = self
                .state
                .1
                .wait_timeout(state, end - now)
                .expect("no holder panics");
            state = next;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.get(&key).is_some_and(|it| it.spec == spec) {
            return;
        }
        self.rev += 1;
        let object = Object {
            rev: self.rev,
            spec: spec.to_owned(),
        };
        self.objects.insert(key, object.clone());
        self.record(kind, name, object, false);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.rev += 1;
            self.record(kind, name, object, true);
        }
    }

    fn record(&mut self, kind: &str, name: &str, object: Object, deleted: bool) {
        self.history.push(Change {
            rev: self.rev,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            deleted,
        });
    }

    fn events(&self, kind: &str, since: u64) -> Vec<String> {
        let news = self
            .history
            .iter()
            .filter(|it| it.rev > since && it.kind == kind);
        let event = |it: &Change| {
            let object = text_of(&it.name, &it.object);
            format!("{{\"deleted\":{},\"object\":{object}}}", it.deleted)
        };
        news.map(event).collect()
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let of_kind = self.objects.iter().filter(|it| it.0.0 == kind);
        let rest = of_kind.filter(|it| after.is_empty() || &*it.0.1 > after);
        let items: Vec<String> = rest.map(|(key, it)| text_of(&key.1, it)).collect();
        let rev = self.rev;
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"as_of\":{rev}}}",
            items.join(",")
        )
    }

    fn write(
        &mut self,
        method: &str,
        kind: &str,
        name: &str,
        rev: Option<u64>,
        spec: &str,
    ) -> (&'static str, String) {
        let key = (kind.to_owned(), name.to_owned());
        let present = self.objects.get(&key).cloned();
        let is_outdated = |it: &Object| rev.is_some_and(|rev| rev != it.rev);
        match (method, present) {
            ("GET", Some(it)) => ("200 OK", text_of(name, &it)),
            ("POST", Some(it)) => ("409 Conflict", text_of(name, &it)),
            ("PUT" | "DELETE", Some(it)) if is_outdated(&it) => {
                ("409 Conflict", text_of(name, &it))
            }
            ("DELETE", Some(it)) => {
                self.remove(kind, name);
                ("200 OK", text_of(name, &it))
            }
            ("POST", None) | ("PUT", Some(_)) => {
                self.put(kind, name, spec);
                ("200 OK", text_of(name, &self.objects[&key]))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}
