//! Obtains a permit for a request by contacting the stewards in the order of the directory.

use std::{
    sync::{Arc, mpsc::RecvTimeoutError},
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

use crate::{
    flow::RETRY_AFTER,
    host::Host,
    peers,
    verdict::{self, Waiter},
};

/// How often a waiting request checks whether its caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How much longer than the request's remaining time to wait for a steward. The steward answers
/// within the remaining time, so the margin only covers the transfer of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Time from the loss of a steward within which another host usually takes its engines over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(4);

/// A permit and the host that granted it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The permit.
    pub permit: Permit,
    /// The steward that granted the permit.
    pub steward: HostName,
    /// The time at which the steward was contacted.
    pub requested_at: Instant,
}

impl Placement {
    /// Returns the time by this host's clock at which the permit becomes void. The steward counts
    /// from the grant, which is no earlier than the request plus the reported queue wait.
    pub fn start_by(&self) -> Instant {
        self.requested_at + self.permit.queue_wait + self.permit.start_by
    }
}

/// The reason why no permit was obtained.
pub enum Failure {
    /// The request is refused and has not run.
    Fault(Fault),
    /// The caller has disconnected.
    CallerGone,
}

/// The search for an engine that serves a request.
pub struct Search<'a> {
    /// This host.
    pub host: &'a Arc<Host>,
    /// The permit request. Its remaining time is updated for each steward.
    pub request: Request,
    /// The caller's request id, for the trace.
    pub id: &'a Id,
    /// The time by which the request must be answered.
    pub deadline: Instant,
    /// Tells whether the caller is still connected.
    pub caller: &'a Caller,
    /// Engines that already refused this request.
    pub refused_by: &'a [Upstream],
}

enum Answer {
    Verdict(Verdict),
    CallerGone,
}

/// The result of contacting all stewards once.
enum Pass {
    Granted(Placement),
    /// A steward is gone, or no longer has an engine for the request.
    StewardLost(Fault),
    /// No engine is known.
    NoSteward(Fault),
}

impl Search<'_> {
    /// Contacts one steward after another until one grants or refuses the request. If a steward is
    /// lost meanwhile, the request waits for the takeover of its engines.
    pub fn run(mut self) -> Result<Placement, Failure> {
        let mut lost_at = None;
        loop {
            let fault = match self.ask_all()? {
                Pass::Granted(it) => return Ok(it),
                Pass::StewardLost(fault) => {
                    lost_at.get_or_insert(self.host.clock.now());
                    fault
                }
                Pass::NoSteward(fault) => fault,
            };
            let now = self.host.clock.now();
            let give_up_at = lost_at.map(|it: Instant| self.deadline.min(it + TAKEOVER_TIMEOUT));
            if give_up_at.is_none_or(|it| it <= now) {
                return Err(Failure::Fault(fault));
            }
            std::thread::sleep(CALLER_CHECK_INTERVAL);
            if self.caller.is_disconnected() {
                return Err(Failure::CallerGone);
            }
        }
    }

    fn ask_all(&mut self) -> Result<Pass, Failure> {
        let mut candidates = self.host.directory.rank(&self.request);
        // Engines that refused this request come last instead of being excluded, as no other engine
        // may exist.
        candidates.sort_by_key(|it| self.refused_by.contains(&it.engine));
        let mut pass = Pass::NoSteward(self.no_upstream_fault());
        for candidate in candidates {
            let now = self.host.clock.now();
            let Some(remaining) = self.deadline.checked_duration_since(now) else {
                return Err(Failure::Fault(self.deadline_fault()));
            };
            self.request.remaining = remaining;
            let steward = candidate.steward;
            match self.request_from(&steward) {
                Ok(Answer::Verdict(Verdict::Granted(permit))) => {
                    return Ok(Pass::Granted(self.granted(permit, steward, now)));
                }
                Ok(Answer::Verdict(Verdict::Refused(fault))) => {
                    self.trace(format!("steward {steward} refused: {fault}"));
                    return Err(Failure::Fault(fault));
                }
                Ok(Answer::Verdict(Verdict::NotSteward)) => {
                    self.trace(format!("steward {steward} has no place, asking the next"));
                    pass = Pass::StewardLost(self.overload_fault());
                }
                Ok(Answer::CallerGone) => return Err(Failure::CallerGone),
                Err(fault) => {
                    self.trace(format!("steward {steward} could not be asked: {fault}"));
                    pass = Pass::StewardLost(fault);
                }
            }
        }
        Ok(pass)
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
        let host = Arc::clone(self.host);
        let (reply, waiter) = verdict::channel(move |permit| return_unused(&host, &permit));
        let queued = self.host.request_permit(self.request.clone(), reply);
        let ticket = queued.map_err(|_| peers::overload_fault())?;
        Ok(self.wait(ticket, waiter))
    }

    fn wait(&self, ticket: Ticket, waiter: Waiter) -> Answer {
        let give_up_at = self.host.clock.now() + self.request.remaining + ANSWER_MARGIN;
        loop {
            match waiter.wait(CALLER_CHECK_INTERVAL) {
                Ok(verdict) => return Answer::Verdict(verdict),
                Err(RecvTimeoutError::Disconnected) => {
                    return Answer::Verdict(Verdict::NotSteward);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            let is_late = self.host.clock.now() >= give_up_at;
            if !is_late && !self.caller.is_disconnected() {
                continue;
            }
            self.host.inbox.push_event(Event::Withdraw { ticket });
            if let Some(permit) = waiter.withdraw() {
                return_unused(self.host, &permit);
            }
            if is_late {
                return Answer::Verdict(Verdict::Refused(self.deadline_fault()));
            }
            return Answer::CallerGone;
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

/// Releases a permit that this host's own steward granted to a request that is withdrawn.
fn return_unused(host: &Host, permit: &Permit) {
    host.inbox.push_event(Event::Release {
        number: permit.number,
        outcome: Outcome::Unused,
    });
}

/// Reports to the steward how the use of a permit ended.
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
