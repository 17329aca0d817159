//! Requests and connections at the limits of a host, and bodies that arrive while it stops.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Run;
use crate::{
    caller::{Call, Route, Traffic},
    host::Exit,
    world::engine::Engine,
};

/// Maximum length of a body, as in the configuration.
const MAX_BODY_LENGTH: usize = 100_000;

/// Status of a host that refuses a body for its length.
const TOO_LARGE: u16 = 413;

/// Times in ms after SIGTERM at which the slow bodies of the check are complete.
const BODY_TIMES_MS: [u64; 8] = [500, 1500, 2300, 2700, 4000, 6000, 7300, 7550];

/// Time for which the heads of these requests are sent before SIGTERM.
const HEAD_TIME: Duration = Duration::from_millis(300);

/// A step at a limit of a host. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Edge {
    /// Bodies as long as allowed, and one byte shorter or longer.
    Bodies(usize),
    /// A number of connections, each with a request whose last byte comes after a time.
    SlowBodies(usize, usize, u64),
    /// The same, and SIGTERM meanwhile.
    SlowBodiesAtStop(usize, usize, u64),
}

impl Edge {
    /// Chooses whether a host is brought to a limit.
    pub fn choose(rng: &mut StdRng, hosts: usize) -> Option<Self> {
        let host = rng.random_range(0..hosts);
        let count = [5, 20, 150][rng.random_range(0..3)];
        let ms = rng.random_range(50..3500);
        match rng.random_range(0..16) {
            0 | 1 => Some(Self::Bodies(host)),
            2..=4 => Some(Self::SlowBodies(host, count, ms)),
            5 => Some(Self::SlowBodiesAtStop(host, count, ms)),
            _ => None,
        }
    }
}

/// Callers of these steps, which run until they have their answers.
pub struct Edges {
    rng: StdRng,
    callers: Vec<JoinHandle<Call>>,
}

impl Edges {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            callers: Vec::new(),
        }
    }

    /// Chooses whether a step is made, and makes it.
    pub fn advance(&mut self, run: &mut Run, number: usize) {
        let Some(step) = Edge::choose(&mut self.rng, run.hosts.len()) else {
            return;
        };
        println!("seed {} step {number}: {step:?}", run.seed);
        match step {
            Edge::Bodies(host) => {
                for route in [Route::Read, Route::Write, Route::Single] {
                    for length in [MAX_BODY_LENGTH - 1, MAX_BODY_LENGTH, MAX_BODY_LENGTH + 1] {
                        self.call(&run.traffic, route, Some(length), host, Instant::now());
                    }
                }
            }
            Edge::SlowBodies(host, count, ms) => self.call_slowly(run, host, count, ms),
            Edge::SlowBodiesAtStop(host, count, ms) => {
                self.call_slowly(run, host, count, ms);
                run.hosts[host].begin_termination();
            }
        }
    }

    /// Sends a number of requests with their last bytes after a time in ms.
    fn call_slowly(&mut self, run: &Run, host: usize, count: usize, ms: u64) {
        let at = Instant::now() + Duration::from_millis(ms);
        for route in Route::ALL.into_iter().cycle().take(count) {
            self.call(&run.traffic, route, None, host, at);
        }
    }

    /// Sends a request with its last byte at a time, and a body of this length if it is given.
    fn call(
        &mut self,
        traffic: &Arc<Traffic>,
        route: Route,
        length: Option<usize>,
        host: usize,
        at: Instant,
    ) {
        let traffic = traffic.clone();
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        self.callers.push(thread::spawn(move || {
            traffic.send_last_byte_at(&mut rng, route, length, host, at)
        }));
    }

    /// Waits for all answers. Returns what is wrong with those to bodies of the maximum length and longer ones.
    pub fn finish(&mut self, engines: &[Engine]) -> Vec<String> {
        let calls: Vec<Call> = (self.callers.drain(..))
            .map(|it| it.join().expect("a caller ends"))
            .collect();
        let ran = |it: &Call| engines.iter().any(|engine| engine.run_count(&it.id) > 0);
        let is_wrong = |it: &&Call| {
            let is_too_large = it.body().len() > MAX_BODY_LENGTH;
            let is_refused = it.answer.status == TOO_LARGE;
            is_refused && !is_too_large || is_too_large && ran(it)
        };
        let wrong = calls.iter().filter(is_wrong);
        wrong
            .map(|it| {
                let (length, status) = (it.body().len(), it.answer.status);
                format!("{}: a body of {length} bytes got status {status}", it.id)
            })
            .collect()
    }

    /// Checks that without other faults a host that stops cuts no request that it has sent to an engine, whether its
    /// body came while the host drained or a caller sent it on an open connection.
    pub fn check_late_bodies(&mut self, run: &mut Run) {
        let host = self.rng.random_range(0..run.hosts.len());
        let terminated_at = Instant::now() + HEAD_TIME;
        for ms in BODY_TIMES_MS {
            for route in Route::ALL {
                let at = terminated_at + Duration::from_millis(ms);
                self.call(&run.traffic, route, None, host, at);
            }
        }
        let mut is_starved = run.sleep_detecting_starvation(HEAD_TIME);
        run.hosts[host].begin_termination();
        let exit = loop {
            is_starved |= run.sleep_detecting_starvation(Duration::from_millis(20));
            if let Some(it) = run.hosts[host].poll_exit() {
                break it;
            }
            if terminated_at.elapsed() > super::signals::GRACE_TIME + Duration::from_secs(1) {
                break run.hosts[host].terminate();
            }
        };
        if exit != Exit::Status(Some(0)) {
            let violation = format!("host {host} ended {exit:?} after SIGTERM with late bodies");
            run.violations.push(violation);
        }
        let wrong = self.finish(&run.engines);
        run.violations.extend(wrong);
        thread::sleep(super::CALLER_TIME);
        if !is_starved {
            let calls = run.traffic.calls.lock().expect("lock is poisoned").clone();
            let of_host = calls
                .iter()
                .filter(|it| it.host == host && terminated_at <= it.sent_at + HEAD_TIME);
            let ran = |id: &str| run.engines.iter().any(|it| it.run_count(id) > 0);
            let cut = of_host.filter(|it| !it.answer.is_complete && ran(&it.id));
            let cut: Vec<String> = cut
                .map(|it| format!("the stop of host {host} cut a late request: {it:?}"))
                .collect();
            run.violations.extend(cut);
        }
        run.hosts[host].restart();
        run.wait_until_ready();
    }
}
