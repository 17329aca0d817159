//! Settings of a host: a YAML file that is validated as a whole before the host starts.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use derive_more::{Display, Error};
use fleet::{account::Tolerance, era::Start, quarantine};
use serde::Deserialize;

use crate::memory;

/// Memory of a process, unless the settings name another, in MB.
const DEFAULT_MEMORY_MEGABYTES: u32 = 390;

/// Minimum memory of a process in MB. A host without requests uses up to 60 MB.
pub const MIN_MEMORY_MEGABYTES: u32 = 64;

/// Settings as written in the file. Unknown fields are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Always `gateway`. It distinguishes these settings from those of a stand-alone host.
    pub mode: Mode,
    /// Name of the platform's dialect.
    pub dialect: String,
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address for messages of other hosts: UDP datagrams, and TCP for lists.
    pub peers: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum time in ms until this host notices that the store answers again.
    pub store_blind_milliseconds: u64,
    /// Time in ms after which an engine that is draining must get no more work.
    pub drain_milliseconds: u64,
    /// Addresses of other hosts, used to find the first peers while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True if the whole fleet starts for the first time, so that no host can have a lease or claims.
    #[serde(default)]
    pub first_start: bool,
    /// Retry budget.
    pub retries: Retries,
    /// Tolerance of the quotas of client accounts.
    #[serde(default)]
    pub quotas: Quotas,
    /// Settings for orders to engines.
    pub orders: Orders,
    /// Time in seconds from the stop signal to the end of the process.
    pub grace_seconds: f64,
    /// Time in seconds for which requests with a prompt part that crashes engines are refused, before the part is first
    /// tried again; 1 to 3600.
    #[serde(default = "default_quarantine_seconds")]
    pub quarantine_seconds: u32,
    /// Memory in MB that the process may use; at least [`MIN_MEMORY_MEGABYTES`].
    #[serde(default)]
    pub memory_megabytes: Option<u32>,
    /// Log level.
    #[serde(default)]
    pub log: Log,
}

fn default_quarantine_seconds() -> u32 {
    u32::try_from(quarantine::DEFAULT_TERM.as_secs()).unwrap_or(u32::MAX)
}

/// Mode of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Host of a fleet that shares its engines.
    Gateway,
}

/// Retry budget of one service, shared by all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the budget window in seconds.
    pub window_seconds: f64,
    /// Retries allowed per window in addition to those allowed per request.
    pub slack: f64,
}

/// Tolerance of the quotas of client accounts, by default none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Quotas {
    /// Span of time in seconds in which the use of an account is judged.
    #[serde(default)]
    pub window_seconds: Option<f64>,
    /// Part of the quota.
    #[serde(default)]
    pub ratio: Option<f64>,
    /// Units (tokens or requests) in a window in addition to that.
    #[serde(default)]
    pub slack: Option<f64>,
}

/// Settings for orders to engines.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Time in ms between the orders of two stewards to the same engine.
    pub turn_milliseconds: u64,
    /// Length in seconds of the window for the load limit of the weight store.
    pub window_seconds: f64,
}

/// Log level.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Log {
    /// Events that need attention.
    Warn,
    /// Also each change of state.
    #[default]
    Info,
    /// Also each decision on a request.
    Debug,
}

/// Reason why settings were rejected. The message starts with the file and the position in it.
#[derive(Debug, Display, Error)]
pub enum Invalid {
    /// The file could not be read.
    #[display("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A field is invalid.
    #[display("{file}: {message}")]
    Field {
        /// Path of the file.
        file: String,
        /// Description of the error, with line and column.
        message: String,
    },
}

/// The only field of a settings file that [`is_gateway_file`] parses.
#[derive(Deserialize)]
struct ModeProbe {
    #[serde(default)]
    mode: Option<Mode>,
}

/// Returns whether a file holds settings of this mode.
pub fn is_gateway_file(file: &Path) -> bool {
    let text = fs::read_to_string(file).unwrap_or_default();
    serde_saphyr::from_str::<ModeProbe>(&text).is_ok_and(|it| it.mode.is_some())
}

