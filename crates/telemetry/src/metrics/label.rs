//! The labels of metrics, each with a bounded number of values.

use std::{
    collections::HashSet,
    sync::{Arc, PoisonError, RwLock},
};

use kernel::{
    name::{Service, Tenant},
    request::Class,
};
use member::Condition;

/// Tenants that have a label of their own; the others are counted together.
pub const MAX_TENANTS: usize = 32;
/// Services that have a label of their own; the others are counted together.
pub const MAX_SERVICES: usize = 64;

const OTHER: &str = "other";

/// Whose request is measured.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Labels {
    /// The tenant.
    pub tenant: Tenant,
    /// The priority class.
    pub class: Class,
    /// The service.
    pub service: Service,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The caller has the whole answer.
    Completed,
    /// The caller was told of a fault in place of an answer.
    Refused,
    /// The answer broke off.
    Interrupted,
    /// The caller has gone.
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

/// Which way bytes went.
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

/// How bytes went.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Transport {
    /// In datagrams.
    Datagram,
    /// On connections.
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

/// The word of a member's condition.
pub(super) fn word(condition: Condition) -> &'static str {
    match condition {
        Condition::Up => "up",
        Condition::Suspect => "suspect",
        Condition::Leaving => "leaving",
        Condition::Down => "down",
    }
}

/// The first values of a label that were seen. Callers choose tenant names, so that their number
/// has no bound of its own.
#[derive(Debug)]
pub(super) struct Roster {
    limit: usize,
    other: Arc<str>,
    seen: RwLock<HashSet<Arc<str>>>,
}

impl Roster {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            other: OTHER.into(),
            seen: RwLock::default(),
        }
    }

    /// The label of a value: itself, or `other` once there are too many.
    pub(super) fn admit(&self, value: &str) -> Arc<str> {
        if let Some(label) = self.find(value) {
            return label;
        }
        let mut seen = self.seen.write().unwrap_or_else(PoisonError::into_inner);
        if seen.len() >= self.limit {
            return self.other.clone();
        }
        let label: Arc<str> = value.into();
        seen.insert(label.clone());
        label
    }

    fn find(&self, value: &str) -> Option<Arc<str>> {
        let seen = self.seen.read().unwrap_or_else(PoisonError::into_inner);
        let found = seen.get(value).cloned();
        found.or_else(|| (seen.len() >= self.limit).then(|| self.other.clone()))
    }
}
