//! Prompts of some callers that crash each engine that begins to answer them.

use std::time::{Duration, Instant};

use rand::{RngExt, rngs::StdRng};

use super::{MAX_OVERSLEEP, Recovery, Run};
use crate::{
    caller::{Call, Route},
    world::{
        crash::{CrashingPart, Identity, Outage, Port},
        engine::Engine,
    },
};

/// Time in which a crashed engine refuses connections, in ms.
pub(super) const OUTAGE_MS: u64 = 1500;

/// Time after which the entry of an engine states its new start, in ms.
const ENTRY_MS: u64 = 100;

/// Time in which a host learns what other hosts know.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of crashes after which hosts must stop sending requests with a part, and number of requests that may still
/// reach engines later than [`CONTACT_TIME`] after that.
const MAX_CRASHES: usize = 5;
const MAX_LATE_REQUESTS: usize = 3;

/// Minimum number of streams before and beside the crashes for a comparison.
const MIN_STREAMS: usize = 20;

/// Maximum time of the crashes without other faults.
const MAX_TIME: Duration = Duration::from_secs(20);

/// A part of the prompts of some callers crashes engines for a time in ms.
#[derive(Clone, Debug)]
pub struct Crashes {
    ms: u64,
}

impl Crashes {
    /// Chooses whether prompts crash engines.
    pub fn choose(rng: &mut StdRng) -> Option<Self> {
        let ms = rng.random_range(1000..4000);
        (rng.random_range(0..12) == 0).then_some(Self { ms })
    }
}

impl Run {
    /// Makes a new part of prompts crash engines, instead of the last one.
    fn begin_crashes(&mut self) -> CrashingPart {
        let outage = Outage {
            time: Duration::from_millis(OUTAGE_MS),
            identity: Identity::Same,
            port: Port::Closed,
        };
        self.end_crashes();
        let id = format!("dead{:02x}", self.crashing_parts.len());
        let part = CrashingPart::new(&id, outage);
        for it in self.size.model_engines() {
            self.engines[it].set_crashing_part(&part);
        }
        self.traffic.use_part(&id);
        self.listed_crashes = 0;
        self.crashing_parts.push(part.clone());
        part
    }

    pub(super) fn crash_engines(&mut self, step: &Crashes) {
        self.begin_crashes();
        self.recover_after(step.ms, Recovery::Crashes);
    }

    /// Makes the part crash no engine any more. Callers still use it.
    pub(super) fn end_crashes(&self) {
        if let Some(part) = self.crashing_parts.last() {
            part.make_harmless();
        }
    }

    /// Lists the new starts of engines that crashed because of a prompt.
    pub(super) fn list_crashed_engines(&mut self) {
        let Some(part) = self.crashing_parts.last() else {
            return;
        };
        let crashes = part.crashes();
        for crash in &crashes[self.listed_crashes..] {
            let engine = self.engines.iter().position(|it| it.id == crash.engine);
            if let Some(it) = engine {
                self.recover_after(OUTAGE_MS + ENTRY_MS, Recovery::Entry(it));
            }
        }
        self.listed_crashes = crashes.len();
    }

    /// Checks that without other faults hosts stop sending requests with a part that crashes engines, go on serving the
    /// others, and lose no request once the part crashes no engine.
    pub(super) fn check_crashing_prompts(&mut self) {
        let before = Instant::now();
        let mut starved = self.pass_time(CONTACT_TIME);
        let begun = Instant::now();
        let part = self.begin_crashes();
        let limit = || {
            let crashes = part.crashes();
            crashes.iter().take(MAX_CRASHES).next_back().map(|it| it.at)
        };
        while begun.elapsed() < MAX_TIME && limit().is_none_or(|it| it.elapsed() < 3 * CONTACT_TIME)
        {
            starved |= self.pass_time(Duration::from_millis(100));
        }
        let ended = Instant::now();
        self.end_crashes();
        starved |= self.pass_time(Duration::from_millis(OUTAGE_MS) + CONTACT_TIME);
        let healthy = Instant::now();
        starved |= self.pass_time(CONTACT_TIME);
        let Some(limit) = limit() else {
            self.violations.push("no prompt crashed an engine".into());
            return;
        };
        let received = self.engines.iter().flat_map(Engine::received_requests);
        let late = received
            .filter(|it| limit + CONTACT_TIME < it.received_at && it.received_at < ended)
            .filter(|it| part.is_in(it))
            .count();
        let calls = self.traffic.calls.lock().expect("lock is poisoned").clone();
        let streams: Vec<&Call> = (calls.iter())
            .filter(|it| it.route == Route::Stream && it.resumed.is_none())
            .collect();
        let share = |from: Instant, to: Instant| {
            let sent = streams
                .iter()
                .filter(|it| from < it.sent_at && it.sent_at < to);
            let sound: Vec<_> = sent.filter(|it| !it.prompt.contains(&part.id)).collect();
            let begun = sound.iter().filter(|it| it.answer.status == 200).count();
            (begun, sound.len())
        };
        let usual = share(before, begun);
        let beside = share(limit + 2 * CONTACT_TIME, ended);
        println!(
            "seed {}: {} crashes by prompts, {late} late requests; of {} sound streams {} began, of {} before {}",
            self.seed,
            part.crashes().len(),
            beside.1,
            beside.0,
            usual.1,
            usual.0
        );
        let is_served = |it: &&&Call| {
            it.answer.is_complete && (it.answer.status == 200 || it.answer.status == 503)
        };
        let lost = (streams.iter())
            .filter(|it| it.sent_at > healthy && it.prompt.contains(&part.id))
            .filter(|it| !is_served(it));
        let lost = lost.map(|it| format!("lost after the crashes by prompts: {it:?}"));
        self.violations.extend(lost);
        if starved {
            println!(
                "seed {}: the machine is too busy to check crashes by prompts",
                self.seed
            );
            return;
        }
        if late > MAX_LATE_REQUESTS {
            self.violations.push(format!(
                "{late} requests with the part {} reached engines late",
                part.id
            ));
        }
        let is_compared = usual.1 >= MIN_STREAMS && beside.1 >= MIN_STREAMS;
        if is_compared && 2 * beside.0 * usual.1 < usual.0 * beside.1 {
            self.violations.push(format!(
                "beside prompts that crash engines {} of {} sound streams began, {} of {} before",
                beside.0, beside.1, usual.0, usual.1
            ));
        }
    }

    /// Lets time pass. Returns true if the test process was delayed too much.
    pub(super) fn pass_time(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut starved = false;
        while Instant::now() < end {
            let began = Instant::now();
            self.run_for(Duration::from_millis(20));
            starved |= began.elapsed() > MAX_OVERSLEEP;
        }
        starved
    }
}
