//! The verdict on a call after each failure, one scenario a test.

use std::time::Duration;

use journal::{
    Outcome, Scope, Shard,
    record::{Attempt, Body, Event, MAX_BODY_BYTES, Moment, RETENTION},
    scope::Digest,
    segment::{MAX_BYTES, Number},
    shard::{Listing, MAX_VIEW_AGE, Step, Ticket, Verdict},
};
use kernel::permit::Holder;

/// How long a call may run.
const RUN_TIME: Duration = Duration::from_secs(5);

/// What happens to an I/O.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Luck {
    Well,
    Outage,
    /// The effect takes place, the answer is lost.
    LostAnswer,
    /// Neither.
    LostCall,
}
use Luck::{LostAnswer, LostCall, Outage, Well};

/// Hosts over one store.
struct Bench {
    now: Moment,
    segments: Vec<Vec<u8>>,
    hosts: Vec<Shard>,
}

fn host(incarnation: u64) -> Shard {
    let host = "e1".parse().expect("a name");
    Shard::new(Holder { host, incarnation })
}

fn digest(name: &str) -> Digest {
    let scope = Scope {
        service: "barrier".parse().expect("a name"),
        tenant: "mall".parse().expect("a name"),
        key: name.parse().expect("a key"),
    };
    scope.digest()
}

fn finished(body: &[u8]) -> Event {
    let outcome = Outcome::new(200, Vec::new(), body);
    Event::Finished { outcome }
}

impl Bench {
    fn new(hosts: u64) -> Self {
        Self {
            now: Moment(0),
            segments: Vec::new(),
            hosts: (1..=hosts).map(host).collect(),
        }
    }

    fn begin(&mut self, host: usize, key: &str) -> Ticket {
        let run_by = self.now.saturating_add(RUN_TIME);
        self.hosts[host].begin(digest(key), digest(key), run_by, self.now)
    }

    /// Carries out I/O until there is none; the first meet `luck`, the rest goes well.
    fn drive(&mut self, host: usize, luck: &[Luck]) -> usize {
        let mut luck = luck.iter().copied();
        let mut count = 0;
        loop {
            let step = self.hosts[host].next_step(self.now);
            if step == Step::Idle {
                return count;
            }
            count += 1;
            self.perform(host, step, luck.next().unwrap_or(Well));
        }
    }

    fn perform(&mut self, host: usize, step: Step, luck: Luck) {
        let shard = &mut self.hosts[host];
        match (step, luck) {
            (Step::Write { .. }, LostCall) => shard.on_write_lost(),
            (Step::Write { segment, bytes }, LostAnswer) => {
                shard.on_write_lost();
                if segment.0 == self.segments.len() as u64 {
                    self.segments.push(bytes);
                }
            }
            (Step::Write { segment, bytes }, Well) => {
                if segment.0 == self.segments.len() as u64 {
                    self.segments.push(bytes);
                    shard.on_written(self.now);
                } else {
                    shard.on_number_taken();
                }
            }
            (Step::ReadFloor, Well) => shard.on_floor_read(Number(0)),
            (Step::List { from }, Well) => {
                let items = (0..).map(Number).zip(self.segments.iter().cloned());
                let items: Vec<_> = items.filter(|it| it.0 >= from).collect();
                shard
                    .on_listed(&items, Listing::Complete, self.now)
                    .expect("the segments are whole");
            }
            (Step::Get { segment }, Well) => {
                let index = usize::try_from(segment.0).expect("there are few");
                shard.on_segment_read(segment, self.segments.get(index).map(Vec::as_slice));
            }
            _ => shard.on_failed("outage"),
        }
    }

    /// Begins a call, drives it and gives its verdict.
    fn call(&mut self, host: usize, key: &str, luck: &[Luck]) -> Option<Verdict> {
        let ticket = self.begin(host, key);
        self.drive(host, luck);
        self.hosts[host].take_verdict(ticket)
    }

