//! Handling of a request at the host that received it.

use std::time::Duration;

use kernel::{
    fault::{Fault, Kind},
    permit::{Holder, Outcome, Permit, Request, Verdict},
};
use steward::Event;

use super::{SimEvent, Simulation, pack_ticket, to_micros};
use crate::{event_queue::Micros, scenario::WARM_UP, trace::TENANT_COUNT};

/// Maximum number of permit requests before a request is refused.
const MAX_ATTEMPTS: u32 = 8;

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, request: usize) {
        if self.is_measured(request) {
            self.metrics.requests += 1;
        }
        self.start_placement(request);
    }

    /// Returns whether a request arrived after the warm-up.
    fn is_measured(&self, request: usize) -> bool {
        self.trace[request].at >= WARM_UP
    }

    /// Ranks the stewards for a request and asks the first one.
    fn start_placement(&mut self, request: usize) {
        let permit_request = self.build_permit_request(request);
        let sim_host = &self.hosts[self.trace[request].host];
        let progress = &mut self.progress[request];
        progress.candidates = sim_host.directory.rank(&permit_request);
        progress.next_candidate = 0;
        self.try_next_steward(request);
    }

    /// Sends a permit request to the next steward of the ranking.
    pub(super) fn try_next_steward(&mut self, request: usize) {
        let progress = &mut self.progress[request];
        progress.attempts += 1;
        let attempt = progress.attempts;
        let candidate = progress.candidates.get(progress.next_candidate).cloned();
        progress.next_candidate += 1;
        let Some(candidate) = candidate.filter(|_| attempt <= MAX_ATTEMPTS) else {
            self.record_refusal(
                request,
                &Fault::new(Kind::NoUpstream, "no steward accepted the request"),
            );
            return;
        };
        let steward = self.host_index(&candidate.steward);
        self.progress[request].steward = steward;
        let event = Event::PermitRequest {
            ticket: pack_ticket(request, attempt),
            request: self.build_permit_request(request),
        };
        let delay = self.host_delay(self.trace[request].host, steward);
        self.schedule(delay, SimEvent::Steward(steward, event));
    }

    fn host_index(&self, name: &kernel::name::Host) -> usize {
        let mut hosts = self.hosts.iter();
        hosts
            .position(|it| it.name == *name)
            .expect("directories contain only known hosts")
    }

    fn build_permit_request(&self, request: usize) -> Request {
        let arrival = &self.trace[request];
        let deadline = arrival.at + arrival.time_limit;
        Request {
            request: format!("r{request}")
                .parse()
                .expect("the id is well formed"),
            holder: Holder {
                host: self.hosts[arrival.host].name.clone(),
                incarnation: 1,
            },
            reference: self.references[arrival.adapter].clone(),
            model: self.model.clone(),
            tenant: self.tenants[arrival.adapter % TENANT_COUNT].clone(),
            class: arrival.class,
            remaining: Duration::from_micros(deadline.saturating_sub(self.now)),
            prefix: arrival.prefix_hash,
            max_tokens: arrival.answer_tokens,
        }
    }

    pub(super) fn handle_answer(&mut self, request: usize, verdict: Verdict) {
        match verdict {
            Verdict::Granted(permit) => {
                let engine = super::engine_index(&permit.upstream);
                let delay = self.engine_delay(self.trace[request].host, engine);
                self.progress[request].stall += to_micros(permit.load_stall);
                self.schedule(delay, SimEvent::RequestStart(request, permit));
            }
            Verdict::Refused(fault) => self.record_refusal(request, &fault),
            Verdict::NotSteward => unreachable!("a redirect arrives as `Action::Redirect`"),
        }
    }

    fn record_refusal(&mut self, request: usize, fault: &Fault) {
        if self.is_measured(request) {
            let waited = self.now - self.trace[request].at;
            self.metrics.record_refusal(fault.kind, waited);
        }
    }

    /// Starts a request at its engine if the adapter is loaded there.
    pub(super) fn start_request(&mut self, request: usize, permit: Permit) {
        let engine = super::engine_index(&permit.upstream);
        let arrival = &self.trace[request];
        let state = &mut self.engines[engine];
        let Some(run) = state.start(&permit.loaded, arrival.answer_tokens, self.now) else {
            self.handle_start_refusal(request, &permit);
            return;
        };
        let incarnation = state.incarnation;
        let return_delay = self.engine_delay(arrival.host, engine);
        if self.is_measured(request) {
            let arrival = &self.trace[request];
            let stall = self.progress[request].stall;
            self.metrics.stalls.push((stall, arrival.at));
            self.metrics
                .first_token_times
                .push(self.now + run.first + return_delay - arrival.at);
            if permit.loaded.reference != self.references[arrival.adapter] {
                self.metrics.wrong_adapter_answers += 1;
            }
        }
        self.progress[request].run_time = run.last;
        self.schedule(run.last, SimEvent::RequestEnd(request, permit, incarnation));
    }

    /// Handles a start that the engine refused because it lacks the adapter. The request did not
    /// run and is placed again.
    fn handle_start_refusal(&mut self, request: usize, permit: &Permit) {
        if self.is_measured(request) {
            self.metrics.retries += 1;
        }
        self.release_permit(request, permit, Outcome::Refused);
        self.start_placement(request);
    }

    /// Releases a permit at the steward that granted it.
    fn release_permit(&mut self, request: usize, permit: &Permit, outcome: Outcome) {
        let steward = self.progress[request].steward;
        let delay = self.host_delay(self.trace[request].host, steward);
        let number = permit.number;
        self.schedule(
            delay,
            SimEvent::Steward(steward, Event::Release { number, outcome }),
        );
    }

    pub(super) fn end_request(&mut self, request: usize, permit: &Permit, incarnation: u64) {
        let engine = super::engine_index(&permit.upstream);
        if self.engines[engine].incarnation != incarnation {
            self.interrupt_request(request, permit);
            return;
        }
        self.engines[engine].finish(&permit.loaded, self.now);
        self.release_permit(request, permit, Outcome::Completed);
        if !self.is_measured(request) {
            return;
        }
        if self.now <= self.deadline(request) {
            self.metrics.in_time += 1;
            self.metrics.useful_time += self.progress[request].run_time;
        } else {
            self.metrics.deadline_misses += 1;
        }
    }

    /// Handles a request whose engine restarted while it ran.
    fn interrupt_request(&mut self, request: usize, permit: &Permit) {
        self.release_permit(request, permit, Outcome::Interrupted);
        if self.is_measured(request) {
            self.metrics.deadline_misses += 1;
        }
    }

    fn deadline(&self, request: usize) -> Micros {
        let arrival = &self.trace[request];
        arrival.at + arrival.time_limit
    }
}
