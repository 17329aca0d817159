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
pub const RETRY_ALLOWANCE: u32 = 60;

/// The settings' other figures of the retry budget.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Time between the orders of two hosts to one engine, as in the settings.
const MIN_HANDOVER_GAP: Duration = Duration::from_millis(300);

/// Statuses that promise that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A stretch without faults in which an engine left: it must get nothing new in it.
pub struct LeaveWindow {
    pub engine: usize,
    pub start: Instant,
    pub end: Instant,
}

/// What was seen.
pub struct Records<'a> {
    pub calls: &'a [Call],
    pub engines: &'a [Engine],
    pub leave_windows: &'a [LeaveWindow],
    /// Times in which a host stood still, and a while after: its orders may come late.
    pub pause_windows: &'a [(usize, Instant, Instant)],
    /// Ids of requests of the run itself.
    pub harness_ids: &'a [String],
}

/// Each promise that was broken, in words.
pub fn violations(records: &Records) -> Vec<String> {
    let seen: Vec<Vec<Seen>> = records.engines.iter().map(Engine::seen).collect();
    let ran = |id: &str| -> usize { records.engines.iter().map(|it| it.ran(id)).sum() };
    let mut violations = Vec::new();
    for call in records.calls {
        let runs = ran(&call.id);
        let status = call.answer.status;
        let mut report =
            |violation: &str| violations.push(format!("{violation}: runs {runs}, {call:?}"));
        if call.route.runs_once() && runs > 1 {
            report("it ran more than once");
        }
        if call.route.runs_once() && NOT_RUN.contains(&status) && runs > 0 {
            report("it was said not to have run");
        }
        if (200..300).contains(&status) && call.answer.whole {
            if runs == 0 {
                report("an answer without a run");
            }
            if !is_valid_answer(call, records.engines) {
                report("the answer is not that of an engine for this request");
            }
        }
        if call.route.is_streamed() && status == 200 && !has_ordered_events(call) {
            report("events are missing, doubled or not in order");
        }
    }
    violations.extend(check_requests(records, &seen));
    violations.extend(check_attempts(records.calls, records.engines));
    violations.extend(check_retry_budget(records.calls, &seen, records.engines));
    violations.extend(
        records
            .engines
            .iter()
            .flat_map(|it| check_orders(it, records.pause_windows)),
    );
    violations.extend(check_leaving(records.leave_windows, &seen));
    violations
}

/// A whole answer has the seal of an engine that ran it, and the body that the engine makes.
fn is_valid_answer(call: &Call, engines: &[Engine]) -> bool {
    let seal = call.answer.header("response-seal").unwrap_or_default();
    let sealed =
        |it: &Engine| seal == format!("seal-{}-{}", it.id, call.id) && it.ran(&call.id) > 0;
    let body = &call.answer.body;
    let right = if call.route.is_streamed() {
        true
    } else {
        *body == format!("body of {}", call.id) || body == "whole to the end"
    };
    right && engines.iter().any(sealed) && call.answer.header("request-id") == Some(&call.id)
}

