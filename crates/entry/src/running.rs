//! The running requests of each tenant on this host.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use kernel::name::Tenant;

/// Counters of the running requests.
#[derive(Clone, Debug, Default)]
pub struct Counts(Arc<Mutex<HashMap<Tenant, u32>>>);

/// A running request. It is counted until dropped.
#[derive(Debug)]
pub struct Request {
    counts: Counts,
    tenant: Tenant,
}

/// Returned if a tenant already runs as many requests as its limit allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit(pub u32);

impl Counts {
    /// Counts a request, unless its tenant has reached `limit`.
    pub fn admit(&self, tenant: &Tenant, limit: Option<u32>) -> Result<Request, Limit> {
        let mut counts = self.0.lock().expect("count lock is poisoned");
        let count = counts.entry(tenant.clone()).or_default();
        if let Some(limit) = limit.filter(|it| *count >= *it) {
            return Err(Limit(limit));
        }
        *count += 1;
        Ok(Request {
            counts: self.clone(),
            tenant: tenant.clone(),
        })
    }

    /// Returns the total number of running requests.
    pub fn total(&self) -> u64 {
        let counts = self.0.lock().expect("count lock is poisoned");
        counts.values().copied().map(u64::from).sum()
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let mut counts = self.counts.0.lock().expect("count lock is poisoned");
        let Some(count) = counts.get_mut(&self.tenant) else {
            return;
        };
        *count -= 1;
        // Callers choose tenant names freely, so idle tenants are removed to bound the map.
        if *count == 0 {
            counts.remove(&self.tenant);
        }
    }
}
