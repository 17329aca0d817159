//! One run: faults that overlap while callers ask, then a calm end in which what must hold in time is looked
//! at, and the check of all that was seen.

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

use crate::{
    caller::{self, Route, Shared},
    check::{self, Left, Records},
    host::{Ended, Host},
    proxy::{Harm, Proxy},
    step::Step,
    world::{
        config,
        engine::{Engine, Orders, Script},
        free_addr,
        store::{Mode, Store},
        until,
    },
};

/// Hosts, engines and instances of the plain service.
const HOSTS: usize = 3;
const ENGINES: usize = 3;
const PLAIN: usize = 2;

/// Callers at the same time.
const CALLERS: u64 = 8;

/// Steps of a run.
const STEPS: usize = 30;

/// Time within which an engine that leaves must get nothing more, as in the settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which the leaving engine is watched after that.
const WATCHED: Duration = Duration::from_millis(1500);

/// Time after a host stood still in which its orders may come late.
const THAW: Duration = Duration::from_millis(300);

/// A sleep that took this much longer says that the machine gave this process no time, and so perhaps not
/// the hosts either: what must happen in time isn't judged then.
const STARVED: Duration = Duration::from_millis(250);

/// What ends by itself.
enum End {
    Thaw(usize),
    StoreFor(usize),
    Store,
    Engine(usize),
    Answers(usize),
    Orders(usize),
    Listed(usize),
}

struct Run {
    seed: u64,
    rng: StdRng,
    runtime: Runtime,
    store: Store,
    engines: Vec<Engine>,
    ways: Vec<Proxy>,
    store_ways: Vec<Proxy>,
    hosts: Vec<Host>,
    shared: std::sync::Arc<Shared>,
    config: u64,
    versions: u64,
    ends: Vec<(Instant, End)>,
    frozen: Vec<(usize, Instant, Instant)>,
    left: Vec<Left>,
    faults: Vec<String>,
}

/// Runs a seed and returns what was broken.
pub fn run(seed: u64) -> Vec<String> {
    let mut run = Run::start(seed);
    let callers: Vec<_> = (0..CALLERS)
        .map(|it| caller::spawn(&run.shared, seed * 1000 + it))
        .collect();
    for number in 0..STEPS {
        let step = Step::choose(&mut run.rng, HOSTS, ENGINES + PLAIN);
        println!("seed {seed} step {number}: {step:?}");
        run.take(&step);
        let pause = run.rng.random_range(50..500);
        run.pass(Duration::from_millis(pause));
    }
    run.heal();
    run.calm();
    run.shared
        .stop
        .store(true, std::sync::atomic::Ordering::Relaxed);
    for it in callers {
        it.join().expect("a caller ends");
    }
    run.finish()
}

