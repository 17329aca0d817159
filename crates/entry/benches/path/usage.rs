//! Resource usage of a process, read from `/proc`.

use std::{fs, time::Instant};

/// Clock ticks per second in `/proc` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

/// The resource usage of a process since its start.
pub struct Usage {
    at: Instant,
    seconds: f64,
    io_calls: f64,
    wakeups: f64,
    pub threads: usize,
    pub megabytes: f64,
}

/// The resource usage between two points in time.
pub struct Cost {
    elapsed_seconds: f64,
    seconds: f64,
    io_calls: f64,
    wakeups: f64,
    threads: usize,
    megabytes: f64,
}

impl Usage {
    pub fn of(pid: u32) -> Self {
        let read =
            |file: &str| fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
        let field = |text: &str, name: &str| -> f64 {
            let line = text.lines().find_map(|it| it.strip_prefix(name));
            let value = line.and_then(|it| it.split_whitespace().next());
            value.and_then(|it| it.parse().ok()).unwrap_or(0.0)
        };
        let stat = read("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks =
            |at: usize| -> f64 { fields.get(at).and_then(|it| it.parse().ok()).unwrap_or(0.0) };
        let io = read("io");
        let tasks = fs::read_dir(format!("/proc/{pid}/task"))
            .into_iter()
            .flatten()
            .flatten();
        let statuses: Vec<String> = tasks
            .filter_map(|it| fs::read_to_string(it.path().join("status")).ok())
            .collect();
        Self {
            at: Instant::now(),
            // Fields 14 and 15 of the line; the fields here start after the name in parentheses.
            seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
            io_calls: field(&io, "syscr:") + field(&io, "syscw:"),
            wakeups: statuses
                .iter()
                .map(|it| field(it, "voluntary_ctxt_switches:"))
                .sum(),
            threads: statuses.len(),
            megabytes: field(&read("status"), "VmRSS:") / 1024.0,
        }
    }

    pub fn since(&self, before: &Self) -> Cost {
        Cost {
            elapsed_seconds: (self.at - before.at).as_secs_f64(),
            seconds: self.seconds - before.seconds,
            io_calls: self.io_calls - before.io_calls,
            wakeups: self.wakeups - before.wakeups,
            threads: self.threads,
            megabytes: self.megabytes,
        }
    }
}

impl Cost {
    /// Subtracts the usage of an idle process over the same time.
    pub fn minus_idle(self, idle: &Self) -> Self {
        let share = self.elapsed_seconds / idle.elapsed_seconds;
        Self {
            seconds: self.seconds - idle.seconds * share,
            io_calls: self.io_calls - idle.io_calls * share,
            wakeups: self.wakeups - idle.wakeups * share,
            ..self
        }
    }

    /// Formats a table row with the cost divided by `count`.
    pub fn format_per(&self, count: u32) -> String {
        let count = f64::from(count);
        format!(
            "{:.0} | {:.1} | {:.1} | {} | {:.1} |",
            self.seconds * 1e6 / count,
            self.io_calls / count,
            self.wakeups / count,
            self.threads,
            self.megabytes
        )
    }
}
