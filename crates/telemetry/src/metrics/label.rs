//! The labels of metrics. Each label has a bounded number of values.

use std::{
    collections::HashSet,
    sync::{Arc, PoisonError, RwLock},
};

use kernel::{
    name::{Service, Tenant},
    request::Class,
};
use member::Condition;

/// Maximum number of tenants with their own label value. All others share the value `other`.
pub const MAX_TENANTS: usize = 32;
/// Maximum number of services with their own label value. All others share the value `other`.
pub const MAX_SERVICES: usize = 64;

/// Label value shared by all values above the limit.
const OTHER: &str = "other";

/// The labels of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Labels {
    /// The tenant.
    pub tenant: Tenant,
    /// The priority class.
    pub class: Class,
    /// The service.
    pub service: Service,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The caller received the complete answer.
    Completed,
    /// The caller received an error instead of an answer.
    Refused,
    /// The answer was cut off before its end.
    Interrupted,
    /// The caller disconnected.
    Cancelled,
}

impl Outcome {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "whole",
            Self::Refused => "refused",
            Self::Interrupted => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The direction in which bytes were transferred.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Direction {
    /// To this host.
    In,
    /// From this host.
    Out,
}

impl Direction {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

/// The transport between hosts on which bytes were transferred.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Transport {
    /// In datagrams.
    Datagram,
    /// On stream connections.
    Stream,
}

impl Transport {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Datagram => "datagram",
            Self::Stream => "stream",
        }
    }
}

/// Returns the label value for the condition of a member.
pub(super) fn format_condition(condition: Condition) -> &'static str {
    match condition {
        Condition::Up => "up",
        Condition::Suspect => "suspect",
        Condition::Leaving => "leaving",
        Condition::Down => "down",
    }
}

/// The distinct values of one label, up to a limit; values that are used first are admitted first.
/// The limit bounds the number of time series: tenant names are chosen by callers, so their number
/// is unbounded.
#[derive(Debug)]
pub(super) struct LabelSet {
    limit: usize,
    /// The shared value `other`.
    other: Arc<str>,
    values: RwLock<HashSet<Arc<str>>>,
}

impl LabelSet {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            other: OTHER.into(),
            values: RwLock::default(),
        }
    }

    /// Returns the label value for a name: the name itself, or `other` if the limit is reached and
    /// the name is new.
    pub(super) fn resolve(&self, name: &str) -> Arc<str> {
        if let Some(label) = self.find(name) {
            return label;
        }
        let mut values = self.values.write().unwrap_or_else(PoisonError::into_inner);
        if values.len() >= self.limit {
            return self.other.clone();
        }
        let label: Arc<str> = name.into();
        values.insert(label.clone());
        label
    }

    /// Returns the label value for a name without adding it, or `None` if the name has to be added.
    fn find(&self, name: &str) -> Option<Arc<str>> {
        let values = self.values.read().unwrap_or_else(PoisonError::into_inner);
        let found = values.get(name).cloned();
        found.or_else(|| (values.len() >= self.limit).then(|| self.other.clone()))
    }
}