/// The events of a stream from the first on; all of them where it ended as whole.
fn has_ordered_events(call: &Call) -> bool {
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
fn check_requests(records: &Records, seen: &[Vec<Seen>]) -> Vec<String> {
    let by_id: BTreeMap<&str, &Call> = records.calls.iter().map(|it| (&*it.id, it)).collect();
    let mut violations = Vec::new();
    for it in seen.iter().flatten() {
        let id = it.head.get("request-id").map(String::as_str);
        if records.harness_ids.iter().any(|it| id == Some(it)) {
            continue;
        }
        let Some(call) = id.and_then(|it| by_id.get(it)) else {
            violations.push(format!("nobody asked this: {it:?}"));
            continue;
        };
        let body = if call.route.is_streamed() {
            "prompt".to_owned()
        } else {
            format!("body of {}", call.id)
        };
        let model = it.head.get("model").map(String::as_str);
        let expected_model = call.route.is_streamed().then_some(&*call.model);
        let line = format!("POST {} HTTP/1.1", call.route.path());
        if it.line != line || it.body != body.as_bytes() || model != expected_model {
            violations.push(format!("it was changed on its way: {it:?}, {call:?}"));
        }
    }
    violations
}

/// A request runs on no more engines than its route allows.
fn check_attempts(calls: &[Call], engines: &[Engine]) -> Vec<String> {
    let count_engines = |call: &Call| engines.iter().filter(|it| it.ran(&call.id) > 0).count();
    let excess = calls
        .iter()
        .filter(|it| count_engines(it) > it.route.max_attempts());
    excess
        .map(|it| format!("it ran on {} engines: {it:?}", count_engines(it)))
        .collect()
}

/// Arrivals beyond the first of each request, in any window and for each service.
fn check_retry_budget(calls: &[Call], seen: &[Vec<Seen>], engines: &[Engine]) -> Vec<String> {
    let mut violations = Vec::new();
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
        let sent: Vec<Instant> = (calls.iter())
            .filter(|it| it.route.is_streamed() == (service == "chat"))
            .map(|it| it.sent_at)
            .collect();
        for (number, start) in repeats.iter().enumerate() {
            let within = |it: &&Instant| **it >= *start && **it < *start + RETRY_WINDOW;
            let repeated = repeats[number..].iter().filter(within).count();
            let requests = sent.iter().filter(within).count();
            let before = |it: &&Instant| **it + RETRY_WINDOW >= *start && **it < *start;
            let requests = requests.max(sent.iter().filter(before).count());
            let allowed = RETRY_RATIO * count(requests) + f64::from(RETRY_ALLOWANCE);
            if count(repeated) > allowed {
                violations.push(format!(
                    "{repeated} repeats of {service} in a window, {allowed} allowed"
                ));
                break;
            }
        }
    }
    violations
}

fn count(it: usize) -> f64 {
    f64::from(u32::try_from(it).unwrap_or(u32::MAX))
}

/// Orders: one holder a token, tokens that rise, a turn between two holders, and never too many loads.
fn check_orders(engine: &Engine, pause_windows: &[(usize, Instant, Instant)]) -> Vec<String> {
    let mut violations = Vec::new();
    let excess = engine.overfull().into_iter();
    violations.extend(excess.map(|it| format!("engine {} was overfilled: {it}", engine.id)));
    let is_late = |holder: &str, at: Instant| {
        pause_windows.iter().any(|(host, start, end)| {
            holder.starts_with(&format!("h-{host}-")) && *start <= at && at <= *end
        })
    };
    let ordered = engine.ordered();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for pair in ordered.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if before.life != after.life
            || is_late(&after.holder, after.at)
            || is_late(&before.holder, before.at)
        {
            continue;
        }
        let is_too_early = before.holder != after.holder && after.at - before.at < MIN_HANDOVER_GAP;
        if after.fence < before.fence || is_too_early {
            violations.push(format!(
                "orders to engine {}: {before:?} and then {after:?}",
                engine.id
            ));
        }
    }
    for it in &ordered {
        let holder = holders.entry(it.fence).or_insert(&it.holder);
        if *holder != it.holder {
            violations.push(format!(
                "engine {}: token {} of two hosts",
                engine.id, it.fence
            ));
        }
    }
    violations
}

/// An engine that leaves gets nothing new once the time for it is over.
fn check_leaving(leave_windows: &[LeaveWindow], seen: &[Vec<Seen>]) -> Vec<String> {
    let mut violations = Vec::new();
    for it in leave_windows {
        let arrivals = seen[it.engine]
            .iter()
            .filter(|seen| it.start <= seen.at && seen.at <= it.end);
        violations.extend(arrivals.map(|seen| format!("a leaving engine got this: {seen:?}")));
    }
    violations
}

/// How the calls of each route ended, for people.
pub fn summarize_outcomes(calls: &[Call]) -> String {
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
pub fn find_unserved_routes(calls: &[Call]) -> Vec<String> {
    let served = |route: &Route| {
        calls
            .iter()
            .any(|it| it.route == *route && it.answer.status == 200 && it.answer.whole)
    };
    let never = Route::ALL.into_iter().filter(|it| !served(it));
    never.map(|it| format!("{it:?} was never served")).collect()
}
