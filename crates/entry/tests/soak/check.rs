//! Checks the guarantees against what callers and engines observed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::{
    caller::{Call, Route},
    world::{
        client::Event,
        engine::{EVENT_COUNT, Engine, ReceivedRequest},
    },
};

/// Retries per window that the settings allow regardless of the number of requests.
pub const RETRY_ALLOWANCE: u32 = 60;

/// The retry budget in the settings: retries per request, and the window.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Minimum time between the orders of two hosts to one engine, as in the settings.
const MIN_HANDOVER_GAP: Duration = Duration::from_millis(300);

/// Status codes that guarantee that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Number of streams that may hold events of an engine that restarted with another build under its id, as in the rule
/// of the platform.
const MAX_REBUILT_STREAMS: usize = 2;

/// A period without faults in which a leaving engine must receive no new requests.
pub struct LeaveWindow {
    pub engine: usize,
    pub start: Instant,
    pub end: Instant,
}

/// The observations of a run.
pub struct Records<'a> {
    pub calls: &'a [Call],
    pub engines: &'a [Engine],
    pub leave_windows: &'a [LeaveWindow],
    /// The host, start and end of each pause. The end includes the time in which the orders of the
    /// host may be late.
    pub pause_windows: &'a [(usize, Instant, Instant)],
    /// Request ids used by the run itself instead of callers.
    pub harness_ids: &'a [String],
    /// Incarnations that have another build than the previous one under their id.
    pub rebuilt: &'a [String],
}

/// How often each engine has run each request, by id.
struct Runs(Vec<BTreeMap<String, usize>>);

impl Runs {
    fn new(engines: &[Engine]) -> Self {
        Self(engines.iter().map(Engine::run_counts).collect())
    }

    fn count(&self, id: &str) -> usize {
        self.0.iter().filter_map(|it| it.get(id)).sum()
    }

    fn count_engines(&self, id: &str) -> usize {
        self.0.iter().filter(|it| it.contains_key(id)).count()
    }
}

/// Returns a description of each violated guarantee.
pub fn find_violations(records: &Records) -> Vec<String> {
    let received: Vec<Vec<ReceivedRequest>> = records
        .engines
        .iter()
        .map(Engine::received_requests)
        .collect();
    let runs_by_engine = Runs::new(records.engines);
    let mut violations = Vec::new();
    for call in records.calls {
        let runs = runs_by_engine.count(&call.id);
        let status = call.answer.status;
        let mut report =
            |violation: &str| violations.push(format!("{violation}: runs {runs}, {call:?}"));
        if call.route.runs_once() && runs > 1 {
            report("ran more than once");
        }
        if call.route.runs_once() && NOT_RUN.contains(&status) && runs > 0 {
            report("reported as not run, but ran");
        }
        if status != 0 && !(200..600).contains(&status) {
            report("answered with a status that is no final one");
        }
        if call.answer.excess_bytes > 0 {
            report("bytes arrived that belong to no response");
        }
        if (200..300).contains(&status) && call.answer.is_complete {
            if runs == 0 {
                report("answered without a run");
            }
            if !is_valid_answer(call, records.engines, &runs_by_engine) {
                report("the response does not match the engine and request");
            }
        }
        if !(200..300).contains(&status) && !is_valid_failure(call, records.engines) {
            report("the failure bears the seal of an engine that did not send it");
        }
        if call.route.is_streamed() && status == 200 && !has_ordered_events(call) {
            report("events are missing, duplicated or out of order");
        }
    }
    violations.extend(check_builds(records));
    violations.extend(check_requests(records, &received));
    violations.extend(check_attempts(records.calls, &runs_by_engine));
    violations.extend(check_retry_budget(
        records.calls,
        &received,
        records.engines,
    ));
    violations.extend(
        records
            .engines
            .iter()
            .flat_map(|it| check_orders(it, records.pause_windows)),
    );
    violations.extend(check_leaving(records.leave_windows, &received));
    violations
}

/// Returns whether a complete response carries the seal of an engine that ran the request, and the
/// body that the engine generates.
fn is_valid_answer(call: &Call, engines: &[Engine], runs: &Runs) -> bool {
    let seal = call.answer.header("response-seal").unwrap_or_default();
    let sealed = |(it, runs): (&Engine, &BTreeMap<String, usize>)| {
        seal == format!("seal-{}-{}", it.id, call.id) && runs.contains_key(&call.id)
    };
    let body = &call.answer.body;
    let body_matches = if call.route.is_streamed() {
        true
    } else {
        *body == format!("body of {}", call.id)
    };
    let is_sealed = engines.iter().zip(&runs.0).any(sealed);
    body_matches && is_sealed && call.answer.header("request-id") == Some(&call.id)
}

