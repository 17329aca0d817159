//! Failures one after the other: engines that start again under their ids, as the same or another build, with their clocks
//! set back and with late entries; releases; kills and suspensions of hosts; and cuts of engines and of the store.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, rngs::StdRng};
use serde_json::json;

use super::{
    Recovery, Run, Size,
    releases::{BUILDS, Replacement},
};
use crate::proxy::Fault;

/// One in this many hosts, and engines, takes part in a series at most.
const MAX_SHARE: usize = 8;

/// Kinds of failures of a series.
const KINDS: usize = 6;

/// Failures with the time in ms from the step until each.
pub type Series = Vec<(u64, Failure)>;

/// A failure of a series. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Failure {
    /// An engine starts again under its id.
    Restart(Restart),
    /// An engine is replaced.
    Replace(Replacement),
    /// SIGKILL followed by a restart of a host.
    Kill(usize),
    /// SIGSTOP to a host, followed by SIGCONT.
    Suspend(usize, u64),
    /// A fault of the connections to an engine.
    CutEngine(usize, Fault, u64),
    /// A fault of the connections of a host to the store.
    CutStore(usize, Fault, u64),
}

/// Restart of an engine under its id.
#[derive(Clone, Debug)]
pub struct Restart {
    engine: usize,
    /// `None` if the build stays the same.
    build: Option<&'static str>,
    clock: Clock,
    reports: Reports,
    /// Time from the restart until the new entry is written.
    entry_ms: u64,
}

/// Clock of an engine that starts again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Clock {
    Kept,
    SetBack,
}

/// Start of an engine in its status reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reports {
    Stated,
    Silent,
}

/// Chooses a series: failures of one kind, or of all kinds.
pub fn choose(rng: &mut StdRng, size: Size) -> Series {
    let engines: Vec<usize> = size.model_engines().collect();
    let only = rng.random_range(0..=KINDS);
    let largest = (size.model_engines.max(size.hosts) / MAX_SHARE).max(2);
    let max_gap_ms = [1, 40, 300][rng.random_range(0..3)];
    let mut ms = 0;
    (0..rng.random_range(1..=largest))
        .map(|_| {
            let kind = if only == KINDS {
                rng.random_range(0..KINDS)
            } else {
                only
            };
            let engine = engines[rng.random_range(0..engines.len())];
            ms += rng.random_range(0..max_gap_ms);
            (ms, choose_failure(rng, kind, engine, size.hosts))
        })
        .collect()
}

fn choose_failure(rng: &mut StdRng, kind: usize, engine: usize, hosts: usize) -> Failure {
    let host = rng.random_range(0..hosts);
    let ms = rng.random_range(100..2000);
    let build = BUILDS[rng.random_range(0..BUILDS.len())];
    let faults = [
        Fault::Blackhole,
        Fault::Silent,
        Fault::DropAnswers,
        Fault::Refuse,
    ];
    let fault = faults[rng.random_range(0..faults.len())];
    match kind {
        0 | 1 => Failure::Restart(Restart {
            engine,
            build: (rng.random_range(0..3) != 0).then_some(build),
            clock: [Clock::Kept, Clock::SetBack][rng.random_range(0..2)],
            reports: [Reports::Stated, Reports::Stated, Reports::Silent][rng.random_range(0..3)],
            entry_ms: [0, rng.random_range(0..1000)][rng.random_range(0..2)],
        }),
        2 => Failure::Replace(Replacement {
            engine,
            build,
            keeps_id: rng.random_range(0..2) == 0,
            leaves_ms: 0,
            drain_ms: ms,
        }),
        3 => Failure::Kill(host),
        4 => Failure::Suspend(host, ms),
        _ if rng.random_range(0..2) == 0 => Failure::CutStore(host, fault, ms),
        _ => Failure::CutEngine(engine, fault, ms),
    }
}

impl Run {
    pub(super) fn begin_series(&mut self, series: Series) {
        for (ms, failure) in series {
            self.recover_after(ms, Recovery::Fail(failure));
        }
    }

    pub(super) fn fail(&mut self, failure: &Failure) {
        match failure {
            Failure::Restart(it) => self.restart_under_id(it),
            Failure::Replace(it) => self.announce_leaving(it),
            Failure::Kill(it) => self.hosts[*it].kill(),
            Failure::Suspend(it, ms) => self.pause(*it, *ms),
            Failure::CutEngine(it, fault, ms) => {
                self.engine_proxies[*it].set(*fault);
                self.recover_after(*ms, Recovery::EngineProxy(*it));
            }
            Failure::CutStore(it, fault, ms) => {
                self.store_proxies[*it].set(*fault);
                self.recover_after(*ms, Recovery::StoreProxy(*it));
            }
        }
    }

    fn restart_under_id(&mut self, restart: &Restart) {
        let it = restart.engine;
        let engine = &self.engines[it];
        if restart.clock == Clock::SetBack {
            engine.set_clock_back();
        }
        if restart.reports == Reports::Silent {
            engine.hide_start();
        }
        let former = engine.build();
        let build = restart.build.unwrap_or(&former);
        // The entry of the former incarnation may not have been written yet.
        let was_rebuilt = self.rebuilt.contains(&engine.run_prefix());
        engine.restart_as(build);
        if was_rebuilt || former != build {
            self.rebuilt.push(engine.run_prefix());
        }
        self.engine_proxies[it].reset();
        self.entries[it] = Some("ready");
        self.write_entry_later(it, Duration::from_millis(restart.entry_ms));
    }

    /// Writes the entry of the current incarnation of an engine after a time, also while a step waits for a host.
    fn write_entry_later(&self, it: usize, delay: Duration) {
        let (store, engine) = (self.store.clone(), self.engines[it].clone());
        let addr = self.engine_proxies[it].addr;
        let restarted_at = Instant::now();
        let incarnation = engine.run_prefix();
        let seed = self.seed;
        thread::spawn(move || {
            thread::sleep(delay);
            if engine.run_prefix() != incarnation {
                return;
            }
            let mut entry = engine.entry("ready");
            entry["addr"] = json!(addr.to_string());
            store.put("servers", &engine.id, &entry);
            println!(
                "seed {seed}: {incarnation} is listed as {} after {:?}",
                engine.build(),
                restarted_at.elapsed()
            );
        });
    }
}
