//! The promises, checked from what callers and engines saw.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    caller::{Call, Route},
    world::engine::{EVENTS, Engine, Seen},
};

/// Repeats in a window that the settings allow beside those of requests.
pub const SLACK: u32 = 60;

/// The settings' other figures of the retry budget.
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

/// Time between the orders of two hosts to one engine, as in the settings.
const TURN: Duration = Duration::from_millis(300);

/// Statuses that promise that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A stretch without faults in which an engine left: it must get nothing new in it.
pub struct Left {
    pub engine: usize,
    pub from: Instant,
    pub to: Instant,
}

/// What was seen.
pub struct Records<'a> {
    pub calls: &'a [Call],
    pub engines: &'a [Engine],
    pub left: &'a [Left],
    /// Times in which a host stood still, and a while after: its orders may come late.
    pub frozen: &'a [(usize, Instant, Instant)],
    /// Ids of requests of the run itself.
    pub own: &'a [String],
}

/// Each promise that was broken, in words.
pub fn faults(records: &Records) -> Vec<String> {
    let seen: Vec<Vec<Seen>> = records.engines.iter().map(Engine::seen).collect();
    let ran = |id: &str| -> usize { records.engines.iter().map(|it| it.ran(id)).sum() };
    let mut faults = Vec::new();
    for call in records.calls {
        let runs = ran(&call.id);
        let status = call.answer.status;
        let mut wrong = |what: &str| faults.push(format!("{what}: runs {runs}, {call:?}"));
        if call.route.runs_once() && runs > 1 {
            wrong("it ran more than once");
        }
        if call.route.runs_once() && NOT_RUN.contains(&status) && runs > 0 {
            wrong("it was said not to have run");
        }
        if (200..300).contains(&status) && call.answer.whole {
            if runs == 0 {
                wrong("an answer without a run");
            }
            if !is_its_own(call, records.engines) {
                wrong("the answer is not that of an engine for this request");
            }
        }
        if call.route.streams() && status == 200 && !is_in_order(call) {
            wrong("events are missing, doubled or not in order");
        }
    }
    faults.extend(as_asked(records, &seen));
    faults.extend(attempts(records.calls, records.engines));
    faults.extend(budget(records.calls, &seen, records.engines));
    faults.extend(
        records
            .engines
            .iter()
            .flat_map(|it| orders(it, records.frozen)),
    );
    faults.extend(left(records.left, &seen));
    faults
}

/// A whole answer has the seal of an engine that ran it, and the body that the engine makes.
fn is_its_own(call: &Call, engines: &[Engine]) -> bool {
    let seal = call.answer.header("response-seal").unwrap_or_default();
    let sealed =
        |it: &Engine| seal == format!("seal-{}-{}", it.id, call.id) && it.ran(&call.id) > 0;
    let body = &call.answer.body;
    let right = if call.route.streams() {
        true
    } else {
        *body == format!("body of {}", call.id) || body == "whole to the end"
    };
    right && engines.iter().any(sealed) && call.answer.header("request-id") == Some(&call.id)
}

/// The events of a stream from the first on; all of them where it ended as whole.
fn is_in_order(call: &Call) -> bool {
    let events = (0..EVENTS).map(|at| format!("id: {at}\ndata: token {at}\n\n"));
    let expected = events.collect::<Vec<_>>().concat();
    let body = &call.answer.body;
    if call.answer.whole {
        *body == expected || body == "whole to the end"
    } else {
        expected.starts_with(&**body)
    }
}

/// What engines got is what callers sent.
fn as_asked(records: &Records, seen: &[Vec<Seen>]) -> Vec<String> {
    let by_id: BTreeMap<&str, &Call> = records.calls.iter().map(|it| (&*it.id, it)).collect();
    let mut faults = Vec::new();
    for it in seen.iter().flatten() {
        let id = it.head.get("request-id").map(String::as_str);
        if records.own.iter().any(|it| id == Some(it)) {
            continue;
        }
        let Some(call) = id.and_then(|it| by_id.get(it)) else {
            faults.push(format!("nobody asked this: {it:?}"));
            continue;
        };
        let body = if call.route.streams() {
            "prompt".to_owned()
        } else {
            format!("body of {}", call.id)
        };
        let model = it.head.get("model").map(String::as_str);
        let meant = call.route.streams().then_some(&*call.model);
        let line = format!("POST {} HTTP/1.1", call.route.path());
        if it.line != line || it.body != body.as_bytes() || model != meant {
            faults.push(format!("it was changed on its way: {it:?}, {call:?}"));
        }
    }
    faults
}

