//! What a process has used, from `/proc`.

use std::{fs, time::Instant};

/// Clock ticks a second in `/proc` (`USER_HZ` of Linux).
const TICKS: f64 = 100.0;

/// What a process has used so far.
pub struct Usage {
    at: Instant,
    seconds: f64,
    calls: f64,
    wakes: f64,
    pub threads: usize,
    pub megabytes: f64,
}

/// What it used in a time.
pub struct Cost {
    time: f64,
    seconds: f64,
    calls: f64,
    wakes: f64,
    threads: usize,
    megabytes: f64,
}

impl Usage {
    pub fn of(id: u32) -> Self {
        let read =
            |file: &str| fs::read_to_string(format!("/proc/{id}/{file}")).unwrap_or_default();
        let field = |text: &str, name: &str| -> f64 {
            let line = text.lines().find_map(|it| it.strip_prefix(name));
            let word = line.and_then(|it| it.split_whitespace().next());
            word.and_then(|it| it.parse().ok()).unwrap_or(0.0)
        };
        let stat = read("stat");
        let words: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks =
            |at: usize| -> f64 { words.get(at).and_then(|it| it.parse().ok()).unwrap_or(0.0) };
        let io = read("io");
        let tasks = fs::read_dir(format!("/proc/{id}/task"))
            .into_iter()
            .flatten()
            .flatten();
        let statuses: Vec<String> = tasks
            .filter_map(|it| fs::read_to_string(it.path().join("status")).ok())
            .collect();
        Self {
            at: Instant::now(),
            // Fields 14 and 15 of the whole line, counted after the name in brackets.
            seconds: (ticks(11) + ticks(12)) / TICKS,
            calls: field(&io, "syscr:") + field(&io, "syscw:"),
            wakes: statuses
                .iter()
                .map(|it| field(it, "voluntary_ctxt_switches:"))
                .sum(),
            threads: statuses.len(),
            megabytes: field(&read("status"), "VmRSS:") / 1024.0,
        }
    }

    pub fn since(&self, before: &Self) -> Cost {
        Cost {
            time: (self.at - before.at).as_secs_f64(),
            seconds: self.seconds - before.seconds,
            calls: self.calls - before.calls,
            wakes: self.wakes - before.wakes,
            threads: self.threads,
            megabytes: self.megabytes,
        }
    }
}

impl Cost {
    /// Less what the process uses in that time anyway.
    pub fn without(self, idle: &Self) -> Self {
        let part = self.time / idle.time;
        Self {
            seconds: self.seconds - idle.seconds * part,
            calls: self.calls - idle.calls * part,
            wakes: self.wakes - idle.wakes * part,
            ..self
        }
    }

    /// A row of the table, for each of so many parts.
    pub fn per(&self, parts: u32) -> String {
        let parts = f64::from(parts);
        format!(
            "{:.0} | {:.1} | {:.1} | {} | {:.1} |",
            self.seconds * 1e6 / parts,
            self.calls / parts,
            self.wakes / parts,
            self.threads,
            self.megabytes
        )
    }
}
