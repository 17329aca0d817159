//! Engines that limit the requests of all hosts together, and plain requests that crash the instances that run them.

use std::time::{Duration, Instant};

use rand::{RngExt, rngs::StdRng};

use super::{ENGINES, PLAIN_INSTANCES, Recovery, Run, crashes};
use crate::world::{
    client::Request,
    crash::{CrashingPart, Identity, Outage, Port},
    engine::Engine,
};

/// Time after which hosts must keep a limit, and the span in which requests are counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Limit of the check without other faults, and the requests that it allows in a [`WINDOW`].
const CHECKED_LIMIT: &str = "2";
const MAX_REQUESTS: usize = 17;

/// Number of crashes after which hosts must stop sending a request, and number of times that it may still reach instances
/// later than [`CONTACT_TIME`] after that.
const MAX_CRASHES: usize = 3;
const MAX_LATE_REQUESTS: usize = 3;

/// Time between two requests that crash instances, and for which they are sent.
const DEADLY_INTERVAL: Duration = Duration::from_millis(150);
const DEADLY_TIME: Duration = Duration::from_secs(9);

/// An engine states a limit for a time in ms.
#[derive(Clone, Debug)]
pub struct Limiting {
    engine: usize,
    limit: &'static str,
    ms: u64,
}

impl Limiting {
    /// Chooses whether an engine limits its requests.
    pub fn choose(rng: &mut StdRng) -> Option<Self> {
        let engine = rng.random_range(0..ENGINES + PLAIN_INSTANCES);
        let limits = ["0", "0.5", "2", "2.0", "20", "none", "-1"];
        let limit = limits[rng.random_range(0..limits.len())];
        let ms = rng.random_range(300..3000);
        (rng.random_range(0..6) == 0).then_some(Self { engine, limit, ms })
    }
}

impl Run {
    pub(super) fn limit_engine(&mut self, step: &Limiting) {
        self.engines[step.engine].set_request_limit(Some(step.limit));
        self.recover_after(step.ms, Recovery::Limit(step.engine));
    }

    /// Checks that without other faults instances with a limit get no more requests from all hosts together.
    pub(super) fn check_limits(&mut self) {
        let instances = ENGINES..ENGINES + PLAIN_INSTANCES;
        for it in instances.clone() {
            self.engines[it].set_request_limit(Some(CHECKED_LIMIT));
        }
        let mut starved = self.pass_time(CONTACT_TIME);
        let from = Instant::now();
        starved |= self.pass_time(2 * WINDOW);
        for it in instances {
            let engine = &self.engines[it];
            let received = engine.received_requests();
            let times: Vec<Instant> = (received.iter().map(|it| it.received_at))
                .filter(|it| *it > from)
                .collect();
            let in_window = |first: &Instant| {
                let later = times
                    .iter()
                    .filter(|it| first <= *it && **it < *first + WINDOW);
                later.count()
            };
            let most = times.iter().map(in_window).max().unwrap_or(0);
            println!(
                "seed {}: instance {it} with a limit got up to {most} requests",
                self.seed
            );
            if most > MAX_REQUESTS && !starved {
                self.violations.push(format!(
                    "instance {it} got {most} requests in {WINDOW:?}, limit {MAX_REQUESTS}"
                ));
            }
            self.engines[it].set_request_limit(None);
        }
    }

    /// Checks that without other faults hosts stop sending a plain request that crashes instances.
    pub(super) fn check_crashing_requests(&mut self) {
        let outage = Outage {
            time: Duration::from_millis(crashes::OUTAGE_MS),
            identity: Identity::Same,
            port: Port::Closed,
        };
        let body = format!("deadly {}", self.seed);
        let deadly = CrashingPart::body(&body, outage);
        for it in ENGINES..ENGINES + PLAIN_INSTANCES {
            self.engines[it].set_crashing_part(&deadly);
        }
        self.listed_crashes = 0;
        self.crashing_parts.push(deadly.clone());
        let begun = Instant::now();
        let mut starved = false;
        let mut open = Vec::new();
        while begun.elapsed() < DEADLY_TIME {
            let id = format!("deadly-{}", open.len());
            let host = self.hosts[open.len() % self.hosts.len()].callers;
            let request = Request::post("/read/x", &id, &body).with_timeout_ms("2000");
            self.harness_ids.push(id);
            open.push(request.start(host));
            starved |= self.pass_time(DEADLY_INTERVAL);
        }
        let ended = Instant::now();
        self.end_crashes();
        drop(open);
        starved |= self.pass_time(CONTACT_TIME);
        let crashes = deadly.crashes();
        let Some(limit) = crashes.get(MAX_CRASHES - 1).or(crashes.last()) else {
            self.violations
                .push("no request crashed an instance".into());
            return;
        };
        let received = self.engines.iter().flat_map(Engine::received_requests);
        let late = received
            .filter(|it| limit.at + CONTACT_TIME < it.received_at && it.received_at < ended)
            .filter(|it| deadly.is_in(it))
            .count();
        println!(
            "seed {}: {} crashes by a plain request, {late} late",
            self.seed,
            crashes.len()
        );
        if late > MAX_LATE_REQUESTS && !starved {
            self.violations.push(format!(
                "a request that crashes instances reached them {late} times late"
            ));
        }
    }
}
