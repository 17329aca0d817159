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
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How much longer than the request's own time a steward's answer is waited for. The steward
/// answers within the request's time, so this only covers the way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// A permit and the host that gave it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The permit.
    pub permit: Permit,
    /// Its steward.
    pub steward: HostName,
    /// When its steward was asked.
    pub requested_at: Instant,
}

impl Placement {
    /// From when on the permit is void, by this host's clock. The steward counts from the grant,
    /// which is not before the time of asking plus the wait that the steward reports.
    pub fn start_by(&self) -> Instant {
        self.requested_at + self.permit.queue_wait + self.permit.start_by
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
    pub request: Request,
    /// The caller's id, for the trace.
    pub id: &'a Id,
    /// When the request has to be answered.
    pub deadline: Instant,
    /// Whether the caller is still there.
    pub caller: &'a Caller,
    /// Engines that have refused this request already.
    pub refused_by: &'a [Upstream],
}

enum Answer {
    Verdict(Verdict),
    CallerGone,
}

impl Search<'_> {
    /// Asks one steward after another until one grants or refuses.
    pub fn run(mut self) -> Result<Placement, Failure> {
        let mut candidates = self.host.directory.rank(&self.request);
        // An engine that refused this request comes last, not never: it may be the only one.
        candidates.sort_by_key(|it| self.refused_by.contains(&it.engine));
        let mut last_fault = self.no_upstream_fault();
        for candidate in candidates {
            let now = self.host.clock.now();
            let Some(remaining) = self.deadline.checked_duration_since(now) else {
                return Err(Failure::Fault(self.deadline_fault()));
            };
            self.request.remaining = remaining;
            let steward = candidate.steward;
            match self.request_from(&steward) {
                Ok(Answer::Verdict(Verdict::Granted(permit))) => {
                    return Ok(self.granted(permit, steward, now));
                }
                Ok(Answer::Verdict(Verdict::Refused(fault))) => {
                    self.trace(format!("steward {steward} refused: {fault}"));
                    return Err(Failure::Fault(fault));
                }
                Ok(Answer::Verdict(Verdict::NotSteward)) => {
                    self.trace(format!("steward {steward} has no place, asking the next"));
                    last_fault = self.overload_fault();
                }
                Ok(Answer::CallerGone) => return Err(Failure::CallerGone),
                Err(fault) => {
                    self.trace(format!("steward {steward} could not be asked: {fault}"));
                    last_fault = fault;
                }
            }
        }
        Err(Failure::Fault(last_fault))
    }

    fn request_from(&self, steward: &HostName) -> Result<Answer, Fault> {
        if *steward == self.host.me.host {
            return self.request_from_self();
        }
        let handle = self
            .host
            .peer
            .get()
            .ok_or_else(|| self.no_upstream_fault())?;
        let timeout = self.request.remaining + ANSWER_MARGIN;
        let verdict = handle.place(steward, self.request.clone(), timeout)?;
        Ok(Answer::Verdict(verdict))
    }

    fn request_from_self(&self) -> Result<Answer, Fault> {
        let (sender, receiver) = sync_channel(1);
        let reply = move |verdict| {
            // Nobody listens any more if the request has been withdrawn.
            let _ = sender.send(verdict);
        };
        let queued = self
            .host
            .request_permit(self.request.clone(), Box::new(reply));
        let ticket = queued.map_err(|_| peers::overload_fault())?;
        Ok(self.wait(ticket, &receiver))
    }

    fn wait(&self, ticket: Ticket, receiver: &Receiver<Verdict>) -> Answer {
        let give_up_at = self.host.clock.now() + self.request.remaining + ANSWER_MARGIN;
        loop {
            match receiver.recv_timeout(CALLER_CHECK_INTERVAL) {
                Ok(verdict) => return Answer::Verdict(verdict),
                Err(RecvTimeoutError::Disconnected) => {
                    return Answer::Verdict(Verdict::NotSteward);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            let is_late = self.host.clock.now() >= give_up_at;
            if !is_late && !self.caller.is_gone() {
                continue;
            }
            self.host.inbox.push_event(Event::Withdraw { ticket });
            self.return_unused(receiver);
            if is_late {
                return Answer::Verdict(Verdict::Refused(self.deadline_fault()));
            }
            return Answer::CallerGone;
        }
    }

    /// A permit that was given just before the withdrawal is released unused.
    fn return_unused(&self, receiver: &Receiver<Verdict>) {
        if let Ok(Verdict::Granted(permit)) = receiver.recv_timeout(CALLER_CHECK_INTERVAL) {
            self.host.inbox.push_event(Event::Release {
                number: permit.number,
                outcome: Outcome::Unused,
            });
        }
    }

    fn granted(&self, permit: Permit, steward: HostName, requested_at: Instant) -> Placement {
        self.trace(format!(
            "steward {steward} granted permit {} on {} for {}, load stall {} ms, queue wait {} ms",
            permit.number,
            permit.upstream,
            permit.loaded,
            permit.load_stall.as_millis(),
            permit.queue_wait.as_millis(),
        ));
        Placement {
            permit,
            steward,
            requested_at,
        }
    }

    fn trace(&self, text: String) {
        self.host.trace_step(self.id, text);
    }

    fn no_upstream_fault(&self) -> Fault {
        let detail = format!("no engine with base model {} is known", self.request.model);
        Fault::new(Kind::NoUpstream, detail).with_retry_after(RETRY_AFTER)
    }

    fn overload_fault(&self) -> Fault {
        let detail = format!("no engine has room for {}", self.request.reference);
        Fault::new(Kind::Overloaded, detail).with_retry_after(RETRY_AFTER)
    }

    fn deadline_fault(&self) -> Fault {
        let detail = format!(
            "the deadline passed while {} waited for an engine",
            self.request.reference
        );
        Fault::new(Kind::DeadlineBeforeStart, detail).with_retry_after(RETRY_AFTER)
    }
}

/// Tells the steward how the use of a permit ended.
pub fn release(host: &Host, placement: &Placement, outcome: Outcome) {
    let permit = &placement.permit;
    if placement.steward == host.me.host {
        host.inbox.push_event(Event::Release {
            number: permit.number,
            outcome,
        });
        return;
    }
    if let Some(peer) = host.peer.get() {
        peer.release(
            &placement.steward,
            permit.upstream.clone(),
            permit.fence,
            permit.number,
            outcome,
        );
    }
}
