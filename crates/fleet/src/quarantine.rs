//! Quarantine of request parts that crash engines.
//!
//! A part of a prompt may crash each engine that begins to generate from it, whatever else the prompt holds. So may a
//! whole request, such as one to a plain service, which has no prompt: it counts as a part that only its repetitions
//! have. Requests with such a part come at any host, so a host learns of most crashes from others: each host reports the
//! parts of its own requests that an engine had just begun, or not yet begun, when it crashed.
//!
//! A crash also ends sound requests, and requests share parts. What is to blame is a part that was there at several
//! crashes, one after the other, while no request with it has succeeded since the first of them. Crashes that a
//! quarantined part explains count against no other part. Requests with a quarantined part are refused. From time to
//! time one host lets one of them through, so a quarantine ends once the part no longer crashes engines.
//!
//! The last part of a prompt is the request's own, or its session's. It is to blame only if no part before it may be, and
//! the whole request only if no part of its prompt may be: then the same request has crashed engines again and again.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    fmt,
    time::Duration,
};

use crate::{Time, prefix, rendezvous};

/// Number of crashes for which a whole request is quarantined, or a part that has never succeeded.
const MIN_CRASHES: usize = 3;

/// Number of crashes for which a part is quarantined that has succeeded before. If all engines end again and again for
/// another reason, no request succeeds, and all requests may share the part.
const MIN_CRASHES_AFTER_SUCCESS: usize = 6;

/// Maximum time after which a whole request that had succeeded before is first tried again. Only its repetitions wait.
const DOUBTFUL_REQUEST_TERM: Duration = Duration::from_secs(10);

/// Maximum time after which a part that had succeeded before is first tried again. The trial shows whether the part is to
/// blame.
const DOUBTFUL_TERM: Duration = Duration::from_secs(3);

/// Time within which crashes count as one for a part that has succeeded before: engines that share a cause, such as a
/// rack, end at about the same moment, with requests that share many parts.
const SAME_MOMENT: Duration = Duration::from_millis(200);

/// Time within which crashes count as one for a whole request that has succeeded before. It may be at several engines of
/// a rack only if many callers repeat it.
const SAME_INSTANT: Duration = Duration::from_millis(20);

/// Time after which all hosts that had requests at an engine have reported its crash. Hosts that judge by the same
/// reports agree.
pub const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_mins(10);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 256;

/// Maximum number of quarantined parts.
const MAX_PARTS: usize = 256;

/// Maximum number of parts whose last success is remembered.
const MAX_SUCCESSES: usize = 65_536;

/// Default of the time after which a part is first tried again. It doubles with each trial that crashes an engine.
pub const DEFAULT_TERM: Duration = Duration::from_mins(1);

/// Maximum time after which a part is tried again.
pub const MAX_TERM: Duration = Duration::from_hours(1);

/// Maximum time in which a trial has to succeed or crash its engine before the next request is let through.
const TRIAL_TIME: Duration = Duration::from_secs(15);

/// Difference between the ends of a quarantine at two hosts that is put down to the delay of messages.
const END_TOLERANCE: Duration = Duration::from_secs(1);

/// Identifies a part of the prompts of one service, or the content of a whole request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId(pub u64);

impl PartId {
    /// Identifies a part of the prompts of a service.
    pub fn new(service: &str, part: &prefix::Part) -> Self {
        Self(rendezvous::weight(service, "part") ^ part.id)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Part of a request that an engine may have crashed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The part.
    pub part: PartId,
    /// Number of parts before it, [`Suspect::LAST`] or [`Suspect::WHOLE`]. Fewer requests share a part that has more
    /// before it.
    pub depth: u8,
}

impl Suspect {
    /// Depth of the last part of a prompt.
    pub const LAST: u8 = u8::MAX - 1;

    /// Depth of the content of a whole request.
    pub const WHOLE: u8 = u8::MAX;

    /// Creates the suspect that stands for a whole request.
    pub fn whole(content: PartId) -> Self {
        Self {
            part: content,
            depth: Self::WHOLE,
        }
    }

    /// Returns whether it stands for a whole request.
    pub fn is_whole(self) -> bool {
        self.depth == Self::WHOLE
    }

    /// Range of the requests that have the part.
    fn range(self) -> Range {
        match self.depth {
            Self::WHOLE => Range::Request,
            Self::LAST => Range::Session,
            _ => Range::Shared,
        }
    }
}

/// Range of the requests that have a part, the narrowest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Range {
    /// One request and its repetitions.
    Request,
    /// One request, or the requests of a session.
    Session,
    /// Any requests.
    Shared,
}

