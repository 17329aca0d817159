//! The fleet of a run with its current failures.

use std::{collections::BTreeSet, thread, time::Duration};

use standin::{
    control::{Outage, Toggle},
    engine,
    fleet::{Shape, process::WaitOutcome},
    hosts,
    link::Mode,
    object, plain, weights,
};

use crate::{
    edit::{AcceptedEdits, ApplyResult, ConfigFile},
    fixture::{self, Fixture, wait_until},
    history::{Exit, History, Incarnation, LeaveRecord, Observation},
    step::{Sizes, Step},
};

/// Time limit for the exit of a process; only prevents a hang.
const EXIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of steps after which all hosts must know that an engine is leaving.
const LEAVE_NOTICE_STEPS: usize = 2;

/// Number of steps of an object API outage. The limit ensures that keyed calls are also sent after
/// the outage.
const OUTAGE_STEPS: usize = 3;

/// Number of connections that one step closes.
const CONNECTIONS_PER_CUT: u64 = 4;

/// A leaving engine.
#[derive(Debug)]
struct Leaving {
    engine: usize,
    since: usize,
    /// The step at which every host knew, and the number of arrivals until then.
    baseline: Option<(usize, u64)>,
}

/// A fleet with its failures and history.
pub struct World {
    pub fixture: Fixture,
    pub history: History,
    pub accepted: AcceptedEdits,
    pub step: usize,
    seed: u64,
    incarnations: Vec<usize>,
    paused: BTreeSet<usize>,
    links: Vec<Mode>,
    objects_available: bool,
    /// The step at which an outage of the object API ends.
    outage_end: usize,
    refusing: BTreeSet<usize>,
    misnaming: BTreeSet<usize>,
    leaving: Option<Leaving>,
    /// The logs of ended incarnations.
    logs: Vec<(Incarnation, String)>,
}

fn shape() -> Shape {
    let mut shape = fixture::shape();
    shape.plains = vec!["barrier".to_owned(), "registry".to_owned()];
    shape.links = Toggle::On;
    shape.engine.slots = 3;
    shape.engine.token_us = 20_000;
    shape
}

impl World {
    pub fn start(seed: u64) -> Self {
        let fixture = Fixture::start(&shape());
        let engines = fixture.fleet.engines();
        for engine in engines {
            engine
                .set(&engine::Switch::Unload(engine::UnloadPolicy::Obey))
                .unwrap();
        }
        engines[0]
            .set(&engine::Switch::Fencing(engine::FencingPolicy::Ignored))
            .unwrap();
        let entries = fixture.fleet.entries().len();
        Self {
            fixture,
            history: History::default(),
            accepted: AcceptedEdits {
                revision: 1,
                ..AcceptedEdits::default()
            },
            step: 0,
            seed,
            incarnations: vec![0; entries],
            paused: BTreeSet::new(),
            links: vec![Mode::Open; entries],
            objects_available: true,
            outage_end: 0,
            refusing: BTreeSet::new(),
            misnaming: BTreeSet::new(),
            leaving: None,
            logs: Vec::new(),
        }
    }

    pub fn sizes(&self) -> Sizes {
        Sizes {
            entries: self.incarnations.len(),
            engines: self.fixture.fleet.engines().len(),
            plains: self.fixture.plains("barrier").count(),
        }
    }

    pub fn incarnation(&self, entry: usize) -> Incarnation {
        Incarnation {
            entry,
            number: self.incarnations[entry],
        }
    }

    /// Returns the hosts that are not paused.
    pub fn running(&self) -> Vec<usize> {
        let all = 0..self.incarnations.len();
        all.filter(|it| !self.paused.contains(it)).collect()
    }