/// Reads and validates a settings file.
pub fn read(file: &Path) -> Result<Settings, Invalid> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|source| Invalid::Read {
        file: name.clone(),
        source,
    })?;
    parse(&text).map_err(|message| Invalid::Field {
        file: name,
        message,
    })
}

/// Parses and validates settings. The error names the field.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = serde_saphyr::from_str(text).map_err(|it| it.to_string())?;
    let positive = [
        ("retries.window_seconds", settings.retries.window_seconds),
        ("orders.window_seconds", settings.orders.window_seconds),
        ("grace_seconds", settings.grace_seconds),
        (
            "quotas.window_seconds",
            settings.quotas.window_seconds.unwrap_or(1.0),
        ),
    ];
    for (field, value) in positive {
        if !value.is_finite() || value <= 0.0 {
            return Err(format!("{field}: {value} must be greater than 0"));
        }
    }
    let non_negative = [
        ("retries.ratio", settings.retries.ratio),
        ("retries.slack", settings.retries.slack),
        ("quotas.ratio", settings.quota_tolerance().ratio),
        ("quotas.slack", settings.quota_tolerance().slack),
    ];
    for (field, value) in non_negative {
        if !value.is_finite() || value < 0.0 {
            return Err(format!("{field}: {value} must not be negative"));
        }
    }
    let term = settings.quarantine_term();
    if term.is_zero() || term > quarantine::MAX_TERM {
        let max = quarantine::MAX_TERM.as_secs();
        return Err(format!(
            "quarantine_seconds: {} must be from 1 to {max}",
            term.as_secs()
        ));
    }
    if let Some(it) = (settings.memory_megabytes).filter(|it| *it < MIN_MEMORY_MEGABYTES) {
        return Err(format!(
            "memory_megabytes: {it} must be at least {MIN_MEMORY_MEGABYTES}"
        ));
    }
    if crate::dialect::find(&settings.dialect).is_none() {
        return Err(format!("dialect: {} is unknown", settings.dialect));
    }
    Ok(settings)
}

impl Settings {
    /// Rule for the retry budget.
    pub fn retry_rule(&self) -> fleet::budget::Rule {
        fleet::budget::Rule {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window: Duration::from_secs_f64(self.retries.window_seconds),
        }
    }

    /// Time after which an engine that is draining must get no more work.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_milliseconds)
    }

    /// Maximum time until this host notices that the store answers again.
    pub fn store_blind_time(&self) -> Duration {
        Duration::from_millis(self.store_blind_milliseconds)
    }

    /// Origin of the fleet at the start of this host.
    pub fn start(&self) -> Start {
        if self.first_start {
            Start::First
        } else {
            Start::Later
        }
    }

    /// Units that all hosts together may admit beyond the quota of a client account.
    pub fn quota_tolerance(&self) -> Tolerance {
        let default = Tolerance::default();
        let window = self.quotas.window_seconds;
        Tolerance {
            window: window.map_or(default.window, Duration::from_secs_f64),
            ratio: self.quotas.ratio.unwrap_or(default.ratio),
            slack: self.quotas.slack.unwrap_or(default.slack),
        }
    }

    /// Time after which a quarantined prompt part is first tried again.
    pub fn quarantine_term(&self) -> Duration {
        Duration::from_secs(self.quarantine_seconds.into())
    }

    /// Maximum number of bytes that the bodies of one kind may use. The rest is for the process itself, its sockets and
    /// streams, and what the allocator can't return.
    pub fn body_memory(&self, kind: memory::Kind) -> usize {
        let megabytes = self.memory_megabytes.unwrap_or(DEFAULT_MEMORY_MEGABYTES);
        let bytes = usize::try_from(megabytes).unwrap_or(usize::MAX) << 20;
        match kind {
            memory::Kind::Requests | memory::Kind::Responses => bytes / 6,
            memory::Kind::Store => bytes / 16,
        }
    }

    /// Length of the window for the load limit of the weight store.
    pub fn load_window(&self) -> Duration {
        Duration::from_secs_f64(self.orders.window_seconds)
    }

    /// Name under which this host appears to engines and the store. It contains the address, so a
    /// machine that reuses the name at another address is a different holder.
    pub fn holder(&self) -> String {
        format!("{}-{}", self.host, self.peers.ip())
    }
}
