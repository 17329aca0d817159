//! Timer for the heads of callers' requests, which follows the configuration.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use fleet::catalog::Limits;
use hyper::rt::{Sleep, Timer};
use tokio::time;

/// Maximum time from the end of a request to the end of the next head, in ms. `hyper` requires timers to be thread-safe.
#[derive(Clone, Debug)]
pub struct HeadTimeout(Arc<AtomicU64>);

impl HeadTimeout {
    /// Returns the current value.
    pub fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }

    /// Sets the value. A head that begins at the end of the idle time may still take as long as any other.
    pub fn set(&self, limits: &Limits) {
        let timeout = limits.idle_timeout + limits.header_timeout;
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        self.0.store(timeout, Ordering::Relaxed);
    }
}

impl Default for HeadTimeout {
    fn default() -> Self {
        let timeout = Self(Arc::default());
        timeout.set(&Limits::default());
        timeout
    }
}

/// Timer that extends its sleeps when the timeout is raised. Callers follow the new limits also on open connections.
pub struct HeadTimer(pub HeadTimeout);

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeadSleep {
            started: time::Instant::now(),
            sleep: Box::pin(time::sleep_until(deadline.into())),
            timeout: self.0.clone(),
        })
    }
}

/// Sleep of a [`HeadTimer`].
struct HeadSleep {
    started: time::Instant,
    sleep: Pin<Box<time::Sleep>>,
    timeout: HeadTimeout,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let end = self.started + self.timeout.get();
            if end <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}
