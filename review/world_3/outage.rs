//! Engines of two versions serve side by side. While the store is down, those of the smaller version crash, so streams
//! begin at the other one, and then all hosts are killed. Clients take their streams up again.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    llm::{self, Engine},
    store::Store,
    system::{self, Folder, Host, Record},
};

/// Time after their start from which machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000);

/// Time for which the store is down, and times in it.
const OUTAGE: Duration = Duration::from_millis(8000);
const CRASH_AT: Duration = Duration::from_millis(1000);
const STREAMS_AT: Duration = Duration::from_millis(2500);
const KILL_AT: Duration = Duration::from_millis(5000);

/// Time after which engines that crashed are back.
const CRASH_TIME: Duration = Duration::from_millis(4500);

/// Number of engines of each version, and of streams that are taken up.
const ENGINES: [(&str, usize); 2] = [("v1", 10), ("v2", 2)];
const STREAMS: usize = 60;

/// Streams that may hold events of two versions.
const MAX_MIXED: usize = 2;

const DEADLINE: Duration = Duration::from_secs(25);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"summary","hostname":"signs.example","path_prefix":"/summary/","kind":"stream","timeout_ms":25000,"goal_ms":1000,"priority":1,"service":"lugha","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250}],"services":[{"name":"lugha","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"engine":{"slots":64,"kv_capacity":142398,"models":[{"name":"base","weights_mb":65500.0,"load_s":2.9,"adapters":3000,"adapter_mb":40.0}],"weights_mb":67600.0,"adapter_slots":20,"loads_per_s":4.5}}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

/// Stream of a client.
#[derive(Clone, Debug, Default)]
struct Stream {
    id: String,
    status: u16,
    last_event_id: usize,
    /// Versions of the engines that made its events.
    versions: Vec<String>,
}

/// Reads a stream until it has `events` events, until it breaks off, or until `stop` is set.
fn read(addr: SocketAddr, request: &str, id: &str, events: usize, stop: &AtomicBool) -> Stream {
    let mut result = Stream {
        id: id.to_owned(),
        ..Stream::default()
    };
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return result;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let _ = stream.set_nodelay(true);
    if (&stream).write_all(request.as_bytes()).is_err() {
        return result;
    }
    let mut count = 0;
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        if let Some(it) = line.strip_prefix("HTTP/1.1 ") {
            result.status = it[..3].parse().unwrap_or(0);
        } else if let Some(it) = line.strip_prefix("id: ") {
            result.last_event_id = it.trim().parse().unwrap_or(0);
        } else if let Some(it) = line.strip_prefix("data: ") {
            let version = it.split(' ').next().unwrap_or_default().to_owned();
            if !result.versions.contains(&version) {
                result.versions.push(version);
            }
            count += 1;
        }
        if count >= events
            || result.status != 0 && result.status != 200
            || stop.load(Ordering::SeqCst)
        {
            break;
        }
    }
    result
}

fn head(id: &str, timeout: Duration, more: &str) -> String {
    format!(
        "POST /summary/floor HTTP/1.1\r\nHost: signs.example\r\nRequest-Id: {id}\r\nModel: {}\r\n\
         Token-Usage: 200,120\r\nPrompt-Prefix: 5c1e07a2:100,{:x}:100\r\nTimeout-Ms: {}\r\n{more}\
         Content-Length: 6\r\nConnection: close\r\n\r\nprompt",
        llm::MODEL,
        id.bytes().fold(7_u64, |sum, it| sum
            .wrapping_mul(31)
            .wrapping_add(u64::from(it))),
        timeout.as_millis()
    )
}

