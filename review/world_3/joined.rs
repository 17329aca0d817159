//! Engines of two versions serve side by side. Another writer leaves an entry without `born` for one of them for a moment,
//! which names the other version. Later another engine is taken away by plan.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    llm::{self, Engine},
    store::Store,
    system::{self, Folder, Host, Record},
};

/// Time after their start from which machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000);

/// Interval at which engines write their entries.
const BEAT: Duration = Duration::from_millis(1200);

/// Time from the beginning of the streams until an engine reports that it leaves, for which it serves on, and after that.
const LEAVE_AFTER: Duration = Duration::from_millis(1500);
const DRAIN: Duration = Duration::from_millis(2300);
const REST: Duration = Duration::from_millis(4000);

/// Number of engines of each version, and of streams.
const ENGINES: usize = 3;
const STREAMS: usize = 240;

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
    for version in ["v1", "v2"] {
        for number in 0..ENGINES {
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
    let odd = &engines[2 * ENGINES - 1];
    if trouble {
        store.put("servers", &odd.id, &odd.entry_without_start("v1"));
        record.line(&format!(
            "another writer leaves an entry of engine {} (v2) without born, of v1",
            odd.id
        ));
        thread::sleep(BEAT);
        store.put("servers", &odd.id, &odd.entry());
        record.line(&format!("engine {} writes its own entry again", odd.id));
    }
    thread::sleep(3 * BEAT);
    let stop = Arc::new(AtomicBool::new(false));
    let streams = begin("first", usize::MAX, &hosts, &stop);
    thread::sleep(LEAVE_AFTER);
    let leaving = &engines[0];
    leaving.leave();
    store.put("servers", &leaving.id, &leaving.entry());
    record.line(&format!("engine {} (v1) reports draining", leaving.id));
    thread::sleep(DRAIN);
    leaving.end();
    store.remove("servers", &leaving.id);
    record.line(&format!("engine {} (v1) exits", leaving.id));
    thread::sleep(REST);
    stop.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> = streams
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    for it in &engines {
        it.end();
    }
    for it in &streams {
        record.line(&format!(
            "stream {}: status {}, events of {} up to {}",
            it.id,
            it.status,
            it.versions.join(" and "),
            it.last_event_id
        ));
    }
    let begun = streams.iter().filter(|it| it.last_event_id > 0).count();
    if begun < STREAMS / 2 {
        return Err(format!("{begun} of {STREAMS} streams began"));
    }
    let is_mixed = streams.iter().filter(|it| it.versions.len() > 1).count();
    let summary = format!(
        "{is_mixed} of {begun} streams hold events of two versions in one answer, {MAX_MIXED} may"
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if is_mixed > MAX_MIXED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
