//! Retry that is set aside before it is needed.

use std::{rc::Rc, sync::Arc};

use fleet::Time;

use crate::{clock, gateway::Gateway};

/// Retry that was taken from the budget of a service and has not been sent. Dropping it returns it to the budget.
pub(crate) struct Reserve {
    gateway: Rc<Gateway>,
    service: Arc<str>,
    /// When it was counted in the budget; `None` once it has been sent.
    counted_at: Option<Time>,
}

impl Reserve {
    /// Takes a retry from the budget, if there is one.
    pub(crate) fn new(gateway: &Rc<Gateway>, service: &Arc<str>) -> Option<Self> {
        let now = clock::now();
        gateway.count_retry(service, now).then(|| Self {
            gateway: gateway.clone(),
            service: service.clone(),
            counted_at: Some(now),
        })
    }

    /// Records that the retry is being sent.
    pub(crate) fn spend(mut self) {
        self.counted_at = None;
        self.gateway.metrics.count_retry(&self.service, "sent");
    }
}

impl Drop for Reserve {
    fn drop(&mut self) {
        if let Some(counted_at) = self.counted_at {
            self.gateway.cancel_retry(&self.service, counted_at);
        }
    }
}