/// Returns the parts of a prompt that may crash engines.
pub fn suspects(service: &str, prompt: &[prefix::Part]) -> Vec<Suspect> {
    let last = prompt.len().saturating_sub(1);
    let parts = prompt.iter().enumerate();
    let suspect = |(depth, it): (usize, &prefix::Part)| Suspect {
        part: PartId::new(service, it),
        depth: match u8::try_from(depth) {
            Ok(it) if depth < last && it < Suspect::LAST => it,
            _ => Suspect::LAST,
        },
    };
    parts.map(suspect).collect()
}

/// Incarnation of an engine that has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Incarnation {
    /// Short form of the engine's id.
    pub engine: u32,
    /// Start time of the engine, as stated in the list of engines.
    pub started_at: u64,
}

/// Crash of an engine.
#[derive(Clone, Debug)]
struct Crash {
    engine: Incarnation,
    at: Time,
    suspects: Vec<Suspect>,
    /// True once the crash was judged with the suspects known so far.
    is_judged: bool,
}

/// Quarantine of one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Term {
    began_at: Time,
    length: Duration,
    /// Time before which no trial begins.
    next_trial_at: Time,
}

impl Term {
    fn new(began_at: Time, length: Duration) -> Self {
        Self {
            began_at,
            length,
            next_trial_at: began_at + length,
        }
    }

    /// Time from which the part is tried again.
    fn ends_at(&self) -> Time {
        self.began_at + self.length
    }

    /// Time at which the quarantine ends if no request with the part has come to be tried.
    fn expires_at(&self) -> Time {
        self.ends_at() + self.length.max(TRIAL_TIME * 2)
    }
}

/// Proof that a suspect is to blame, and the time for which it is refused at first.
#[derive(Clone, Copy, Debug)]
struct Proof {
    crashes: usize,
    /// Time within which crashes count as one.
    moment: Duration,
    first_term: Duration,
}

impl Proof {
    const NEVER_SUCCEEDED: Self = Self {
        crashes: MIN_CRASHES,
        moment: Duration::ZERO,
        first_term: MAX_TERM,
    };

    const PART_SUCCEEDED: Self = Self {
        crashes: MIN_CRASHES_AFTER_SUCCESS,
        moment: SAME_MOMENT,
        first_term: DOUBTFUL_TERM,
    };

    const REQUEST_SUCCEEDED: Self = Self {
        crashes: MIN_CRASHES,
        moment: SAME_INSTANT,
        first_term: DOUBTFUL_REQUEST_TERM,
    };
}

/// Quarantined part, as hosts tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Notice {
    /// The part.
    pub part: PartId,
    /// Time since the beginning of the quarantine.
    pub age: Duration,
    /// Time from its beginning to the first trial.
    pub length: Duration,
}

/// Result of [`Quarantine::check`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No part is quarantined.
    Pass,
    /// The part is quarantined, and this request shows whether it still crashes engines.
    Trial(PartId),
    /// The part is quarantined. After this time, requests with it may be accepted again.
    Refuse(PartId, Duration),
}

/// Result of [`Quarantine::adopt`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// The part was not quarantined here.
    New,
    /// The part was quarantined here, or the quarantine is over.
    Known,
    /// A request with the part has succeeded this long ago, after the quarantine began.
    Disproved(Duration),
}

/// Prompt parts that crash engines, as far as this host knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Time after which a part is first tried again.
    first_term: Duration,
    /// Recent crashes, in the order in which they became known.
    crashes: VecDeque<Crash>,
    terms: HashMap<PartId, Term>,
    /// Time of the last success of a request with each part.
    successes: HashMap<PartId, Time>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_TERM)
    }
}

impl Quarantine {
    /// Creates a quarantine without parts, with the time after which a part is first tried again.
    pub fn new(first_term: Duration) -> Self {
        Self {
            first_term,
            crashes: VecDeque::new(),
            terms: HashMap::new(),
            successes: HashMap::new(),
        }
    }

