//! Certainty that an engine is still the incarnation that its entry names.
//!
//! Expected workload: engines start again under their ids, one after the other or many at the same moment, some as
//! another build and with everything loaded. The entry of a new incarnation is read up to some seconds after it has begun
//! to serve. Until then its build is unknown, so it neither begins nor continues streams. Connections break for other
//! reasons too, so an engine must not be left aside for longer than needed.
//!
//! An engine becomes uncertain when a connection to it breaks. It is certain again with any proof that was made later: an
//! entry of another incarnation, a report in which the engine states its start, data on a connection from long before the
//! break, or a list that would show a new incarnation if one had answered some time before. That no new entry has appeared
//! proves nothing of an engine that may still be down.

use std::time::Duration;

use crate::{Time, origin::SETTLE_TIME};

/// Time within which a host notices that its connections to an engine have ended. One that was opened earlier before the
/// break was noticed is a connection to the incarnation that is listed.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Time after a break in which all other connections to an engine that has ended break too.
pub const BREAK_TIME: Duration = Duration::from_millis(60);

/// Time for which an engine that reports another start than its entry waits for a new entry. After that its reports are
/// taken for wrong.
const MAX_REPORT_LEAD: Duration = Duration::from_secs(10);

/// Certainty of the incarnation of one engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Identity {
    doubt: Option<Doubt>,
    replacement: Option<Replacement>,
}

/// Entry that replaced that of an earlier incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Replacement {
    adopted_at: Time,
    /// When a break of an earlier incarnation was last noticed.
    broke_at: Time,
}

/// Reason why the incarnation of an engine is uncertain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Doubt {
    /// When the first break was noticed.
    began_at: Time,
    /// When the last break was noticed, or the engine was last asked that states another start than its entry.
    since: Time,
    /// When the last break was noticed, or the engine was first asked that states a start that it had not stated before.
    broke_at: Time,
    /// When the engine has answered for the first time since, so that it is not down.
    answered_at: Option<Time>,
    evidence: Evidence,
    announcement: Announcement,
}

/// Evidence that an engine has started again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    /// A connection broke.
    Break,
    /// The engine states this start, which is not that of its entry.
    Report(u64),
}

/// Knowledge of the other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announcement {
    /// No host has announced the break.
    Needed,
    /// This or another host has announced it.
    Done,
}

impl Identity {
    /// Returns whether the engine is known to be the listed incarnation.
    pub fn is_certain(self) -> bool {
        self.doubt.is_none()
    }

    /// Returns whether the listed incarnation is the one that sent the first event of a stream at `sent_at`, on a connection
    /// that was opened at `connected_at`. If the engine may have ended between the event and its entry, the entry may be that
    /// of the next incarnation. To be asked [`BREAK_TIME`] after the engine has become certain.
    pub fn has_sent(self, connected_at: Option<Time>, sent_at: Time) -> bool {
        let is_since = |it: Replacement| {
            connected_at.is_some_and(|connected_at| it.broke_at <= connected_at)
                || it.broke_at + BREAK_TIME <= sent_at
        };
        self.is_certain() && self.replacement.is_none_or(is_since)
    }

    /// Returns the certainty after an entry of another incarnation was adopted.
    pub(crate) fn replaced(self, incarnation: u64, now: Time) -> Self {
        let broke_at = self.doubt.map_or(now, |it| match it.evidence {
            Evidence::Report(last) if last != incarnation => now,
            Evidence::Break | Evidence::Report(_) => it.broke_at,
        });
        Self {
            doubt: None,
            replacement: Some(Replacement {
                adopted_at: now,
                broke_at,
            }),
        }
    }

    /// When the last break was noticed, while the engine is uncertain.
    pub fn uncertain_since(self) -> Option<Time> {
        self.doubt.map(|it| it.since)
    }

    /// Records that a connection to the engine broke at `at`.
    pub(crate) fn record_break(&mut self, at: Time, announcement: Announcement) {
        // The end of the replaced incarnation may be noticed after the entry was read.
        if let Some(it) = &mut self.replacement
            && at <= it.adopted_at + BREAK_TIME
        {
            it.broke_at = it.broke_at.max(at);
        }
        let doubt = self.doubt.get_or_insert(Doubt {
            began_at: at,
            since: at,
            broke_at: at,
            answered_at: None,
            evidence: Evidence::Break,
            announcement,
        });
        doubt.began_at = doubt.began_at.min(at);
        doubt.broke_at = doubt.broke_at.max(at);
        if doubt.since < at {
            doubt.since = at;
            doubt.answered_at = None;
        }
        if announcement == Announcement::Done {
            doubt.announcement = announcement;
        }
    }

    /// Returns whether the other hosts have to be told of the break, and records that they are.
    pub(crate) fn take_announcement(&mut self) -> bool {
        let Some(doubt) = &mut self.doubt else {
            return false;
        };
        std::mem::replace(&mut doubt.announcement, Announcement::Done) == Announcement::Needed
    }

    /// Records that the engine states another start than its entry, in the answer to a query that was sent at `asked_at`.
    pub(crate) fn record_other_start(&mut self, start: u64, asked_at: Time) {
        let announcement = (self.doubt).map_or(Announcement::Needed, |it| it.announcement);
        let broke_at = self.doubt.map_or(asked_at, |it| match it.evidence {
            Evidence::Report(last) if last != start => it.broke_at.max(asked_at),
            Evidence::Break | Evidence::Report(_) => it.broke_at,
        });
        self.doubt = Some(Doubt {
            began_at: self.doubt.map_or(asked_at, |it| it.began_at),
            since: asked_at,
            broke_at,
            answered_at: Some(asked_at),
            evidence: Evidence::Report(start),
            announcement,
        });
    }

    /// Records that the engine states the listed start, in the answer to a query that was sent at `asked_at`.
    pub(crate) fn record_listed_start(&mut self, asked_at: Time) {
        self.doubt = self.doubt.filter(|it| asked_at < it.since);
    }

    /// Records that the engine has answered on a connection that was opened at `connected_at`.
    pub(crate) fn record_data(&mut self, connected_at: Time, now: Time) {
        let Some(doubt) = &mut self.doubt else { return };
        if connected_at < doubt.since && now < doubt.since + BREAK_TIME {
            return;
        }
        doubt.answered_at.get_or_insert(now);
        if doubt.evidence == Evidence::Break && connected_at + NOTICE_TIME <= doubt.began_at {
            self.doubt = None;
        }
    }

    /// Records that the list of engines was complete from `since` to `at`, without a new incarnation.
    pub(crate) fn record_list(&mut self, since: Time, at: Time) {
        let proves = |it: &Doubt| {
            let wait = match it.evidence {
                Evidence::Break => SETTLE_TIME,
                Evidence::Report(_) => MAX_REPORT_LEAD,
            };
            let answered_at = it.answered_at.map(|it| it.max(since));
            answered_at.is_some_and(|it| it + wait <= at)
        };
        self.doubt = self.doubt.filter(|it| !proves(it));
    }

    /// Returns when a connection must have been opened at the latest, so that it shows that the engine has not ended.
    pub fn proving_connection(self) -> Option<Time> {
        let doubt = self.doubt.filter(|it| it.evidence == Evidence::Break)?;
        doubt.began_at.checked_sub(NOTICE_TIME)
    }
}
