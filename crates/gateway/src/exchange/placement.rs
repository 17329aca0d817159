//! Placement of a request on an engine, and the wait for its adapter.

use std::{rc::Rc, time::Duration};

use fleet::{
    Time,
    listing::Name,
    loader::Wanted,
    origin::BuildId,
    placement::{self, Choice, Placement, PlacementRequest},
    quarantine::Verdict,
    rendezvous::short_id,
    table::Key,
};
use futures::future;
use tokio::time;

use crate::{
    assignments::{self, Exception},
    clock,
    exchange::{Exchange, OriginRecord, attempt::Counted},
    gateway::{Gateway, MAX_WAITERS},
    queues::Place,
    reply::Fault,
    takeover::PLACEMENT_TIMEOUT,
};

/// Fraction of the caller's timeout after which a request without a placement is refused. The rest
/// is left for the caller's next attempt.
const MAX_HOLD_FRACTION: f64 = 0.3;

/// Fraction of the target time to the first event for which a prompt may be paced here before it is
/// sent to an engine.
pub(super) const MAX_PACING_FRACTION: f64 = 0.6;

/// Time between two checks whether an engine has prefilled enough of its queued prompts.
const PACING_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum time between two checks whether an engine accepts requests again.
pub(super) const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks whether a full engine has room again.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for which a new stream waits until an engine is certain not to have started again. Then it begins at one
/// that may have.
const MAX_CHECK_TIME: Duration = Duration::from_millis(500);

/// Time between two attempts to place a request that no engine can serve now.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of engines that are asked at the same time whether they have started again.
const MAX_CHECKED_ENGINES: usize = 3;

/// Maximum time for which a request without a placement is held.
const MAX_HOLD: Duration = Duration::from_millis(2200);

/// Time after which a load request is repeated to the same host, because datagrams may be lost.
const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(90);

/// Number of load requests to one host before the next steward in order is asked.
const LOAD_REQUESTS_PER_HOST: u32 = 5;

impl Exchange {
    /// Maximum time for which the request is held without a placement.
    pub(super) fn hold_time(&self) -> Duration {
        let total = self.deadline.saturating_sub(self.started);
        total.mul_f64(MAX_HOLD_FRACTION).min(MAX_HOLD)
    }

    /// Short id of the engine at which the stream broke off if it has begun, or that refused the request after a silent
    /// one was left.
    fn lost_engine(&self) -> Option<u32> {
        let key = if self.has_begun {
            self.attempted_engines.last()
        } else {
            self.last_after_left.as_ref()
        };
        let key = key?;
        let table = self.gateway.table.borrow();
        table.get(*key).map(|it| short_id(&it.listing.id))
    }

    /// Chooses an engine for the next attempt. If no other engine takes the request now, that is the silent one that was
    /// left. If that one can't be asked either, waits for another engine until `until`, or for the end of its back-off.
    pub(crate) async fn place_again(&mut self, until: Time) -> Result<Choice, Fault> {
        let Some(left) = self.left_engine else {
            return self.place(until).await;
        };
        if self.has_attempts_left()
            && self.gateway.has_retry(&self.service)
            && let Ok(it) = self.place(clock::now()).await
        {
            return Ok(it);
        }
        self.left_engine = None;
        if let Some(it) = self.choose_left_engine(left) {
            return Ok(it);
        }
        self.last_after_left = self.attempted_engines.last().copied();
        // The time for which a request is held may have passed while its engines were silent.
        let until = until.max(clock::now() + PLACEMENT_TIMEOUT);
        let mut fault = Fault::NoEngine;
        if self.has_attempts_left() {
            match self.place(until).await {
                Ok(it) => return Ok(it),
                Err(it) => fault = it,
            }
        }
        self.wait_for_left_engine(left, until).await.ok_or(fault)
    }

    /// Chooses the silent engine that was left, after its back-off if that ends before `until`.
    async fn wait_for_left_engine(&self, key: Key, until: Time) -> Option<Choice> {
        let until = self.gateway.limit(until.min(self.deadline));
        loop {
            let choice = self.choose_left_engine(key);
            if choice.is_some() {
                return choice;
            }
            let now = clock::now();
            let closed_until = self.gateway.table.borrow().get(key)?.closed_until(now);
            let open_at = closed_until.filter(|it| *it < until)?;
            time::sleep(open_at.saturating_sub(now)).await;
        }
    }

