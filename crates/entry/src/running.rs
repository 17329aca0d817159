//! The requests that run on this host, in all and for each tenant.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use kernel::name::Tenant;

/// Counts the requests that run.
#[derive(Clone, Debug, Default)]
pub struct Counts(Arc<Mutex<HashMap<Tenant, u32>>>);

/// One running request; it is counted until it is dropped.
#[derive(Debug)]
pub struct Request {
    counts: Counts,
    tenant: Tenant,
}

/// The tenant runs as many requests as it may.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit(pub u32);

impl Counts {
    /// Counts a request, unless its tenant is at its limit.
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

    /// How many requests run.
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
        // Tenants are named by callers, so an idle one must not be remembered.
        if *count == 0 {
            counts.remove(&self.tenant);
        }
    }
}
