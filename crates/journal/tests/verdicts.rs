//! Tests of the verdicts on calls after failures. Each test covers one scenario.

use std::time::Duration;

use journal::{
    Outcome, Scope, Shard,
    record::{Attempt, Body, Event, MAX_BODY_BYTES, Moment, RETENTION},
    scope::Digest,
    segment::{MAX_BYTES, Number},
    shard::{Listing, MAX_VIEW_AGE, Step, Ticket, Verdict},
};
use kernel::permit::Holder;

/// The time limit of a call.
const RUN_TIME: Duration = Duration::from_secs(5);

/// The simulated result of an I/O operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum IoResult {
    Success,
    /// The store can't be reached.
    Outage,
    /// A write takes effect, but its answer is lost.
    LostAnswer,
    /// A write has no effect, and no answer arrives.
    LostCall,
}
use IoResult::{LostAnswer, LostCall, Outage, Success};

/// Several hosts that share one simulated store.
struct Cluster {
    now: Moment,
    segments: Vec<Vec<u8>>,
    hosts: Vec<Shard>,
}

fn host(incarnation: u64) -> Shard {
    let host = "e1".parse().expect("the name is valid");
    Shard::new(Holder { host, incarnation })
}

fn digest(name: &str) -> Digest {
    let scope = Scope {
        service: "barrier".parse().expect("the name is valid"),
        tenant: "mall".parse().expect("the name is valid"),
        key: name.parse().expect("the key is valid"),
    };
    scope.digest()
}

fn finished(body: &[u8]) -> Event {
    let outcome = Outcome::new(200, Vec::new(), body);
    Event::Finished { outcome }
}

impl Cluster {
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

    /// Performs I/O operations until there are none left and returns their number. The first ones have
    /// the given results, all others succeed.
    fn run_io(&mut self, host: usize, results: &[IoResult]) -> usize {
        let mut results = results.iter().copied();
        let mut count = 0;
        loop {
            let step = self.hosts[host].next_step(self.now);
            if step == Step::Idle {
                return count;
            }
            count += 1;
            self.perform(host, step, results.next().unwrap_or(Success));
        }
    }

    fn perform(&mut self, host: usize, step: Step, result: IoResult) {
        let shard = &mut self.hosts[host];
        match (step, result) {
            (Step::Write { .. }, LostCall) => shard.on_write_lost(),
            (Step::Write { segment, bytes }, LostAnswer) => {
                shard.on_write_lost();
                if segment.0 == self.segments.len() as u64 {
                    self.segments.push(bytes);
                }
            }
            (Step::Write { segment, bytes }, Success) => {
                if segment.0 == self.segments.len() as u64 {
                    self.segments.push(bytes);
                    shard.on_written(self.now);
                } else {
                    shard.on_number_taken();
                }
            }
            (Step::ReadFloor, Success) => shard.on_floor_read(Number(0)),
            (Step::List { from }, Success) => {
                let items = (0..).map(Number).zip(self.segments.iter().cloned());
                let items: Vec<_> = items.filter(|it| it.0 >= from).collect();
                shard
                    .on_listed(&items, Listing::Complete, self.now)
                    .expect("the segments are valid");
            }
            (Step::Get { segment }, Success) => {
                let index =
                    usize::try_from(segment.0).expect("the number of segments fits into usize");
                shard.on_segment_read(segment, self.segments.get(index).map(Vec::as_slice));
            }
            _ => shard.on_failed("outage"),
        }
    }

    /// Submits a call, performs its I/O operations and returns its verdict.
    fn call(&mut self, host: usize, key: &str, results: &[IoResult]) -> Option<Verdict> {
        let ticket = self.begin(host, key);
        self.run_io(host, results);
        self.hosts[host].take_verdict(ticket)
    }

    /// Returns the name of the verdict on a submitted call.
    fn take_verdict(&mut self, host: usize, ticket: Ticket) -> &'static str {
        name_of(self.hosts[host].take_verdict(ticket).as_ref())
    }

    /// Submits a call, performs its I/O operations and returns the name of its verdict.
    fn verdict(&mut self, host: usize, key: &str, results: &[IoResult]) -> &'static str {
        name_of(self.call(host, key, results).as_ref())
    }

    /// Submits a call that has to be the first with its key and returns its attempt.
    fn start_first(&mut self, host: usize, key: &str) -> Attempt {
        match self.call(host, key, &[]) {
            Some(Verdict::First(attempt)) => attempt,
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, host: usize, key: &str, attempt: &Attempt, event: Event) {
        self.hosts[host].end(digest(key), attempt, event);
        self.run_io(host, &[]);
    }
}

