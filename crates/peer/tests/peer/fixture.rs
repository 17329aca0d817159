//! Services with a handler that records its calls and events.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use kernel::{
    clock,
    fault::{Fault, Kind},
    name::{Domain, Host, Upstream},
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    request::Class,
};
use member::{Change, Condition};
use peer::{Handler, Service, Settings};

/// Callback that takes the verdict on a permit request.
pub type Reply = Box<dyn FnOnce(Verdict) + Send>;

/// Time after which a waiting test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// The cluster key of the services.
pub const KEY: &[u8] = b"a key for tests";

/// The calls and events that a handler has received.
#[derive(Default)]
pub struct Record {
    /// The callbacks of permit requests that the handler has not decided on.
    pub held: Vec<Reply>,
    pub releases: Vec<(Upstream, u64, Number, Outcome)>,
    pub changes: Vec<Change>,
    pub entries: Vec<(Host, String, Option<Vec<u8>>)>,
    pub revision: u64,
}

/// Handler that records its calls and events.
#[derive(Default)]
pub struct Recorder {
    record: Mutex<Record>,
    changed: Condvar,
}

impl Recorder {
    fn update(&self, update: impl FnOnce(&mut Record)) {
        update(&mut self.record.lock().unwrap());
        self.changed.notify_all();
    }

    /// Waits until `find` returns a value for the record.
    pub fn wait<T>(&self, mut find: impl FnMut(&mut Record) -> Option<T>) -> T {
        let mut record = self.record.lock().unwrap();
        loop {
            if let Some(found) = find(&mut record) {
                return found;
            }
            let (next, waited) = self.changed.wait_timeout(record, TEST_TIMEOUT).unwrap();
            assert!(
                !waited.timed_out(),
                "the record did not reach the expected state in time"
            );
            record = next;
        }
    }
}

impl Handler for Recorder {
    fn place(&self, request: Request, reply: Reply) {
        match request.request.as_str() {
            "elsewhere" => reply(Verdict::NotSteward),
            "refused" => reply(Verdict::Refused(
                Fault::new(Kind::Overloaded, "full").with_retry_after(Duration::from_secs(3)),
            )),
            "held" => self.update(|it| it.held.push(reply)),
            _ => reply(Verdict::Granted(permit())),
        }
    }

    fn release(&self, engine: Upstream, fence: u64, number: Number, outcome: Outcome) {
        self.update(|it| it.releases.push((engine, fence, number, outcome)));
    }

    fn revisions(&self, after: u64) -> Vec<Vec<u8>> {
        (after + 1..=3)
            .map(|it| it.to_be_bytes().to_vec())
            .collect()
    }

    fn explain(&self, request: &str) -> Option<String> {
        (request == "known").then(|| "because".to_owned())
    }

    fn on_member_change(&self, change: Change) {
        self.update(|it| it.changes.push(change));
    }

    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>) {
        let value = value.map(<[u8]>::to_vec);
        self.update(|it| it.entries.push((owner.host, key.to_owned(), value)));
    }

    fn on_revision(&self, revision: u64, _: Holder) {
        self.update(|it| it.revision = revision);
    }
}

/// Polls a condition until it holds.
pub fn poll(holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the condition did not hold in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// The permit that the handler grants.
pub fn permit() -> Permit {
    Permit {
        number: Number(7),
        upstream: "engine-1".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        loaded: "signs/bay-summary@7+31".parse().unwrap(),
        fence: 5,
        start_by: Duration::from_secs(1),
        run_by: Duration::from_secs(30),
        load_stall: Duration::from_millis(250),
        queue_wait: Duration::from_millis(260),
    }
}

/// A permit request of host `b`. Its id selects the verdict of the handler.
pub fn permit_request(request: &str) -> Request {
    Request {
        request: request.parse().unwrap(),
        holder: holder("b"),
        reference: "signs/bay-summary@7".parse().unwrap(),
        model: "base".parse().unwrap(),
        tenant: "maegesho".parse().unwrap(),
        class: Class::Interactive,
        remaining: Duration::from_millis(1500),
        prefix: 11,
        max_tokens: 64,
    }
}

pub fn host(name: &str) -> Host {
    name.parse().unwrap()
}

pub fn holder(name: &str) -> Holder {
    Holder {
        host: host(name),
        incarnation: 1,
    }
}

pub fn settings(name: &str, key: &[u8], seeds: Vec<SocketAddr>) -> Settings {
    let domain: Domain = "dar-1".parse().unwrap();
    let listen = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let identity = member::Identity {
        holder: holder(name),
        domain,
        address: listen,
    };
    Settings::new(identity, listen, key.to_vec(), seeds)
}

/// A service and its recording handler.
pub struct Node {
    pub service: Service,
    pub recorder: Arc<Recorder>,
}

impl Node {
    pub fn start(settings: Settings) -> Self {
        let recorder = Arc::new(Recorder::default());
        let handler: Arc<dyn Handler> = Arc::<Recorder>::clone(&recorder);
        let service = Service::start(settings, handler, Arc::new(clock::System)).unwrap();
        Self { service, recorder }
    }

    /// Waits until this node reports a host as up.
    pub fn wait_until_up(&self, name: &str) {
        self.wait_for_state(name, Condition::Up);
    }

    /// Waits until the last change that this node reports for a host leads to the given state.
    pub fn wait_for_state(&self, name: &str, state: Condition) {
        let host = host(name);
        self.recorder.wait(|record| {
            let mut changes = record.changes.iter().rev();
            let last = changes.find(|it| *it.host() == host)?;
            (last.member().state == state).then_some(())
        });
    }
}

/// Starts two services and waits until each reports the other as up.
pub fn start_pair() -> (Node, Node) {
    let a = Node::start(settings("a", KEY, Vec::new()));
    let b = Node::start(settings("b", KEY, vec![a.service.address()]));
    a.wait_until_up("b");
    b.wait_until_up("a");
    (a, b)
}