    /// Fails if engines crash on a part of the request, unless this request is to show whether they still do.
    pub(super) fn check_quarantine(&mut self) -> Result<(), Fault> {
        if self.trial.is_some() {
            return Ok(());
        }
        match self.gossip.check_quarantine(&self.suspects) {
            Verdict::Pass => Ok(()),
            Verdict::Trial(part) => {
                let id = &*self.request_head.id;
                self.trial = Some(part);
                let part = part.to_string();
                log::info!(event = "part-trial", request = id, part_id = &*part; "request {id} tries whether engines still crash on part {part}");
                self.gateway.metrics.count_trial();
                Ok(())
            }
            Verdict::Refuse(part, retry_after) => {
                self.retry_after = Some(retry_after);
                let whole = self
                    .suspects
                    .iter()
                    .any(|it| it.part == part && it.is_whole());
                Err(if whole {
                    Fault::RequestQuarantined
                } else {
                    Fault::PromptQuarantined
                })
            }
        }
    }

    /// Chooses the silent engine that was left, if it still accepts work and holds the adapter.
    pub(crate) fn choose_left_engine(&self, key: Key) -> Option<Choice> {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let engine = table.get(key)?;
        let queue_wait = table.queue_wait_for_one_more(key, now);
        let is_usable =
            self.may_take(key, &table, Counted::No, now) && engine.closed_until(now).is_none();
        is_usable.then_some(Choice {
            key,
            expected_wait: queue_wait,
            queue_wait,
            wants_replica: false,
        })
    }

    /// Chooses an engine. If none holds the adapter, waits for its load until `until`.
    pub(crate) async fn place(&mut self, until: Time) -> Result<Choice, Fault> {
        let name = self.request_head.name.clone();
        let until = self.gateway.limit(until.min(self.deadline));
        let mut waiting: Option<WaitGuard> = None;
        let mut place: Option<Place> = None;
        loop {
            self.check_quarantine()?;
            if self.is_placed_elsewhere() {
                return Err(Fault::NoEngine);
            }
            self.gossip.observe_ended_connections();
            self.gateway.record_due_loads();
            self.determine_build().await?;
            let mut tried = self.attempted_engines.clone();
            tried.retain(|it| !self.repeatable_engines.contains(it));
            let placement = self.choose_placement(&tried);
            let is_placed = matches!(placement, Placement::Send(_) | Placement::Delay(_));
            if !is_placed {
                place = None;
            }
            let uncertain = if is_placed {
                Vec::new()
            } else {
                self.uncertain_engines(&tried)
            };
            if self.await_certainty(&uncertain).await
                || !is_placed && self.leave_assigned_build(&tried).await
            {
                continue;
            }
            let now = clock::now();
            match placement {
                Placement::Send(choice) => {
                    if choice.wants_replica {
                        self.want_copy(name.as_ref(), choice.key).await;
                    }
                    // A full instance of a plain service refuses at once, so its expected wait is
                    // no reason to refuse here.
                    if name.is_some() && now + choice.expected_wait > self.deadline {
                        return Err(Fault::Overload);
                    }
                    if self.admit(&choice, &mut place, now, until).await? {
                        return Ok(choice);
                    }
                }
                Placement::Delay(choice) => {
                    // Waiting here takes no longer than waiting at the engine, and does not slow
                    // down the streams that run there.
                    let pacing_allowed =
                        now < self.started + self.route.latency_target.mul_f64(MAX_PACING_FRACTION);
                    if choice.wants_replica {
                        self.want_copy(name.as_ref(), choice.key).await;
                    }
                    if pacing_allowed {
                        self.pace(&choice, &mut place, PACING_INTERVAL).await;
                    } else if self.admit(&choice, &mut place, now, until).await? {
                        return Ok(choice);
                    }
                }
                Placement::Closed(key, open_at) => {
                    self.wait_while_closed(key, open_at, until).await?;
                }
                Placement::BuildGone
                    if self.assigned.is_none() && (uncertain.is_empty() || now >= until) =>
                {
                    return Err(Fault::BuildGone);
                }
                Placement::Unavailable | Placement::BuildGone | Placement::Load if now >= until => {
                    return Err(match placement {
                        Placement::Load => Fault::AdapterLoad,
                        _ => Fault::NoEngine,
                    });
                }
                Placement::Unavailable | Placement::BuildGone => {
                    time::sleep(RETRY_INTERVAL).await;
                }
                Placement::Load => {
                    let Some(wanted) = &self.wanted() else {
                        return Err(Fault::NoEngine);
                    };
                    waiting = waiting.filter(|it| it.wanted == *wanted);
                    if waiting.is_none() {
                        let it = WaitGuard::new(&self.gateway, wanted);
                        if it.wait.waiters.get() > MAX_WAITERS {
                            return Err(Fault::Overload);
                        }
                        waiting = Some(it);
                    }
                    let Some(waiting) = &waiting else { continue };
                    let due = self.gateway.load_due(wanted);
                    if due.is_none() {
                        self.request_load(wanted, waiting, now).await;
                    }
                    let ready = waiting.wait.ready.notified();
                    let until_due = due.filter(|it| *it > now).map(|it| it.saturating_sub(now));
                    let pause = until_due
                        .unwrap_or(LOAD_REQUEST_INTERVAL)
                        .min(until.saturating_sub(now));
                    let _ = time::timeout(pause, ready).await;
                    self.trace.load_wait += clock::now().saturating_sub(now);
                }
            }
        }
    }