/// Returns whether a failure that bears a seal was sent with this status by the engine of the seal.
fn is_valid_failure(call: &Call, engines: &[Engine]) -> bool {
    let Some(seal) = call.answer.header("response-seal") else {
        return true;
    };
    engines.iter().any(|it| {
        seal == format!("seal-{}-{}", it.id, call.id) && it.has_sealed(&call.id, call.answer.status)
    })
}

/// Returns whether a stream consists of the first events in order, and of all events if it ended as
/// complete.
fn has_ordered_events(call: &Call) -> bool {
    let first = (call.resumed.as_ref()).map_or(0, |it| it.last_event_id + 1);
    let events = call.answer.events();
    let texts = (first..).zip(&events).map(|(at, event)| {
        let Event { build, run, .. } = event;
        format!(": {build} {run}\nid: {at}\ndata: token {at}\n\n")
    });
    let expected = texts.collect::<Vec<_>>().concat();
    let body = &call.answer.body;
    let rest = body.strip_prefix(&expected);
    if call.answer.is_complete {
        rest == Some("") && first + events.len() == EVENT_COUNT
    } else {
        rest == Some("") && first + events.len() <= EVENT_COUNT
    }
}

/// Checks that no stream holds events of two builds, in one response or over all tries of its caller. A host can't know
/// of a restart with another build under the same id before it is listed, so up to [`MAX_REBUILT_STREAMS`] streams may
/// hold events of such an incarnation.
fn check_builds(records: &Records) -> Vec<String> {
    let mut streams: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in records.calls {
        let first_id = call.resumed.as_ref().map_or(&call.id, |it| &it.first_id);
        streams.entry(first_id).or_default().push(call);
    }
    let mut violations = Vec::new();
    let mut rebuilt = Vec::new();
    for tries in streams.values() {
        let events: Vec<Event> = tries.iter().flat_map(|it| it.answer.events()).collect();
        let builds: BTreeSet<&str> = events.iter().map(|it| &*it.build).collect();
        if builds.len() < 2 {
            continue;
        }
        let is_rebuilt = |run: &str| records.rebuilt.iter().any(|it| run.starts_with(it));
        let violation = format!("a stream holds events of several builds: {tries:?}");
        if events.iter().any(|it| is_rebuilt(&it.run)) {
            rebuilt.push(violation);
        } else {
            violations.push(violation);
        }
    }
    if rebuilt.len() > MAX_REBUILT_STREAMS {
        violations.append(&mut rebuilt);
    }
    violations
}

/// Checks that engines received exactly what callers sent.
fn check_requests(records: &Records, received: &[Vec<ReceivedRequest>]) -> Vec<String> {
    let by_id: HashMap<&str, &Call> = records.calls.iter().map(|it| (&*it.id, it)).collect();
    let mut violations = Vec::new();
    for it in received.iter().flatten() {
        let id = it.headers.get("request-id").map(String::as_str);
        if records.harness_ids.iter().any(|it| id == Some(it)) {
            continue;
        }
        let Some(call) = id.and_then(|it| by_id.get(it)) else {
            violations.push(format!("no caller sent this request: {it:?}"));
            continue;
        };
        let body = call.body();
        let body_matches = if it.is_complete {
            it.body == body.as_bytes()
        } else {
            body.as_bytes().starts_with(&it.body)
        };
        let model = it.headers.get("model").map(String::as_str);
        let expected_model = call.route.is_streamed().then_some(&*call.model);
        let prompt = it.headers.get("prompt-prefix").map(String::as_str);
        let expected_prompt = call.route.is_streamed().then_some(&*call.prompt);
        let line = format!("POST {} HTTP/1.1", call.route.path());
        let is_same = model == expected_model && prompt == expected_prompt;
        if it.request_line != line || !body_matches || !is_same {
            violations.push(format!("the request was altered: {it:?}, {call:?}"));
        }
    }
    violations
}

/// Checks that a request ran on no more engines than its route allows.
fn check_attempts(calls: &[Call], runs: &Runs) -> Vec<String> {
    let excess = calls
        .iter()
        .filter(|it| runs.count_engines(&it.id) > it.route.max_attempts());
    excess
        .map(|it| format!("ran on {} engines: {it:?}", runs.count_engines(&it.id)))
        .collect()
}