    /// Records that an engine crashed at `at` while it had requests with these parts. Several hosts may report the same
    /// crash. [`Quarantine::judge`] is to be called after [`SETTLE_TIME`].
    pub fn record_crash(&mut self, engine: Incarnation, suspects: &[Suspect], at: Time, now: Time) {
        self.forget_old(now);
        if !self.crashes.iter().any(|it| it.engine == engine) {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                engine,
                at,
                suspects: Vec::new(),
                is_judged: false,
            });
        }
        let crash = self.crashes.iter_mut().find(|it| it.engine == engine);
        let Some(crash) = crash else { return };
        crash.at = crash.at.min(at);
        for it in suspects {
            if crash.suspects.len() < MAX_SUSPECTS && !crash.suspects.contains(it) {
                crash.suspects.push(*it);
                crash.is_judged = false;
            }
        }
    }

    /// Finds out which parts the crashes since the last judgement are due to. Returns the parts that are quarantined from
    /// now on, or again.
    pub fn judge(&mut self, now: Time) -> Vec<PartId> {
        let mut quarantined = Vec::new();
        while let Some(crash) = self.crashes.iter_mut().find(|it| !it.is_judged) {
            crash.is_judged = true;
            let (suspects, at) = (crash.suspects.clone(), crash.at);
            quarantined.extend(self.renew_terms(&suspects, at, now));
            while let Some(culprit) = self.find_culprit(&suspects) {
                let length = self.proof(culprit).first_term;
                self.add_term(culprit.part, Term::new(now, length.min(self.first_term)));
                quarantined.push(culprit.part);
            }
        }
        quarantined
    }

    /// Extends the quarantine of parts whose trial has crashed an engine at `at`. An earlier crash may become known only
    /// after the end of the term.
    fn renew_terms(&mut self, suspects: &[Suspect], at: Time, now: Time) -> Vec<PartId> {
        let has_ended = |it: &Term| it.ends_at() <= now.min(at + END_TOLERANCE);
        let mut renewed = Vec::new();
        for Suspect { part, .. } in suspects.iter().copied() {
            let Some(term) = self.terms.get(&part).copied().filter(has_ended) else {
                continue;
            };
            let mut length = term.length * 2;
            if self.is_confirmed(part, term.began_at) {
                length = length.max(self.first_term);
            }
            let term = Term::new(now, length.min(MAX_TERM));
            self.terms.insert(part, term);
            renewed.push(part);
        }
        renewed
    }

    /// Returns whether a crash on the trial of a part that was refused from `began_at` on is due to the part: in the
    /// meantime no engine of its service crashed, and requests to the service succeeded.
    fn is_confirmed(&self, part: PartId, began_at: Time) -> bool {
        let has_part = |it: &&Crash| it.suspects.iter().any(|it| it.part == part);
        let (with_part, others): (Vec<_>, Vec<_>) = self.crashes.iter().partition(has_part);
        // All requests at an engine are to the same service.
        let suspects = with_part.iter().flat_map(|it| &it.suspects);
        let of_service: HashSet<PartId> = suspects.map(|it| it.part).collect();
        let has_succeeded = |it| self.successes.get(it).is_some_and(|at| *at > began_at);
        let is_of_service = |it: &Suspect| of_service.contains(&it.part);
        let has_crashed = |it: &&Crash| it.at > began_at && it.suspects.iter().any(is_of_service);
        of_service.iter().any(has_succeeded) && !others.iter().any(has_crashed)
    }

    /// Returns the suspect that is to blame, if one was there at enough crashes that no quarantined part explains. Parts
    /// that have never succeeded come first, then those of the widest range, then those of most crashes, then those that
    /// the fewest requests share.
    fn find_culprit(&self, suspects: &[Suspect]) -> Option<Suspect> {
        let is_quarantined = |it: &&Suspect| self.terms.contains_key(&it.part);
        // Repetitions of one request may crash engines because of a part of its prompt, so a quarantine of the whole
        // request explains no crash for the parts.
        let widest = |it: &Crash| {
            let quarantined = it.suspects.iter().filter(is_quarantined);
            quarantined.map(|it| it.range()).max()
        };
        let crashes: Vec<(&Crash, Option<Range>)> =
            self.crashes.iter().map(|it| (it, widest(it))).collect();
        let count = |suspect: &Suspect| {
            let success = self.successes.get(&suspect.part);
            let moment = self.proof(*suspect).moment;
            let counts = |(it, explained_by): &&(&Crash, Option<Range>)| {
                success.is_none_or(|success| *success < it.at)
                    && it.suspects.contains(suspect)
                    && match explained_by {
                        None => true,
                        Some(Range::Request) => !suspect.is_whole(),
                        Some(_) => false,
                    }
            };
            count_moments(crashes.iter().filter(counts).map(|it| it.0.at), moment)
        };
        let rank = |it: &Suspect| {
            let is_new = !self.successes.contains_key(&it.part);
            let crashes = count(it);
            let rank = (is_new, it.range(), crashes, it.depth, it.part);
            (crashes >= self.proof(*it).crashes).then_some((rank, *it))
        };
        let ranked = suspects.iter().filter_map(rank);
        ranked.max_by_key(|it| it.0).map(|it| it.1)
    }

    /// Returns what it takes to blame a suspect.
    fn proof(&self, suspect: Suspect) -> Proof {
        if !self.successes.contains_key(&suspect.part) {
            Proof::NEVER_SUCCEEDED
        } else if suspect.is_whole() {
            Proof::REQUEST_SUCCEEDED
        } else {
            Proof::PART_SUCCEEDED
        }
    }

    fn add_term(&mut self, part: PartId, term: Term) {
        if self.terms.len() >= MAX_PARTS {
            let first = self
                .terms
                .iter()
                .min_by_key(|it| (it.1.expires_at(), *it.0));
            if let Some(first) = first.map(|it| *it.0) {
                self.terms.remove(&first);
            }
        }
        self.terms.insert(part, term);
    }

    /// Records that a request with these parts has succeeded. Returns those of them that were quarantined.
    pub fn record_success(&mut self, parts: &[Suspect], now: Time) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for it in parts {
            self.insert_success(it.part, now);
            if self.terms.remove(&it.part).is_some() {
                cleared.push(it.part);
            }
        }
        cleared
    }

    /// Records that a request with a part has succeeded at another host. Returns whether this ends a quarantine.
    pub fn record_remote_success(&mut self, part: PartId, at: Time, now: Time) -> bool {
        let last = self.successes.get(&part).copied().unwrap_or_default();
        self.insert_success(part, at.max(last).min(now));
        let is_over = self.terms.get(&part).is_some_and(|it| it.began_at < at);
        if is_over {
            self.terms.remove(&part);
        }
        is_over
    }

    /// Time of the last known success of a request with a part.
    pub fn last_success(&self, part: PartId) -> Option<Time> {
        self.successes.get(&part).copied()
    }

    fn insert_success(&mut self, part: PartId, at: Time) {
        self.successes.insert(part, at);
        if self.successes.len() > MAX_SUCCESSES {
            let mut times: Vec<Time> = self.successes.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.successes.retain(|_, it| *it > median);
        }
    }

    /// Decides whether a request with these parts may be sent. `may_try` tells whether this host is the one that tries
    /// a part again.
    pub fn check(
        &mut self,
        parts: &[Suspect],
        may_try: impl Fn(PartId) -> bool,
        now: Time,
    ) -> Verdict {
        if self.terms.is_empty() {
            return Verdict::Pass;
        }
        self.terms.retain(|_, it| it.expires_at() > now);
        let mut verdict = Verdict::Pass;
        for Suspect { part, .. } in parts.iter().copied() {
            let Some(term) = self.terms.get(&part) else {
                continue;
            };
            if term.ends_at() > now {
                return Verdict::Refuse(part, term.ends_at().saturating_sub(now));
            }
            if term.next_trial_at > now || !may_try(part) {
                return Verdict::Refuse(part, TRIAL_TIME.min(term.length));
            }
            verdict = Verdict::Trial(part);
        }
        if let Verdict::Trial(part) = verdict
            && let Some(term) = self.terms.get_mut(&part)
        {
            term.next_trial_at = now + TRIAL_TIME.min(term.length);
        }
        verdict
    }

    /// Adopts the quarantine of a part at another host.
    pub fn adopt(&mut self, notice: Notice, now: Time) -> Adoption {
        let began_at = now.saturating_sub(notice.age);
        let term = Term::new(began_at, notice.length.min(MAX_TERM));
        if let Some(success) = self.successes.get(&notice.part)
            && *success > began_at
        {
            return Adoption::Disproved(now.saturating_sub(*success));
        }
        // Two hosts that delete a term at slightly different times must not renew it for each other.
        if term.expires_at() <= now + END_TOLERANCE {
            return Adoption::Known;
        }
        match self.terms.get(&notice.part) {
            Some(known) if term.ends_at() <= known.ends_at() + END_TOLERANCE => Adoption::Known,
            Some(_) => {
                self.terms.insert(notice.part, term);
                Adoption::Known
            }
            None => {
                self.add_term(notice.part, term);
                Adoption::New
            }
        }
    }

    /// Returns the quarantined parts, for other hosts.
    pub fn notices(&self, now: Time) -> Vec<Notice> {
        let current = self.terms.iter().filter(|it| it.1.expires_at() > now);
        let notices = current.map(|(part, it)| Notice {
            part: *part,
            age: now.saturating_sub(it.began_at),
            length: it.length,
        });
        notices.collect()
    }

    /// Returns the number of quarantined parts.
    pub fn len(&self, now: Time) -> usize {
        let terms = self.terms.values();
        terms.filter(|it| it.expires_at() > now).count()
    }

    fn forget_old(&mut self, now: Time) {
        self.crashes.retain(|it| it.at + CRASH_TTL > now);
        self.terms.retain(|_, it| it.expires_at() > now);
    }
}

/// Counts the crashes at these times, of which those within `moment` count as one.
fn count_moments(times: impl Iterator<Item = Time>, moment: Duration) -> usize {
    let mut times: Vec<Time> = times.collect();
    times.sort_unstable();
    let mut count = 0;
    let mut last: Option<Time> = None;
    for it in times {
        if last.is_none_or(|last| last + moment <= it) {
            count += 1;
            last = Some(it);
        }
    }
    count
}