    /// The verdict on a call that was driven, in a word.
    fn taken(&mut self, host: usize, ticket: Ticket) -> &'static str {
        word(self.hosts[host].take_verdict(ticket).as_ref())
    }

    /// Begins a call, drives it and gives its verdict in a word.
    fn verdict(&mut self, host: usize, key: &str, luck: &[Luck]) -> &'static str {
        word(self.call(host, key, luck).as_ref())
    }

    fn first(&mut self, host: usize, key: &str) -> Attempt {
        match self.call(host, key, &[]) {
            Some(Verdict::First(start)) => start,
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, host: usize, key: &str, start: &Attempt, event: Event) {
        self.hosts[host].end(digest(key), start, event);
        self.drive(host, &[]);
    }
}

/// The verdict in a word.
fn word(verdict: Option<&Verdict>) -> &'static str {
    match verdict {
        Some(Verdict::First(_)) => "first",
        Some(Verdict::Repeat(_)) => "repeat",
        Some(Verdict::Running) => "running",
        Some(Verdict::OutcomeUnknown) => "unknown",
        Some(Verdict::KeyReused) => "reused",
        Some(Verdict::Unavailable(_)) => "down",
        None => "none",
    }
}

/// The verdict on a first call, and on a repeat on the same and on another host after that.
fn check_luck(luck: &[Luck], expected: [&str; 3]) {
    let mut bench = Bench::new(2);
    let first = bench.verdict(0, "k", luck);
    let same = bench.verdict(0, "k", &[]);
    let other = bench.verdict(1, "k", &[]);
    assert_eq!([first, same, other], expected, "{luck:?}");
}

/// Covers: a lost answer is settled by reading back; a call that is refused can be made later.
/// The I/O of a first call are a find, a list and a write; after a lost answer, a list again.
#[test]
fn first_call_under_failures() {
    check_luck(&[], ["first", "running", "running"]);
    check_luck(&[Outage], ["down", "first", "running"]);
    check_luck(&[Well, Outage], ["down", "first", "running"]);
    check_luck(&[Well, Well, Outage], ["down", "first", "running"]);
    check_luck(&[Well, Well, LostAnswer], ["first", "running", "running"]);
    check_luck(&[Well, Well, LostCall], ["first", "running", "running"]);
    check_luck(
        &[Well, Well, LostCall, Well, LostAnswer],
        ["first", "running", "running"],
    );
    check_luck(
        &[Well, Well, LostAnswer, Outage],
        ["down", "first", "running"],
    );
    check_luck(
        &[Well, Well, LostCall, Outage],
        ["down", "first", "running"],
    );
}

/// Covers: a call that its caller gave up is not made; if its start landed all the same, the key
/// is freed.
#[test]
fn abandoned_calls() {
    for steps in 0..5 {
        let mut bench = Bench::new(2);
        let ticket = bench.begin(0, "k");
        for _ in 0..steps.min(3) {
            let step = bench.hosts[0].next_step(bench.now);
            let luck = if steps == 4 { LostAnswer } else { Well };
            let luck = if matches!(step, Step::Write { .. }) {
                luck
            } else {
                Well
            };
            bench.perform(0, step, luck);
        }
        bench.hosts[0].abandon(ticket);
        bench.drive(0, &[]);
        assert_eq!(bench.verdict(1, "k", &[]), "first", "after {steps} steps");
    }
}

/// Covers: a second call that waits for the first one's start goes on when that is given up.
#[test]
fn abandoned_before_another() {
    let mut bench = Bench::new(1);
    let one = bench.begin(0, "k");
    let two = bench.begin(0, "k");
    bench.hosts[0].abandon(one);
    bench.drive(0, &[]);
    assert_eq!(bench.taken(0, two), "first");
}

/// Covers: a call whose time is over before its start is recorded is not made, and frees its key.
#[test]
fn late_start() {
    let mut bench = Bench::new(2);
    let ticket = bench.begin(0, "k");
    for _ in 0..2 {
        let step = bench.hosts[0].next_step(bench.now);
        bench.perform(0, step, Well);
    }
    let step = bench.hosts[0].next_step(bench.now);
    bench.now = bench.now.saturating_add(RUN_TIME);
    bench.perform(0, step, Well);
    assert_eq!(bench.taken(0, ticket), "down");
    bench.drive(0, &[]);
    assert_eq!(bench.verdict(1, "k", &[]), "first");
}

