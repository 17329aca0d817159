//! Metrics of client accounts.

use std::{cell::RefCell, collections::HashSet};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter},
};

use super::label;

/// Maximum number of client accounts with a label of their own.
const MAX_LABELS: usize = 64;

/// Metrics of client accounts.
#[derive(Debug)]
pub struct AccountMetrics {
    units: Counter<f64>,
    level: Gauge<f64>,
    /// Accounts that have a label of their own.
    labels: RefCell<HashSet<String>>,
}

impl AccountMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let units = (meter.f64_counter("account_units")).with_description(
            "Units of the quotas of client accounts, by whether they were admitted",
        );
        let level = (meter.f64_gauge("account_level"))
            .with_description("Units that a client account may use now");
        Self {
            units: units.build(),
            level: level.build(),
            labels: RefCell::default(),
        }
    }

    /// Counts units of the quota of an account, by whether the request was admitted.
    pub fn count_units(&self, account: &str, outcome: &'static str, units: f64) {
        let outcome = KeyValue::new("outcome", outcome);
        self.units.add(units, &[self.label(account), outcome]);
    }

    /// Sets the units that an account may use now.
    pub fn record_level(&self, account: &str, level: f64) {
        self.level.record(level, &[self.label(account)]);
    }

    /// The label of an account. Beyond [`MAX_LABELS`], accounts share one.
    fn label(&self, account: &str) -> KeyValue {
        let mut labels = self.labels.borrow_mut();
        if !labels.contains(account) {
            if labels.len() >= MAX_LABELS {
                return label("account", "other");
            }
            labels.insert(account.to_owned());
        }
        label("account", account)
    }
}