impl Run {
    fn start(seed: u64) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let store = Store::start(&runtime);
        let engine = |it: usize| {
            let service = if it < ENGINES { "chat" } else { "desk" };
            Engine::start(&runtime, &format!("i-{:04x}", it + 0x1a), service)
        };
        let engines: Vec<Engine> = (0..ENGINES + PLAIN).map(engine).collect();
        let ways: Vec<Proxy> = engines
            .iter()
            .map(|it| Proxy::start(&runtime, it.addr))
            .collect();
        let store_ways: Vec<Proxy> = (0..HOSTS)
            .map(|_| Proxy::start(&runtime, store.addr))
            .collect();
        let port = free_addr().port();
        let loopback = u8::try_from(seed % 200).expect("it is small") + 2;
        let peers = |it: usize| {
            let last = u8::try_from(it + 1).expect("hosts are few");
            SocketAddr::from(([127, 0, loopback, last], port))
        };
        let seeds: Vec<SocketAddr> = (0..HOSTS).map(peers).collect();
        let mut run = Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            store,
            engines,
            ways,
            store_ways,
            hosts: Vec::new(),
            shared: Shared::new(Vec::new()),
            config: 1,
            versions: 1,
            ends: Vec::new(),
            frozen: Vec::new(),
            left: Vec::new(),
            faults: Vec::new(),
            runtime,
        };
        run.store.put("config", "main", &config(1));
        for it in 0..run.engines.len() {
            run.list(it, "ready");
        }
        for (it, way) in run.store_ways.iter().enumerate() {
            let host = Host::start(seed, it, peers(it), way.addr, &seeds);
            run.hosts.push(host);
        }
        run.shared = Shared::new(run.hosts.iter().map(|it| it.callers).collect());
        run.until_ready();
        run
    }

    fn until_ready(&self) {
        until("all hosts are ready", || {
            self.hosts.iter().all(Host::is_ready)
        });
    }

    /// Writes the entry of an engine, which is reached by its proxy.
    fn list(&self, it: usize, state: &str) {
        let engine = &self.engines[it];
        let mut entry = engine.entry(state);
        entry["addr"] = json!(self.ways[it].addr.to_string());
        self.store.put("servers", &engine.id, &entry);
    }

    fn ends_in(&mut self, ms: u64, end: End) {
        self.ends
            .push((Instant::now() + Duration::from_millis(ms), end));
    }

    /// Lets time pass and ends what is to end in it.
    fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let now = Instant::now();
            let (due, rest) = std::mem::take(&mut self.ends)
                .into_iter()
                .partition(|it: &(Instant, End)| it.0 <= now);
            self.ends = rest;
            let due: Vec<(Instant, End)> = due;
            for (_, end) in due {
                self.end(&end);
            }
            if now >= until {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Kill(it) => self.hosts[*it].kill(),
            Step::Freeze(it, ms) => {
                if !self.hosts[*it].frozen {
                    self.hosts[*it].freeze();
                    let now = Instant::now();
                    self.frozen.push((*it, now, now));
                    self.ends_in(*ms, End::Thaw(*it));
                }
            }
            Step::Terminate(it) => {
                self.terminate(*it);
                self.hosts[*it].restart();
            }
            Step::StoreFor(it, harm, ms) => {
                self.store_ways[*it].set(*harm);
                self.ends_in(*ms, End::StoreFor(*it));
            }
            Step::Store(mode, ms) => {
                self.store.set(*mode);
                self.ends_in(*ms, End::Store);
            }
            Step::Forget => self.store.forget(),
            Step::Engine(it, harm, ms) => {
                self.ways[*it].set(*harm);
                self.ends_in(*ms, End::Engine(*it));
            }
            Step::Reset(it) => self.ways[*it].reset(),
            Step::Answers(it, script, ms) => {
                self.engines[*it].answers_all(script.clone());
                self.ends_in(*ms, End::Answers(*it));
            }
            Step::LateOrders(it, ms) => {
                self.engines[*it].takes_orders(Orders::LateAndSilent);
                self.ends_in(*ms, End::Orders(*it));
            }
            Step::Restart(it) => {
                self.engines[*it].restart();
                self.ways[*it].reset();
                self.list(*it, "ready");
            }
            Step::Drops(it) => self.engines[*it].drops("m/a0"),
            Step::Leave(it, ms) => {
                self.list(*it, "draining");
                self.ends_in(*ms, End::Listed(*it));
            }
            Step::Vanish(it, ms) => {
                self.store.remove("servers", &self.engines[*it].id);
                self.ends_in(*ms, End::Listed(*it));
            }
            Step::Config => self.configure(),
            Step::Version(it) => self.announce(*it),
        }
    }

    fn end(&mut self, end: &End) {
        match end {
            End::Thaw(it) => {
                if self.hosts[*it].frozen {
                    self.hosts[*it].thaw();
                }
                let thawed = Instant::now() + THAW;
                let open = self.frozen.iter_mut().filter(|frozen| frozen.0 == *it);
                if let Some(last) = open.last() {
                    last.2 = thawed;
                }
            }
            End::StoreFor(it) => {
                self.store_ways[*it].set(Harm::None);
                self.store_ways[*it].reset();
            }
            End::Store => self.store.set(Mode::Well),
            End::Engine(it) => {
                self.ways[*it].set(Harm::None);
                self.ways[*it].reset();
            }
            End::Answers(it) => self.engines[*it].answers_all(Script::Well),
            End::Orders(it) => self.engines[*it].takes_orders(Orders::Well),
            End::Listed(it) => self.list(*it, "ready"),
        }
    }

    /// The next configuration has one more route; the others stay.
    fn configure(&mut self) {
        self.config += 1;
        let mut next = config(self.config);
        let added = json!({
            "name": format!("only-{}", self.config), "hostname": "a.example",
            "path_prefix": format!("/only-{}/", self.config), "kind": "idempotent",
            "timeout_ms": 8000, "goal_ms": 800, "priority": 1, "service": "desk", "max_attempts": 2,
        });
        if let Some(routes) = next["routes"].as_array_mut() {
            routes.push(added);
        }
        self.store.put("config", "main", &next);
    }

    fn announce(&mut self, adapter: usize) {
        self.versions += 1;
        for it in &self.engines {
            it.newest(self.versions);
        }
        let spec: Value =
            json!({"model": "m", "adapter": format!("a{adapter}"), "version": self.versions});
        self.store.put("versions", &format!("m.a{adapter}"), &spec);
    }

    fn terminate(&mut self, it: usize) {
        let ended = self.hosts[it].terminate();
        if !matches!(ended, Ended::With(Some(0)) | Ended::Unborn) {
            self.faults
                .push(format!("host {it} ended {ended:?} after SIGTERM"));
        }
    }

    /// Ends every fault.
    fn heal(&mut self) {
        for (_, end) in std::mem::take(&mut self.ends) {
            self.end(&end);
        }
        for it in self.ways.iter().chain(&self.store_ways) {
            it.set(Harm::None);
            it.reset();
        }
        self.store.set(Mode::Well);
        for it in 0..self.engines.len() {
            self.engines[it].answers_all(Script::Well);
            self.engines[it].takes_orders(Orders::Well);
            self.list(it, "ready");
        }
        self.until_ready();
    }

    /// Without faults every route is served by every host, and what has a time holds in time.
    fn calm(&mut self) {
        for host in 0..HOSTS {
            for route in Route::ALL {
                until("every route is served again by every host", || {
                    let answer = self.shared.send(&mut self.rng, route, host);
                    answer.status == 200 && answer.whole
                });
            }
        }
        // Longer than any host may take to notice that the store answers again.
        thread::sleep(Duration::from_secs(3));
        self.leave_in_time();
        self.configure_in_time();
        self.end_in_order();
    }

    fn leave_in_time(&mut self) {
        let engine = self.rng.random_range(ENGINES..ENGINES + PLAIN);
        self.list(engine, "draining");
        let from = Instant::now() + DRAIN;
        if !self.rest(DRAIN + WATCHED) {
            let to = from + WATCHED;
            self.left.push(Left { engine, from, to });
        }
        self.list(engine, "ready");
    }

    fn configure_in_time(&mut self) {
        self.configure();
        let old = self.config - 1;
        if self.rest(DRAIN) {
            return;
        }
        for host in &self.hosts {
            let status = |version: u64| {
                let id = format!("config-{version}");
                let path = format!("/only-{version}/x");
                crate::world::client::Ask::post(&path, &id, "")
                    .send(host.callers)
                    .status
            };
            if status(self.config) == 404 || status(old) != 404 {
                self.faults
                    .push(format!("config {} isn't in force in time", self.config));
            }
        }
    }

    /// A host that is told to end cuts nothing that it has read.
    fn end_in_order(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let told = Instant::now();
        self.terminate(host);
        self.hosts[host].restart();
        let calls = self.shared.calls.lock().expect("no holder panics").clone();
        let before = |it: &&caller::Call| it.host == host && it.sent < told;
        let ran = |id: &str| self.engines.iter().any(|it| it.ran(id) > 0);
        for it in calls.iter().filter(before).rev().take(50) {
            let young = told - it.sent < Duration::from_secs(1);
            if young && !it.answer.whole && ran(&it.id) {
                self.faults
                    .push(format!("the end of host {host} cut it: {it:?}"));
            }
        }
        self.until_ready();
    }

    /// Sleeps; true if the machine gave this process too little time.
    fn rest(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut starved = false;
        while Instant::now() < end {
            let began = Instant::now();
            thread::sleep(Duration::from_millis(20));
            starved |= began.elapsed() > STARVED;
        }
        if starved {
            println!("seed {}: the machine is too busy to judge times", self.seed);
        }
        starved
    }

    fn finish(mut self) -> Vec<String> {
        let configs: Vec<String> = (0..=self.config).map(|it| format!("config-{it}")).collect();
        let calls = self.shared.calls.lock().expect("no holder panics").clone();
        let mut faults = std::mem::take(&mut self.faults);
        let found = check::faults(&Records {
            calls: &calls,
            engines: &self.engines,
            left: &self.left,
            frozen: &self.frozen,
            own: &configs,
        });
        faults.extend(found);
        faults.extend(check::unserved(&calls));
        for host in 0..HOSTS {
            self.terminate(host);
        }
        faults.append(&mut self.faults);
        println!("seed {}: {}", self.seed, check::outcomes(&calls));
        if faults.is_empty() {
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
        // Engines and proxies end with it.
        drop(self.runtime);
        faults
    }
}
