//! Stand-ins and cases of the review. `standin CASE FOLDER` plays a case in the folder's repository.

mod engine;
mod fleet;
mod http;
mod json;
mod path;
mod store;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex, atomic::{AtomicBool, AtomicUsize, Ordering}},
    thread,
    time::{Duration, Instant},
};

use engine::{Engine, Work};
use fleet::{Host, Place, Ports, Record};
use http::{Answer, Request};
use path::Cut;
use store::Store;

/// Exit codes of a case.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// Config of the deployment: the routes of the site's sheet that the cases use.
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"bay-summary","hostname":"a.example","path_prefix":"/bay-summary/","kind":"stream","resumable":true,
   "timeout_ms":15000,"goal_ms":800,"gap_target_ms":250,"priority":1,"service":"lugha","max_attempts":2,"sticky":true},
 {"name":"barrier-open","hostname":"a.example","path_prefix":"/barrier-open/","kind":"non_idempotent",
   "timeout_ms":1200,"goal_ms":150,"priority":2,"service":"lango","max_attempts":1}],
 "services":[
 {"name":"lugha","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"kv_capacity":142398,
   "weights_mb":68000,"adapter_slots":20,"loads_per_s":4.5,
   "models":[{"name":"m0","weights_mb":65500,"load_s":2.9,"adapters":3000,"adapter_mb":40}]}},
 {"name":"lango","health_path":"/healthz","max_conns":100}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

/// The deployment of a case.
struct World {
    root: PathBuf,
    folder: PathBuf,
    temp: PathBuf,
    store: Store,
    engines: Vec<Engine>,
    hosts: Vec<Host>,
    cut: Cut,
    record: Arc<Record>,
    has_trouble: bool,
}

/// What a client sent, and what it got.
struct Exchange {
    sent_at: Instant,
    host: String,
    request: Request,
    answer: Answer,
}

