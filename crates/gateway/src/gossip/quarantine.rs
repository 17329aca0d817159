//! Crashes of engines, and the request parts that cause them (`fleet::quarantine`). A connection to an engine may break
//! for other reasons, so a crash is confirmed by a connection attempt before it is reported to the other hosts.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use fleet::{
    Time,
    circuit::State,
    engine::Engine,
    listing::Listing,
    quarantine::{
        Adoption, Incarnation, Notice, PartId, Quarantine, SETTLE_TIME, Suspect, Verdict,
    },
    rendezvous::{self, short_id},
    table::Key,
};
use tokio::{task, time};

use super::{Gossip, identity::ended_engine};
use crate::{
    clock,
    connection::Reuse,
    message::{
        CrashReport, EngineIncarnation, MAX_QUARANTINED_PER_MESSAGE, MAX_SUSPECTS_PER_MESSAGE,
        Message, PartSuccess, QuarantinedPart, ReportedSuspect, to_millis,
    },
};

/// Time in which other requests at an engine show whether it is still alive after a connection broke. All connections to
/// an engine that has crashed break within that time.
const CONFIRM_DELAY: Duration = Duration::from_millis(60);

/// Time for which a new connection must stay open. A proxy in front of an engine that has crashed accepts connections and
/// closes them when it can't reach the engine.
const ACCEPT_TIME: Duration = Duration::from_millis(40);

/// Time after a broken connection in which the list of engines shows that an engine has started again, if it was back
/// before this host noticed.
const RESTART_NOTICE_TIME: Duration = Duration::from_millis(2500);

/// Time between two looks at the list of engines in [`RESTART_NOTICE_TIME`].
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times that a report is sent to each host, because datagrams may be lost.
const REPORT_COUNT: u32 = 4;

/// Maximum number of reports that are sent again.
const MAX_REPORTS: usize = 256;

/// Crashes that are to be confirmed, and reports that are to be sent once more.
#[derive(Default)]
pub struct CrashWatch {
    /// Engines to which a connection has just broken.
    suspicions: RefCell<HashMap<Key, Suspicion>>,
    reports: RefCell<VecDeque<Report>>,
    /// True while reported crashes wait to be judged.
    is_judging: Cell<bool>,
}

/// Engine to which a connection has just broken.
struct Suspicion {
    /// Parts of the requests whose connections broke.
    suspects: Vec<Suspect>,
    broke_at: Time,
}

/// Report that is sent once more with each of the next heartbeats.
struct Report {
    contents: Contents,
    sends_left: u32,
}

/// Contents of a [`Report`]. Ages are computed when it is sent.
pub(super) enum Contents {
    Crash {
        engine: Incarnation,
        suspects: Vec<Suspect>,
        at: Time,
    },
    Success {
        part: PartId,
        at: Time,
    },
    /// The engine may have ended.
    End {
        engine: Incarnation,
        at: Time,
    },
}

impl Contents {
    fn messages(&self, quarantine: &Quarantine, now: Time) -> Vec<Message> {
        match self {
            Self::Crash {
                engine,
                suspects,
                at,
            } => {
                let parts = suspects.chunks(MAX_SUSPECTS_PER_MESSAGE);
                let encode = |it: &Suspect| ReportedSuspect {
                    part: it.part.0,
                    depth: it.depth,
                    success_age_ms: quarantine.last_success(it.part).map(|at| age_ms(at, now)),
                };
                let report = |suspects: &[Suspect]| {
                    Message::Crash(CrashReport {
                        engine: EngineIncarnation {
                            engine: engine.engine,
                            incarnation: engine.started_at,
                        },
                        age_ms: age_ms(*at, now),
                        suspects: suspects.iter().map(encode).collect(),
                    })
                };
                parts.map(report).collect()
            }
            Self::Success { part, at } => vec![part_success(*part, *at, now)],
            Self::End { engine, at } => {
                vec![Message::Ended(ended_engine(*engine, age_ms(*at, now)))]
            }
        }
    }
}

impl Gossip {
    /// Records that the connection of a request to an engine broke, which may have crashed on one of these parts.
    pub fn record_break(self: &Rc<Self>, key: Key, suspects: &[Suspect]) {
        let mut suspicions = self.gateway.crash_watch.suspicions.borrow_mut();
        if let Some(it) = suspicions.get_mut(&key) {
            it.suspects.extend(suspects);
            return;
        }
        let broke_at = clock::now();
        let suspicion = Suspicion {
            suspects: suspects.to_vec(),
            broke_at,
        };
        suspicions.insert(key, suspicion);
        drop(suspicions);
        task::spawn_local(self.clone().confirm_crash(key, broke_at));
    }

