//! The path of a request through an entry host.

use std::time::Duration;

use kernel::{
    fault::{Fault, Kind},
    permit::{Holder, Outcome, Permit, Request, Verdict},
};
use steward::Event;

use super::{Fleet, Happening, micros, ticket_of};
use crate::{agenda::Micros, scenario::WARM_UP, trace::TENANTS};

/// Attempts at a place before a request is refused.
const MAX_ATTEMPTS: u32 = 8;

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        if self.counts(request) {
            self.figures.requests += 1;
        }
        self.place(request);
    }

    fn counts(&self, request: usize) -> bool {
        self.trace[request].at >= WARM_UP
    }

    fn place(&mut self, request: usize) {
        let ask = self.ask_of(request);
        let member = &self.members[self.trace[request].host];
        let progress = &mut self.progress[request];
        progress.candidates = member.directory.rank(&ask);
        progress.next = 0;
        self.ask_next(request);
    }

    /// Asks the next steward of the ranking.
    pub(super) fn ask_next(&mut self, request: usize) {
        let progress = &mut self.progress[request];
        progress.attempts += 1;
        let attempt = progress.attempts;
        let candidate = progress.candidates.get(progress.next).cloned();
        progress.next += 1;
        let Some(candidate) = candidate.filter(|_| attempt <= MAX_ATTEMPTS) else {
            self.refuse(
                request,
                &Fault::new(Kind::NoUpstream, "no steward takes it"),
            );
            return;
        };
        let steward = self.member_named(&candidate.steward);
        self.progress[request].steward = steward;
        let event = Event::PermitRequest {
            ticket: ticket_of(request, attempt),
            request: self.ask_of(request),
        };
        let delay = self.between(self.trace[request].host, steward);
        self.plan(delay, Happening::Tell(steward, event));
    }

    fn member_named(&self, name: &kernel::name::Host) -> usize {
        let mut members = self.members.iter();
        members
            .position(|it| it.name == *name)
            .expect("directories name members")
    }

    fn ask_of(&self, request: usize) -> Request {
        let arrival = &self.trace[request];
        let deadline = arrival.at + arrival.patience;
        Request {
            request: format!("r{request}")
                .parse()
                .expect("the id is well formed"),
            holder: Holder {
                host: self.members[arrival.host].name.clone(),
                incarnation: 1,
            },
            reference: self.references[arrival.adapter].clone(),
            model: self.model.clone(),
            tenant: self.tenants[arrival.adapter % TENANTS].clone(),
            class: arrival.class,
            remaining: Duration::from_micros(deadline.saturating_sub(self.now)),
            prefix: arrival.prefix,
            max_tokens: arrival.tokens,
        }
    }

    pub(super) fn decided(&mut self, request: usize, verdict: Verdict) {
        match verdict {
            Verdict::Granted(permit) => {
                let engine = super::index_of(&permit.upstream);
                let delay = self.to_engine(self.trace[request].host, engine);
                self.progress[request].stall += micros(permit.load_stall);
                self.plan(delay, Happening::Start(request, permit));
            }
            Verdict::Refused(fault) => self.refuse(request, &fault),
            Verdict::NotSteward => unreachable!("a redirect is an action of its own"),
        }
    }

    fn refuse(&mut self, request: usize, fault: &Fault) {
        if self.counts(request) {
            let waited = self.now - self.trace[request].at;
            self.figures.refuse(fault.kind, waited);
        }
    }

    pub(super) fn start(&mut self, request: usize, permit: Permit) {
        let engine = super::index_of(&permit.upstream);
        let arrival = &self.trace[request];
        let machine = &mut self.machines[engine];
        let Some(run) = machine.start(&permit.loaded, arrival.tokens, self.now) else {
            self.start_refused(request, &permit);
            return;
        };
        let incarnation = machine.incarnation;
        let back = self.to_engine(arrival.host, engine);
        if self.counts(request) {
            let arrival = &self.trace[request];
            let stall = self.progress[request].stall;
            self.figures.stalls.push((stall, arrival.at));
            self.figures
                .first_tokens
                .push(self.now + run.first + back - arrival.at);
            if permit.loaded.reference != self.references[arrival.adapter] {
                self.figures.wrong += 1;
            }
        }
        self.progress[request].run = run.last;
        self.plan(run.last, Happening::Finish(request, permit, incarnation));
    }

    /// The engine lacks the adapter: the request has not run and is placed anew.
    fn start_refused(&mut self, request: usize, permit: &Permit) {
        if self.counts(request) {
            self.figures.retries += 1;
        }
        self.give_back(request, permit, Outcome::Refused);
        self.place(request);
    }

    fn give_back(&mut self, request: usize, permit: &Permit, outcome: Outcome) {
        let steward = self.progress[request].steward;
        let delay = self.between(self.trace[request].host, steward);
        let number = permit.number;
        self.plan(
            delay,
            Happening::Tell(steward, Event::Release { number, outcome }),
        );
    }

    pub(super) fn finish(&mut self, request: usize, permit: &Permit, incarnation: u64) {
        let engine = super::index_of(&permit.upstream);
        if self.machines[engine].incarnation != incarnation {
            self.broken(request, permit);
            return;
        }
        self.machines[engine].finish(&permit.loaded, self.now);
        self.give_back(request, permit, Outcome::Completed);
        if !self.counts(request) {
            return;
        }
        if self.now <= self.deadline(request) {
            self.figures.in_time += 1;
            self.figures.useful += self.progress[request].run;
        } else {
            self.figures.misses += 1;
        }
    }

    fn broken(&mut self, request: usize, permit: &Permit) {
        self.give_back(request, permit, Outcome::Interrupted);
        if self.counts(request) {
            self.figures.misses += 1;
        }
    }

    fn deadline(&self, request: usize) -> Micros {
        let arrival = &self.trace[request];
        arrival.at + arrival.patience
    }
}
