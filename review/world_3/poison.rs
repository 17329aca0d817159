//! All hosts are killed while a request that crashes the engines that run it is kept away from them.

use std::{
    path::Path,
    sync::{Arc, atomic::{AtomicBool, Ordering}},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    plain::{Arrivals, Behavior, Engine},
    store::Store,
    system::{self, Folder, Host, Record},
};

/// Bound of the rule: machines are in touch so long after their start.
const CONTACT: Duration = Duration::from_millis(3000);

/// Retries that may reach engines.
const MAX_RETRIES: usize = 3;

/// Time until an engine that has crashed is back.
const OUTAGE: Duration = Duration::from_millis(2500);

/// Time between two of the requests that crash engines.
const INTERVAL: Duration = Duration::from_millis(50);

const DEADLY: &str = "deadly";
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"open","hostname":"signs.example","path_prefix":"/open/","kind":"non_idempotent","timeout_ms":1200,"goal_ms":150,"priority":2,"service":"lango","max_attempts":1}],"services":[{"name":"lango","health_path":"/healthz","max_conns":100,"proto":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

fn send(host: &Host, id: &str, body: &str, record: &Record) -> u16 {
    let head = format!(
        "POST /open/gate HTTP/1.1\r\nHost: signs.example\r\nRequest-Id: {id}\r\nTimeout-Ms: 2500\r\n"
    );
    let sent = Instant::now();
    let outcome = http::call(host.place.callers, &head, body, Duration::from_millis(2500));
    let result = match &outcome {
        Ok(it) => it.status().to_string(),
        Err(it) => it.clone(),
    };
    record.line_at(sent, &format!("request {id} ({body}) to {}: {result}", host.place.name));
    outcome.map_or(0, |it| it.status())
}

/// Sends the deadly request to the hosts in turn, again and again. Returns how often it reached engines.
fn press(name: &str, count: usize, hosts: &[Host], arrivals: &Arrivals, record: &Record) -> usize {
    thread::scope(|scope| {
        for number in 0..count {
            let host = &hosts[number % hosts.len()];
            scope.spawn(move || send(host, &format!("{name}-{number}"), DEADLY, record));
            thread::sleep(INTERVAL);
        }
    });
    let arrivals = arrivals.lock().expect("no holder panics");
    arrivals.iter().filter(|it| it.id.starts_with(name)).count()
}

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start().map_err(|it| it.to_string())?;
    let arrivals = Arrivals::default();
    let behavior = Behavior {
        work: Duration::from_millis(20),
        deadly_body: Some(DEADLY),
    };
    let mut engines = Vec::new();
    for number in 0..8 {
        let id = format!("i-{:04x}", 0x1a + number);
        let zone = ["dar-a", "dar-b"][number % 2];
        let (behavior, arrivals) = (behavior.clone(), arrivals.clone());
        let engine = Engine::start(&id, "lango", zone, behavior, arrivals, record.clone());
        engines.push(engine.map_err(|it| it.to_string())?);
    }
    for it in &engines {
        store.put("servers", &it.id, &it.entry(1));
    }
    store.put("config", "main", CONFIG);
    let stop = Arc::new(AtomicBool::new(false));
    let mut keepers = Vec::new();
    for engine in &engines {
        let (engine, store, stop) = (engine.clone(), store.clone(), stop.clone());
        keepers.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                if engine.has_crashed.load(Ordering::SeqCst) {
                    thread::sleep(OUTAGE);
                    if engine.restart().is_ok() {
                        store.put("servers", &engine.id, &engine.entry(1));
                    }
                }
            }
        }));
    }
    let mut hosts = Vec::new();
    for place in system::places(&temporary.0, store.addr, &["dar-a", "dar-b"])? {
        record.line(&format!("host {} of {} is started", place.name, place.zone));
        hosts.push(Host::start(place)?);
    }
    for it in &hosts {
        it.wait_until_ready()?;
    }
    thread::sleep(CONTACT);
    for number in 0..20 {
        send(&hosts[number % 2], &format!("sound-{number}"), "sound", &record);
    }
    let before = press("first", 20, &hosts, &arrivals, &record);
    record.line(&format!("the deadly request has reached engines {before} times"));
    thread::sleep(CONTACT + Duration::from_millis(500));
    let known = press("known", 20, &hosts, &arrivals, &record);
    record.line(&format!("it has reached engines {known} times more: it is kept away from them"));
    if known > MAX_RETRIES || before < 3 {
        return Err(format!("before the disruption: {before} and {known} arrivals"));
    }
    if trouble {
        for it in &mut hosts {
            record.line(&format!("host {} is killed", it.place.name));
            it.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for it in &mut hosts {
            record.line(&format!("host {} is started again", it.place.name));
            it.restart()?;
        }
        for it in &hosts {
            it.wait_until_ready()?;
        }
    }
    for number in 20..40 {
        send(&hosts[number % 2], &format!("sound-{number}"), "sound", &record);
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(CONTACT + Duration::from_millis(1000));
    let late = press("late", 20, &hosts, &arrivals, &record);
    stop.store(true, Ordering::SeqCst);
    for it in keepers {
        let _ = it.join();
    }
    let summary = format!(
        "{late} retries of the deadly request reached engines, sent by machines in touch; {MAX_RETRIES} may"
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if late > MAX_RETRIES { Verdict::Broken } else { Verdict::Held })
}