/// A request runs on no more engines than its route allows.
fn attempts(calls: &[Call], engines: &[Engine]) -> Vec<String> {
    let on = |call: &Call| engines.iter().filter(|it| it.ran(&call.id) > 0).count();
    let over = calls.iter().filter(|it| on(it) > it.route.attempts());
    over.map(|it| format!("it ran on {} engines: {it:?}", on(it)))
        .collect()
}

/// Arrivals beyond the first of each request, in any window and for each service.
fn budget(calls: &[Call], seen: &[Vec<Seen>], engines: &[Engine]) -> Vec<String> {
    let mut faults = Vec::new();
    let services: BTreeSet<&str> = engines.iter().map(|it| &*it.service).collect();
    for service in services {
        let mut arrivals: Vec<(Instant, &str)> = (engines.iter().zip(seen))
            .filter(|it| it.0.service == service)
            .flat_map(|it| it.1)
            .filter_map(|it| Some((it.at, it.head.get("request-id")?.as_str())))
            .collect();
        arrivals.sort();
        let mut firsts = BTreeSet::new();
        let repeats: Vec<Instant> = (arrivals.iter())
            .filter(|it| !firsts.insert(it.1))
            .map(|it| it.0)
            .collect();
        let asked: Vec<Instant> = (calls.iter())
            .filter(|it| it.route.streams() == (service == "chat"))
            .map(|it| it.sent)
            .collect();
        for (number, from) in repeats.iter().enumerate() {
            let within = |it: &&Instant| **it >= *from && **it < *from + WINDOW;
            let repeated = repeats[number..].iter().filter(within).count();
            let requests = asked.iter().filter(within).count();
            let before = |it: &&Instant| **it + WINDOW >= *from && **it < *from;
            let requests = requests.max(asked.iter().filter(before).count());
            let allowed = RATIO * count(requests) + f64::from(SLACK);
            if count(repeated) > allowed {
                faults.push(format!(
                    "{repeated} repeats of {service} in a window, {allowed} allowed"
                ));
                break;
            }
        }
    }
    faults
}

fn count(it: usize) -> f64 {
    f64::from(u32::try_from(it).unwrap_or(u32::MAX))
}

/// Orders: one holder a token, tokens that rise, a turn between two holders, and never too many loads.
fn orders(engine: &Engine, frozen: &[(usize, Instant, Instant)]) -> Vec<String> {
    let mut faults = Vec::new();
    let over = engine.overfull().into_iter();
    faults.extend(over.map(|it| format!("engine {} was overfilled: {it}", engine.id)));
    let late = |holder: &str, at: Instant| {
        frozen.iter().any(|(host, from, to)| {
            holder.starts_with(&format!("h-{host}-")) && *from <= at && at <= *to
        })
    };
    let ordered = engine.ordered();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for pair in ordered.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if before.life != after.life
            || late(&after.holder, after.at)
            || late(&before.holder, before.at)
        {
            continue;
        }
        let close = before.holder != after.holder && after.at - before.at < TURN;
        if after.fence < before.fence || close {
            faults.push(format!(
                "orders to engine {}: {before:?} and then {after:?}",
                engine.id
            ));
        }
    }
    for it in &ordered {
        let holder = holders.entry(it.fence).or_insert(&it.holder);
        if *holder != it.holder {
            faults.push(format!(
                "engine {}: token {} of two hosts",
                engine.id, it.fence
            ));
        }
    }
    faults
}

/// An engine that leaves gets nothing new once the time for it is over.
fn left(left: &[Left], seen: &[Vec<Seen>]) -> Vec<String> {
    let mut faults = Vec::new();
    for it in left {
        let late = seen[it.engine]
            .iter()
            .filter(|seen| it.from <= seen.at && seen.at <= it.to);
        faults.extend(late.map(|seen| format!("a leaving engine got this: {seen:?}")));
    }
    faults
}

/// How the calls of each route ended, for people.
pub fn outcomes(calls: &[Call]) -> String {
    let mut counts: BTreeMap<(String, u16, bool), usize> = BTreeMap::new();
    for it in calls {
        let key = (format!("{:?}", it.route), it.answer.status, it.answer.whole);
        *counts.entry(key).or_default() += 1;
    }
    let parts = counts.iter().map(|((route, status, whole), count)| {
        let end = if *whole { "" } else { " cut" };
        format!("{route} {status}{end} {count}")
    });
    parts.collect::<Vec<_>>().join(", ")
}

/// Whether each route was served to some caller.
pub fn unserved(calls: &[Call]) -> Vec<String> {
    let served = |route: &Route| {
        calls
            .iter()
            .any(|it| it.route == *route && it.answer.status == 200 && it.answer.whole)
    };
    let never = Route::ALL.into_iter().filter(|it| !served(it));
    never.map(|it| format!("{it:?} was never served")).collect()
}