/// Returns the name of a verdict.
fn name_of(verdict: Option<&Verdict>) -> &'static str {
    match verdict {
        Some(Verdict::First(_)) => "first",
        Some(Verdict::Repeat(_)) => "repeat",
        Some(Verdict::Running) => "running",
        Some(Verdict::OutcomeUnknown) => "unknown",
        Some(Verdict::KeyReused) => "reused",
        Some(Verdict::Unavailable(_)) => "unavailable",
        None => "none",
    }
}

/// Checks the verdict on a first call whose I/O operations have the given results, and then the
/// verdicts on repeats on the same and on another host.
fn check_repeats(results: &[IoResult], expected: [&str; 3]) {
    let mut cluster = Cluster::new(2);
    let first = cluster.verdict(0, "k", results);
    let same = cluster.verdict(0, "k", &[]);
    let other = cluster.verdict(1, "k", &[]);
    assert_eq!([first, same, other], expected, "{results:?}");
}

/// After a lost answer to a write, the host reads the shard to find out whether the write succeeded.
/// A refused call can be made later. The I/O operations of a first call are `ReadFloor`, `List` and
/// `Write`, and another `List` after a lost answer.
#[test]
fn first_call_under_failures() {
    check_repeats(&[], ["first", "running", "running"]);
    check_repeats(&[Outage], ["unavailable", "first", "running"]);
    check_repeats(&[Success, Outage], ["unavailable", "first", "running"]);
    check_repeats(
        &[Success, Success, Outage],
        ["unavailable", "first", "running"],
    );
    check_repeats(
        &[Success, Success, LostAnswer],
        ["first", "running", "running"],
    );
    check_repeats(
        &[Success, Success, LostCall],
        ["first", "running", "running"],
    );
    check_repeats(
        &[Success, Success, LostCall, Success, LostAnswer],
        ["first", "running", "running"],
    );
    check_repeats(
        &[Success, Success, LostAnswer, Outage],
        ["unavailable", "first", "running"],
    );
    check_repeats(
        &[Success, Success, LostCall, Outage],
        ["unavailable", "first", "running"],
    );
}

/// An abandoned call is not made. If its start record was written nevertheless, the key is freed.
#[test]
fn abandoned_call_frees_its_key() {
    for steps in 0..5 {
        let mut cluster = Cluster::new(2);
        let ticket = cluster.begin(0, "k");
        for _ in 0..steps.min(3) {
            let step = cluster.hosts[0].next_step(cluster.now);
            let result = if steps == 4 { LostAnswer } else { Success };
            let result = if matches!(step, Step::Write { .. }) {
                result
            } else {
                Success
            };
            cluster.perform(0, step, result);
        }
        cluster.hosts[0].abandon(ticket);
        cluster.run_io(0, &[]);
        assert_eq!(cluster.verdict(1, "k", &[]), "first", "after {steps} steps");
    }
}

/// A call that waits for the start record of another call with the same key proceeds when the other
/// call is abandoned.
#[test]
fn abandoned_call_unblocks_the_next() {
    let mut cluster = Cluster::new(1);
    let first = cluster.begin(0, "k");
    let second = cluster.begin(0, "k");
    cluster.hosts[0].abandon(first);
    cluster.run_io(0, &[]);
    assert_eq!(cluster.take_verdict(0, second), "first");
}

/// A call whose time limit passes before its start record is written is not made, and its key is
/// freed.
#[test]
fn call_past_its_deadline_frees_its_key() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.begin(0, "k");
    for _ in 0..2 {
        let step = cluster.hosts[0].next_step(cluster.now);
        cluster.perform(0, step, Success);
    }
    let step = cluster.hosts[0].next_step(cluster.now);
    cluster.now = cluster.now.saturating_add(RUN_TIME);
    cluster.perform(0, step, Success);
    assert_eq!(cluster.take_verdict(0, ticket), "unavailable");
    cluster.run_io(0, &[]);
    assert_eq!(cluster.verdict(1, "k", &[]), "first");
}