/// Covers: two hosts begin with one key at once; the platform decides.
#[test]
fn race_of_hosts() {
    let mut bench = Bench::new(2);
    let tickets = [bench.begin(0, "k"), bench.begin(1, "k")];
    for host in [0, 0, 1, 1] {
        let step = bench.hosts[host].next_step(bench.now);
        bench.perform(host, step, Well);
    }
    bench.drive(1, &[]);
    bench.drive(0, &[]);
    let words = [0, 1].map(|it| bench.taken(it, tickets[it]));
    assert_eq!(words, ["running", "first"]);
}

/// What repeats get on the same host, on another one and on a host that starts, after an end.
fn check_end(event: &Event, expected: &str) {
    let mut bench = Bench::new(2);
    let start = bench.first(0, "k");
    bench.end(0, "k", &start, event.clone());
    bench.hosts.push(host(9));
    for host in 0..3 {
        assert_eq!(bench.verdict(host, "k", &[]), expected, "{event:?}");
        if expected == "first" {
            return;
        }
    }
}

/// Covers: repeats after each end of a call, later and elsewhere.
#[test]
fn repeats_after_the_end() {
    check_end(&finished(b"open"), "repeat");
    check_end(&Event::Lost, "unknown");
    check_end(&Event::Void, "first");
}

/// Covers: an answer that could not be recorded yet is known to its own host, and to all once it
/// is recorded.
#[test]
fn end_during_an_outage() {
    let mut bench = Bench::new(2);
    let start = bench.first(0, "k");
    bench.hosts[0].end(digest("k"), &start, finished(b"open"));
    let step = bench.hosts[0].next_step(bench.now);
    bench.perform(0, step, Outage);
    let same = bench.begin(0, "k");
    assert_eq!(bench.taken(0, same), "repeat");
    assert_eq!(bench.verdict(1, "k", &[]), "running");
    bench.drive(0, &[]);
    assert_eq!(bench.verdict(1, "k", &[]), "repeat");
}

/// Covers: the host of a call is gone: its outcome is unknown, and it is not made again.
#[test]
fn host_killed() {
    let mut bench = Bench::new(2);
    bench.first(0, "k");
    bench.hosts[0] = host(9);
    assert_eq!(bench.verdict(1, "k", &[]), "running");
    bench.now = bench.now.saturating_add(RUN_TIME);
    assert_eq!(bench.verdict(1, "k", &[]), "unknown");
    assert_eq!(bench.verdict(0, "k", &[]), "unknown");
}

/// Covers: a known key when the platform is out: the repeat is not made and not called unmade.
#[test]
fn repeat_during_an_outage() {
    let mut bench = Bench::new(2);
    let start = bench.first(0, "k");
    bench.call(1, "k", &[]);
    assert_eq!(bench.verdict(1, "k", &[Outage]), "unknown");
    bench.end(0, "k", &start, finished(b"open"));
    assert_eq!(bench.verdict(0, "k", &[Outage]), "unknown");
    assert_eq!(bench.verdict(0, "k", &[]), "repeat");
}

/// Covers: a key with another request, and one whose time is over.
#[test]
fn reuse_and_time_limit() {
    let mut bench = Bench::new(2);
    let start = bench.first(0, "k");
    bench.end(0, "k", &start, finished(b"open"));
    let run_by = bench.now.saturating_add(RUN_TIME);
    let ticket = bench.hosts[1].begin(digest("k"), digest("other"), run_by, bench.now);
    bench.drive(1, &[]);
    assert_eq!(bench.taken(1, ticket), "reused");
    bench.now = run_by.saturating_add(RETENTION);
    assert_eq!(bench.verdict(1, "k", &[]), "first");
    assert_eq!(bench.verdict(0, "k", &[]), "running");
    assert_eq!(bench.hosts[0].key_count(), 1);
}

