//! Engines of several builds: releases that replace engines one after the other, engines that crash or fall silent for
//! about a second, and streams that callers take up again at another host.

use std::{thread, time::Duration};

use rand::{RngExt, rngs::StdRng};

use super::{ENGINES, Recovery, Run, Size, random_subset};
use crate::{
    proxy::{Fault, Proxy},
    world::{
        client::{Reader, Request},
        engine::{Engine, Script},
    },
};

/// Builds of the model engines.
pub(super) const BUILDS: [&str; 3] = ["v1", "v2", "v3"];

/// Pause between two events of a stream, so that streams are in progress when a fault occurs.
const EVENT_PAUSE: Duration = Duration::from_millis(80);

/// Number of streams of a build that are taken up again without faults.
const STREAMS: usize = 12;

/// Number of tries of a caller that takes a stream up, and the pause between two of them.
const TRIES: usize = 3;
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// A change of the model engines. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Release {
    /// Replaces engines one after the other by engines of a build. Each announces that it leaves, and is replaced after
    /// the time.
    Replace(Vec<Replacement>),
    /// An engine sends and reads nothing for the time, and goes on.
    FallSilent(usize, u64),
    /// Engines crash and restart with the same build.
    Crash(Vec<usize>),
}

/// Replacement of an engine.
#[derive(Clone, Debug)]
pub struct Replacement {
    pub(super) engine: usize,
    pub(super) build: &'static str,
    /// True if the new incarnation has the id of the earlier one.
    pub(super) keeps_id: bool,
    /// Time from the step until the engine announces that it leaves.
    pub(super) leaves_ms: u64,
    /// Time from the announcement until the engine is replaced.
    pub(super) drain_ms: u64,
}

impl Release {
    /// Chooses whether engines are replaced, crash or fall silent.
    pub fn choose(rng: &mut StdRng, size: Size) -> Option<Self> {
        let engines: Vec<usize> = size.model_engines().collect();
        let build = BUILDS[rng.random_range(0..BUILDS.len())];
        let silent = engines[rng.random_range(0..engines.len())];
        let silence_ms = rng.random_range(700..1500);
        let gap_ms = rng.random_range(100..500);
        let crashed = random_subset(rng, engines.len());
        let crashed = crashed.into_iter().map(|it| engines[it]).collect();
        let mut chosen = Vec::new();
        let mut leaves_ms = 0;
        for engine in engines {
            let is_chosen = rng.random_range(0..2) == 0;
            let keeps_id = rng.random_range(0..4) == 0;
            let drain_ms = rng.random_range(100..1500);
            if is_chosen {
                chosen.push(Replacement {
                    engine,
                    build,
                    keeps_id,
                    leaves_ms,
                    drain_ms,
                });
                leaves_ms += gap_ms;
            }
        }
        match rng.random_range(0..8) {
            0 => Some(Self::Replace(chosen)),
            1 | 2 => Some(Self::FallSilent(silent, silence_ms)),
            3 | 4 => Some(Self::Crash(crashed)),
            _ => None,
        }
    }
}

impl Run {
    /// Prepares a model engine that starts.
    pub(super) fn equip_engine(engine: &Engine, build: &str) {
        engine.set_build(build);
        engine.set_event_interval(EVENT_PAUSE);
    }

