//! An engine that never reports `draining` leaves some seconds after the open channels to the store have gone silent.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    plain::{Arrivals, Behavior, Engine},
    store::Store,
    system::{self, Folder, Host, Record},
};

/// Bound of the rule.
const DRAIN: Duration = Duration::from_millis(2000);

/// Time after the bound for which the engine serves on before it exits.
const LINGER: Duration = Duration::from_millis(250);

/// Time after which all machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3000);

/// Time from then until the entry is removed.
const REMOVAL_DELAY: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"open","hostname":"signs.example","path_prefix":"/open/","kind":"non_idempotent","timeout_ms":1200,"goal_ms":150,"priority":2,"service":"lango","max_attempts":1}],"services":[{"name":"lango","health_path":"/healthz","max_conns":100,"proto":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let temporary = Folder::create()?;
    let store = Store::start().map_err(|it| it.to_string())?;
    let arrivals = Arrivals::default();
    let behavior = Behavior {
        work: Duration::from_millis(100),
    };
    let mut engines = Vec::new();
    for (number, zone) in ["dar-a", "dar-b", "dar-c"].into_iter().enumerate() {
        let id = format!("i-{:04x}", 0x1a + number);
        let (behavior, arrivals) = (behavior.clone(), arrivals.clone());
        let engine = Engine::start(&id, "lango", zone, behavior, arrivals);
        engines.push(engine.map_err(|it| it.to_string())?);
    }
    for it in &engines {
        store.put("servers", &it.id, &it.entry(1));
    }
    store.put("config", "main", CONFIG);
    let places = system::places(&temporary.0, store.addr, &["dar-a", "dar-b"])?;
    let mut hosts = Vec::new();
    for place in places {
        record.line(&format!("host {} of {} is started", place.name, place.zone));
        hosts.push(Host::start(place)?);
    }
    for it in &hosts {
        it.wait_until_ready()?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for client in 0..4 {
            let (addr, stop, lost) = (host.place.callers, stop.clone(), lost.clone());
            let (name, record) = (host.place.name.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{number}{client}{count:06x}");
                    count += 1;
                    let head = format!(
                        "POST /open/gate HTTP/1.1\r\nHost: signs.example\r\nRequest-Id: {id}\r\nTimeout-Ms: 2500\r\n"
                    );
                    let sent = Instant::now();
                    let outcome = http::call(addr, &head, "gate", Duration::from_millis(2500));
                    let result = match &outcome {
                        Ok(it) => it.status().to_string(),
                        Err(it) => it.clone(),
                    };
                    record.line_at(sent, &format!("request {id} to {name}: {result}"));
                    if !matches!(&outcome, Ok(it) if [200, 429, 503].contains(&it.status())) {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(1500));
    let leaving = engines[0].clone();
    if trouble {
        let watches = store.silence_channels();
        record.line(&format!("the open channels to the store go silent, {watches} watches wait on them; new ones work"));
    }
    thread::sleep(CONTACT + REMOVAL_DELAY);
    record.line("all machines are in touch again");
    let confirmed = store.remove("servers", &leaving.id);
    record.line_at(
        confirmed,
        &format!(
            "the store confirms that the entry of engine {} is removed",
            leaving.id
        ),
    );
    thread::sleep((DRAIN + LINGER).saturating_sub(confirmed.elapsed()));
    record.line(&format!("engine {} exits", leaving.id));
    leaving.end();
    thread::sleep(Duration::from_millis(800));
    stop.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }
    let all = arrivals.lock().expect("no holder panics").clone();
    let late: Vec<_> = (all.iter())
        .filter(|it| it.engine == leaving.id && it.at > confirmed + DRAIN)
        .collect();
    for it in &late {
        let after = it.at.saturating_duration_since(confirmed).as_millis();
        let answer = if it.answered_at.is_some() {
            "answered"
        } else {
            "never answered"
        };
        record.line_at(
            it.at,
            &format!(
                "request {} reaches engine {} {after} ms after the confirmation: {answer}",
                it.id, it.engine
            ),
        );
    }
    let last = all
        .iter()
        .filter(|it| it.engine == leaving.id)
        .map(|it| it.at)
        .max();
    let last = last.map_or(0, |it| it.saturating_duration_since(confirmed).as_millis());
    let summary = format!(
        "{} requests reached engine {} later than {} ms after its leaving was confirmed, the last one after {last} ms; \
         {} requests of {} were lost",
        late.len(),
        leaving.id,
        DRAIN.as_millis(),
        lost.load(Ordering::SeqCst),
        all.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