    /// Reports a crash unless the engine turns out to be alive.
    async fn confirm_crash(self: Rc<Self>, key: Key, broke_at: Time) {
        let listed = {
            let table = self.gateway.table.borrow();
            let engine = table.get(key);
            engine.map(|it| (it.listing.clone(), it.listed_since))
        };
        time::sleep(CONFIRM_DELAY).await;
        let is_alive = match &listed {
            Some((it, _)) => self.has_answered_since(key, broke_at) || self.accepts(it.addr).await,
            None => true,
        };
        let suspicion = self
            .gateway
            .crash_watch
            .suspicions
            .borrow_mut()
            .remove(&key);
        let (Some((listing, listed_since)), Some(suspicion)) = (listed, suspicion) else {
            return;
        };
        if is_alive && !self.restarts(key, &listing, listed_since).await {
            let id = &*listing.id;
            log::info!(event = "engine-alive", engine = id; "a connection to engine {id} broke, but the engine is alive");
            return;
        }
        let Suspicion {
            mut suspects,
            broke_at,
        } = suspicion;
        suspects.sort_unstable_by_key(|it| (it.part, it.depth));
        suspects.dedup();
        let id = &*listing.id;
        let parts: Vec<String> = suspects.iter().map(|it| it.part.to_string()).collect();
        self.gateway.metrics.count_crash(&listing.service);
        log::info!(
            event = "engine-crashed", engine = id, parts = parts.join(",").as_str();
            "engine {id} ended before it had answered requests with {} parts", suspects.len()
        );
        if suspects.is_empty() {
            return;
        }
        let engine = incarnation(&listing);
        self.record_crash(engine, &suspects, broke_at);
        self.send_report(Contents::Crash {
            engine,
            suspects,
            at: broke_at,
        });
    }

    /// Returns whether data of the engine has arrived since a connection broke.
    fn has_answered_since(&self, key: Key, broke_at: Time) -> bool {
        let table = self.gateway.table.borrow();
        let engine = table.get(key);
        engine.is_some_and(|it| it.own_success_at > broke_at + CONFIRM_DELAY / 2)
    }

