//! Metrics of client accounts.

use std::{cell::RefCell, collections::HashSet};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter},
};

use fleet::account::{Quota, Unit};

use super::label;

/// Maximum number of client accounts with a label of their own.
const MAX_LABELS: usize = 64;

/// Metrics of client accounts.
#[derive(Debug)]
pub struct AccountMetrics {
    units: Counter<f64>,
    level: Gauge<f64>,
    rate: Gauge<f64>,
    burst: Gauge<f64>,
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
        let rate = (meter.f64_gauge("account_rate"))
            .with_description("Units a second of the quota of a client account");
        let burst = (meter.f64_gauge("account_burst"))
            .with_description("Units of the quota of a client account after a pause");
        Self {
            units: units.build(),
            level: level.build(),
            rate: rate.build(),
            burst: burst.build(),
            labels: RefCell::default(),
        }
    }

    /// Counts units of the quota of an account, by whether the request was admitted.
    pub fn count_units(&self, account: &str, outcome: &'static str, units: f64) {
        let outcome = KeyValue::new("outcome", outcome);
        self.units.add(units, &[self.label(account), outcome]);
    }

    /// Sets the units that an account may use now. Accounts that share a label have no value of their own.
    pub fn record_level(&self, account: &str, level: f64) {
        let label = self.label(account);
        if self.has_label(account) {
            self.level.record(level, &[label]);
        }
    }

    /// Sets the quota of an account that has a label. It is 0 in the unit that isn't counted.
    pub fn record_quota(&self, account: &str, quota: Option<&Quota>) {
        if !self.has_label(account) {
            return;
        }
        let is_tokens = |it: &Quota| matches!(it.unit, Unit::Tokens { .. });
        for (unit, counted) in [
            ("tokens", quota.filter(|it| is_tokens(it))),
            ("requests", quota.filter(|it| !is_tokens(it))),
        ] {
            let labels = [label("account", account), KeyValue::new("unit", unit)];
            self.rate.record(counted.map_or(0.0, |it| it.rate), &labels);
            self.burst
                .record(counted.map_or(0.0, |it| it.burst), &labels);
        }
    }

    fn has_label(&self, account: &str) -> bool {
        self.labels.borrow().contains(account)
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
