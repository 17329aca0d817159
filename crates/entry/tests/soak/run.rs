//! A single run: overlapping faults under load, then checks with time limits without faults, and
//! finally the check of all observations.

mod crashes;
mod edges;
mod endings;
mod floods;
mod limits;
mod pressure;
mod releases;
mod series;
mod signals;
mod silences;
mod size;
mod usage;

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

pub use self::size::Size;
use self::{
    crashes::Crashes,
    edges::Edges,
    endings::Ending,
    floods::Floods,
    limits::Limiting,
    pressure::Pressure,
    releases::{Release, Replacement},
    series::Failure,
    signals::Signals,
    silences::Silence,
};
use crate::{
    caller::{self, Route, Traffic},
    check::{self, LeaveWindow, Records},
    host::{Exit, Host},
    order::Breaks,
    proxy::{Fault, Proxy},
    step::Step,
    world::{
        WAIT_TIMEOUT, config,
        crash::CrashingPart,
        engine::{Capacity, Engine, OrderScript, Script},
        free_addr,
        store::{Copy, Era, Mode, Store},
        wait_until,
    },
};

/// Numbers of model engines, and instances of the plain service, that all steps choose.
const ENGINES: usize = 3;
const PLAIN_INSTANCES: usize = 2;

/// Number of callers that open a connection for a few requests.
const CALLERS: u64 = 8;

/// Number of callers that send only requests for streams that may be resumed.
const STREAM_CALLERS: u64 = 16;

/// Number of loyal callers of each host, and of all hosts.
const LOYAL_CALLERS_PER_HOST: usize = 8;
const MAX_LOYAL_CALLERS: usize = 120;

/// Limits of a model engine and of an instance of the plain service.
const ENGINE_CAPACITY: Capacity = Capacity {
    slots: 8,
    queue: 4,
    work_time: Duration::from_millis(10),
};
const PLAIN_CAPACITY: Capacity = Capacity {
    slots: 3,
    queue: 3,
    work_time: Duration::from_millis(15),
};

/// Number of steps of a run.
const STEPS: usize = 30;

/// Make the generators of rollbacks, pressure, signals, floods, releases, endings, crashes, limits, edges, series and silences
/// differ from that of the other steps.
const ROLLBACK_SEED: u64 = 0x5eed;
const PRESSURE_SEED: u64 = 0x9e55;
const SIGNAL_SEED: u64 = 0x516a;
const FLOOD_SEED: u64 = 0xf10d;
const RELEASE_SEED: u64 = 0x4e1e;
const ENDING_SEED: u64 = 0xe4d5;
const CRASH_SEED: u64 = 0xc4a5;
const LIMIT_SEED: u64 = 0x1174;
const EDGE_SEED: u64 = 0xed6e;
const SERIES_SEED: u64 = 0x5e21;
const SILENCE_SEED: u64 = 0x517e;

/// Time for which a run with series goes on without faults.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Time after the exit of a host in which callers notice the end of their connections.
const CALLER_TIME: Duration = Duration::from_millis(250);

/// The time after which a leaving engine must receive no new requests, as in the settings.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long a leaving engine is observed after that.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);

/// How long after a pause the orders of a host may be late.
const LATE_ORDER_TIME: Duration = Duration::from_millis(300);

/// The largest accepted delay of a sleep. A longer one means that the machine is overloaded,
/// probably for the hosts as well, so checks with time limits are skipped.
const MAX_OVERSLEEP: Duration = Duration::from_millis(250);

/// The scheduled end of a fault.
enum Recovery {
    Resume(usize),
    StoreProxy(usize),
    Store,
    EngineProxy(usize),
    Script(usize),
    Orders(usize),
    Entry(usize),
    Rewrite,
    PartialScript(usize),
    Capacity(usize),
    IdleTimeout(usize),
    Reports(usize),
    TerminateAgain(usize),
    KillDraining(usize),
    PauseDraining(usize, u64),
    Silence(usize),
    AnnounceLeaving(Replacement),
    Replace(Replacement),
    Crashes,
    Limit(usize),
    Fail(Failure),
}

