//! What an engine tells of itself.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{Counts, JournalEntry, core::State};

/// What an engine tells of its load, late.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Report {
    incarnation: u64,
    running: usize,
    waiting: usize,
    capacity: usize,
    age_ms: u64,
}

impl State {
    /// What is loaded, exactly.
    pub fn models(&self) -> serde_json::Value {
        let loaded = self.slots.iter().filter(|(_, slot)| slot.is_loaded());
        let data: Vec<_> = loaded
            .map(|(name, slot)| serde_json::json!({"id": name, "running": slot.running}))
            .collect();
        serde_json::json!({
            "data": data,
            "incarnation": self.incarnation,
            "slots": self.settings.slots,
        })
    }

    /// The load as it was up to `report_lag_ms` ago.
    pub fn report(&mut self) -> Report {
        let now = Instant::now();
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let current = Report {
            incarnation: self.incarnation,
            running: self.running,
            waiting: self.queue.len(),
            capacity: self.settings.capacity,
            age_ms: 0,
        };
        let (made, mut report) = match self.report {
            Some((made, report)) if now.duration_since(made) < lag => (made, report),
            _ => (now, current),
        };
        self.report = Some((made, report));
        let age = now.duration_since(made).as_millis();
        report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        report
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        let journal = self.journal.iter().map(|run| {
            let progress = *run.progress.borrow();
            JournalEntry {
                request: run.id.clone(),
                loaded: run.loaded.clone(),
                chunks: progress.made,
                ended: progress.end,
            }
        });
        Counts {
            journal: journal.collect(),
            active: self.places.len(),
            ..self.counts.clone()
        }
    }
}
