//! Waits for an engine with the stall timeouts of `fleet::stall`.

use std::{rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    catalog::Route,
    stall::{self, EngineState, Stage, Verdict},
    table::Key,
};
use tokio::time;

use crate::{clock, gateway::Gateway};

/// Time after the deadline in which an engine can still answer that the deadline has passed.
const DEADLINE_MARGIN: Duration = Duration::from_millis(120);

/// Delay of a timer after which this host is taken to have been suspended.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(200);

/// Time for which no wait ends after this host was suspended. Timers are looked at before the sockets, so responses that
/// arrived meanwhile have not been read yet.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// Properties of a request that limit a wait for an engine.
pub(crate) struct WaitContext {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) route: Arc<Route>,
    pub(crate) deadline: Time,
}

impl WaitContext {
    /// Time after which no answer is expected, or could no longer be forwarded because this host is stopping.
    pub(crate) fn end(&self) -> Time {
        let end = self.deadline + DEADLINE_MARGIN;
        self.gateway.limit(end.max(self.gateway.caught_up_at.get()))
    }

    /// Waits until no answer is expected any more.
    pub(crate) async fn wait_for_end(&self) {
        loop {
            let end = self.end();
            let left = end.saturating_sub(clock::now());
            if left.is_zero() {
                return;
            }
            let _ = time::timeout(left, self.gateway.stop_began.notified()).await;
            self.detect_suspension(end);
        }
    }

    /// Lets no wait end for a moment if a timer that was due at `due` shows that this host was suspended.
    pub(crate) fn detect_suspension(&self, due: Time) {
        let now = clock::now();
        if now > due + MAX_TIMER_DELAY {
            self.gateway.caught_up_at.set(now + CATCH_UP_TIME);
        }
    }
}

/// Result of a wait for an engine.
pub(crate) enum WaitResult<T> {
    Ready(T),
    /// The engine is considered hung.
    Stalled,
    /// The deadline of the request has passed, or that of this host to stop.
    DeadlineExceeded,
}

/// Waits for `future`, which depends on an engine. Returns early if the request may be retried and the engine is
/// considered hung.
pub(crate) async fn wait_for_engine<T>(
    context: &WaitContext,
    key: Key,
    stage: Stage,
    future: impl Future<Output = T>,
) -> WaitResult<T> {
    let started = clock::now();
    tokio::pin!(future);
    loop {
        let now = clock::now();
        let end = context.end();
        if now >= end {
            return WaitResult::DeadlineExceeded;
        }
        let waited = now.saturating_sub(started);
        let engine = engine_state(&context.gateway, key, now);
        let catch_up_time = context.gateway.caught_up_at.get().saturating_sub(now);
        let check_interval = match stall::check_wait(&context.route, stage, waited, engine) {
            Verdict::Hung if catch_up_time.is_zero() => return WaitResult::Stalled,
            Verdict::Hung => catch_up_time,
            Verdict::Wait(check_interval) => check_interval,
        };
        let due = now + check_interval.min(end.saturating_sub(now));
        let ready = tokio::select! {
            biased;
            it = &mut future => Some(it),
            () = time::sleep(due.saturating_sub(now)) => None,
            // The end of this wait may be earlier now.
            () = context.gateway.stop_began.notified() => None,
        };
        context.detect_suspension(due);
        if let Some(it) = ready {
            return WaitResult::Ready(it);
        }
    }
}

/// State of an engine for the decision whether it is hung.
fn engine_state(gateway: &Gateway, key: Key, now: Time) -> EngineState {
    let table = gateway.table.borrow();
    let last_success_at = table.get(key).map(|it| it.last_success_at);
    EngineState {
        silence: last_success_at.map_or(Duration::MAX, |it| now.saturating_sub(it)),
        report_lag: gateway.peers.borrow().report_lag(),
        queue_wait: table.queue_wait(key, now),
    }
}
