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
const LATE_ANSWER: Duration = Duration::from_millis(120);

/// What a wait for an engine needs to know of a request.
pub(crate) struct Waiter {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) route: Arc<Route>,
    pub(crate) deadline: Time,
}

/// What came of a wait for an engine.
pub(crate) enum Waited<T> {
    There(T),
    /// The engine says nothing to anyone.
    Hung,
    /// The time is over.
    Late,
}

/// Waits for an engine. A request that may be repeated is taken from one that hangs.
pub(crate) async fn wait<T>(
    job: &Waiter,
    key: Key,
    stage: Stage,
    what: impl Future<Output = T>,
) -> Waited<T> {
    let began = clock::now();
    let end = job.deadline + LATE_ANSWER;
    tokio::pin!(what);
    loop {
        let now = clock::now();
        if now >= end {
            return Waited::Late;
        }
        let answered = job
            .gateway
            .table
            .borrow()
            .get(key)
            .map(|it| it.last_success_at);
        let silence = answered.map_or(Duration::MAX, |it| now.saturating_sub(it));
        let waited = now.saturating_sub(began);
        let step = match stall::check_wait(&job.route, stage, waited, silence) {
            Verdict::Hung => return Waited::Hung,
            Verdict::Wait(step) => step.min(end.saturating_sub(now)),
        };
        if let Ok(it) = time::timeout(step, &mut what).await {
            return Waited::There(it);
        }
    }
}