    /// Determines the build of the engines on which the request may be placed.
    async fn determine_build(&mut self) -> Result<(), Fault> {
        if let Some(key) = self.assigned {
            self.build = assignments::assigned_build(&self.gateway, &self.service, key);
        }
        if self.origin_record == OriginRecord::Later && self.build.is_none() {
            self.build = Some(self.await_origin().await.ok_or(Fault::OriginUnknown)?);
        }
        Ok(())
    }

    /// The adapter or base model that the request needs at its engine.
    fn wanted(&self) -> Option<Wanted> {
        let name = self.request_head.name.clone()?;
        Some(Wanted {
            name,
            build: self.build,
            lost_engine: self.lost_engine(),
        })
    }

    /// Lets a new stream begin at any build, if no engine of the assigned one is reached and one of another is.
    async fn leave_assigned_build(&mut self, tried: &[Key]) -> bool {
        let Some(key) = self.assigned.filter(|_| self.build.is_some()) else {
            return false;
        };
        if self.has_reachable_engine(self.build, tried) || !self.has_reachable_engine(None, tried) {
            return false;
        }
        if assignments::allow_exception(&self.gateway, &self.service, key).await
            == Exception::Refused
        {
            return false;
        }
        self.assigned = None;
        self.build = None;
        true
    }

    /// Returns engines that could serve the request if it were certain that they have not started again, in random order.
    fn uncertain_engines(&self, tried: &[Key]) -> Vec<Key> {
        let request = self.placement_request(tried);
        let table = self.gateway.table.borrow();
        let mut engines = placement::uncertain_engines(&table, &request, clock::now());
        engines.sort_by_cached_key(|_| rand::random::<u32>());
        engines.truncate(MAX_CHECKED_ENGINES);
        engines
    }

    /// Asks engines whether they have started again. Returns whether the request may be placed anew, since one of them has
    /// not, or it is too early to say.
    async fn await_certainty(&self, engines: &[Key]) -> bool {
        if engines.is_empty() {
            return false;
        }
        let checks = engines.iter().map(|it| self.gossip.check_identity(*it));
        if future::join_all(checks).await.into_iter().any(|it| it) {
            return true;
        }
        let is_early = clock::now() < self.started + MAX_CHECK_TIME;
        if is_early {
            time::sleep(RETRY_INTERVAL).await;
        }
        is_early
    }

    fn has_reachable_engine(&self, build: Option<BuildId>, tried: &[Key]) -> bool {
        let request = PlacementRequest {
            build,
            ..self.placement_request(tried)
        };
        placement::has_reachable_engine(&self.gateway.table.borrow(), &request, clock::now())
    }

