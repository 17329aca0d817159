//! Counters whose totals are computed by other components and exported here.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use opentelemetry::{KeyValue, metrics::Meter};

/// The last reported total of each key.
#[derive(Debug)]
pub(super) struct Totals<K>(Arc<Mutex<BTreeMap<K, u64>>>);

impl<K: Copy + Ord + Send + 'static> Totals<K> {
    /// Registers a counter with a meter. The function `labels` returns the labels for a key.
    pub(super) fn register(
        meter: &Meter,
        name: &'static str,
        description: &'static str,
        labels: fn(K) -> Vec<KeyValue>,
    ) -> Self {
        let totals = Arc::new(Mutex::new(BTreeMap::<K, u64>::new()));
        let exported = totals.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| {
                let totals = exported.lock().unwrap_or_else(PoisonError::into_inner);
                for (&key, &total) in &*totals {
                    observer.observe(total, &labels(key));
                }
            })
            .build();
        Self(totals)
    }

    /// Sets the total of a key.
    pub(super) fn set(&self, key: K, total: u64) {
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        totals.insert(key, total);
    }
}
