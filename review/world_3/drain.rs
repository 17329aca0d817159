//! Another writer leaves the entry of an engine without `born` for a moment. Later the engine drains.

use std::{
    path::Path,
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

/// Time after the confirmation at which requests come. Before, there are none for a while, as at night.
const LATE: Duration = Duration::from_millis(2500);

/// Time from these requests to the exit of the engine.
const LINGER: Duration = Duration::from_millis(50);

/// Time in which all machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000);

/// Interval at which engines write their entries.
const BEAT: Duration = Duration::from_millis(1200);

/// Requests that come at the same moment.
const BURST: usize = 12;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"open","hostname":"signs.example","path_prefix":"/open/","kind":"non_idempotent","timeout_ms":1200,"goal_ms":150,"priority":2,"service":"lango","max_attempts":1}],"services":[{"name":"lango","health_path":"/healthz","max_conns":100,"proto":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}"#;

/// Sends requests to the hosts in turn, all at the same moment. Returns how many were neither served nor refused.
fn burst(name: &str, hosts: &[Host], record: &Record) -> Vec<thread::JoinHandle<bool>> {
    let send = |number: usize| {
        let host = &hosts[number % hosts.len()].place;
        let (addr, to, record) = (host.callers, host.name.clone(), record.clone());
        let id = format!("{name}-{number:02}");
        thread::spawn(move || {
            let head = format!(
                "POST /open/gate HTTP/1.1\r\nHost: signs.example\r\nRequest-Id: {id}\r\nTimeout-Ms: 2500\r\n"
            );
            let sent = Instant::now();
            let outcome = http::call(addr, &head, "gate", Duration::from_millis(2500));
            let result = match &outcome {
                Ok(it) => it.status().to_string(),
                Err(it) => it.clone(),
            };
            record.line_at(sent, &format!("request {id} to {to}: {result}"));
            !matches!(&outcome, Ok(it) if [200, 429, 503].contains(&it.status()))
        })
    };
    (0..BURST).map(send).collect()
}

fn count_lost(requests: Vec<thread::JoinHandle<bool>>) -> usize {
    requests
        .into_iter()
        .filter_map(|it| it.join().ok())
        .filter(|it| *it)
        .count()
}

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
    let mut hosts = Vec::new();
    for place in system::places(&temporary.0, store.addr, &["dar-a", "dar-b"])? {
        record.line(&format!("host {} of {} is started", place.name, place.zone));
        hosts.push(Host::start(place)?);
    }
    for it in &hosts {
        it.wait_until_ready()?;
    }
    thread::sleep(CONTACT);
    let mut lost = count_lost(burst("first", &hosts, &record));
    let leaving = engines[0].clone();
    if trouble {
        store.put("servers", &leaving.id, &leaving.entry_without_start(2));
        record.line(&format!(
            "another writer leaves the entry of engine {} without born",
            leaving.id
        ));
        thread::sleep(BEAT);
        store.put("servers", &leaving.id, &leaving.entry(3));
        record.line(&format!("engine {} writes its entry again", leaving.id));
    }
    thread::sleep(2 * BEAT);
    lost += count_lost(burst("second", &hosts, &record));
    thread::sleep(Duration::from_millis(500));
    leaving.leave();
    let confirmed = store.put("servers", &leaving.id, &leaving.entry(4));
    record.line_at(
        confirmed,
        &format!("the store confirms that engine {} is draining", leaving.id),
    );
    thread::sleep(LATE.saturating_sub(confirmed.elapsed()));
    let late = burst("late", &hosts, &record);
    thread::sleep(LINGER);
    record.line(&format!("engine {} exits", leaving.id));
    leaving.end();
    store.remove("servers", &leaving.id);
    lost += count_lost(late);
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
    let summary = format!(
        "{} requests reached engine {} later than {} ms after its draining was confirmed; {lost} requests of {} were lost",
        late.len(),
        leaving.id,
        DRAIN.as_millis(),
        3 * BURST
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
