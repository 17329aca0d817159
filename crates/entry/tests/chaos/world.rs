//! The fleet of a run, and what is wrong with it at present.

use std::{collections::BTreeSet, thread, time::Duration};

use standin::{
    control::{Outage, Power},
    engine,
    fleet::{Shape, process::Ended},
    hosts,
    link::Path,
    object, plain, weights,
};

use crate::{
    edit::{Accepted, File, Told},
    fixture::{self, Fixture, wait},
    history::{Death, Departure, History, Life, Seen},
    step::{Sizes, Step},
};

/// Longest time for a process to end; it only ends a hang.
const END: Duration = Duration::from_secs(90);

/// Steps after which every host has to know that an engine is leaving.
const LEAVING_STEPS: usize = 2;

/// Steps that an outage of the object API lasts, so that keyed calls are made after it.
const OUTAGE_STEPS: usize = 3;

/// Calls whose connections are closed by one step.
const CUTS: u64 = 4;

/// An engine that leaves.
#[derive(Debug)]
struct Leaving {
    engine: usize,
    since: usize,
    /// The step at which every host knew, and what had come until then.
    known: Option<(usize, u64)>,
}

/// A fleet under failures.
pub struct World {
    pub it: Fixture,
    pub history: History,
    pub accepted: Accepted,
    pub step: usize,
    seed: u64,
    lives: Vec<usize>,
    frozen: BTreeSet<usize>,
    links: Vec<Path>,
    objects_work: bool,
    /// The step at which an outage of the object API ends.
    outage_end: usize,
    refusing: BTreeSet<usize>,
    misnaming: BTreeSet<usize>,
    leaving: Option<Leaving>,
    /// Logs of the lives that ended.
    logs: Vec<(Life, String)>,
}

fn shape() -> Shape {
    let mut shape = fixture::shape();
    shape.plains = vec!["barrier".to_owned(), "registry".to_owned()];
    shape.links = Power::On;
    shape.engine.slots = 3;
    shape.engine.token_us = 20_000;
    shape
}

impl World {
    pub fn start(seed: u64) -> Self {
        let it = Fixture::start(&shape());
        let engines = it.fleet.engines();
        for engine in engines {
            engine
                .set(&engine::Switch::Unload(engine::Unload::Obey))
                .unwrap();
        }
        engines[0]
            .set(&engine::Switch::Fencing(engine::Orders::Ignored))
            .unwrap();
        let entries = it.fleet.entries().len();
        Self {
            it,
            history: History::default(),
            accepted: Accepted {
                revision: 1,
                ..Accepted::default()
            },
            step: 0,
            seed,
            lives: vec![0; entries],
            frozen: BTreeSet::new(),
            links: vec![Path::Open; entries],
            objects_work: true,
            outage_end: 0,
            refusing: BTreeSet::new(),
            misnaming: BTreeSet::new(),
            leaving: None,
            logs: Vec::new(),
        }
    }

    pub fn sizes(&self) -> Sizes {
        Sizes {
            entries: self.lives.len(),
            engines: self.it.fleet.engines().len(),
            plains: self.it.plains("barrier").count(),
        }
    }

    pub fn life(&self, entry: usize) -> Life {
        Life {
            entry,
            number: self.lives[entry],
        }
    }

    /// The hosts that are not frozen.
    pub fn running(&self) -> Vec<usize> {
        let all = 0..self.lives.len();
        all.filter(|it| !self.frozen.contains(it)).collect()
    }

    /// Carries out a step.
    pub fn take(&mut self, step: &Step) {
        match step {
            Step::Kill(entry) => self.kill(*entry),
            Step::Freeze(entry) => self.freeze(*entry),
            Step::FreezePastLease(entry) => {
                self.freeze(*entry);
                self.wait_taken(*entry);
            }
            Step::Terminate(entry) => self.terminate(*entry),
            Step::Link(entry, path) => self.link(*entry, *path),
            Step::Objects(switch) => self.set_objects(switch),
            Step::HostLag(ms) => self.set_hosts(&hosts::Switch::LagMs(*ms)),
            Step::Weights(outage) => self.set_weights(*outage),
            Step::Restart(engine) => self.set_engine(*engine, &engine::Switch::Restart),
            Step::Leave(engine) => self.leave(*engine),
            Step::BreakStreams { engine, after } => {
                let after = *after;
                self.set_engine(
                    *engine,
                    &engine::Switch::BreakStreams { after, times: CUTS },
                );
            }
            Step::Misname(engine) => self.misname(*engine),
            Step::Cut(at) => self.cut(*at, CUTS),
            Step::Refuse(plain) => self.refuse(*plain),
            Step::Delay { plain, ms } => self.set_plain(*plain, &plain::Switch::DelayMs(*ms)),
            Step::Edit => self.edit(1),
            Step::Race => self.edit(2),
        }
    }

