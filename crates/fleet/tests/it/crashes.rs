//! Hosts that tell each other of crashes, and engines that crash on a part of prompts.

use std::{collections::VecDeque, time::Duration};

use fleet::{
    Time,
    quarantine::{Incarnation, PartId, Quarantine, SETTLE_TIME, Suspect, Verdict},
};

use crate::{
    fixture::{at, ms},
    quarantines::{COMMON, CRASHING, SOUND, part, prompt},
};

const HOSTS: usize = 3;
const ENGINES: usize = 18;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);

/// Time in which a crashed engine is back.
const OUTAGE: Duration = Duration::from_secs(4);

/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(30);

/// Time before the first crash.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time from the beginning of a request to the crash that it causes, and to its end if it causes none.
const CRASH_TIME: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_millis(400);

/// Time for which requests that an engine has begun are suspected of its crash.
const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// Time until all hosts know of a crash.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// Time between two messages of a host with its quarantined parts.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which a host learns what other hosts know.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of crashes after which hosts must stop sending requests with the part, and number of requests that may still
/// reach engines later than [`CONTACT`] after that.
const MAX_CRASHES: usize = 5;
const MAX_LATE_REQUESTS: usize = 3;

struct Running {
    host: usize,
    prompt: Vec<Suspect>,
    began_at: Time,
}

impl Running {
    /// Returns whether the prompt has the part that may crash engines.
    fn has_part(&self) -> bool {
        self.prompt.iter().any(|it| it.part == part(CRASHING))
    }
}

#[derive(Default)]
struct Engine {
    requests: Vec<Running>,
    back_at: Time,
}

struct Crash {
    engine: Incarnation,
    suspects: Vec<Suspect>,
    at: Time,
}

/// Engines that crash on any request.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Number of engines.
    engines: usize,
    /// Time from the beginning of a request to the crash.
    time: Duration,
}

struct World {
    now: Time,
    hosts: Vec<Quarantine>,
    engines: Vec<Engine>,
    /// Time from which requests with the part crash engines.
    deadly_from: Option<Time>,
    trouble: Trouble,
    /// All crashes.
    crashes: Vec<Crash>,
    /// Crashes that hosts have yet to hear of and to judge.
    unreported: VecDeque<usize>,
    unjudged: VecDeque<usize>,
    /// Times at which requests with the part reached engines.
    reached: Vec<Time>,
    /// Number of requests that were sent, and times at which those without the part have succeeded.
    sent: u64,
    sound_successes: Vec<Time>,
}

impl World {
    /// Creates hosts at which requests with the part, one each `interval`, have succeeded.
    fn new(interval: Duration) -> Self {
        let mut world = Self {
            now: at(0),
            hosts: vec![Quarantine::default(); HOSTS],
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            deadly_from: None,
            trouble: Trouble::default(),
            crashes: Vec::new(),
            unreported: VecDeque::new(),
            unjudged: VecDeque::new(),
            reached: Vec::new(),
            sent: 0,
            sound_successes: Vec::new(),
        };
        world.run(WARM_UP, interval);
        world.reached.clear();
        world
    }