struct Run {
    seed: u64,
    size: Size,
    rng: StdRng,
    runtime: Runtime,
    store: Store,
    engines: Vec<Engine>,
    engine_proxies: Vec<Proxy>,
    store_proxies: Vec<Proxy>,
    hosts: Vec<Host>,
    traffic: std::sync::Arc<Traffic>,
    config: u64,
    versions: u64,
    /// The newest version that was announced for each adapter.
    announced: BTreeMap<usize, u64>,
    /// Copies of the store, one from before each step.
    copies: Vec<Copy>,
    /// The state in the last entry of each engine; `None` if it was removed.
    entries: Vec<Option<&'static str>>,
    recoveries: Vec<(Instant, Recovery)>,
    pause_windows: Vec<(usize, Instant, Instant)>,
    leave_windows: Vec<LeaveWindow>,
    /// Engines that have been replaced by others under new ids.
    retired: Vec<Engine>,
    /// Incarnations that have another build than the previous one under their id.
    rebuilt: Vec<String>,
    /// Parts of prompts that have crashed engines. Only the last one may still do so.
    crashing_parts: Vec<CrashingPart>,
    /// Number of crashes by the last part whose engines have been or will be listed with their new start.
    listed_crashes: usize,
    /// Request ids used by the run itself instead of callers.
    harness_ids: Vec<String>,
    violations: Vec<String>,
}

/// Runs a seed and returns the violations.
pub fn run(seed: u64, size: Size) -> Vec<String> {
    let hosts = size.hosts;
    let mut run = Run::start(seed, size);
    if size.series > 0 {
        run.traffic.vary_prompts();
    }
    let mut callers: Vec<_> = (0..CALLERS)
        .map(|it| caller::spawn(&run.traffic, seed * 1000 + it))
        .collect();
    let loyal_callers = size.loyal_callers();
    callers.extend(
        (0..loyal_callers)
            .zip(seed * 1000 + CALLERS..)
            .map(|(number, seed)| caller::spawn_loyal(&run.traffic, seed, number % hosts)),
    );
    callers.extend(
        (0..size.stream_callers())
            .map(|it| caller::spawn_streaming(&run.traffic, (seed ^ RELEASE_SEED) * 1000 + it)),
    );
    let mut rollback_rng = StdRng::seed_from_u64(seed ^ ROLLBACK_SEED);
    let mut pressure_rng = StdRng::seed_from_u64(seed ^ PRESSURE_SEED);
    let mut signal_rng = StdRng::seed_from_u64(seed ^ SIGNAL_SEED);
    let mut flood_rng = StdRng::seed_from_u64(seed ^ FLOOD_SEED);
    let mut release_rng = StdRng::seed_from_u64(seed ^ RELEASE_SEED);
    let mut ending_rng = StdRng::seed_from_u64(seed ^ ENDING_SEED);
    let mut crash_rng = StdRng::seed_from_u64(seed ^ CRASH_SEED);
    let mut limit_rng = StdRng::seed_from_u64(seed ^ LIMIT_SEED);
    let mut edges = Edges::new(seed ^ EDGE_SEED);
    let mut series_rng = StdRng::seed_from_u64(seed ^ SERIES_SEED);
    let mut silence_rng = StdRng::seed_from_u64(seed ^ SILENCE_SEED);
    for number in 0..STEPS.max(size.series) {
        let step = Step::choose(&mut run.rng, hosts, ENGINES + PLAIN_INSTANCES);
        println!("seed {seed} step {number}: {step:?}");
        run.copies.push(run.store.copy());
        run.apply(&step);
        if let Some(step) = Step::choose_rollback(&mut rollback_rng, run.copies.len()) {
            println!("seed {seed} step {number}: {step:?}");
            run.apply(&step);
        }
        if let Some(step) = Pressure::choose(&mut pressure_rng) {
            println!("seed {seed} step {number}: {step:?}");
            run.press(&step);
        }
        if let Some(step) = Signals::choose(&mut signal_rng, hosts) {
            println!("seed {seed} step {number}: {step:?}");
            run.send_signals(&step);
        }
        if let Some(step) = Floods::choose(&mut flood_rng) {
            println!("seed {seed} step {number}: {step:?}");
            run.flood(&step);
        }
        if let Some(step) = Release::choose(&mut release_rng, size) {
            println!("seed {seed} step {number}: {step:?}");
            run.release(&step);
        }
        if let Some(step) = Ending::choose(&mut ending_rng) {
            println!("seed {seed} step {number}: {step:?}");
            run.end_responses(&step);
        }
        if let Some(step) = Crashes::choose(&mut crash_rng) {
            println!("seed {seed} step {number}: {step:?}");
            run.crash_engines(&step);
        }
        if let Some(step) = Limiting::choose(&mut limit_rng) {
            println!("seed {seed} step {number}: {step:?}");
            run.limit_engine(&step);
        }
        if let Some(step) = Silence::choose(&mut silence_rng) {
            println!("seed {seed} step {number}: {step:?}");
            run.silence(&step);
        }
        edges.advance(&mut run, number);
        if number < size.series {
            let step = series::choose(&mut series_rng, size);
            println!("seed {seed} step {number}: {step:?}");
            run.begin_series(step);
        }
        let pause = run.rng.random_range(50..500);
        run.run_for(Duration::from_millis(pause));
        run.check_memory();
    }
    run.heal();
    run.check_memory();
    let wrong = edges.finish(&run.engines);
    run.violations.extend(wrong);
    if size.series == 0 {
        run.check_without_faults();
        edges.check_late_bodies(&mut run);
    } else {
        run.run_for(CALM_TIME);
    }
    run.traffic
        .stop
        .store(true, std::sync::atomic::Ordering::Relaxed);
    for it in callers {
        it.join().expect("a caller ends");
    }
    run.finish()
}