/// Checks the retries of each service in every window against the retry budget. Every arrival of a
/// request after its first counts as a retry.
fn check_retry_budget(
    calls: &[Call],
    received: &[Vec<ReceivedRequest>],
    engines: &[Engine],
) -> Vec<String> {
    let mut violations = Vec::new();
    let services: BTreeSet<&str> = engines.iter().map(|it| &*it.service).collect();
    for service in services {
        let mut arrivals: Vec<(Instant, &str)> = (engines.iter().zip(received))
            .filter(|it| it.0.service == service)
            .flat_map(|it| it.1)
            .filter_map(|it| Some((it.received_at, it.headers.get("request-id")?.as_str())))
            .collect();
        arrivals.sort();
        let mut firsts = BTreeSet::new();
        let repeats: Vec<Instant> = (arrivals.iter())
            .filter(|it| !firsts.insert(it.1))
            .map(|it| it.0)
            .collect();
        let mut sent: Vec<Instant> = (calls.iter())
            .filter(|it| it.route.is_streamed() == (service == "chat"))
            .map(|it| it.sent_at)
            .collect();
        sent.sort_unstable();
        let count_before = |times: &[Instant], end: Instant| times.partition_point(|it| *it < end);
        for (number, start) in repeats.iter().enumerate() {
            let end = *start + RETRY_WINDOW;
            let repeated = count_before(&repeats, end) - number;
            let until_start = count_before(&sent, *start);
            let requests = count_before(&sent, end) - until_start;
            let earlier = sent.partition_point(|it| *it + RETRY_WINDOW < *start);
            let requests = requests.max(until_start - earlier);
            let allowed = RETRY_RATIO * count(requests) + f64::from(RETRY_ALLOWANCE);
            if count(repeated) > allowed {
                violations.push(format!(
                    "{repeated} retries of {service} in a window, {allowed} allowed"
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

/// Checks the orders to an engine: each fencing token belongs to one host, fencing tokens never
/// decrease, the minimum time between two hosts is kept, and no load exceeds the slots.
fn check_orders(engine: &Engine, pause_windows: &[(usize, Instant, Instant)]) -> Vec<String> {
    let mut violations = Vec::new();
    let excess = engine.excess_loads().into_iter();
    violations.extend(excess.map(|it| {
        format!(
            "engine {} received more loads than it has slots: {it}",
            engine.id
        )
    }));
    let is_late = |holder: &str, at: Instant| {
        pause_windows.iter().any(|(host, start, end)| {
            holder.starts_with(&format!("h-{host}-")) && *start <= at && at <= *end
        })
    };
    let ordered = engine.received_orders();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for pair in ordered.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        if before.incarnation != after.incarnation
            || is_late(&after.holder, after.received_at)
            || is_late(&before.holder, before.received_at)
        {
            continue;
        }
        let is_too_early = before.holder != after.holder
            && after.received_at - before.received_at < MIN_HANDOVER_GAP;
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
                "engine {}: fencing token {} used by two hosts",
                engine.id, it.fence
            ));
        }
    }
    violations
}

/// Checks that a leaving engine receives no new requests after the drain time.
fn check_leaving(leave_windows: &[LeaveWindow], received: &[Vec<ReceivedRequest>]) -> Vec<String> {
    let mut violations = Vec::new();
    for it in leave_windows {
        let arrivals = received[it.engine]
            .iter()
            .filter(|received| it.start <= received.received_at && received.received_at <= it.end);
        violations.extend(
            arrivals
                .map(|received| format!("a leaving engine received this request: {received:?}")),
        );
    }
    violations
}

/// Summarizes the outcomes of the calls of each route for the test output.
pub fn summarize_outcomes(calls: &[Call]) -> String {
    let mut counts: BTreeMap<(String, u16, bool), usize> = BTreeMap::new();
    for it in calls {
        let key = (
            format!("{:?}", it.route),
            it.answer.status,
            it.answer.is_complete,
        );
        *counts.entry(key).or_default() += 1;
    }
    let resumed = calls.iter().filter(|it| it.resumed.is_some());
    let (went_on, stopped): (Vec<_>, Vec<_>) =
        resumed.partition(|it| it.answer.status == 200 && it.answer.is_complete);
    let parts = counts.iter().map(|((route, status, whole), count)| {
        let end = if *whole { "" } else { " incomplete" };
        format!("{route} {status}{end} {count}")
    });
    format!(
        "{}; of {} tries to take a stream up {} ended complete",
        parts.collect::<Vec<_>>().join(", "),
        went_on.len() + stopped.len(),
        went_on.len()
    )
}

/// Returns an error for each route that was never served.
pub fn find_unserved_routes(calls: &[Call]) -> Vec<String> {
    let served = |route: &Route| {
        calls
            .iter()
            .any(|it| it.route == *route && it.answer.status == 200 && it.answer.is_complete)
    };
    let unserved = Route::ALL.into_iter().filter(|it| !served(it));
    unserved
        .map(|it| format!("{it:?} was never served"))
        .collect()
}
