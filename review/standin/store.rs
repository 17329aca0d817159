//! Stand-in for the platform's store: objects by kind and name, with watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Head},
    json::{self, Json},
};

/// Name of an object: its kind and its name.
type Id = (String, String);

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<Id, Json>,
    /// Changes: revision, kind, object, and whether the object was deleted.
    history: Vec<(u64, String, Json, bool)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Addresses of engines, with those that one view of the store shows instead: a path that can be cut leads there.
pub type Replacements = Vec<(SocketAddr, SocketAddr)>;

fn object(name: &str, rev: u64, spec: Json) -> Json {
    let number = |it: u64| Json::Number(it.to_string());
    let metadata = vec![
        ("name".to_owned(), Json::Text(name.to_owned())),
        ("rev".to_owned(), number(rev)),
        ("created".to_owned(), number(rev)),
        ("finalizers".to_owned(), Json::List(Vec::new())),
        ("deleting".to_owned(), Json::Bool(false)),
    ];
    Json::Table(vec![
        ("metadata".to_owned(), Json::Table(metadata)),
        ("spec".to_owned(), spec),
        ("status".to_owned(), Json::Null),
    ])
}

fn rev_of(object: &Json) -> u64 {
    let rev = object.get("metadata").and_then(|it| it.get("rev"));
    rev.and_then(Json::number).unwrap_or(0)
}

fn name_of(object: &Json) -> String {
    let name = object.get("metadata").and_then(|it| it.get("name"));
    name.and_then(Json::text).unwrap_or_default().to_owned()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        if *first == b'%' && tail.len() >= 2 {
            let hex = std::str::from_utf8(&tail[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl State {
    fn change(&mut self, id: &Id, spec: Option<Json>) -> Json {
        self.rev += 1;
        let is_deleted = spec.is_none();
        let changed = if let Some(spec) = spec {
            let it = object(&id.1, self.rev, spec);
            self.objects.insert(id.clone(), it.clone());
            it
        } else {
            let old = self.objects.remove(id);
            let spec = old.and_then(|it| it.get("spec").cloned()).unwrap_or(Json::Null);
            object(&id.1, self.rev, spec)
        };
        self.history.push((self.rev, id.0.clone(), changed.clone(), is_deleted));
        changed
    }
}

impl Store {
    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = json::parse(spec).expect("the contents are JSON");
        let mut state = self.state.0.lock().expect("no panic");
        state.change(&(kind.to_owned(), name.to_owned()), Some(spec));
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("no panic");
        state.change(&(kind.to_owned(), name.to_owned()), None);
        self.state.1.notify_all();
    }

    /// Serves a view of the store.
    pub fn serve(&self, replacements: Replacements) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the socket is bound");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                let replacements = replacements.clone();
                std::thread::spawn(move || store.serve_connection(Connection::new(stream), &replacements));
            }
        });
        addr
    }

    fn serve_connection(&self, mut connection: Connection, replacements: &Replacements) {
        while let Some(head) = connection.read_head() {
            let Some(body) = connection.read_request_body(&head) else { return };
            let (status, answer) = self.handle(&head, &String::from_utf8_lossy(&body));
            let mut text = answer.print();
            for (from, to) in replacements {
                text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
            }
            let headers = [("Content-Type", "application/json".to_owned()), ("Store-Era", "1".to_owned())];
            if !connection.respond(status, &headers, &text) {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, body: &str) -> (u16, Json) {
        let (method, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = (query.split('&').filter_map(|it| it.split_once('=')))
            .map(|it| (it.0, decode(it.1)))
            .collect();
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let name = decode(name);
        let error = |text: &str| Json::Table(vec![("error".to_owned(), Json::Text(text.to_owned()))]);
        let number = |it: u64| Json::Number(it.to_string());
        let mut state = self.state.0.lock().expect("no panic");
        if method == "GET" {
            if !name.is_empty() {
                let found = state.objects.get(&(kind.to_owned(), name));
                return found.map_or((404, error("no such object")), |it| (200, it.clone()));
            }
            if let Some(since) = query.get("watch").and_then(|it| it.parse::<u64>().ok()) {
                let wait = query.get("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<Json> = (state.history.iter())
                        .filter(|it| it.0 > since && it.1 == kind)
                        .map(|it| {
                            Json::Table(vec![
                                ("object".to_owned(), it.2.clone()),
                                ("deleted".to_owned(), Json::Bool(it.3)),
                            ])
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let as_of = number(state.rev);
                        let answer = vec![("events".to_owned(), Json::List(events)), ("as_of".to_owned(), as_of)];
                        return (200, Json::Table(answer));
                    }
                    state = self.state.1.wait_timeout(state, left).expect("no panic").0;
                }
            }
            let after = query.get("after").cloned().unwrap_or_default();
            let items = state.objects.iter().filter(|it| it.0.0 == kind && it.0.1 > after);
            let items = items.map(|it| it.1.clone()).collect();
            let answer = vec![
                ("items".to_owned(), Json::List(items)),
                ("has_more".to_owned(), Json::Bool(false)),
                ("as_of".to_owned(), number(state.rev)),
            ];
            return (200, Json::Table(answer));
        }
        let sent = json::parse(body).unwrap_or(Json::Null);
        let name = if method == "POST" { name_of(&sent) } else { name };
        let id = (kind.to_owned(), name);
        let current = state.objects.get(&id).cloned();
        let condition = match query.get("rev").and_then(|it| it.parse().ok()) {
            Some(it) => Some(it),
            None => Some(rev_of(&sent)).filter(|it| *it > 0),
        };
        let spec = sent.get("spec").cloned().unwrap_or(Json::Null);
        let (status, answer) = match (method, current) {
            ("POST", Some(it)) => (409, it),
            ("POST", None) => (201, state.change(&id, Some(spec))),
            ("PUT" | "DELETE", None) => (404, error("no such object")),
            ("PUT" | "DELETE", Some(it)) if condition.is_some_and(|rev| rev != rev_of(&it)) => (409, it),
            ("PUT", Some(it)) if it.get("spec") == Some(&spec) => (200, it),
            ("PUT", Some(_)) => (200, state.change(&id, Some(spec))),
            ("DELETE", Some(_)) => (200, state.change(&id, None)),
            _ => (405, error("no such call")),
        };
        self.state.1.notify_all();
        (status, answer)
    }
}
