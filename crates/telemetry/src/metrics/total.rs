//! Counters whose totals are kept elsewhere and shown here.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use opentelemetry::{KeyValue, metrics::Meter};

/// The last known total for each key.
#[derive(Debug)]
pub(super) struct Totals<K>(Arc<Mutex<BTreeMap<K, u64>>>);

impl<K: Copy + Ord + Send + 'static> Totals<K> {
    /// Adds a counter to a meter, with labels that belong to the keys.
    pub(super) fn start(
        meter: &Meter,
        name: &'static str,
        description: &'static str,
        labels: fn(K) -> Vec<KeyValue>,
    ) -> Self {
        let totals = Arc::new(Mutex::new(BTreeMap::<K, u64>::new()));
        let shown = totals.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| {
                let totals = shown.lock().unwrap_or_else(PoisonError::into_inner);
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