    fn set_hosts(&self, switch: &hosts::Switch) {
        self.it.fleet.set_hosts(switch).unwrap();
    }

    fn set_weights(&self, outage: Outage) {
        self.it
            .fleet
            .set_weights(&weights::Switch::Outage(outage))
            .unwrap();
    }

    fn set_engine(&self, engine: usize, switch: &engine::Switch) {
        self.it.fleet.engines()[engine].set(switch).unwrap();
    }

    fn set_plain(&self, plain: usize, switch: &plain::Switch) {
        self.it
            .plains("barrier")
            .nth(plain)
            .unwrap()
            .set(switch)
            .unwrap();
    }

    fn end_life(&mut self, entry: usize, death: Death) {
        let life = self.life(entry);
        self.logs.push((life, self.it.entry(entry).process().log()));
        self.history.deaths.push((life, death));
        self.frozen.remove(&entry);
        self.lives[entry] += 1;
        self.it.fleet.restart(entry).unwrap();
    }

    fn kill(&mut self, entry: usize) {
        self.it.entry(entry).process().kill();
        self.end_life(entry, Death::Killed);
    }

    fn terminate(&mut self, entry: usize) {
        if self.frozen.contains(&entry) {
            self.thaw(entry);
        }
        let process = self.it.entry(entry).process();
        process.terminate();
        let code = match process.wait(END) {
            Ended::With(status) => status.code(),
            Ended::Not => None,
        };
        self.end_life(entry, Death::Terminated(code));
    }

    fn freeze(&mut self, entry: usize) {
        if let Some(frozen) = self.frozen.first().copied() {
            return self.thaw(frozen);
        }
        self.it.entry(entry).process().pause();
        self.frozen.insert(entry);
    }

    fn thaw(&mut self, entry: usize) {
        self.it.entry(entry).process().resume();
        self.frozen.remove(&entry);
    }

    fn link(&mut self, entry: usize, path: Path) {
        let path = match self.links[entry] {
            Path::Open => path,
            _ => Path::Open,
        };
        self.it.entry(entry).link().unwrap().set(path);
        self.links[entry] = path;
    }

    fn is_connected(&self) -> bool {
        self.objects_work && self.links.iter().all(|it| *it == Path::Open)
    }

    fn set_objects(&mut self, switch: &object::Switch) {
        if let object::Switch::Outage(outage) = switch {
            self.objects_work = *outage == Outage::None;
            self.outage_end = self.step + OUTAGE_STEPS;
        }
        self.it.fleet.set_objects(switch).unwrap();
    }

    /// Waits until no running host takes a frozen one for the steward of an engine. Without the
    /// platform nobody can take its engines.
    fn wait_taken(&self, entry: usize) {
        if !self.frozen.contains(&entry) || !self.is_connected() {
            return;
        }
        let name = self.it.entry(entry).name.as_str();
        let running = self.running();
        wait(&format!("the engines of {name} are taken"), || {
            running.iter().all(|other| {
                let status = fixture::status(self.it.entry(*other)).unwrap_or_default();
                let engines = status["engines"].as_array().cloned().unwrap_or_default();
                engines.len() == self.sizes().engines
                    && engines.iter().all(|it| it["steward"] != name)
            })
        });
    }

    fn cut(&self, at: plain::Cut, times: u64) {
        for plain in self.it.plains("barrier") {
            plain.set(&plain::Switch::Cut { at, times }).unwrap();
        }
    }

