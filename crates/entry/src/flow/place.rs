//! Finding a place on an engine: asking the stewards in the directory's order.

use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, sync_channel},
    },
    time::{Duration, Instant},
};

use kernel::{
    fault::{Fault, Kind},
    name::{Host as HostName, Upstream},
    permit::{Outcome, Permit, Request, Verdict},
    request::Id,
};
use serve::Caller;
use steward::{Event, Ticket};

use crate::{flow::RETRY_AFTER, host::Host, peers};

/// How often a waiting request looks whether its caller is still there.
const CALLER_CHECK: Duration = Duration::from_millis(100);

/// How much longer than the request's own time a steward's answer is waited for. The steward
/// answers within the request's time, so this only covers the way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// A permit and the host that gave it.
#[derive(Clone, Debug)]
pub struct Place {
    /// The permit.
    pub permit: Permit,
    /// Its steward.
    pub steward: HostName,
    /// When its steward was asked.
    pub asked: Instant,
}

impl Place {
    /// From when on the permit is void, by this host's clock. The steward counts from the grant,
    /// which is not before the time of asking plus the wait that the steward reports.
    pub fn start_by(&self) -> Instant {
        self.asked + self.permit.queue_wait + self.permit.start_by
    }
}

/// Why there is no place.
pub enum Failure {
    /// The request is refused; it has not run.
    Fault(Fault),
    /// The caller has gone.
    CallerGone,
}

/// A request that looks for a place.
pub struct Search<'a> {
    /// This host.
    pub host: &'a Arc<Host>,
    /// The ask; its remaining time is set anew for each steward.
    pub ask: Request,
    /// The caller's id, for the trace.
    pub id: &'a Id,
    /// When the request has to be answered.
    pub deadline: Instant,
    /// Whether the caller is still there.
    pub caller: &'a Caller,
    /// Engines that have refused this request already.
    pub avoid: &'a [Upstream],
}

enum Answer {
    Verdict(Verdict),
    CallerGone,
}

impl Search<'_> {
    /// Asks one steward after another until one grants or refuses.
    pub fn run(mut self) -> Result<Place, Failure> {
        let mut candidates = self.host.directory.rank(&self.ask);
        // An engine that refused this request comes last, not never: it may be the only one.
        candidates.sort_by_key(|it| self.avoid.contains(&it.engine));
        let mut last = self.no_upstream();
        for candidate in candidates {
            let now = self.host.clock.now();
            let Some(remaining) = self.deadline.checked_duration_since(now) else {
                return Err(Failure::Fault(self.too_late()));
            };
            self.ask.remaining = remaining;
            let steward = candidate.steward;
            match self.ask_one(&steward) {
                Ok(Answer::Verdict(Verdict::Granted(permit))) => {
                    return Ok(self.granted(permit, steward, now));
                }
                Ok(Answer::Verdict(Verdict::Refused(fault))) => {
                    self.note(format!("steward {steward} refused: {fault}"));
                    return Err(Failure::Fault(fault));
                }
                Ok(Answer::Verdict(Verdict::NotSteward)) => {
                    self.note(format!("steward {steward} has no place, asking the next"));
                    last = self.overloaded();
                }
                Ok(Answer::CallerGone) => return Err(Failure::CallerGone),
                Err(fault) => {
                    self.note(format!("steward {steward} could not be asked: {fault}"));
                    last = fault;
                }
            }
        }
        Err(Failure::Fault(last))
    }

    fn ask_one(&self, steward: &HostName) -> Result<Answer, Fault> {
        if *steward == self.host.me.host {
            return self.ask_self();
        }
        let handle = self.host.peer.get().ok_or_else(|| self.no_upstream())?;
        let patience = self.ask.remaining + ANSWER_MARGIN;
        let verdict = handle.place(steward, self.ask.clone(), patience)?;
        Ok(Answer::Verdict(verdict))
    }

    fn ask_self(&self) -> Result<Answer, Fault> {
        let (sender, receiver) = sync_channel(1);
        let reply = move |verdict| {
            // Nobody listens any more if the request has been withdrawn.
            let _ = sender.send(verdict);
        };
        let asked = self.host.ask(self.ask.clone(), Box::new(reply));
        let ticket = asked.map_err(|_| peers::full())?;
        Ok(self.wait(ticket, &receiver))
    }

    fn wait(&self, ticket: Ticket, receiver: &Receiver<Verdict>) -> Answer {
        let last = self.host.clock.now() + self.ask.remaining + ANSWER_MARGIN;
        loop {
            match receiver.recv_timeout(CALLER_CHECK) {
                Ok(verdict) => return Answer::Verdict(verdict),
                Err(RecvTimeoutError::Disconnected) => {
                    return Answer::Verdict(Verdict::NotSteward);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            let late = self.host.clock.now() >= last;
            if !late && !self.caller.is_disconnected() {
                continue;
            }
            self.host.inbox.event(Event::Withdraw { ticket });
            self.give_back(receiver);
            if late {
                return Answer::Verdict(Verdict::Refused(self.too_late()));
            }
            return Answer::CallerGone;
        }
    }

    /// A permit that was given just before the withdrawal is released unused.
    fn give_back(&self, receiver: &Receiver<Verdict>) {
        if let Ok(Verdict::Granted(permit)) = receiver.recv_timeout(CALLER_CHECK) {
            self.host.inbox.event(Event::Release {
                number: permit.number,
                outcome: Outcome::Unused,
            });
        }
    }

    fn granted(&self, permit: Permit, steward: HostName, asked: Instant) -> Place {
        self.note(format!(
            "steward {steward} granted permit {} on {} for {}, load stall {} ms, queue wait {} ms",
            permit.number,
            permit.upstream,
            permit.loaded,
            permit.load_stall.as_millis(),
            permit.queue_wait.as_millis(),
        ));
        Place {
            permit,
            steward,
            asked,
        }
    }

    fn note(&self, what: String) {
        self.host.step(self.id, what);
    }

    fn no_upstream(&self) -> Fault {
        let detail = format!("no engine with base model {} is known", self.ask.model);
        Fault::new(Kind::NoUpstream, detail).with_retry_after(RETRY_AFTER)
    }

    fn overloaded(&self) -> Fault {
        let detail = format!("no engine has room for {}", self.ask.reference);
        Fault::new(Kind::Overloaded, detail).with_retry_after(RETRY_AFTER)
    }

    fn too_late(&self) -> Fault {
        let detail = format!(
            "the deadline passed while {} waited for an engine",
            self.ask.reference
        );
        Fault::new(Kind::DeadlineBeforeStart, detail).with_retry_after(RETRY_AFTER)
    }
}

/// Tells the steward how the use of a permit ended.
pub fn release(host: &Host, place: &Place, outcome: Outcome) {
    let permit = &place.permit;
    if place.steward == host.me.host {
        host.inbox.event(Event::Release {
            number: permit.number,
            outcome,
        });
        return;
    }
    if let Some(peer) = host.peer.get() {
        peer.release(
            &place.steward,
            permit.upstream.clone(),
            permit.fence,
            permit.number,
            outcome,
        );
    }
}
