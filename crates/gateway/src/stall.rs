//! Waits for an engine, as long as `fleet::stall` says.

use std::{rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    catalog::Route,
    stall::{self, Stage, Verdict},
    table::Key,
};
use tokio::time;

use crate::{clock, gateway::Gateway};

/// Time beyond a request's own for the engine's answer that its time is over.
const DEADLINE_MARGIN: Duration = Duration::from_millis(120);

/// What a wait for an engine needs to know of a request.
pub(crate) struct WaitContext {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) route: Arc<Route>,
    pub(crate) deadline: Time,
}

/// What came of a wait for an engine.
pub(crate) enum WaitResult<T> {
    Ready(T),
    /// The engine says nothing to anyone.
    Stalled,
    /// The time is over.
    DeadlineExceeded,
}

/// Waits for an engine. A request that may be repeated is taken from one that hangs.
pub(crate) async fn wait_for_engine<T>(
    context: &WaitContext,
    key: Key,
    stage: Stage,
    future: impl Future<Output = T>,
) -> WaitResult<T> {
    let started = clock::now();
    let end = context.deadline + DEADLINE_MARGIN;
    tokio::pin!(future);
    loop {
        let now = clock::now();
        if now >= end {
            return WaitResult::DeadlineExceeded;
        }
        let last_success_at = context
            .gateway
            .table
            .borrow()
            .get(key)
            .map(|it| it.last_success_at);
        let silence = last_success_at.map_or(Duration::MAX, |it| now.saturating_sub(it));
        let waited = now.saturating_sub(started);
        let step = match stall::check_wait(&context.route, stage, waited, silence) {
            Verdict::Hung => return WaitResult::Stalled,
            Verdict::Wait(step) => step.min(end.saturating_sub(now)),
        };
        if let Ok(it) = time::timeout(step, &mut future).await {
            return WaitResult::Ready(it);
        }
    }
}