    fn refuse(&mut self, plain: usize) {
        let power = if self.refusing.remove(&plain) {
            Power::Off
        } else {
            self.refusing.insert(plain);
            Power::On
        };
        self.set_plain(plain, &plain::Switch::Refuse(power));
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
            return self.come_back();
        }
        self.set_engine(engine, &engine::Switch::Leaving(Power::On));
        self.list(engine, hosts::State::Leaving);
        self.leaving = Some(Leaving {
            engine,
            since: self.step,
            known: None,
        });
    }

    fn list(&self, engine: usize, state: hosts::State) {
        let name = self.it.fleet.engines()[engine].name.clone();
        self.set_hosts(&hosts::Switch::State(name, state));
    }

    fn come_back(&mut self) {
        let Some(leaving) = self.leaving.take() else {
            return;
        };
        if let Some((since, before)) = leaving.known {
            let counts = &self.it.engine_counts()[leaving.engine];
            self.history.departures.push(Departure {
                engine: self.it.fleet.engines()[leaving.engine].name.clone(),
                steps: (since, self.step),
                arrivals: counts.while_leaving - before,
            });
        }
        self.list(leaving.engine, hosts::State::Live);
        self.set_engine(leaving.engine, &engine::Switch::Leaving(Power::Off));
    }

    /// Looks at what the running hosts say.
    pub fn look(&mut self) {
        if !self.objects_work && self.step >= self.outage_end {
            self.set_objects(&object::Switch::Outage(Outage::None));
        }
        for entry in self.running() {
            let status = fixture::status(self.it.entry(entry));
            let revision = status.and_then(|it| it["revision"].as_u64());
            let seen = revision.map(|revision| Seen {
                life: self.life(entry),
                step: self.step,
                revision,
            });
            self.history.revisions.extend(seen);
        }
        self.look_at_leaving();
    }

    fn look_at_leaving(&mut self) {
        let Some(leaving) = &self.leaving else { return };
        let connected = self.is_connected();
        if leaving.known.is_some() || self.step < leaving.since + LEAVING_STEPS || !connected {
            return;
        }
        let engine = leaving.engine;
        let name = self.it.fleet.engines()[engine].name.clone();
        let running = self.running();
        wait(&format!("every host knows that {name} is leaving"), || {
            running.iter().all(|entry| self.says_leaving(*entry, &name))
        });
        let before = self.it.engine_counts()[engine].while_leaving;
        let known = Some((self.step, before));
        if let Some(leaving) = &mut self.leaving {
            leaving.known = known;
        }
    }

    fn says_leaving(&self, entry: usize, engine: &str) -> bool {
        let Some(status) = fixture::status(self.it.entry(entry)) else {
            return false;
        };
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        let mut named = engines.iter().filter(|it| it["name"] == engine);
        named.all(|it| it["state"] == "leaving")
    }

    fn edit(&mut self, operators: usize) {
        let files = (0..operators).map(|_| File::new(self.seed, self.accepted.next()));
        let files: Vec<File> = files.collect();
        let it = &self.it;
        let told: Vec<Told> = thread::scope(|scope| {
            let operators: Vec<_> = files
                .iter()
                .map(|file| scope.spawn(|| it.try_apply(&file.path)))
                .collect();
            let ended = operators.into_iter().map(|it| it.join().unwrap());
            ended.map(|(code, text)| Told::read(code, &text)).collect()
        });
        println!("  operators were told {told:?}");
        let versions = files.iter().map(|it| it.versions.clone());
        let told: Vec<_> = told.into_iter().zip(versions).collect();
        self.accepted.learn(&told);
    }

    /// Ends every fault and waits until the fleet is whole again.
    pub fn heal(&mut self) {
        self.come_back();
        for entry in self.frozen.clone() {
            self.thaw(entry);
        }
        for entry in 0..self.lives.len() {
            if self.links[entry] != Path::Open {
                self.link(entry, Path::Open);
            }
        }
        self.heal_platform();
        for engine in self.misnaming.clone() {
            self.misname(engine);
        }
        for engine in 0..self.it.fleet.engines().len() {
            self.set_engine(engine, &engine::Switch::BreakStreams { after: 0, times: 0 });
        }
        for plain in 0..self.sizes().plains {
            self.set_plain(plain, &plain::Switch::Refuse(Power::Off));
            self.set_plain(plain, &plain::Switch::DelayMs(0));
        }
        self.cut(plain::Cut::BeforeRun, 0);
        self.it.wait_ready();
        self.wait_revision();
        self.look();
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

    /// Waits until every host has the same revision and at least the highest accepted one.
    fn wait_revision(&self) {
        let wanted = self.accepted.revision;
        let entries = self.it.fleet.entries();
        let what = format!("every host has revision {wanted} or one above, all the same");
        wait(&what, || {
            let statuses = entries.iter().filter_map(fixture::status);
            let revisions: Vec<u64> = statuses.filter_map(|it| it["revision"].as_u64()).collect();
            let same = revisions.iter().all(|it| *it == revisions[0]);
            revisions.len() == entries.len() && same && revisions[0] >= wanted
        });
    }

    /// The logs of all lives, for a run that failed.
    pub fn logs(&self) -> Vec<(Life, String)> {
        let mut logs = self.logs.clone();
        for entry in 0..self.lives.len() {
            logs.push((self.life(entry), self.it.entry(entry).process().log()));
        }
        logs
    }
}