    /// Applies a step.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Kill(entry) => self.kill(*entry),
            Step::Pause(entry) => self.pause(*entry),
            Step::PauseUntilTakeover(entry) => {
                self.pause(*entry);
                self.wait_for_takeover(*entry);
            }
            Step::Terminate(entry) => self.terminate(*entry),
            Step::Link(entry, mode) => self.link(*entry, *mode),
            Step::Objects(switch) => self.set_objects(switch),
            Step::HostLag(ms) => self.set_hosts(&hosts::Switch::LagMs(*ms)),
            Step::Weights(outage) => self.set_weights(*outage),
            Step::Restart(engine) => self.set_engine(*engine, &engine::Switch::Restart),
            Step::Leave(engine) => self.leave(*engine),
            Step::BreakStreams { engine, after } => {
                let after = *after;
                self.set_engine(
                    *engine,
                    &engine::Switch::BreakStreams {
                        after,
                        times: CONNECTIONS_PER_CUT,
                    },
                );
            }
            Step::Misname(engine) => self.misname(*engine),
            Step::Cut(at) => self.cut(*at, CONNECTIONS_PER_CUT),
            Step::Refuse(plain) => self.refuse(*plain),
            Step::Delay { plain, ms } => self.set_plain(*plain, &plain::Switch::DelayMs(*ms)),
            Step::Edit => self.edit(1),
            Step::Race => self.edit(2),
        }
    }

    fn set_hosts(&self, switch: &hosts::Switch) {
        self.fixture.fleet.set_hosts(switch).unwrap();
    }

    fn set_weights(&self, outage: Outage) {
        self.fixture
            .fleet
            .set_weights(&weights::Switch::Outage(outage))
            .unwrap();
    }

    fn set_engine(&self, engine: usize, switch: &engine::Switch) {
        self.fixture.fleet.engines()[engine].set(switch).unwrap();
    }

    fn set_plain(&self, plain: usize, switch: &plain::Switch) {
        self.fixture
            .plains("barrier")
            .nth(plain)
            .unwrap()
            .set(switch)
            .unwrap();
    }

    fn end_incarnation(&mut self, entry: usize, exit: Exit) {
        let incarnation = self.incarnation(entry);
        self.logs
            .push((incarnation, self.fixture.entry(entry).process().log()));
        self.history.exits.push((incarnation, exit));
        self.paused.remove(&entry);
        self.incarnations[entry] += 1;
        self.fixture.fleet.restart(entry).unwrap();
    }

    fn kill(&mut self, entry: usize) {
        self.fixture.entry(entry).process().kill();
        self.end_incarnation(entry, Exit::Killed);
    }

    fn terminate(&mut self, entry: usize) {
        if self.paused.contains(&entry) {
            self.resume(entry);
        }
        let process = self.fixture.entry(entry).process();
        process.terminate();
        let code = match process.wait(EXIT_TIMEOUT) {
            WaitOutcome::Exited(status) => status.code(),
            WaitOutcome::Running => None,
        };
        self.end_incarnation(entry, Exit::Terminated(code));
    }

    fn pause(&mut self, entry: usize) {
        if let Some(paused) = self.paused.first().copied() {
            return self.resume(paused);
        }
        self.fixture.entry(entry).process().pause();
        self.paused.insert(entry);
    }

    fn resume(&mut self, entry: usize) {
        self.fixture.entry(entry).process().resume();
        self.paused.remove(&entry);
    }

    fn link(&mut self, entry: usize, mode: Mode) {
        let mode = match self.links[entry] {
            Mode::Open => mode,
            _ => Mode::Open,
        };
        self.fixture.entry(entry).link().unwrap().set(mode);
        self.links[entry] = mode;
    }

    fn is_connected(&self) -> bool {
        self.objects_available && self.links.iter().all(|it| *it == Mode::Open)
    }

    fn set_objects(&mut self, switch: &object::Switch) {
        if let object::Switch::Outage(outage) = switch {
            self.objects_available = *outage == Outage::None;
            self.outage_end = self.step + OUTAGE_STEPS;
        }
        self.fixture.fleet.set_objects(switch).unwrap();
    }

    /// Waits until no running host considers a paused one the steward of an engine. Without the
    /// platform no host can claim its engines.
    fn wait_for_takeover(&self, entry: usize) {
        if !self.paused.contains(&entry) || !self.is_connected() {
            return;
        }
        let name = self.fixture.entry(entry).name.as_str();
        let running = self.running();
        wait_until(
            &format!("other hosts are stewards of the engines of {name}"),
            || {
                running.iter().all(|other| {
                    let status =
                        fixture::fetch_status(self.fixture.entry(*other)).unwrap_or_default();
                    let engines = status["engines"].as_array().cloned().unwrap_or_default();
                    engines.len() == self.sizes().engines
                        && engines.iter().all(|it| it["steward"] != name)
                })
            },
        );
    }

    fn cut(&self, at: plain::Cut, times: u64) {
        for plain in self.fixture.plains("barrier") {
            plain.set(&plain::Switch::Cut { at, times }).unwrap();
        }
    }

    fn refuse(&mut self, plain: usize) {
        let toggle = if self.refusing.remove(&plain) {
            Toggle::Off
        } else {
            self.refusing.insert(plain);
            Toggle::On
        };
        self.set_plain(plain, &plain::Switch::Refuse(toggle));
    }

    fn misname(&mut self, engine: usize) {
        let name = if self.misnaming.remove(&engine) {
            ""
        } else {
            self.misnaming.insert(engine);
            "signs/car-park-18@1+1"
        };
        self.set_engine(engine, &engine::Switch::AnswerAs(name.to_owned()));
    }

    fn leave(&mut self, engine: usize) {
        if self.leaving.is_some() {
            return self.end_leaving();
        }
        self.set_engine(engine, &engine::Switch::Leaving(Toggle::On));
        self.set_listed_state(engine, hosts::State::Leaving);
        self.leaving = Some(Leaving {
            engine,
            since: self.step,
            baseline: None,
        });
    }

    fn set_listed_state(&self, engine: usize, state: hosts::State) {
        let name = self.fixture.fleet.engines()[engine].name.clone();
        self.set_hosts(&hosts::Switch::State(name, state));
    }

    fn end_leaving(&mut self) {
        let Some(leaving) = self.leaving.take() else {
            return;
        };
        if let Some((since, arrivals)) = leaving.baseline {
            let counts = &self.fixture.engine_counts()[leaving.engine];
            self.history.leaves.push(LeaveRecord {
                engine: self.fixture.fleet.engines()[leaving.engine].name.clone(),
                steps: (since, self.step),
                arrivals: counts.while_leaving - arrivals,
            });
        }
        self.set_listed_state(leaving.engine, hosts::State::Live);
        self.set_engine(leaving.engine, &engine::Switch::Leaving(Toggle::Off));
    }

    /// Records the status that the running hosts report.
    pub fn observe(&mut self) {
        if !self.objects_available && self.step >= self.outage_end {
            self.set_objects(&object::Switch::Outage(Outage::None));
        }
        for entry in self.running() {
            let status = fixture::fetch_status(self.fixture.entry(entry));
            let revision = status.and_then(|it| it["revision"].as_u64());
            let observation = revision.map(|revision| Observation {
                incarnation: self.incarnation(entry),
                step: self.step,
                revision,
            });
            self.history.revisions.extend(observation);
        }
        self.observe_leaving();
    }

    fn observe_leaving(&mut self) {
        let Some(leaving) = &self.leaving else { return };
        let connected = self.is_connected();
        if leaving.baseline.is_some()
            || self.step < leaving.since + LEAVE_NOTICE_STEPS
            || !connected
        {
            return;
        }
        let engine = leaving.engine;
        let name = self.fixture.fleet.engines()[engine].name.clone();
        let running = self.running();
        wait_until(&format!("every host knows that {name} is leaving"), || {
            running
                .iter()
                .all(|entry| self.reports_leaving(*entry, &name))
        });
        let before = self.fixture.engine_counts()[engine].while_leaving;
        let baseline = Some((self.step, before));
        if let Some(leaving) = &mut self.leaving {
            leaving.baseline = baseline;
        }
    }

    fn reports_leaving(&self, entry: usize, engine: &str) -> bool {
        let Some(status) = fixture::fetch_status(self.fixture.entry(entry)) else {
            return false;
        };
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        let mut named = engines.iter().filter(|it| it["name"] == engine);
        named.all(|it| it["state"] == "leaving")
    }

    fn edit(&mut self, operators: usize) {
        let files =
            (0..operators).map(|_| ConfigFile::new(self.seed, self.accepted.next_versions()));
        let files: Vec<ConfigFile> = files.collect();
        let fixture = &self.fixture;
        let results: Vec<ApplyResult> = thread::scope(|scope| {
            let operators: Vec<_> = files
                .iter()
                .map(|file| scope.spawn(|| fixture.try_apply(&file.path)))
                .collect();
            let ended = operators.into_iter().map(|it| it.join().unwrap());
            ended
                .map(|(code, text)| ApplyResult::parse(code, &text))
                .collect()
        });
        println!("  results of apply: {results:?}");
        let versions = files.iter().map(|it| it.versions.clone());
        let results: Vec<_> = results.into_iter().zip(versions).collect();
        self.accepted.record(&results);
    }

    /// Ends all faults and waits until the fleet has recovered.
    pub fn heal(&mut self) {
        self.end_leaving();
        for entry in self.paused.clone() {
            self.resume(entry);
        }
        for entry in 0..self.incarnations.len() {
            if self.links[entry] != Mode::Open {
                self.link(entry, Mode::Open);
            }
        }
        self.heal_platform();
        for engine in self.misnaming.clone() {
            self.misname(engine);
        }
        for engine in 0..self.fixture.fleet.engines().len() {
            self.set_engine(engine, &engine::Switch::BreakStreams { after: 0, times: 0 });
        }
        for plain in 0..self.sizes().plains {
            self.set_plain(plain, &plain::Switch::Refuse(Toggle::Off));
            self.set_plain(plain, &plain::Switch::DelayMs(0));
        }
        self.cut(plain::Cut::BeforeRun, 0);
        self.fixture.wait_ready();
        self.wait_revision();
        self.observe();
    }

    fn heal_platform(&mut self) {
        let switches = [
            object::Switch::Outage(Outage::None),
            object::Switch::LoseAnswers(0),
            object::Switch::CallsPerSecond(0.0),
            object::Switch::DelayMs(0),
        ];
        for switch in &switches {
            self.set_objects(switch);
        }
        self.set_hosts(&hosts::Switch::LagMs(0));
        self.set_weights(Outage::None);
    }

    /// Waits until all hosts have the same revision, which is at least the highest accepted one.
    fn wait_revision(&self) {
        let expected = self.accepted.revision;
        let entries = self.fixture.fleet.entries();
        let description = format!("all hosts have the same revision, at least {expected}");
        wait_until(&description, || {
            let statuses = entries.iter().filter_map(fixture::fetch_status);
            let revisions: Vec<u64> = statuses.filter_map(|it| it["revision"].as_u64()).collect();
            let same = revisions.iter().all(|it| *it == revisions[0]);
            revisions.len() == entries.len() && same && revisions[0] >= expected
        });
    }

    /// Returns the logs of all incarnations, for a failed run.
    pub fn logs(&self) -> Vec<(Incarnation, String)> {
        let mut logs = self.logs.clone();
        for entry in 0..self.incarnations.len() {
            logs.push((
                self.incarnation(entry),
                self.fixture.entry(entry).process().log(),
            ));
        }
        logs
    }
}