    /// Chooses among the engines that are not `tried`.
    fn choose_placement(&self, tried: &[Key]) -> Placement {
        let request = self.placement_request(tried);
        placement::place(&self.gateway.table.borrow(), &request, clock::now())
    }

    fn placement_request<'a>(&'a self, tried: &'a [Key]) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            name: self.request_head.name.as_ref(),
            chain: &self.prefix_chain,
            max_gap: self.route.max_gap,
            domain: &self.gateway.settings.domain,
            tried,
            build: self.build,
            turn: self.turn.map(|it| it.engine),
            random: rand::random(),
        }
    }

    /// Waits while the engines that could serve the request take none, until `open_at` at the earliest. Fails if the
    /// request can't wait for that long.
    async fn wait_while_closed(
        &mut self,
        key: Key,
        open_at: Time,
        until: Time,
    ) -> Result<(), Fault> {
        let now = clock::now();
        let has_alternative = self.has_alternative(key, now);
        let needs_turn = self.lacks_turn(key, now) && !has_alternative;
        let patience = self.patience(until, now);
        let lacks_room = needs_turn && self.lacks_only_room(key, now);
        let is_hopeless = if lacks_room {
            !self.is_on_time(now)
        } else if needs_turn {
            open_at > now + patience.on_time
        } else {
            open_at >= until && !has_alternative
        };
        if is_hopeless || now >= until {
            if lacks_room {
                return Err(Fault::Overload);
            }
            self.retry_after = Some(open_at.saturating_sub(now));
            return Err(if needs_turn {
                Fault::EngineLimit
            } else {
                Fault::Overload
            });
        }
        if lacks_room {
            self.gateway.record_room_wait(key);
            time::sleep(ROOM_CHECK_INTERVAL).await;
            self.trace.queue_wait += ROOM_CHECK_INTERVAL;
            return Ok(());
        }
        if needs_turn {
            self.await_turn(key, patience).await;
            return Ok(());
        }
        let name = self.request_head.name.clone();
        self.want_copy(name.as_ref(), key).await;
        let pause = open_at.saturating_sub(now).min(CLOSED_CHECK_INTERVAL);
        time::sleep(pause).await;
        self.trace.load_wait += pause;
        Ok(())
    }

    /// Requests the load of an adapter, unless another request has just done so.
    async fn request_load(&self, wanted: &Wanted, waiting: &WaitGuard, now: Time) {
        let wait = &waiting.wait;
        if wait
            .last_request
            .get()
            .is_some_and(|it| it + LOAD_REQUEST_INTERVAL > now)
        {
            return;
        }
        wait.last_request.set(Some(now));
        let sent = wait.requests_sent.get();
        wait.requests_sent.set(sent + 1);
        let nth = usize::try_from(sent / LOAD_REQUESTS_PER_HOST).unwrap_or(0);
        let waiting = u32::try_from(wait.waiters.get()).unwrap_or(u32::MAX);
        if !self
            .gossip
            .request_load(&self.service, wanted, None, waiting, nth)
            .await
        {
            log::debug!("no engine that could load {} has a steward", wanted.name);
        }
    }

    /// Asks for a copy of an adapter in demand, of which a request finds the engine `busy`.
    async fn want_copy(&self, name: Option<&Name>, busy: Key) {
        if let Some(name) = name {
            self.gossip.want_copy(name, busy).await;
        }
    }
}

/// Guard that counts a request among those that wait for an adapter.
struct WaitGuard {
    gateway: Rc<Gateway>,
    wanted: Wanted,
    wait: Rc<crate::gateway::LoadWait>,
}

impl WaitGuard {
    fn new(gateway: &Rc<Gateway>, wanted: &Wanted) -> Self {
        let wait = gateway.load_wait(wanted);
        wait.waiters.set(wait.waiters.get() + 1);
        Self {
            gateway: gateway.clone(),
            wanted: wanted.clone(),
            wait,
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.wait.waiters.set(self.wait.waiters.get() - 1);
        self.gateway.remove_idle_wait(&self.wanted);
    }
}
