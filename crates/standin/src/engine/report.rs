//! Reports of an engine on its adapters, its load and its counters.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{Counts, JournalEntry, core::State};

/// Load report, which lags behind the state of the engine.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Report {
    incarnation: u64,
    running: usize,
    waiting: usize,
    capacity: usize,
    age_ms: u64,
}

impl State {
    /// Returns the adapters that are loaded at present.
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

    /// Returns the load as of a time up to `report_lag_ms` ago.
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
        let (created, mut report) = match self.report {
            Some((created, report)) if now.duration_since(created) < lag => (created, report),
            _ => (now, current),
        };
        self.report = Some((created, report));
        let age = now.duration_since(created).as_millis();
        report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        report
    }

    /// Returns the counters and the journal.
    pub fn counts(&self) -> Counts {
        let journal = self.journal.iter().map(|run| {
            let progress = *run.progress.borrow();
            JournalEntry {
                request: run.id.clone(),
                loaded: run.loaded.clone(),
                chunks: progress.generated,
                ended: progress.end,
            }
        });
        Counts {
            journal: journal.collect(),
            active: self.active.len(),
            ..self.counts.clone()
        }
    }
}