    /// Returns the build with which an engine starts in a run.
    pub(super) fn first_build(engine: usize) -> &'static str {
        BUILDS[usize::from(engine >= ENGINES)]
    }

    pub(super) fn release(&mut self, release: &Release) {
        match release {
            Release::Replace(replacements) => {
                for it in replacements {
                    self.recover_after(it.leaves_ms, Recovery::AnnounceLeaving(it.clone()));
                }
            }
            Release::Crash(engines) => {
                for it in engines {
                    self.engines[*it].sever();
                    self.restart_engine(*it);
                }
            }
            Release::FallSilent(it, ms) => {
                if self.engine_proxies[*it].fault() == Fault::None {
                    self.engine_proxies[*it].set(Fault::Silent);
                    self.recover_after(*ms, Recovery::Silence(*it));
                }
            }
        }
    }

    pub(super) fn announce_leaving(&mut self, replacement: &Replacement) {
        self.write_entry(replacement.engine, "draining");
        self.recover_after(replacement.drain_ms, Recovery::Replace(replacement.clone()));
    }

    pub(super) fn replace(&mut self, replacement: &Replacement) {
        let it = replacement.engine;
        let old = self.engines[it].clone();
        self.store.remove("servers", &old.id);
        old.sever();
        self.entries[it] = None;
        if replacement.keeps_id {
            old.restart_as(replacement.build);
            self.engine_proxies[it].reset();
            self.rebuilt.push(old.run_prefix());
        } else {
            let id = format!("{}-{}", old.id, self.retired.len());
            let new = Engine::start(&self.runtime, &id, "chat");
            Self::equip_engine(&new, replacement.build);
            new.set_newest_version(self.versions);
            if let Some(part) = self.crashing_parts.last() {
                new.set_crashing_part(part);
            }
            let proxy = Proxy::start(&self.runtime, new.addr);
            let old_proxy = std::mem::replace(&mut self.engine_proxies[it], proxy);
            old_proxy.set(Fault::Refuse);
            old_proxy.reset();
            self.engines[it] = new;
            self.retired.push(old);
            self.restore_capacity(it);
        }
        self.write_entry(it, "ready");
    }

    /// Removes the entries of engines that have been replaced. A copy of the store may contain them.
    pub(super) fn remove_retired(&self) {
        for it in &self.retired {
            self.store.remove("servers", &it.id);
        }
    }

    /// Checks that streams go on after their host was killed, at least half as often as new streams begin, if two
    /// engines of their build serve.
    pub(super) fn check_taken_up_streams(&mut self) {
        let number = self.rng.random_range(0..self.hosts.len());
        let other = (number + 1) % self.hosts.len();
        let mut streams = Vec::new();
        for stream in 0..STREAMS * BUILDS.len() {
            let id = format!("begun-{stream}");
            for it in self.size.model_engines() {
                self.engines[it].script_request(&id, Script::StallsAfter(2));
            }
            let request = Request::prompt("/stream/x", &id, "m").with_timeout_ms("4000");
            let response = Reader::new(&request, self.hosts[number].callers).read_events(2);
            self.harness_ids.push(id.clone());
            if let Some(last) = response.events().pop() {
                streams.push((id, last));
            }
        }
        self.hosts[number].kill();
        for build in BUILDS {
            let serving = self
                .size
                .model_engines()
                .filter(|it| self.engines[*it].build() == build);
            let of_build: Vec<_> = streams.iter().filter(|it| it.1.build == build).collect();
            let mut went_on = 0;
            let mut new = 0;
            for (first, last) in &of_build {
                let request =
                    |id: &str| Request::prompt("/stream/x", id, "m").with_timeout_ms("4000");
                for attempt in 0..TRIES {
                    let id = format!("{first}-{attempt}");
                    self.harness_ids.push(id.clone());
                    let answer = request(&id)
                        .resuming(last.id, first)
                        .send(self.hosts[other].callers);
                    if answer.events().iter().any(|it| it.build != build) {
                        self.violations.push(format!(
                            "a stream of {build} went on at another: {answer:?}"
                        ));
                    }
                    if answer.status == 200 {
                        went_on += usize::from(answer.is_complete);
                        break;
                    }
                    thread::sleep(TRY_PAUSE);
                }
                let id = format!("{first}-new");
                self.harness_ids.push(id.clone());
                let answer = request(&id).send(self.hosts[other].callers);
                new += usize::from(answer.status == 200);
            }
            let total = of_build.len();
            println!(
                "seed {}: {build}: of {total} streams {went_on} went on, {new} new ones began",
                self.seed
            );
            if total >= STREAMS && serving.count() >= 2 && 2 * went_on < new {
                self.violations.push(format!(
                    "of {total} streams of {build}, {went_on} went on, and {new} new ones began"
                ));
            }
        }
        self.wait_until_ready();
    }
}