/// Covers: many calls share a write, and a segment stays small.
#[test]
fn group_commit() {
    let mut bench = Bench::new(1);
    let names: Vec<String> = (0..1000).map(|it| format!("k{it}")).collect();
    let tickets: Vec<Ticket> = names.iter().map(|it| bench.begin(0, it)).collect();
    let count = bench.drive(0, &[]);
    let mut first = |it: &Ticket| bench.taken(0, *it) == "first";
    assert_eq!(tickets.iter().filter(|it| first(it)).count(), 1000);
    assert!(count < 5, "{count} I/O for 1000 calls");
    assert!(bench.segments.iter().all(|it| it.len() < MAX_BYTES + 1024));
}

/// Covers: a host that has not looked at a shard for long reads it again before it writes, and one
/// that was paused during a write does not trust that the write came in time.
#[test]
fn paused_host() {
    let mut bench = Bench::new(2);
    bench.first(0, "a");
    bench.now = bench.now.saturating_add(MAX_VIEW_AGE);
    bench.begin(0, "b");
    assert_eq!(bench.hosts[0].next_step(bench.now), Step::ReadFloor);
    bench.hosts[0].on_floor_read(Number(0));
    bench.drive(0, &[]);
    let run_by = bench.now.saturating_add(2 * MAX_VIEW_AGE);
    let ticket = bench.hosts[0].begin(digest("c"), digest("c"), run_by, bench.now);
    let step = bench.hosts[0].next_step(bench.now);
    bench.now = bench.now.saturating_add(MAX_VIEW_AGE);
    bench.perform(0, step, Well);
    assert_eq!(bench.taken(0, ticket), "down");
    assert_eq!(bench.verdict(1, "c", &[]), "running");
}

/// Covers: a body above the limit is left out and said to be.
#[test]
fn large_body() {
    let kept = |bytes| Outcome::new(200, Vec::new(), &vec![0; bytes]).body;
    assert!(matches!(kept(MAX_BODY_BYTES), Body::Whole(_)));
    let bytes = MAX_BODY_BYTES + 1;
    assert_eq!(kept(bytes), Body::Omitted { bytes });
}

/// Covers: a segment that is missing or can't be read: calls are refused, none is made, until it
/// can be read.
#[test]
fn unreadable_segments() {
    let mut bench = Bench::new(2);
    bench.first(0, "k");
    let garbled = (Number(0), b"{}".to_vec());
    let missing = (Number(1), bench.segments[0].clone());
    for item in [garbled, missing] {
        let ticket = bench.begin(1, "k");
        assert_eq!(bench.hosts[1].next_step(bench.now), Step::ReadFloor);
        bench.hosts[1].on_floor_read(Number(0));
        assert_eq!(
            bench.hosts[1].next_step(bench.now),
            Step::List { from: Number(0) }
        );
        assert!(
            bench.hosts[1]
                .on_listed(&[item], Listing::Complete, bench.now)
                .is_err()
        );
        assert_eq!(bench.taken(1, ticket), "down");
    }
    assert_eq!(bench.verdict(1, "k", &[]), "running");
}

/// Covers: segments stay for as long as a host may rely on an older view of the shard, also those
/// whose records were over when they were written.
#[test]
fn late_endings_keep_their_segments() {
    let mut bench = Bench::new(1);
    let names: Vec<String> = (0..40).map(|it| format!("k{it}")).collect();
    let tickets: Vec<Ticket> = names.iter().map(|it| bench.begin(0, it)).collect();
    bench.drive(0, &[]);
    bench.now = bench.now.saturating_add(RUN_TIME + RETENTION);
    for (name, ticket) in names.iter().zip(tickets) {
        if let Some(Verdict::First(start)) = bench.hosts[0].take_verdict(ticket) {
            bench.end(0, name, &start, Event::Lost);
        }
    }
    assert_eq!(bench.segments.len(), 41);
    let written = bench.now;
    bench.now = written.saturating_add(2 * MAX_VIEW_AGE);
    assert_eq!(bench.hosts[0].next_floor(bench.now), None);
    bench.now = written.saturating_add(2 * RETENTION);
    assert_eq!(bench.hosts[0].next_floor(bench.now), Some(Number(41)));
}
