//! New versions of an adapter in constant use are announced one soon after the other.

use std::{
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
    adapters::{Engine, Runs},
    http,
    llm::MODEL,
    store::Store,
    system::{self, Folder, Host, Record},
};

/// Bound of the rule.
const VERSION: Duration = Duration::from_millis(5000);

/// Time after which all machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000);

/// Time between two requests for the adapter.
const INTERVAL: Duration = Duration::from_millis(60);

/// Number of new versions, and time between two of them. Without the disruption, there is more time.
const VERSIONS: u64 = 14;
const PAUSE: Duration = Duration::from_millis(1800);
const LONG_PAUSE: Duration = Duration::from_millis(6000);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"summary","hostname":"signs.example","path_prefix":"/summary/","kind":"stream","timeout_ms":15000,"goal_ms":800,"priority":1,"service":"lugha","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250}],"services":[{"name":"lugha","health_path":"/healthz","max_conns":360,"proto":"h1","tls":false,"engine":{"slots":64,"kv_capacity":142398,"models":[{"name":"base","weights_mb":65500.0,"load_s":2.9,"adapters":3000,"adapter_mb":40.0}],"weights_mb":67600.0,"adapter_slots":20,"loads_per_s":4.5}}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

fn announcement(version: u64) -> String {
    format!("{{\"model\":\"{MODEL}\",\"adapter\":\"a1\",\"version\":{version}}}")
}

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start().map_err(|it| it.to_string())?;
    let runs = Runs::default();
    store.put("versions", &format!("{MODEL}.a1"), &announcement(1));
    let mut engines = Vec::new();
    for number in 0..4 {
        let zone = ["dar-a", "dar-b"][number % 2];
        let held: &[(&str, u64)] = if number == 0 { &[("a1", 1)] } else { &[] };
        let id = format!("i-{:04x}", 0x1a + number);
        let engine = Engine::start(&id, zone, held, store.clone(), runs.clone(), record.clone())?;
        engines.push(engine);
    }
    store.put("config", "main", CONFIG);
    let mut hosts = Vec::new();
    for place in system::places(&temporary.0, store.addr, &["dar-a", "dar-b"])? {
        record.line(&format!("host {} of {} is started", place.name, place.zone));
        hosts.push(Host::start(place)?);
    }
    for it in &hosts {
        it.wait_until_ready()?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let addrs: Vec<_> = hosts.iter().map(|it| it.place.callers).collect();
    let client = {
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                let (addr, record) = (addrs[number % addrs.len()], record.clone());
                thread::spawn(move || {
                    let id = format!("r-{number:05}");
                    let head = format!(
                        "POST /summary/floor HTTP/1.1\r\nHost: signs.example\r\nRequest-Id: {id}\r\nModel: {MODEL}/a1\r\n\
                         Token-Usage: 200,20\r\nPrompt-Prefix: 5c1e07a2:100,{number:x}:100\r\nTimeout-Ms: 8000\r\n"
                    );
                    let sent = Instant::now();
                    let outcome = http::call(addr, &head, "prompt", Duration::from_secs(8));
                    let result = outcome.map_or_else(|it| it, |it| it.status().to_string());
                    record.line_at(sent, &format!("request {id}: {result}"));
                });
                number += 1;
                thread::sleep(INTERVAL);
            }
        })
    };
    thread::sleep(CONTACT + Duration::from_millis(3000));
    let mut confirmed = Vec::new();
    for version in 2..2 + VERSIONS {
        let at = store.put("versions", &format!("{MODEL}.a1"), &announcement(version));
        record.line_at(
            at,
            &format!("the store confirms version {version} of {MODEL}/a1"),
        );
        confirmed.push((version, at));
        thread::sleep(if trouble { PAUSE } else { LONG_PAUSE });
    }
    thread::sleep(VERSION);
    stop.store(true, Ordering::SeqCst);
    let _ = client.join();
    thread::sleep(Duration::from_millis(1500));
    for it in &engines {
        it.end();
    }
    let runs = runs.lock().expect("no holder panics").clone();
    let mut late = 0;
    for it in &runs {
        let newer = confirmed
            .iter()
            .filter(|newer| newer.0 > it.version && newer.1 + VERSION < it.began_at);
        if let Some((version, at)) = newer.min_by_key(|newer| newer.0) {
            late += 1;
            let after = it.began_at.saturating_duration_since(*at).as_millis();
            record.line_at(it.began_at, &format!(
                "request {} begins at engine {} on version {}, {after} ms after version {version} was confirmed",
                it.request, it.engine, it.version
            ));
        }
    }
    let summary = format!(
        "{late} of {} requests began on an older version later than {} ms after a newer one was confirmed",
        runs.len(),
        VERSION.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
