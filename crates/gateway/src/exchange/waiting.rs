//! Wait of a placed request for room at its engine, in the order of the queue of its service.

use std::time::Duration;

use fleet::{
    Time,
    admission::{self, CONFIRMATION_TIME, Decision},
    placement::Choice,
    queue::{Claim, Turn},
};

use tokio::time;

use crate::{clock, exchange::Exchange, queues::Place, reply::Fault};

/// Maximum time between two checks whether a request that others precede may be sent.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Exchange {
    /// Returns whether a placed request is sent now. Otherwise it was held for a moment and has to be placed
    /// again. A stream that has begun is always resumed at once, and instances of plain services refuse by
    /// themselves.
    pub(super) async fn admit(
        &mut self,
        choice: &Choice,
        place: &mut Option<Place>,
        now: Time,
        until: Time,
    ) -> Result<bool, Fault> {
        if self.request_head.name.is_none() || self.has_begun {
            return Ok(true);
        }
        let claim = self.claim(choice);
        let ticket = place.as_ref().map(Place::ticket);
        let (decision, turn, ahead) = self.decide(&claim, choice, place.as_ref(), now, until);
        match decision {
            Decision::Send => {
                let first = match turn {
                    Turn::After(it) if now + TURN_CHECK_INTERVAL < until => it,
                    _ => {
                        // The next one is woken once this one has been counted at the engine.
                        let queues = &self.gateway.queues;
                        let account = self.account.as_deref();
                        let weight = account.map_or(1.0, |it| self.gateway.account_weight(it));
                        queues.record_taken(&self.service, &claim, account, weight, now);
                        *place = None;
                        return Ok(true);
                    }
                };
                self.gateway.queues.wake(&self.service, first);
                self.trace.record_ahead(ahead);
                self.hold(claim, place, TURN_CHECK_INTERVAL).await?;
                Ok(false)
            }
            Decision::Hold(pause) => {
                if ticket.is_none() {
                    self.trace.record_ahead(ahead);
                }
                self.hold(claim, place, pause).await?;
                Ok(false)
            }
            Decision::Refuse => Err(self.refuse(choice.queue_wait, "no-room")),
        }
    }

    fn decide(
        &self,
        claim: &Claim,
        choice: &Choice,
        place: Option<&Place>,
        now: Time,
        until: Time,
    ) -> (Decision, Turn, usize) {
        let ticket = place.map(Place::ticket);
        let priority = claim.priority;
        let most_urgent = self
            .gateway
            .catalog()
            .and_then(|it| it.more_urgent_target(priority, &self.service));
        let target = admission::queue_target(self.route.latency_target, most_urgent);
        self.gateway.queues.with(&self.service, |queue| {
            let ahead = queue.ahead(claim, ticket, now);
            let wait_ahead = match u32::try_from(ahead).unwrap_or(u32::MAX) {
                0 => Duration::ZERO,
                it => self.time_per_request(choice) * it,
            };
            let candidate = admission::Candidate {
                waited: now.saturating_sub(self.started),
                target: queue.target(target, claim.account.as_ref(), priority, now),
                max_hold: until.saturating_sub(self.started),
                expected_wait: choice.expected_wait,
                queue_wait: choice.queue_wait,
                confirmed_after: CONFIRMATION_TIME,
                wait_ahead,
                random: rand::random(),
            };
            let turn = queue.turn(claim, ticket, choice.queue_wait, now);
            (admission::decide(&candidate), turn, ahead)
        })
    }

    /// Waits in the queue until it may be the request's turn, at most for `pause`.
    async fn hold(
        &mut self,
        claim: Claim,
        place: &mut Option<Place>,
        pause: Duration,
    ) -> Result<(), Fault> {
        if !self.enter_queue(claim, place) {
            return Err(self.refuse(pause, "queue-full"));
        }
        if let Some(it) = place {
            self.trace.queue_wait += it.sleep(pause).await;
        }
        Ok(())
    }

    /// Waits until the engine has prefilled more of its prompts, at most for `pause`.
    pub(super) async fn pace(
        &mut self,
        choice: &Choice,
        place: &mut Option<Place>,
        pause: Duration,
    ) {
        let claim = self.claim(choice);
        self.enter_queue(claim, place);
        let waited = if let Some(it) = place {
            it.sleep(pause).await
        } else {
            time::sleep(pause).await;
            pause
        };
        self.trace.pacing_wait += waited;
    }

    /// Enters the queue, or keeps the place there. Returns whether there is one.
    fn enter_queue(&self, claim: Claim, place: &mut Option<Place>) -> bool {
        let ticket = place.as_ref().map(Place::ticket);
        let queues = &self.gateway.queues;
        let entry = queues.with(&self.service, |it| it.wait(claim, ticket, clock::now()));
        if entry == fleet::queue::Entry::Full {
            *place = None;
        } else if place.is_none() {
            *place = Place::new(&self.gateway, &self.service, entry);
        }
        place.is_some()
    }

    /// Refuses the request, and asks its caller to come back when the queue is expected to have drained.
    fn refuse(&mut self, queue_wait: Duration, reason: &'static str) -> Fault {
        let now = clock::now();
        let left = self.deadline.saturating_sub(now);
        let retry_after = self.gateway.queues.with(&self.service, |it| {
            it.retry_after(queue_wait, left, rand::random(), now)
        });
        self.retry_after = Some(retry_after);
        let metrics = &self.gateway.metrics;
        metrics
            .queue
            .count_refusal(&self.service, &self.route.name, reason);
        Fault::Overload
    }

    fn claim(&self, choice: &Choice) -> Claim {
        let head = &self.request_head;
        let tokens = head.total_tokens.and_then(|it| u32::try_from(it).ok());
        Claim {
            priority: self.priority(),
            account: self.account.as_ref().map(|it| it.name.clone()),
            work: f64::from(tokens.unwrap_or(head.prompt_tokens).max(1)),
            arrived: self.started,
            target: self.started + self.route.latency_target,
            engine: choice.key,
            service_time: choice.expected_wait.saturating_sub(choice.queue_wait),
        }
    }

    /// Expected time between two slots that come free at an engine which the requests before this one may take: most of them
    /// may go to any that holds the adapter.
    fn time_per_request(&self, choice: &Choice) -> Duration {
        let table = self.gateway.table.borrow();
        let slots = table
            .get(choice.key)
            .map_or(1, |it| it.listing.slots.max(1));
        let name = self.request_head.name.as_ref();
        let holders = name.map_or(1, |it| table.count_holders(&self.service, it).max(1));
        let slots = u32::try_from(slots * holders).unwrap_or(u32::MAX);
        table.run_time(&self.service) / slots
    }
}