    /// Returns whether an engine that accepts connections turns out to have started again since its incarnation was first
    /// listed. It may be back under its id, or under another one at its address.
    async fn restarts(&self, key: Key, listing: &Listing, listed_since: Time) -> bool {
        let until = clock::now() + RESTART_NOTICE_TIME;
        loop {
            {
                let table = self.gateway.table.borrow();
                let engine = table.get(key);
                let is_leaving = engine.is_none_or(Engine::is_leaving);
                let is_gone =
                    engine.is_some_and(|it| it.circuit.state(clock::now()) == State::Unreachable);
                let is_successor = |it: &Engine| {
                    it.listing.addr == listing.addr
                        && it.listed_since > listed_since
                        && incarnation(&it.listing) != incarnation(listing)
                };
                if table.iter().any(|it| is_successor(it.1)) || is_gone && !is_leaving {
                    return true;
                }
                if is_leaving || clock::now() >= until {
                    return false;
                }
            }
            time::sleep(RESTART_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether a connection can be opened and stays open. It is used for the next request.
    async fn accepts(&self, addr: SocketAddr) -> bool {
        let Ok(connection) = self.gateway.pool.acquire(addr, Reuse::Never).await else {
            return false;
        };
        time::sleep(ACCEPT_TIME).await;
        let is_open = connection.is_open();
        connection.release(None);
        is_open
    }

    /// Records a crash that this or another host has seen.
    fn record_crash(self: &Rc<Self>, engine: Incarnation, suspects: &[Suspect], at: Time) {
        let mut quarantine = self.gateway.quarantine.borrow_mut();
        quarantine.record_crash(engine, suspects, at, clock::now());
        if !self.gateway.crash_watch.is_judging.replace(true) {
            task::spawn_local(self.clone().judge_crashes());
        }
    }

    /// Quarantines the parts on which engines crash, once all hosts have reported.
    async fn judge_crashes(self: Rc<Self>) {
        time::sleep(SETTLE_TIME).await;
        self.gateway.crash_watch.is_judging.set(false);
        let quarantined = self.gateway.quarantine.borrow_mut().judge(clock::now());
        for part in quarantined {
            let part = part.to_string();
            log::warn!(
                event = "part-quarantined", part_id = part.as_str(), why = "crashes";
                "engines crash on requests with part {part}: they are refused"
            );
        }
    }

    /// Handles a report of another host about a crash.
    pub(super) fn handle_crash(self: &Rc<Self>, report: &CrashReport) {
        let engine = Incarnation {
            engine: report.engine.engine,
            started_at: report.engine.incarnation,
        };
        let decode = |it: &ReportedSuspect| Suspect {
            part: PartId(it.part),
            depth: it.depth,
        };
        for it in &report.suspects {
            if let Some(age_ms) = it.success_age_ms {
                let part = it.part;
                self.handle_part_success(PartSuccess { part, age_ms });
            }
        }
        let suspects: Vec<Suspect> = report.suspects.iter().map(decode).collect();
        self.record_crash(engine, &suspects, time_before(report.age_ms));
    }

    /// Records that a request with these parts was answered completely.
    pub fn record_part_success(&self, parts: &[Suspect]) {
        let now = clock::now();
        let cleared = (self.gateway.quarantine.borrow_mut()).record_success(parts, now);
        for part in cleared {
            let text = part.to_string();
            log::info!(
                event = "part-cleared", part_id = text.as_str(), why = "success";
                "a request with part {text} succeeded: engines do not crash on it"
            );
            self.send_report(Contents::Success { part, at: now });
        }
    }

    /// Handles a report of another host about a part that engines do not crash on.
    pub(super) fn handle_part_success(&self, report: PartSuccess) {
        let (part, at) = (PartId(report.part), time_before(report.age_ms));
        let mut quarantine = self.gateway.quarantine.borrow_mut();
        if quarantine.record_remote_success(part, at, clock::now()) {
            let part = part.to_string();
            log::info!(
                event = "part-cleared", part_id = part.as_str(), why = "other-host";
                "a request with part {part} succeeded at another host"
            );
        }
    }

    /// Adopts the parts that another host has quarantined. Answers for those that have succeeded since.
    pub(super) fn handle_quarantined(&self, parts: &[QuarantinedPart], from: SocketAddr) {
        let now = clock::now();
        for it in parts {
            let part = PartId(it.part);
            let notice = Notice {
                part,
                age: Duration::from_millis(it.age_ms.into()),
                length: Duration::from_secs(it.term_s.into()),
            };
            let adoption = self.gateway.quarantine.borrow_mut().adopt(notice, now);
            match adoption {
                Adoption::New => {
                    let part = part.to_string();
                    log::warn!(
                        event = "part-quarantined", part_id = part.as_str(), why = "other-host";
                        "another host reports that engines crash on requests with part {part}"
                    );
                }
                Adoption::Known => {}
                Adoption::Disproved(age) => {
                    let at = now.saturating_sub(age);
                    self.try_send(&part_success(part, at, now), from);
                }
            }
        }
    }

    /// Parts that this host has quarantined, for a heartbeat. If there are many, each heartbeat has other ones.
    pub(super) fn quarantined_parts(&self, now: Time) -> Vec<QuarantinedPart> {
        let mut notices = self.gateway.quarantine.borrow().notices(now);
        if notices.len() > MAX_QUARANTINED_PER_MESSAGE {
            let first = rand::random_range(0..notices.len());
            notices.rotate_left(first);
            notices.truncate(MAX_QUARANTINED_PER_MESSAGE);
        }
        let encode = |it: &Notice| QuarantinedPart {
            part: it.part.0,
            age_ms: to_millis(it.age),
            term_s: u32::try_from(it.length.as_secs()).unwrap_or(u32::MAX),
        };
        notices.iter().map(encode).collect()
    }

    /// Reports that are sent with this heartbeat.
    pub(super) fn report_messages(&self, now: Time) -> Vec<Message> {
        let mut reports = self.gateway.crash_watch.reports.borrow_mut();
        let quarantine = self.gateway.quarantine.borrow();
        let messages = reports
            .iter()
            .flat_map(|it| it.contents.messages(&quarantine, now));
        let messages = messages.collect();
        for it in reports.iter_mut() {
            it.sends_left -= 1;
        }
        reports.retain(|it| it.sends_left > 0);
        messages
    }

    /// Sends a report to all live hosts now, and with the next heartbeats.
    pub(super) fn send_report(&self, contents: Contents) {
        let hosts = self.live_addresses();
        let messages = contents.messages(&self.gateway.quarantine.borrow(), clock::now());
        for message in &messages {
            for addr in &hosts {
                self.try_send(message, *addr);
            }
        }
        let mut reports = self.gateway.crash_watch.reports.borrow_mut();
        if reports.len() >= MAX_REPORTS {
            reports.pop_front();
        }
        reports.push_back(Report {
            contents,
            sends_left: REPORT_COUNT - 1,
        });
    }

    /// Decides whether a request with these parts may be sent to an engine.
    pub fn check_quarantine(&self, parts: &[Suspect]) -> Verdict {
        let mut quarantine = self.gateway.quarantine.borrow_mut();
        quarantine.check(parts, |it| self.may_try_part(it), clock::now())
    }

    /// Returns whether this host is the one of the live hosts that tries a quarantined part again.
    fn may_try_part(&self, part: PartId) -> bool {
        let part = part.to_string();
        let rank = |host: &str| rendezvous::weight(&part, host);
        let own_rank = rank(&self.gateway.holder);
        let peers = self.gateway.peers.borrow();
        let mut live = peers.live_addresses(clock::now());
        live.all(|(host, _)| rank(host) <= own_rank)
    }
}

pub(super) fn incarnation(listing: &Listing) -> Incarnation {
    Incarnation {
        engine: short_id(&listing.id),
        started_at: listing.incarnation,
    }
}

fn part_success(part: PartId, at: Time, now: Time) -> Message {
    Message::PartSuccess(PartSuccess {
        part: part.0,
        age_ms: age_ms(at, now),
    })
}

/// Time in ms since `at`.
fn age_ms(at: Time, now: Time) -> u32 {
    to_millis(now.saturating_sub(at))
}

/// Time that lies this many ms back.
fn time_before(age_ms: u32) -> Time {
    clock::now().saturating_sub(Duration::from_millis(age_ms.into()))
}