/// If two hosts start calls with the same key at once, the host whose write succeeds makes the call.
#[test]
fn first_writer_wins() {
    let mut cluster = Cluster::new(2);
    let tickets = [cluster.begin(0, "k"), cluster.begin(1, "k")];
    for host in [0, 0, 1, 1] {
        let step = cluster.hosts[host].next_step(cluster.now);
        cluster.perform(host, step, Success);
    }
    cluster.run_io(1, &[]);
    cluster.run_io(0, &[]);
    let verdicts = [0, 1].map(|it| cluster.take_verdict(it, tickets[it]));
    assert_eq!(verdicts, ["running", "first"]);
}

/// Checks the verdict on repeats after the end of a call, on the same host, on another one and on a
/// host that has just started.
fn check_end(event: &Event, expected: &str) {
    let mut cluster = Cluster::new(2);
    let attempt = cluster.start_first(0, "k");
    cluster.end(0, "k", &attempt, event.clone());
    cluster.hosts.push(host(9));
    for host in 0..3 {
        assert_eq!(cluster.verdict(host, "k", &[]), expected, "{event:?}");
        if expected == "first" {
            return;
        }
    }
}

/// Repeats on all hosts get the verdict that follows from the end of the call.
#[test]
fn repeats_after_the_end() {
    check_end(&finished(b"open"), "repeat");
    check_end(&Event::Lost, "unknown");
    check_end(&Event::Void, "first");
}

/// An answer that can't be recorded during an outage is known only to the host that made the call,
/// and to all hosts after it is recorded.
#[test]
fn end_during_an_outage() {
    let mut cluster = Cluster::new(2);
    let attempt = cluster.start_first(0, "k");
    cluster.hosts[0].end(digest("k"), &attempt, finished(b"open"));
    let step = cluster.hosts[0].next_step(cluster.now);
    cluster.perform(0, step, Outage);
    let same = cluster.begin(0, "k");
    assert_eq!(cluster.take_verdict(0, same), "repeat");
    assert_eq!(cluster.verdict(1, "k", &[]), "running");
    cluster.run_io(0, &[]);
    assert_eq!(cluster.verdict(1, "k", &[]), "repeat");
}

/// If the host that makes a call is terminated, the outcome is unknown and the call is not made
/// again.
#[test]
fn call_of_a_terminated_host_is_not_repeated() {
    let mut cluster = Cluster::new(2);
    cluster.start_first(0, "k");
    cluster.hosts[0] = host(9);
    assert_eq!(cluster.verdict(1, "k", &[]), "running");
    cluster.now = cluster.now.saturating_add(RUN_TIME);
    assert_eq!(cluster.verdict(1, "k", &[]), "unknown");
    assert_eq!(cluster.verdict(0, "k", &[]), "unknown");
}

/// During an outage, a repeat with a key in use is not made, and its verdict does not claim that the
/// first call was not made.
#[test]
fn repeat_during_an_outage() {
    let mut cluster = Cluster::new(2);
    let attempt = cluster.start_first(0, "k");
    cluster.call(1, "k", &[]);
    assert_eq!(cluster.verdict(1, "k", &[Outage]), "unknown");
    cluster.end(0, "k", &attempt, finished(b"open"));
    assert_eq!(cluster.verdict(0, "k", &[Outage]), "unknown");
    assert_eq!(cluster.verdict(0, "k", &[]), "repeat");
}

/// A key can't be used for a different request, and it is free again after its retention time.
#[test]
fn key_reuse_and_expiration() {
    let mut cluster = Cluster::new(2);
    let attempt = cluster.start_first(0, "k");
    cluster.end(0, "k", &attempt, finished(b"open"));
    let run_by = cluster.now.saturating_add(RUN_TIME);
    let ticket = cluster.hosts[1].begin(digest("k"), digest("other"), run_by, cluster.now);
    cluster.run_io(1, &[]);
    assert_eq!(cluster.take_verdict(1, ticket), "reused");
    cluster.now = run_by.saturating_add(RETENTION);
    assert_eq!(cluster.verdict(1, "k", &[]), "first");
    assert_eq!(cluster.verdict(0, "k", &[]), "running");
    assert_eq!(cluster.hosts[0].key_count(), 1);
}