/// Begins streams at the hosts in turn, each of which is read until it has some events.
fn begin(
    name: &str,
    events: usize,
    hosts: &[Host],
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<Stream>> {
    let start = |number: usize| {
        let addr = hosts[number % hosts.len()].place.callers;
        let id = format!("{name}-{number:02}");
        let stop = stop.clone();
        thread::spawn(move || read(addr, &head(&id, DEADLINE, ""), &id, events, &stop))
    };
    (0..STREAMS).map(start).collect()
}

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start().map_err(|it| it.to_string())?;
    let mut engines = Vec::new();
    for (version, count) in ENGINES {
        for number in 0..count {
            let zone = ["dar-a", "dar-b"][number % 2];
            let id = format!("i-{}{number:03x}", &version[1..]);
            let engine = Engine::start(&id, version, zone, record.clone())?;
            store.put("servers", &engine.id, &engine.entry());
            engines.push(engine);
        }
    }
    store.put("config", "main", CONFIG);
    let mut hosts = Vec::new();
    for place in system::places(&temporary.0, store.addr, &["dar-a", "dar-b", "dar-c"])? {
        record.line(&format!("host {} of {} is started", place.name, place.zone));
        hosts.push(Host::start(place)?);
    }
    for it in &hosts {
        it.wait_until_ready()?;
    }
    thread::sleep(CONTACT + Duration::from_millis(1000));
    let outage = Instant::now();
    if trouble {
        store.set_busy(true);
        record.line("the store is down: it turns every call away");
        thread::sleep(CRASH_AT);
        for it in engines.iter().filter(|it| it.version == "v2") {
            it.end();
            record.line(&format!("engine {} (v2) crashes", it.id));
        }
    }
    thread::sleep(STREAMS_AT.saturating_sub(outage.elapsed()));
    let stop = Arc::new(AtomicBool::new(false));
    let began = Instant::now();
    let streams = begin("first", usize::MAX, &hosts, &stop);
    thread::sleep(KILL_AT.saturating_sub(outage.elapsed()));
    if trouble {
        for it in &mut hosts {
            it.kill();
        }
        record.line("all hosts are killed");
    } else {
        record.line("the clients lose their channels");
    }
    stop.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> = streams
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    for it in &streams {
        record.line(&format!(
            "stream {} has events of {} up to {}",
            it.id,
            it.versions.join(" and "),
            it.last_event_id
        ));
    }
    let broken: Vec<&Stream> = streams.iter().filter(|it| it.last_event_id > 0).collect();
    if broken.len() < 12 || broken.iter().any(|it| it.last_event_id >= llm::EVENTS) {
        return Err(format!(
            "{} streams had begun, or some had ended",
            broken.len()
        ));
    }
    if trouble {
        thread::sleep(Duration::from_millis(500));
        for it in &mut hosts {
            it.restart()?;
        }
        record.line("all hosts are started again");
        thread::sleep((CRASH_AT + CRASH_TIME).saturating_sub(outage.elapsed()));
        let mut back = Vec::new();
        for number in 0..ENGINES[1].1 {
            let zone = ["dar-a", "dar-b"][number % 2];
            let engine = Engine::start(&format!("i-3{number:03x}"), "v2", zone, record.clone())?;
            record.line(&format!("engine {} (v2) is back", engine.id));
            back.push(engine);
        }
        thread::sleep(OUTAGE.saturating_sub(outage.elapsed()));
        for it in engines.iter().filter(|it| it.version == "v2") {
            store.remove("servers", &it.id);
        }
        for it in &back {
            store.put("servers", &it.id, &it.entry());
        }
        store.set_busy(false);
        record.line("the store is back");
        engines.extend(back);
        for it in &hosts {
            it.wait_until_ready()?;
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(1000));
    record.line(
        "the clients take their streams up again at machines in touch, and others begin new ones",
    );
    let go_on = Arc::new(AtomicBool::new(false));
    let fresh = begin("fresh", 5, &hosts, &go_on);
    let mut taken_up = Vec::new();
    for (number, it) in broken.iter().enumerate() {
        let addr = hosts[(number + 1) % hosts.len()].place.callers;
        let id = format!("again-{number:02}");
        let more = format!(
            "Last-Event-Id: {}\r\nResumes: {}\r\n",
            it.last_event_id, it.id
        );
        let left = DEADLINE.saturating_sub(began.elapsed());
        let (request, go_on, first) = (head(&id, left, &more), go_on.clone(), (*it).clone());
        taken_up.push(thread::spawn(move || {
            (first, read(addr, &request, &id, 5, &go_on))
        }));
    }
    let mut goes_on = 0;
    let mut is_mixed = 0;
    let count = taken_up.len();
    for it in taken_up {
        let (first, again) = it.join().map_err(|_| "a client panicked")?;
        let next = again.last_event_id;
        record.line(&format!(
            "stream {} is taken up from event {} as {}: status {}, events of {} up to {next}",
            first.id,
            first.last_event_id,
            again.id,
            again.status,
            again.versions.join(" and ")
        ));
        goes_on += usize::from(again.status == 200 && next > first.last_event_id);
        is_mixed += usize::from(again.versions.iter().any(|it| !first.versions.contains(it)));
    }
    let new = fresh.into_iter().filter_map(|it| it.join().ok());
    let new = new
        .filter(|it| it.status == 200 && it.last_event_id > 0)
        .count();
    for it in &engines {
        it.end();
    }
    let summary = format!(
        "{is_mixed} of {count} streams that were taken up hold events of two versions, {MAX_MIXED} may; {goes_on} go on, \
         {new} of {STREAMS} new ones begin"
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if is_mixed > MAX_MIXED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