impl World {
    fn new(folder: &str) -> Self {
        let folder = std::fs::canonicalize(folder).expect("the folder of the case is there");
        let root = folder.parent().and_then(Path::parent).expect("the case is in review/").to_owned();
        let temp = std::env::temp_dir().join(format!("comfreywing-review-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("the temporary folder is writable");
        let record = Arc::new(Record::create(&folder.join("record.txt")));
        let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
        record.note(if has_trouble { "with the disruption" } else { "without the disruption" });
        Self {
            root,
            folder,
            temp,
            store: Store::default(),
            engines: Vec::new(),
            hosts: Vec::new(),
            cut: Cut::default(),
            record,
            has_trouble,
        }
    }

    fn add_engines(&mut self, count: usize, service: &str, versions: &[&str], work: Work) {
        for number in 0..count {
            let id = format!("i-{service}-{}", number + 1);
            let version = versions[number % versions.len()];
            let zone = ["dar-a", "dar-b"][number % 2];
            self.engines.push(Engine::start(&id, service, version, zone, work, &self.store));
        }
    }

    /// Starts the hosts: the first reaches the engines by paths that can be cut, and is alone in its zone.
    fn start_hosts(&mut self, zones: &[&str]) -> bool {
        self.store.put("config", "main", CONFIG);
        let paths = self.engines.iter().map(|it| (it.addr, path::start(it.addr, &self.cut)));
        let paths = self.store.serve(paths.collect());
        let direct = self.store.serve(Vec::new());
        let ports = Ports::choose();
        let ips: Vec<String> = (0..zones.len()).map(fleet::host_ip).collect();
        for (number, zone) in zones.iter().enumerate() {
            let store = if number == 0 { paths } else { direct };
            let place = Place {
                name: format!("edge-{}", ["a", "b", "c", "d"][number]),
                zone: (*zone).to_owned(),
                ip: ips[number].clone(),
                store,
            };
            self.hosts.push(Host::prepare(&self.root, &self.temp, ports, &place, &ips));
        }
        for host in &self.hosts {
            host.start(&self.root);
        }
        let is_ready = self.hosts.iter().all(Host::wait_until_ready);
        if is_ready {
            // Hosts that start together learn of each other, and traffic starts some seconds later.
            thread::sleep(Duration::from_secs(4));
        }
        is_ready
    }

    /// Cuts the first host off from all engines, or heals the cut.
    fn set_cut(&self, is_cut: bool) {
        if self.has_trouble {
            self.record.note(if is_cut {
                "edge-a is partitioned from all engines: channels are reset, new ones are refused"
            } else {
                "the partition ends"
            });
            self.cut.set(is_cut);
        }
    }

    /// Starts clients of a host, with this number of requests a second.
    fn start_clients(&self, host: usize, per_s: f64, request: fn(&str) -> Request) -> Clients {
        let host = &self.hosts[host];
        let name = host.name.clone();
        let interval = Duration::from_secs_f64(1.0 / per_s);
        let request = move |count: usize| request(&format!("{name}-{count}"));
        Clients::start(&self.record, (&host.name, host.callers), interval, request)
    }

    fn finish(self, code: u8) -> ExitCode {
        for host in &self.hosts {
            host.kill();
        }
        if std::env::var("KEEP").is_ok() {
            println!("kept {}", self.temp.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.temp);
        }
        let verdict = match code {
            HELD => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.record.say(verdict);
        let _ = self.folder;
        ExitCode::from(code)
    }
}

fn stream_request(id: &str) -> Request {
    let mut part: u64 = 7;
    for it in id.bytes() {
        part = part.wrapping_mul(31).wrapping_add(it.into()) & 0xffff_ffff;
    }
    Request {
        method: "POST",
        path: "/bay-summary/2f".to_owned(),
        id: id.to_owned(),
        headers: vec![
            ("Model".to_owned(), "m0".to_owned()),
            ("Token-Usage".to_owned(), "60,80".to_owned()),
            ("Prompt-Prefix".to_owned(), format!("{part:x}:60")),
        ],
        body: "{}".to_owned(),
        timeout: Duration::from_secs(15),
    }
}

fn plain_request(id: &str) -> Request {
    Request {
        method: "POST",
        path: "/barrier-open/2f".to_owned(),
        id: id.to_owned(),
        headers: Vec::new(),
        body: format!("gate of {id}"),
        timeout: Duration::from_millis(2500),
    }
}

/// Clients of one host: they send requests until they are told to stop.
struct Clients {
    stop: Arc<AtomicBool>,
    sender: Option<thread::JoinHandle<()>>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    open: Arc<AtomicUsize>,
}

impl Clients {
    fn start(
        record: &Arc<Record>,
        host: (&str, SocketAddr),
        interval: Duration,
        request: impl Fn(usize) -> Request + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let exchanges = Arc::new(Mutex::new(Vec::new()));
        let open = Arc::new(AtomicUsize::new(0));
        let (name, addr) = (host.0.to_owned(), host.1);
        let (stopped, results, count) = (stop.clone(), exchanges.clone(), open.clone());
        let record = record.clone();
        let sender = thread::spawn(move || {
            let mut next = Instant::now();
            for number in 0.. {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let request = request(number);
                let (results, count, name, record) = (results.clone(), count.clone(), name.clone(), record.clone());
                count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let sent_at = Instant::now();
                    record.note_at(sent_at, &format!("request {} ({}) sent to {name}", request.id, request.path));
                    let answer = request.send(addr);
                    record.note(&format!(
                        "request {}: answer {}, sealed {}, complete {}, after {:.3} s",
                        request.id, answer.status, answer.is_sealed, answer.is_complete, answer.took.as_secs_f64()
                    ));
                    let it = Exchange { sent_at, host: name, request, answer };
                    results.lock().expect("no panic").push(it);
                    count.fetch_sub(1, Ordering::SeqCst);
                });
                next += interval;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Self { stop, sender: Some(sender), exchanges, open }
    }

    fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(it) = self.sender.take() {
            let _ = it.join();
        }
    }

    /// Waits until each request has ended, and returns all.
    fn join(mut self) -> Vec<Exchange> {
        self.stop();
        let until = Instant::now() + Duration::from_secs(20);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        std::mem::take(&mut *self.exchanges.lock().expect("no panic"))
    }
}

/// Number of runs by request, over all engines. Notes each arrival in the record.
fn count_arrivals(world: &World) -> HashMap<String, usize> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for engine in &world.engines {
        for it in engine.arrivals.lock().expect("no panic").iter() {
            let what = if it.has_run { "runs" } else { "rejects" };
            world.record.note_at(it.at, &format!("{} {what} request {}", engine.id, it.id));
            if it.has_run {
                *runs.entry(it.id.clone()).or_default() += 1;
            }
        }
    }
    runs
}

/// Requests that may run once at most, at a host that is partitioned from all engines, while one of the hosts that take
/// them over is frozen.
fn refused(folder: &str) -> ExitCode {
    let mut world = World::new(folder);
    let work = Work { time: Duration::from_millis(60), events: 0, interval: Duration::ZERO };
    world.add_engines(3, "lango", &["v1"], work);
    if !world.start_hosts(&["dar-c", "dar-a", "dar-b"]) {
        return world.finish(NOT_RUN);
    }
    let all = [(0, 150.0), (1, 10.0), (2, 10.0)].map(|it| world.start_clients(it.0, it.1, plain_request));
    thread::sleep(Duration::from_secs(5));
    world.set_cut(true);
    thread::sleep(Duration::from_secs(3));
    if world.has_trouble {
        world.record.note("edge-b is frozen");
        world.hosts[1].set_frozen(true);
    }
    thread::sleep(Duration::from_millis(3500));
    if world.has_trouble {
        world.hosts[1].set_frozen(false);
        world.record.note("edge-b is thawed");
    }
    thread::sleep(Duration::from_millis(1500));
    world.set_cut(false);
    thread::sleep(Duration::from_secs(2));
    let exchanges: Vec<Exchange> = all.into_iter().flat_map(Clients::join).collect();
    let runs = count_arrivals(&world);
    let served = exchanges.iter().filter(|it| it.answer.status == 200).count();
    let denied: Vec<&Exchange> = (exchanges.iter())
        .filter(|it| [408, 421, 429, 503].contains(&it.answer.status) && runs.contains_key(&it.request.id))
        .collect();
    for it in &denied {
        world.record.note_at(it.sent_at, &format!("request {} got {} from {}, and has run", it.request.id, it.answer.status, it.host));
    }
    let twice = runs.values().filter(|it| **it > 1).count();
    world.record.say(&format!(
        "{} requests, {served} served; {} refused with 503 that have run; {twice} ran twice",
        exchanges.len(),
        denied.len()
    ));
    if served * 2 < exchanges.len() {
        return world.finish(NOT_RUN);
    }
    let code = if denied.is_empty() && twice == 0 { HELD } else { BROKEN };
    world.finish(code)
}

/// Versions of the engines whose events a body holds, and the ids of the events.
fn events(body: &str) -> (BTreeSet<String>, Vec<usize>) {
    let mut versions = BTreeSet::new();
    let mut ids = Vec::new();
    for line in body.lines() {
        if let Some(it) = line.strip_prefix("id: ") {
            ids.extend(it.parse::<usize>());
        } else if let Some(it) = line.strip_prefix("data: ") {
            versions.extend(it.split(' ').next().map(str::to_owned));
        }
    }
    (versions, ids)
}

/// Streams of a host that was partitioned from all engines go on after the partition, when the host that served them
/// is killed.
fn order(folder: &str) -> ExitCode {
    let mut world = World::new(folder);
    let work = Work { time: Duration::ZERO, events: 40, interval: Duration::from_millis(200) };
    world.add_engines(6, "lugha", &["v1", "v1", "v2", "v2"], work);
    if !world.start_hosts(&["dar-c", "dar-a"]) {
        return world.finish(NOT_RUN);
    }
    let mut all = [0, 1].map(|it| world.start_clients(it, 5.0, stream_request));
    thread::sleep(Duration::from_secs(2));
    world.set_cut(true);
    thread::sleep(Duration::from_secs(6));
    world.set_cut(false);
    all.iter_mut().for_each(Clients::stop);
    thread::sleep(Duration::from_secs(1));
    if world.has_trouble {
        world.record.note("edge-b is killed, and starts again after 1 s");
        world.hosts[1].kill();
        thread::sleep(Duration::from_secs(1));
        world.hosts[1].start(&world.root);
    }
    let exchanges: Vec<Exchange> = all.into_iter().flat_map(Clients::join).collect();
    count_arrivals(&world);
    let mut joined = 0;
    let mut complete = 0;
    for it in &exchanges {
        let (versions, ids) = events(&it.answer.body);
        let is_whole = ids == (0..ids.len()).collect::<Vec<_>>();
        complete += usize::from(it.answer.is_complete && ids.len() == work.events);
        if versions.len() > 1 || !is_whole {
            joined += 1;
            let of = versions.into_iter().collect::<Vec<_>>().join(" and ");
            world.record.note(&format!(
                "the answer to request {} from {} holds {} events of {of}; the events are in order: {is_whole}",
                it.request.id, it.host, ids.len()
            ));
        }
    }
    world.record.say(&format!(
        "{} streams, {complete} complete, {joined} with events of two versions or out of order",
        exchanges.len()
    ));
    if exchanges.len() < 50 || complete == 0 {
        return world.finish(NOT_RUN);
    }
    let code = if joined > 2 { BROKEN } else { HELD };
    world.finish(code)
}

/// All hosts are killed while engines of two versions serve, and clients take their streams up again.
fn resumed(folder: &str) -> ExitCode {
    const STREAMS: usize = 30;
    let mut world = World::new(folder);
    let work = Work { time: Duration::ZERO, events: 40, interval: Duration::from_millis(150) };
    world.add_engines(6, "lugha", &["v1", "v2"], work);
    if !world.start_hosts(&["dar-c", "dar-a", "dar-b"]) {
        return world.finish(NOT_RUN);
    }
    let hosts: Vec<SocketAddr> = world.hosts.iter().map(|it| it.callers).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, hosts) = (world.record.clone(), hosts.clone());
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || read_stream(&record, &hosts, number))
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    if world.has_trouble {
        world.record.note("all hosts are killed, and start again after 2 s");
        world.hosts.iter().for_each(Host::kill);
        thread::sleep(Duration::from_secs(2));
        world.hosts.iter().for_each(|it| it.start(&world.root));
        // The clients come back 6 s after the kill, when the hosts have run for 4 s and are in touch.
        thread::sleep(Duration::from_millis(3900));
    }
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, host) = (world.record.clone(), hosts[number % hosts.len()]);
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || {
                let request = stream_request(&format!("new-{number}"));
                let answer = request.send(host);
                record.note(&format!("request {}: answer {}, complete {}", request.id, answer.status, answer.is_complete));
                answer
            })
        })
        .collect();
    let streams: Vec<Tries> = clients.into_iter().filter_map(|it| it.join().ok()).collect();
    let new: Vec<Answer> = new.into_iter().filter_map(|it| it.join().ok()).collect();
    count_arrivals(&world);
    let broken: Vec<&Tries> = streams.iter().filter(|it| it.was_taken_up && !it.ids.is_empty()).collect();
    let went_on = broken.iter().filter(|it| it.went_on).count();
    let began = new.iter().filter(|it| it.status == 200 && !it.body.is_empty()).count();
    world.record.say(&format!(
        "{went_on} of {} streams that were taken up again went on, while three engines of each version serve; {began} of {} \
         new ones began",
        broken.len(),
        new.len()
    ));
    if began * 2 < new.len() || world.has_trouble && broken.len() < 12 {
        return world.finish(NOT_RUN);
    }
    // Under half of the share of new streams that begin, of 12 or more.
    let is_broken = broken.len() >= 12 && went_on * new.len() * 2 < began * broken.len();
    world.finish(if is_broken { BROKEN } else { HELD })
}