impl Run {
    fn start(seed: u64, size: Size) -> Self {
        let hosts = size.hosts;
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let store = Store::start(&runtime);
        let engine = |it: usize| {
            let is_model = size.is_model(it);
            let (service, capacity) = if is_model {
                ("chat", ENGINE_CAPACITY)
            } else {
                ("desk", PLAIN_CAPACITY)
            };
            let engine = Engine::start(&runtime, &format!("i-{:04x}", it + 0x1a), service);
            engine.set_capacity(capacity);
            if is_model {
                Self::equip_engine(&engine, Self::first_build(it));
            }
            engine
        };
        let engine_count = size.engines();
        let engines: Vec<Engine> = (0..engine_count).map(engine).collect();
        let engine_proxies: Vec<Proxy> = engines
            .iter()
            .map(|it| Proxy::start(&runtime, it.addr))
            .collect();
        let store_proxies: Vec<Proxy> = (0..hosts)
            .map(|_| Proxy::start(&runtime, store.addr))
            .collect();
        // All hosts of a run use the same peer port, each on its own loopback address. The second byte
        // separates test processes, and the third concurrent runs.
        let port = free_addr().port();
        let process =
            u8::try_from(std::process::id() % 250).expect("the value fits into a byte") + 2;
        let loopback = u8::try_from(seed % 200).expect("the value fits into a byte") + 2;
        let peers = |it: usize| {
            let last = u8::try_from(it + 1).expect("the host number fits into a byte");
            SocketAddr::from(([127, process, loopback, last], port))
        };
        let seeds: Vec<SocketAddr> = (0..hosts).map(peers).collect();
        let mut run = Self {
            seed,
            size,
            rng: StdRng::seed_from_u64(seed),
            store,
            engines,
            engine_proxies,
            store_proxies,
            hosts: Vec::new(),
            traffic: Traffic::new(Vec::new()),
            config: 1,
            versions: 1,
            announced: BTreeMap::new(),
            copies: Vec::new(),
            entries: vec![None; engine_count],
            recoveries: Vec::new(),
            pause_windows: Vec::new(),
            leave_windows: Vec::new(),
            retired: Vec::new(),
            rebuilt: Vec::new(),
            crashing_parts: Vec::new(),
            listed_crashes: 0,
            harness_ids: Vec::new(),
            violations: Vec::new(),
            runtime,
        };
        run.store.set_era(Era::Number(1));
        run.store.put("config", "main", &config(1));
        for it in 0..run.engines.len() {
            run.write_entry(it, "ready");
        }
        for (it, proxy) in run.store_proxies.iter().enumerate() {
            let host = Host::start(seed, it, peers(it), proxy.addr, &seeds);
            run.hosts.push(host);
        }
        run.traffic = Traffic::new(run.hosts.iter().map(|it| it.callers).collect());
        run.wait_until_ready();
        run
    }