/// Many calls share a write, and segments do not exceed their maximum size.
#[test]
fn calls_share_writes() {
    let mut cluster = Cluster::new(1);
    let names: Vec<String> = (0..1000).map(|it| format!("k{it}")).collect();
    let tickets: Vec<Ticket> = names.iter().map(|it| cluster.begin(0, it)).collect();
    let count = cluster.run_io(0, &[]);
    let mut first = |it: &Ticket| cluster.take_verdict(0, *it) == "first";
    assert_eq!(tickets.iter().filter(|it| first(it)).count(), 1000);
    assert!(count < 5, "{count} I/O for 1000 calls");
    assert!(
        cluster
            .segments
            .iter()
            .all(|it| it.len() < MAX_BYTES + 1024)
    );
}

/// A host whose view of a shard is too old reads the shard again before it writes. A host that was
/// paused during a write does not rely on the success of the write.
#[test]
fn paused_host_reads_the_shard_again() {
    let mut cluster = Cluster::new(2);
    cluster.start_first(0, "a");
    cluster.now = cluster.now.saturating_add(MAX_VIEW_AGE);
    cluster.begin(0, "b");
    assert_eq!(cluster.hosts[0].next_step(cluster.now), Step::ReadFloor);
    cluster.hosts[0].on_floor_read(Number(0));
    cluster.run_io(0, &[]);
    let run_by = cluster.now.saturating_add(2 * MAX_VIEW_AGE);
    let ticket = cluster.hosts[0].begin(digest("c"), digest("c"), run_by, cluster.now);
    let step = cluster.hosts[0].next_step(cluster.now);
    cluster.now = cluster.now.saturating_add(MAX_VIEW_AGE);
    cluster.perform(0, step, Success);
    assert_eq!(cluster.take_verdict(0, ticket), "unavailable");
    assert_eq!(cluster.verdict(1, "c", &[]), "running");
}

/// A body larger than the limit is omitted, and its size is recorded.
#[test]
fn large_body_is_omitted() {
    let stored_body = |bytes| Outcome::new(200, Vec::new(), &vec![0; bytes]).body;
    assert!(matches!(stored_body(MAX_BODY_BYTES), Body::Whole(_)));
    let bytes = MAX_BODY_BYTES + 1;
    assert_eq!(stored_body(bytes), Body::Omitted { bytes });
}

/// While a segment is missing or can't be read, calls are refused and none is made.
#[test]
fn unreadable_segment_refuses_calls() {
    let mut cluster = Cluster::new(2);
    cluster.start_first(0, "k");
    let malformed = (Number(0), b"{}".to_vec());
    let missing = (Number(1), cluster.segments[0].clone());
    for item in [malformed, missing] {
        let ticket = cluster.begin(1, "k");
        assert_eq!(cluster.hosts[1].next_step(cluster.now), Step::ReadFloor);
        cluster.hosts[1].on_floor_read(Number(0));
        assert_eq!(
            cluster.hosts[1].next_step(cluster.now),
            Step::List { from: Number(0) }
        );
        assert!(
            cluster.hosts[1]
                .on_listed(&[item], Listing::Complete, cluster.now)
                .is_err()
        );
        assert_eq!(cluster.take_verdict(1, ticket), "unavailable");
    }
    assert_eq!(cluster.verdict(1, "k", &[]), "running");
}

/// Segments are retained for as long as a host may use an older view of the shard, including those
/// whose records had expired when they were written.
#[test]
fn late_endings_keep_their_segments() {
    let mut cluster = Cluster::new(1);
    let names: Vec<String> = (0..40).map(|it| format!("k{it}")).collect();
    let tickets: Vec<Ticket> = names.iter().map(|it| cluster.begin(0, it)).collect();
    cluster.run_io(0, &[]);
    cluster.now = cluster.now.saturating_add(RUN_TIME + RETENTION);
    for (name, ticket) in names.iter().zip(tickets) {
        if let Some(Verdict::First(attempt)) = cluster.hosts[0].take_verdict(ticket) {
            cluster.end(0, name, &attempt, Event::Lost);
        }
    }
    assert_eq!(cluster.segments.len(), 41);
    let written = cluster.now;
    cluster.now = written.saturating_add(2 * MAX_VIEW_AGE);
    assert_eq!(cluster.hosts[0].next_floor(cluster.now), None);
    cluster.now = written.saturating_add(2 * RETENTION);
    assert_eq!(cluster.hosts[0].next_floor(cluster.now), Some(Number(41)));
}