/// Prompt of the requests in `crashes`: the first part is shared by all, the second one is given.
fn prompt(id: &str, second: &str) -> Request {
    let mut request = stream_request(id);
    let own = request.headers.pop().map(|it| it.1).unwrap_or_default();
    request.headers.push(("Prompt-Prefix".to_owned(), format!("f1:40,{second}:30,{own}")));
    request
}

/// A part of prompts that many requests share begins to crash each engine that writes an answer on it.
fn crashes(folder: &str) -> ExitCode {
    const CONTACT: Duration = Duration::from_secs(3);
    let mut world = World::new(folder);
    let work = Work { time: Duration::ZERO, events: 10, interval: Duration::from_millis(50) };
    world.add_engines(8, "lugha", &["v1"], work);
    if !world.start_hosts(&["dar-c", "dar-a", "dar-b"]) {
        return world.finish(NOT_RUN);
    }
    let sound = |id: &str| prompt(id, "50");
    let deadly = |id: &str| prompt(&format!("part-{id}"), engine::DEADLY_PART);
    let others = [0, 1, 2].map(|it| world.start_clients(it, 5.0, sound));
    let all = [0, 1, 2].map(|it| world.start_clients(it, 4.0, deadly));
    thread::sleep(Duration::from_secs(4));
    if world.has_trouble {
        world.record.note("engines begin to crash on one part of the prompts");
        world.engines.iter().for_each(|it| it.crashes.store(true, Ordering::SeqCst));
    }
    let began_at = Instant::now();
    thread::sleep(Duration::from_secs(20));
    world.engines.iter().for_each(|it| it.crashes.store(false, Ordering::SeqCst));
    let ended_at = Instant::now();
    let exchanges: Vec<Exchange> = all.into_iter().flat_map(Clients::join).collect();
    let others: Vec<Exchange> = others.into_iter().flat_map(Clients::join).collect();
    count_arrivals(&world);
    let mut ends: Vec<Instant> = Vec::new();
    let mut arrivals: Vec<(Instant, String)> = Vec::new();
    for engine in &world.engines {
        ends.extend(engine.ends.lock().expect("no panic").iter());
        let of_part = engine.arrivals.lock().expect("no panic").clone();
        arrivals.extend(of_part.into_iter().filter(|it| it.id.starts_with("part-")).map(|it| (it.at, it.id)));
    }
    ends.sort();
    arrivals.sort();
    for it in &ends {
        world.record.note_at(*it, "an engine crashes");
    }
    let fifth = ends.get(4).copied();
    let late = arrivals.iter().filter(|it| fifth.is_some_and(|fifth| it.0 > fifth + CONTACT) && it.0 < ended_at);
    // The first arrival of each request, and its repeats, if they were sent later than that.
    let sent: HashMap<&str, Instant> = exchanges.iter().map(|it| (&*it.request.id, it.sent_at)).collect();
    let late: Vec<&(Instant, String)> = late.collect();
    let requests: BTreeSet<&str> = (late.iter().map(|it| &*it.1))
        .filter(|it| sent.get(it).is_some_and(|at| fifth.is_some_and(|fifth| *at > fifth + CONTACT)))
        .collect();
    let first = ends.first().map_or(0.0, |it| it.saturating_duration_since(began_at).as_secs_f64());
    let served = others.iter().filter(|it| it.answer.status == 200 && it.answer.is_complete).count();
    world.record.say(&format!(
        "{} crashes, the first after {first:.1} s; later than {CONTACT:?} after the fifth, {} requests with the part \
         reached engines ({} arrivals), where 3 are allowed; {served} of {} sound requests complete",
        ends.len(),
        requests.len(),
        late.len(),
        others.len()
    ));
    if world.has_trouble && fifth.is_none() {
        return world.finish(NOT_RUN);
    }
    let code = if requests.len() > 3 { BROKEN } else { HELD };
    world.finish(code)
}

