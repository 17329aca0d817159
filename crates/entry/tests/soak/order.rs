//! Breaks of the order of streams, by the way in which each is broken.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::{
    caller::{Call, Route},
    world::{client::Event, engine::EVENT_COUNT},
};

/// Numbers of streams whose order is broken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Breaks {
    /// Streams of which events have arrived.
    pub streams: usize,
    /// Streams whose callers took them up, or that went on at another engine.
    pub continued: usize,
    /// An event is missing.
    pub missing: usize,
    /// An event came twice, or after a later one.
    pub repeated: usize,
    /// The response ended as complete before the last event.
    pub ended_early: usize,
    /// Events of two builds in one response or over all tries of a caller.
    pub builds: usize,
    /// Those of `builds` with events of an engine that started again under its id as another build.
    pub rebuilt: usize,
    /// Events of two runs of a request that may run only once.
    pub runs: usize,
}

impl Breaks {
    /// Counts the breaks in all streams, and prints those of builds and runs.
    pub fn count(calls: &[Call], rebuilt: &[String]) -> Self {
        let mut streams: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
        for call in calls.iter().filter(|it| it.route.is_streamed()) {
            let first_id = call.resumed.as_ref().map_or(&call.id, |it| &it.first_id);
            streams.entry(first_id).or_default().push(call);
        }
        let mut breaks = Self::default();
        for tries in streams.values() {
            breaks.add(tries, rebuilt);
        }
        breaks
    }

    fn add(&mut self, tries: &[&Call], rebuilt: &[String]) {
        let answers: Vec<(&Call, Vec<Event>)> = (tries.iter())
            .filter(|it| it.answer.status == 200)
            .map(|it| (*it, it.answer.events()))
            .collect();
        let events: Vec<&Event> = answers.iter().flat_map(|it| &it.1).collect();
        let builds: BTreeSet<&str> = events.iter().map(|it| &*it.build).collect();
        let runs: BTreeSet<&str> = events.iter().map(|it| &*it.run).collect();
        self.streams += usize::from(!events.is_empty());
        self.continued += usize::from(runs.len() > 1);
        let mut is_missing = false;
        let mut is_repeated = false;
        let mut has_ended_early = false;
        for (call, events) in &answers {
            let mut next = (call.resumed.as_ref()).map_or(0, |it| it.last_event_id + 1);
            for event in events {
                is_missing |= event.id > next;
                is_repeated |= event.id < next;
                next = next.max(event.id + 1);
            }
            has_ended_early |= call.answer.is_complete && next < EVENT_COUNT;
        }
        self.missing += usize::from(is_missing);
        self.repeated += usize::from(is_repeated);
        self.ended_early += usize::from(has_ended_early);
        let is_of_builds = builds.len() > 1;
        let is_of_runs = runs.len() > 1 && tries[0].route == Route::Once;
        self.builds += usize::from(is_of_builds);
        self.runs += usize::from(is_of_runs);
        let is_rebuilt = |run: &str| rebuilt.iter().any(|it| run.starts_with(it));
        self.rebuilt += usize::from(is_of_builds && runs.iter().any(|it| is_rebuilt(it)));
        if is_missing || is_repeated || has_ended_early || is_of_builds || is_of_runs {
            println!("order broken: {}", describe(&answers));
        }
    }
}

impl fmt::Display for Breaks {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "of {} streams, {} went on at another engine; order broken: {} with an event missing, {} with one twice, {} ended \
             early, {} of two builds ({} by restarts under an id), {} of two runs",
            self.streams,
            self.continued,
            self.missing,
            self.repeated,
            self.ended_early,
            self.builds,
            self.rebuilt,
            self.runs
        )
    }
}

/// Describes the tries of a stream: host, status, end and the events with their builds and runs.
fn describe(answers: &[(&Call, Vec<Event>)]) -> String {
    let tries = answers.iter().map(|(call, events)| {
        let events: Vec<String> = (events.iter())
            .map(|it| format!("{} {} {}", it.id, it.build, it.run))
            .collect();
        format!(
            "{} {} at host {}, {:?}, complete {}: {}",
            call.id,
            call.model,
            call.host,
            call.route,
            call.answer.is_complete,
            events.join(", ")
        )
    });
    tries.collect::<Vec<_>>().join("; then ")
}
