//! Drives a run: the steps, the requests between them, and the final checks.

use std::{collections::BTreeSet, fs, thread::JoinHandle};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    caller::{self, Plan},
    check,
    fixture::{Delivery, wait_until},
    history::{Call, Operation},
    step::Step,
    world::World,
};

/// Number of steps of a run.
const STEPS: usize = 25;

/// Number of caller threads per step.
const CALLERS_PER_STEP: usize = 6;

/// Number of requests that each caller sends.
const REQUESTS_PER_CALLER: usize = 2;

/// The requested adapters, most popular first.
fn references() -> Vec<String> {
    let named = [
        "signs/bay-summary@7",
        "signs/bay-summary@6",
        "cards/formula-card@12",
    ];
    let parks = (1..=9).map(|it| format!("signs/car-park-{it:02}@1"));
    named.into_iter().map(str::to_owned).chain(parks).collect()
}

/// Runs a seed and checks its history.
pub fn run(seed: u64) {
    println!("seed {seed}");
    let mut run = Run {
        world: World::start(seed),
        rng: StdRng::seed_from_u64(seed),
        references: references(),
        sent: 0,
    };
    run.steps();
    run.world.heal();
    println!(
        "seed {seed}: healed at revision {}",
        run.world.accepted.revision
    );
    run.final_calls();
    run.wait_idle();
    let violations = check::find_violations(&run.world);
    if !violations.is_empty() {
        run.save_logs(seed);
    }
    assert!(
        violations.is_empty(),
        "seed {seed}:\n{}",
        violations.join("\n")
    );
}

struct Run {
    world: World,
    rng: StdRng,
    references: Vec<String>,
    sent: usize,
}

impl Run {
    fn steps(&mut self) {
        let mut before: Vec<JoinHandle<Vec<Call>>> = Vec::new();
        for number in 0..STEPS {
            self.world.step = number;
            let callers = (0..CALLERS_PER_STEP)
                .map(|_| caller::spawn(self.plans()))
                .collect();
            let step = Step::choose(&mut self.rng, self.world.sizes());
            println!("step {number}: {step:?}");
            self.world.apply(&step);
            self.world.observe();
            self.collect(std::mem::replace(&mut before, callers));
        }
        self.collect(before);
    }

    fn collect(&mut self, callers: Vec<JoinHandle<Vec<Call>>>) {
        for caller in callers {
            self.world.history.calls.extend(caller.join().unwrap());
        }
    }

    fn plans(&mut self) -> Vec<Plan> {
        (0..REQUESTS_PER_CALLER).map(|_| self.plan()).collect()
    }

    fn plan(&mut self) -> Plan {
        let running = self.world.running();
        // A load balancer would send few requests to a paused host.
        let entry = match self.rng.random_range(0..16) {
            0 => self.rng.random_range(0..self.world.sizes().entries),
            _ => running[self.rng.random_range(0..running.len())],
        };
        let operation = caller::choose(&mut self.rng, &self.references, self.world.step);
        self.plan_at(entry, operation)
    }

    fn plan_at(&mut self, entry: usize, operation: Operation) -> Plan {
        self.sent += 1;
        Plan {
            id: format!("call-{}", self.sent),
            incarnation: self.world.incarnation(entry),
            step: self.world.step,
            operation,
            address: self.world.fixture.entry(entry).address(),
        }
    }

    /// Repeats all keys and requests all versions that must be active.
    fn final_calls(&mut self) {
        self.world.step = STEPS;
        let calls = self.world.history.calls.iter();
        let keys: BTreeSet<String> = calls
            .filter_map(|it| match &it.operation {
                Operation::Keyed { key } => Some(key.clone()),
                Operation::Model { .. } => None,
            })
            .collect();
        for key in keys {
            let entry = self.rng.random_range(0..self.world.sizes().entries);
            let plan = self.plan_at(entry, Operation::Keyed { key });
            self.world.history.calls.push(caller::send(plan));
        }
        for version in self.world.accepted.versions.clone() {
            self.request_edited(version);
        }
    }

    /// Requests an accepted version from every host. Refusals that may be temporary are retried.
    fn request_edited(&mut self, version: u32) {
        for entry in 0..self.world.sizes().entries {
            wait_until("an accepted version is served", || {
                let call = caller::send(self.plan_at(
                    entry,
                    Operation::Model {
                        reference: format!("signs/edited@{version}"),
                        delivery: Delivery::Whole,
                    },
                ));
                let retry = call.is_retryable();
                self.world.history.calls.push(call);
                !retry
            });
        }
    }

    fn wait_idle(&self) {
        wait_until("every engine is idle", || {
            self.world
                .fixture
                .engine_counts()
                .iter()
                .all(|it| it.active == 0)
        });
    }

    fn save_logs(&self, seed: u64) {
        let directory = std::env::temp_dir().join(format!("comfreywing-chaos-{seed}"));
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).unwrap();
        for (incarnation, log) in self.world.logs() {
            let name = format!(
                "{}-{}.log",
                self.world.fixture.entry(incarnation.entry).name,
                incarnation.number
            );
            fs::write(directory.join(name), log).unwrap();
        }
        let calls = self
            .world
            .history
            .calls
            .iter()
            .map(|it| format!("{it:?}\n"));
        fs::write(directory.join("calls"), calls.collect::<String>()).unwrap();
        println!("logs of seed {seed}: {}", directory.display());
    }
}