/// A client's stream over both of its tries.
struct Tries {
    id: String,
    versions: BTreeSet<String>,
    ids: Vec<usize>,
    is_complete: bool,
    was_taken_up: bool,
    /// True if an engine went on with the stream when it was taken up.
    went_on: bool,
}

/// Reads a stream, and takes it up again once, at another host, if its channel breaks.
fn read_stream(record: &Record, hosts: &[SocketAddr], number: usize) -> Tries {
    /// Time for which the client waits before its retry.
    const PAUSE: Duration = Duration::from_secs(6);
    let id = format!("stream-{number}");
    let began = Instant::now();
    let mut tries = Tries {
        id: id.clone(),
        versions: BTreeSet::new(),
        ids: Vec::new(),
        is_complete: false,
        was_taken_up: false,
        went_on: false,
    };
    for attempt in 0..2 {
        let mut request = stream_request(&id);
        request.id = format!("{id}-{attempt}");
        request.timeout = Duration::from_secs(15).saturating_sub(began.elapsed());
        if let Some(last) = tries.ids.last() {
            request.headers.push(("Last-Event-Id".to_owned(), format!("{last}")));
            request.headers.push(("Resumes".to_owned(), format!("{id}-0")));
        }
        let sent_at = Instant::now();
        let answer = request.send(hosts[(number + attempt) % hosts.len()]);
        let (versions, ids) = events(&answer.body);
        let of = versions.iter().cloned().collect::<Vec<_>>().join(" and ");
        record.note_at(sent_at, &format!(
            "request {}: answer {}, complete {}, {} events of {of}", request.id, answer.status, answer.is_complete, ids.len()
        ));
        tries.was_taken_up = attempt > 0;
        tries.went_on = attempt > 0 && answer.status == 200 && !ids.is_empty();
        tries.versions.extend(versions);
        tries.ids.extend(ids);
        if answer.status == 200 && answer.is_complete {
            tries.is_complete = true;
            break;
        }
        if attempt == 0 {
            thread::sleep(PAUSE);
        }
    }
    tries
}