    /// Lets time pass, with sound requests and such with the part, one each `interval`.
    fn run(&mut self, time: Duration, interval: Duration) {
        let is_due =
            |now: Time, interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.run_engines();
            self.tell_hosts();
            if is_due(self.now, HEARTBEAT_INTERVAL) {
                self.exchange_notices();
            }
            if is_due(self.now, SOUND_INTERVAL) {
                self.send(&[COMMON, SOUND + self.sent % 4]);
            }
            if is_due(self.now, interval) {
                self.send(&[COMMON, SOUND, CRASHING]);
            }
        }
    }

    /// Sends a request with these parts, and one of its own, to the next host.
    fn send(&mut self, ids: &[u64]) {
        self.sent += 1;
        let number = usize::try_from(self.sent).expect("the number is small");
        let host = number % HOSTS;
        let prompt = prompt(&[ids, &[0x1000 + self.sent]].concat());
        let now = self.now;
        let up = self.engines.iter_mut().filter(|it| it.back_at <= now);
        let Some(engine) = up.min_by_key(|it| it.requests.len()) else {
            return;
        };
        if let Verdict::Refuse(..) = self.hosts[host].check(&prompt, |_| host == 0, now) {
            return;
        }
        if ids.contains(&CRASHING) {
            self.reached.push(now);
        }
        engine.requests.push(Running {
            host,
            prompt,
            began_at: now,
        });
    }

    fn run_engines(&mut self) {
        let now = self.now;
        for number in 0..ENGINES {
            let engine = &mut self.engines[number];
            let is_deadly = |it: &Running| {
                let is_deadly =
                    it.has_part() && self.deadly_from.is_some_and(|from| from <= it.began_at);
                let is_troubled = number < self.trouble.engines;
                is_deadly && it.began_at + CRASH_TIME <= now
                    || is_troubled && it.began_at + self.trouble.time <= now
            };
            if engine.requests.iter().any(is_deadly) {
                let requests = std::mem::take(&mut engine.requests);
                engine.back_at = now + OUTAGE;
                self.record_crash(number, &requests);
                continue;
            }
            let has_ended = |it: &mut Running| it.began_at + RUN_TIME <= now;
            let ended: Vec<Running> = engine.requests.extract_if(.., has_ended).collect();
            for it in ended {
                self.record_success(&it);
            }
        }
    }

    fn record_crash(&mut self, engine: usize, requests: &[Running]) {
        let recent = (requests.iter()).filter(|it| it.began_at + SUSPICION_TIME > self.now);
        let suspects = recent.flat_map(|it| it.prompt.iter().copied()).collect();
        let engine = Incarnation {
            engine: u32::try_from(engine).expect("the number is small"),
            started_at: u64::try_from(self.now.as_millis()).expect("the time is short"),
        };
        self.unreported.push_back(self.crashes.len());
        self.crashes.push(Crash {
            engine,
            suspects,
            at: self.now,
        });
    }

    fn record_success(&mut self, request: &Running) {
        let cleared = self.hosts[request.host].record_success(&request.prompt, self.now);
        for part in cleared {
            self.share_success(part);
        }
        if !request.has_part() {
            self.sound_successes.push(self.now);
        }
    }

    /// Tells all hosts of the last success of a part that one of them knows.
    fn share_success(&mut self, part: PartId) {
        let last = self
            .hosts
            .iter()
            .filter_map(|it| it.last_success(part))
            .max();
        let Some(last) = last else { return };
        for it in &mut self.hosts {
            it.record_remote_success(part, last, self.now);
        }
    }

    fn tell_hosts(&mut self) {
        while let Some(number) = self.unreported.front().copied()
            && self.crashes[number].at + REPORT_TIME <= self.now
        {
            self.unreported.pop_front();
            self.unjudged.push_back(number);
            let suspects = self.crashes[number].suspects.clone();
            for it in &suspects {
                self.share_success(it.part);
            }
            let crash = &self.crashes[number];
            for it in &mut self.hosts {
                it.record_crash(crash.engine, &suspects, crash.at, self.now);
            }
        }
        while let Some(number) = self.unjudged.front().copied()
            && self.crashes[number].at + REPORT_TIME + SETTLE_TIME <= self.now
        {
            self.unjudged.pop_front();
            for it in &mut self.hosts {
                it.judge(self.now);
            }
        }
    }

    fn exchange_notices(&mut self) {
        for from in 0..HOSTS {
            for notice in self.hosts[from].notices(self.now) {
                for to in (0..HOSTS).filter(|it| *it != from) {
                    self.hosts[to].adopt(notice, self.now);
                }
            }
        }
    }

    /// Checks that few requests with the part have reached engines later than [`CONTACT`] after enough crashes.
    fn assert_few_reach_engines(&self) {
        let limit = self.crashes[MAX_CRASHES - 1].at + CONTACT;
        let late: Vec<Duration> = (self.reached.iter())
            .filter(|it| **it > limit)
            .map(|it| it.saturating_sub(limit))
            .collect();
        assert!(
            late.len() <= MAX_LATE_REQUESTS,
            "{} late requests of {} crashes, after the limit: {late:?}",
            late.len(),
            self.crashes.len()
        );
    }
}

/// Makes a part that has succeeded crash engines, and checks that few requests with it reach engines within `time`.
fn check_part_that_begins_to_crash_engines(time: Duration) {
    for interval in [ms(250), ms(400), ms(1000), ms(2500)] {
        let mut world = World::new(interval);
        world.deadly_from = Some(world.now);
        world.run(time, interval);
        world.assert_few_reach_engines();
    }
}

/// After a release of the engines' software they crashed on a part that had succeeded before. It was tried again after
/// 3 s, 6 s, 12 s and so on.
#[test]
fn few_requests_with_a_part_that_begins_to_crash_engines_reach_them_in_a_minute() {
    check_part_that_begins_to_crash_engines(Duration::from_mins(1));
}

#[test]
fn few_requests_with_a_part_that_begins_to_crash_engines_reach_them_in_minutes() {
    check_part_that_begins_to_crash_engines(Duration::from_mins(5));
}

/// Returns the share of sound requests that succeed within `time`, in percent.
fn success_percentage(world: &mut World, time: Duration) -> u128 {
    let begin = world.now;
    world.run(time, ms(250));
    let successes = world
        .sound_successes
        .iter()
        .filter(|it| **it > begin)
        .count();
    let sent = time.as_millis() / SOUND_INTERVAL.as_millis();
    100 * u128::try_from(successes).expect("the number is small") / sent
}

#[test]
fn requests_are_served_soon_after_all_engines_have_crashed_again_and_again() {
    let outage = Duration::from_secs(20);
    for time in [ms(20), ms(100), ms(300)] {
        let mut world = World::new(ms(250));
        world.trouble = Trouble {
            engines: ENGINES,
            time,
        };
        assert_eq!(success_percentage(&mut world, outage), 0);
        world.trouble = Trouble::default();
        world.run(outage, ms(250));
        assert!(success_percentage(&mut world, outage) >= 95);
    }
}

#[test]
fn requests_are_served_beside_engines_that_crash_again_and_again() {
    for engines in [1, ENGINES / 2, ENGINES - 4] {
        let mut world = World::new(ms(250));
        world.trouble = Trouble {
            engines,
            time: ms(300),
        };
        assert!(success_percentage(&mut world, Duration::from_mins(1)) >= 50);
        world.trouble = Trouble::default();
        world.run(OUTAGE, ms(250));
        assert!(success_percentage(&mut world, Duration::from_mins(1)) >= 95);
    }
}