    fn wait_until_ready(&self) {
        wait_until("all hosts are ready", || {
            self.hosts.iter().all(Host::is_ready)
        });
    }

    /// Writes the store entry of an engine, with the address of its proxy.
    fn write_entry(&mut self, it: usize, state: &'static str) {
        let engine = &self.engines[it];
        if self.entries[it] == Some("draining") && state == "ready" {
            // An engine that drains ends. Another incarnation follows under the same id.
            engine.restart();
            self.engine_proxies[it].reset();
        }
        self.entries[it] = Some(state);
        let mut entry = engine.entry(state);
        entry["addr"] = json!(self.engine_proxies[it].addr.to_string());
        self.store.put("servers", &engine.id, &entry);
    }

    fn recover_after(&mut self, ms: u64, recovery: Recovery) {
        self.recoveries
            .push((Instant::now() + Duration::from_millis(ms), recovery));
    }

    /// Lets time pass and performs the recoveries that become due.
    fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let now = Instant::now();
            let (due, pending) = std::mem::take(&mut self.recoveries)
                .into_iter()
                .partition(|it: &(Instant, Recovery)| it.0 <= now);
            self.recoveries = pending;
            let due: Vec<(Instant, Recovery)> = due;
            for (_, recovery) in due {
                self.recover(&recovery);
            }
            self.restart_ended_hosts();
            self.list_crashed_engines();
            if now >= until {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn pause(&mut self, it: usize, ms: u64) {
        if !self.hosts[it].paused {
            self.hosts[it].pause();
            let now = Instant::now();
            self.pause_windows.push((it, now, now));
            self.recover_after(ms, Recovery::Resume(it));
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Kill(it) => self.hosts[*it].kill(),
            Step::Pause(it, ms) => self.pause(*it, *ms),
            Step::Terminate(it) => self.terminate_and_restart(*it),
            Step::StoreProxy(it, fault, ms) => {
                self.store_proxies[*it].set(*fault);
                self.recover_after(*ms, Recovery::StoreProxy(*it));
            }
            Step::Store(mode, ms) => {
                self.store.set_mode(*mode);
                self.recover_after(*ms, Recovery::Store);
            }
            Step::ForgetHistory => self.store.drop_history(),
            Step::EngineProxy(it, fault, ms) => {
                self.engine_proxies[*it].set(*fault);
                self.recover_after(*ms, Recovery::EngineProxy(*it));
            }
            Step::ResetEngineConnections(it) => self.engine_proxies[*it].reset(),
            Step::Script(it, script, ms) => {
                self.engines[*it].set_default_script(script.clone());
                self.recover_after(*ms, Recovery::Script(*it));
            }
            Step::LateOrders(it, ms) => {
                self.engines[*it].set_order_script(OrderScript::LateWithoutResponse);
                self.recover_after(*ms, Recovery::Orders(*it));
            }
            Step::Restart(it) => self.restart_engine(*it),
            Step::DropAdapter(it) => self.engines[*it].remove_model("m/a0"),
            Step::Leave(it, ms) => {
                self.write_entry(*it, "draining");
                self.recover_after(*ms, Recovery::Entry(*it));
            }
            Step::Vanish(it, ms) => {
                self.entries[*it] = None;
                self.store.remove("servers", &self.engines[*it].id);
                self.recover_after(*ms, Recovery::Entry(*it));
            }
            Step::RollBack(back, ms) => {
                let copy = self.copies[self.copies.len() - back].clone();
                self.store.roll_back(&copy);
                self.recover_after(*ms, Recovery::Rewrite);
            }
            Step::Config => self.configure(),
            Step::Version(it) => self.announce_version(*it),
        }
    }

    fn restart_engine(&mut self, it: usize) {
        self.engines[it].restart();
        self.engine_proxies[it].reset();
        self.write_entry(it, "ready");
    }

    /// Sets the limits that an engine has in a run.
    fn restore_capacity(&self, it: usize) {
        let capacity = if self.size.is_model(it) {
            ENGINE_CAPACITY
        } else {
            PLAIN_CAPACITY
        };
        self.engines[it].set_capacity(capacity);
    }

    fn recover(&mut self, recovery: &Recovery) {
        match recovery {
            Recovery::Resume(it) => {
                if self.hosts[*it].paused {
                    self.hosts[*it].resume();
                }
                let late_until = Instant::now() + LATE_ORDER_TIME;
                let windows = self
                    .pause_windows
                    .iter_mut()
                    .filter(|window| window.0 == *it);
                if let Some(last) = windows.last() {
                    last.2 = late_until;
                }
            }
            Recovery::StoreProxy(it) => {
                self.store_proxies[*it].set(Fault::None);
                self.store_proxies[*it].reset();
            }
            Recovery::Store => self.store.set_mode(Mode::Normal),
            Recovery::EngineProxy(it) => {
                self.engine_proxies[*it].set(Fault::None);
                self.engine_proxies[*it].reset();
            }
            Recovery::Script(it) => self.engines[*it].set_default_script(Script::Normal),
            Recovery::Orders(it) => self.engines[*it].set_order_script(OrderScript::Normal),
            Recovery::Entry(it) => self.write_entry(*it, "ready"),
            Recovery::Rewrite => self.write_again(),
            Recovery::PartialScript(it) => self.engines[*it].clear_partial_script(),
            Recovery::Reports(it) => self.engines[*it].flood_reports(None),
            Recovery::IdleTimeout(it) => self.engines[*it].set_idle_timeout(None),
            Recovery::Capacity(it) => self.restore_capacity(*it),
            Recovery::Silence(it) => {
                if self.engine_proxies[*it].fault() == Fault::Silent {
                    self.engine_proxies[*it].set(Fault::None);
                }
            }
            Recovery::AnnounceLeaving(it) => self.announce_leaving(it),
            Recovery::Replace(it) => self.replace(it),
            Recovery::Crashes => self.end_crashes(),
            Recovery::Limit(it) => self.engines[*it].set_request_limit(None),
            Recovery::Fail(it) => self.fail(it),
            Recovery::TerminateAgain(it) => {
                if self.hosts[*it].terminating {
                    self.hosts[*it].begin_termination();
                }
            }
            Recovery::KillDraining(it) => {
                if self.hosts[*it].terminating {
                    self.hosts[*it].kill();
                }
            }
            Recovery::PauseDraining(it, ms) => {
                if self.hosts[*it].terminating {
                    self.pause(*it, *ms);
                }
            }
        }
    }

    /// Writes again what the operator and the engines wrote last.
    fn write_again(&mut self) {
        self.remove_retired();
        self.publish_configuration();
        for (adapter, version) in self.announced.clone() {
            self.publish_version(adapter, version);
        }
        for it in 0..self.engines.len() {
            if let Some(state) = self.entries[it] {
                self.write_entry(it, state);
            }
        }
    }

    /// Publishes a new configuration.
    fn configure(&mut self) {
        self.config += 1;
        self.publish_configuration();
    }

    /// Publishes the configuration: the base routes and one route that only this version has.
    fn publish_configuration(&self) {
        let mut document = config(self.config);
        let added = json!({
            "name": format!("only-{}", self.config), "hostname": "a.example",
            "path_prefix": format!("/only-{}/", self.config), "kind": "idempotent",
            "timeout_ms": 8000, "goal_ms": 800, "priority": 1, "service": "desk", "max_attempts": 2,
        });
        if let Some(routes) = document["routes"].as_array_mut() {
            routes.push(added);
        }
        self.store.put("config", "main", &document);
    }

    fn announce_version(&mut self, adapter: usize) {
        self.versions += 1;
        for it in &self.engines {
            it.set_newest_version(self.versions);
        }
        self.announced.insert(adapter, self.versions);
        self.publish_version(adapter, self.versions);
    }

    fn publish_version(&self, adapter: usize, version: u64) {
        let spec: Value =
            json!({"model": "m", "adapter": format!("a{adapter}"), "version": version});
        self.store.put("versions", &format!("m.a{adapter}"), &spec);
    }

    fn terminate_and_restart(&mut self, it: usize) {
        self.terminate(it);
        self.hosts[it].restart();
    }

    fn terminate(&mut self, it: usize) {
        let exit = self.hosts[it].terminate();
        self.check_exit(it, exit);
    }

    fn check_exit(&mut self, it: usize, exit: Exit) {
        if !matches!(exit, Exit::Status(Some(0)) | Exit::BeforeStart) {
            self.violations
                .push(format!("host {it} ended {exit:?} after SIGTERM"));
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        while !self.recoveries.is_empty() {
            for (_, recovery) in std::mem::take(&mut self.recoveries) {
                self.recover(&recovery);
            }
        }
        self.relieve_engines();
        self.remove_retired();
        self.wait_for_drains();
        for it in self.engine_proxies.iter().chain(&self.store_proxies) {
            it.set(Fault::None);
            it.reset();
        }
        self.store.set_mode(Mode::Normal);
        for it in 0..self.engines.len() {
            self.engines[it].set_default_script(Script::Normal);
            self.engines[it].set_order_script(OrderScript::Normal);
            self.engines[it].flood_reports(None);
            self.engines[it].set_request_limit(None);
            self.write_entry(it, "ready");
        }
        if self.size.series == 0 {
            self.wait_until_ready();
        } else {
            self.check_ready();
        }
    }

    /// Reports the hosts that are not ready in time. What was observed is checked all the same.
    fn check_ready(&mut self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for (it, host) in self.hosts.iter().enumerate() {
            while !host.is_ready() && Instant::now() < deadline {
                thread::sleep(CALLER_TIME);
            }
            if !host.is_ready() {
                self.violations.push(format!(
                    "host {it} is not ready within {WAIT_TIMEOUT:?}, process {}, log {}",
                    host.id(),
                    host.log.display()
                ));
            }
        }
    }

    /// Checks that without faults every host serves every route, and that time limits are met.
    fn check_without_faults(&mut self) {
        for host in 0..self.hosts.len() {
            for route in Route::ALL {
                wait_until("every route is served again by every host", || {
                    let answer = self.traffic.send(&mut self.rng, route, host);
                    answer.status == 200 && answer.is_complete
                });
            }
        }
        // This exceeds the time that any host takes to notice that the store responds again.
        thread::sleep(Duration::from_secs(3));
        self.check_leaving_in_time();
        self.check_configuration_in_time();
        self.check_graceful_shutdown();
        self.check_overlapping_shutdowns();
        self.check_taken_up_streams();
        self.check_crashing_prompts();
        self.check_limits();
        self.check_crashing_requests();
    }

    fn check_leaving_in_time(&mut self) {
        let engine = self.rng.random_range(ENGINES..ENGINES + PLAIN_INSTANCES);
        self.write_entry(engine, "draining");
        let start = Instant::now() + DRAIN_TIME;
        if !self.sleep_detecting_starvation(DRAIN_TIME + OBSERVATION_TIME) {
            let end = start + OBSERVATION_TIME;
            self.leave_windows.push(LeaveWindow { engine, start, end });
        }
        self.write_entry(engine, "ready");
    }

    fn check_configuration_in_time(&mut self) {
        self.configure();
        let old = self.config - 1;
        if self.sleep_detecting_starvation(DRAIN_TIME) {
            return;
        }
        for host in &self.hosts {
            let status = |version: u64| {
                let id = format!("config-{version}");
                let path = format!("/only-{version}/x");
                crate::world::client::Request::post(&path, &id, "")
                    .send(host.callers)
                    .status
            };
            if status(self.config) == 404 || status(old) != 404 {
                self.violations.push(format!(
                    "config {} did not take effect in time",
                    self.config
                ));
            }
        }
    }

    /// Checks that a terminated host aborts no request that it has read.
    fn check_graceful_shutdown(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let terminated_at = Instant::now();
        self.terminate_and_restart(host);
        self.check_aborted_requests(&[host], terminated_at);
        self.wait_until_ready();
    }

    /// Reports the requests that hosts have aborted, of those that were sent in the last second before SIGTERM.
    fn check_aborted_requests(&mut self, hosts: &[usize], terminated_at: Instant) {
        thread::sleep(CALLER_TIME);
        let calls = self.traffic.calls.lock().expect("lock is poisoned").clone();
        let is_recent = |it: &&caller::Call| {
            let age = terminated_at.checked_duration_since(it.sent_at);
            age.is_some_and(|it| it < Duration::from_secs(1))
        };
        let ran = |id: &str| self.engines.iter().any(|it| it.run_count(id) > 0);
        let of_hosts = calls.iter().filter(|it| hosts.contains(&it.host));
        let aborted = of_hosts
            .filter(is_recent)
            .filter(|it| !it.answer.is_complete && ran(&it.id));
        let aborted = aborted.map(|it| {
            format!(
                "the shutdown of host {} aborted the request: {it:?}",
                it.host
            )
        });
        self.violations.extend(aborted);
    }

    /// Sleeps. Returns true if the test process itself was delayed too much.
    fn sleep_detecting_starvation(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut starved = false;
        while Instant::now() < end {
            let began = Instant::now();
            thread::sleep(Duration::from_millis(20));
            starved |= began.elapsed() > MAX_OVERSLEEP;
        }
        if starved {
            println!(
                "seed {}: the machine is too busy for checks with time limits",
                self.seed
            );
        }
        starved
    }

    fn finish(mut self) -> Vec<String> {
        let configs = (0..=self.config).map(|it| format!("config-{it}"));
        self.harness_ids.extend(configs);
        let engines: Vec<Engine> = self.engines.iter().chain(&self.retired).cloned().collect();
        let calls = self.traffic.calls.lock().expect("lock is poisoned").clone();
        let mut violations = std::mem::take(&mut self.violations);
        let found = check::find_violations(&Records {
            calls: &calls,
            engines: &engines,
            leave_windows: &self.leave_windows,
            pause_windows: &self.pause_windows,
            harness_ids: &self.harness_ids,
            rebuilt: &self.rebuilt,
        });
        violations.extend(found);
        violations.extend(check::find_unserved_routes(&calls));
        println!(
            "seed {}: {}",
            self.seed,
            Breaks::count(&calls, &self.rebuilt)
        );
        self.print_usage();
        if self.size.series > 0 {
            for it in &mut self.hosts {
                it.begin_termination();
            }
        }
        for host in 0..self.hosts.len() {
            self.terminate(host);
        }
        violations.append(&mut self.violations);
        println!("seed {}: {}", self.seed, check::summarize_outcomes(&calls));
        let late_copies: usize = self.engines.iter().map(Engine::late_copies).sum();
        let full_refusals: usize = self.engines.iter().map(Engine::full_refusals).sum();
        println!(
            "seed {}: {late_copies} responses sent again where the next was expected, {full_refusals} refusals of full \
             engines",
            self.seed
        );
        if violations.is_empty() {
            for it in &self.hosts {
                let _ = fs::remove_file(&it.log);
            }
        } else {
            let logs = self.hosts.iter().map(|it| it.log.display().to_string());
            println!(
                "seed {}: logs {}",
                self.seed,
                logs.collect::<Vec<_>>().join(" ")
            );
        }
        // Dropping the runtime stops the engines and proxies.
        drop(self.runtime);
        violations
    }
}

/// Chooses each of the numbers below a limit with equal chance.
fn random_subset(rng: &mut StdRng, limit: usize) -> Vec<usize> {
    (0..limit).filter(|_| rng.random_range(0..2) == 0).collect()
}
