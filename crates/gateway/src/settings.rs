//! The settings of one host: a YAML file, checked as a whole before anything starts.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Settings as they stand in the file. Unknown fields are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Always `gateway`; tells these settings from those of a stand-alone host.
    pub mode: Mode,
    /// The dialect of the platform.
    pub dialect: String,
    /// The name of this host.
    pub host: String,
    /// The failure domain that this host stands in.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this host is ready.
    pub ready: SocketAddr,
    /// Where other hosts send datagrams.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Longest time for which this host may not notice that the store answers again, in milliseconds.
    pub store_blind_milliseconds: u64,
    /// Time after which an engine that leaves must get no more work, in milliseconds.
    pub drain_milliseconds: u64,
    /// Addresses of other hosts, to find the first ones while the store is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What may be repeated.
    pub retries: Retries,
    /// How engines are ordered.
    pub orders: Orders,
    /// The time from the signal to stop to the end, in seconds.
    pub grace_seconds: f64,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
}

/// The mode of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// A host of a fleet that shares its engines.
    Gateway,
}

/// The retry budget of all hosts for one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Repeats for each request.
    pub ratio: f64,
    /// Length of a window in seconds.
    pub window_seconds: f64,
    /// Repeats in a window beside these.
    pub slack: f64,
}

/// How engines are ordered.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Time between the orders of two hosts to one engine, in milliseconds.
    pub turn_milliseconds: u64,
    /// Length of the window of the weight store's limit, in seconds.
    pub window_seconds: f64,
}

/// What is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Log {
    /// Only what needs attention.
    Warn,
    /// Also each change of state.
    #[default]
    Info,
    /// Also each decision on a request.
    Debug,
}

/// Why settings were not accepted. The message begins with the file and the place in it.
#[derive(Debug, Display, Error)]
pub enum Invalid {
    /// The file could not be read.
    #[display("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A field is wrong.
    #[display("{file}: {message}")]
    Field {
        /// The file.
        file: String,
        /// What is wrong, with line and column.
        message: String,
    },
}

#[derive(Deserialize)]
struct ModeProbe {
    #[serde(default)]
    mode: Option<Mode>,
}

/// Whether a file holds settings of this mode.
pub fn is_gateway_file(file: &Path) -> bool {
    let text = fs::read_to_string(file).unwrap_or_default();
    serde_saphyr::from_str::<ModeProbe>(&text).is_ok_and(|it| it.mode.is_some())
}

/// Reads and checks a file.
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

/// Checks a text; the error names the field.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = serde_saphyr::from_str(text).map_err(|it| it.to_string())?;
    let positive = [
        ("retries.window_seconds", settings.retries.window_seconds),
        ("orders.window_seconds", settings.orders.window_seconds),
        ("grace_seconds", settings.grace_seconds),
    ];
    for (field, value) in positive {
        if !value.is_finite() || value <= 0.0 {
            return Err(format!("{field}: {value} is not above 0"));
        }
    }
    let non_negative = [
        ("retries.ratio", settings.retries.ratio),
        ("retries.slack", settings.retries.slack),
    ];
    for (field, value) in non_negative {
        if !value.is_finite() || value < 0.0 {
            return Err(format!("{field}: {value} is negative"));
        }
    }
    if crate::dialect::find(&settings.dialect).is_none() {
        return Err(format!("dialect: {} is not known", settings.dialect));
    }
    Ok(settings)
}

impl Settings {
    /// The retry budget.
    pub fn retry_rule(&self) -> fleet::budget::Rule {
        fleet::budget::Rule {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window: Duration::from_secs_f64(self.retries.window_seconds),
        }
    }

    /// Time after which an engine that leaves must get no more work.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_milliseconds)
    }

    /// Longest time for which this host may not notice that the store answers again.
    pub fn store_blind_time(&self) -> Duration {
        Duration::from_millis(self.store_blind_milliseconds)
    }

    /// Length of the window of the weight store's limit.
    pub fn load_window(&self) -> Duration {
        Duration::from_secs_f64(self.orders.window_seconds)
    }

    /// Who this host is for engines and the store: a machine that has its name again at another
    /// address is another holder.
    pub fn holder(&self) -> String {
        format!("{}-{}", self.host, self.peers.ip())
    }
}