/// The last engines of an old version leave while all hosts are killed, and clients take their streams up again.
fn rollout(folder: &str) -> ExitCode {
    let mut world = World::new(folder);
    let work = Work { time: Duration::ZERO, events: 40, interval: Duration::from_millis(150) };
    world.add_engines(6, "lugha", &["v1", "v2", "v2"], work);
    if !world.start_hosts(&["dar-c", "dar-a", "dar-b"]) {
        return world.finish(NOT_RUN);
    }
    let hosts: Vec<SocketAddr> = world.hosts.iter().map(|it| it.callers).collect();
    let clients: Vec<_> = (0..30)
        .map(|number| {
            let (record, hosts) = (world.record.clone(), hosts.clone());
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || read_stream(&record, &hosts, number))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let old: Vec<Engine> = world.engines.iter().filter(|it| it.version == "v1").cloned().collect();
    world.record.note("the last two engines of v1 report that they leave");
    old.iter().for_each(Engine::drain);
    thread::sleep(Duration::from_millis(1800));
    if world.has_trouble {
        world.record.note("all hosts are killed, and start again after 2 s");
        world.hosts.iter().for_each(Host::kill);
        thread::sleep(Duration::from_millis(700));
        world.record.note("the engines of v1 have left");
        old.iter().for_each(Engine::leave);
        thread::sleep(Duration::from_millis(1300));
        world.hosts.iter().for_each(|it| it.start(&world.root));
    }
    let streams: Vec<Tries> = clients.into_iter().filter_map(|it| it.join().ok()).collect();
    count_arrivals(&world);
    let mixed: Vec<&Tries> = streams.iter().filter(|it| it.versions.len() > 1).collect();
    for it in &mixed {
        let is_whole = it.ids == (0..it.ids.len()).collect::<Vec<_>>();
        world.record.note(&format!(
            "stream {} holds events of two versions; the events are in order: {is_whole}; it is complete: {}",
            it.id, it.is_complete
        ));
    }
    let complete = streams.iter().filter(|it| it.is_complete).count();
    world.record.say(&format!(
        "{} streams, {complete} complete, {} with events of two versions over the tries of their clients",
        streams.len(),
        mixed.len()
    ));
    if complete == 0 {
        return world.finish(NOT_RUN);
    }
    let code = if mixed.len() > 2 { BROKEN } else { HELD };
    world.finish(code)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let play = match &**case {
        "refused" => refused,
        "rollout" => rollout,
        "resumed" => resumed,
        "order" => order,
        "crashes" => crashes,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(NOT_RUN);
        }
    };
    // A panic ends the hosts too, since each is killed when it is dropped.
    std::panic::catch_unwind(|| play(folder)).unwrap_or(ExitCode::from(NOT_RUN))
}
