//! The settings of an entry host: a YAML file that is completely validated before startup.

use std::{fmt, fs, io::Read, net::SocketAddr, path::Path};

use derive_more::{Display, Error};
use kernel::name::{Domain, Host};
use serde::Deserialize;

/// Maximum size of the settings file.
pub const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Minimum length of the cluster key.
pub const MIN_KEY_BYTES: usize = 16;

/// Validated settings.
#[derive(Clone)]
pub struct Settings {
    /// The name of this host.
    pub host: Host,
    /// The failure domain of this host.
    pub domain: Domain,
    /// The listening address for callers.
    pub callers: SocketAddr,
    /// The listening address for other entry hosts, for both UDP and TCP.
    pub peers: SocketAddr,
    /// The address of the platform's object API and host list.
    pub platform: SocketAddr,
    /// The shared secret that authenticates members.
    pub cluster_key: Secret,
    /// Peer addresses of other hosts, used to discover the first members.
    pub seeds: Vec<SocketAddr>,
    /// The logging settings.
    pub log: Log,
    /// The maximum time in seconds that a graceful shutdown waits for running requests.
    pub drain_seconds: u32,
    /// The maximum number of requests that run at the same time.
    pub workers: u32,
    /// The limits on callers.
    pub limits: Limits,
}

/// Limits on callers, in total and per address. Behind a load balancer all callers have the
/// balancer's address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of open connections.
    pub connections: u32,
    /// The maximum number of open connections from one address.
    pub peer_connections: u32,
    /// The maximum size of a request body in bytes.
    pub body_bytes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            peer_connections: 1024,
            body_bytes: 1 << 20,
        }
    }
}

/// A string that is omitted from debug output.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret as bytes.
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The logging settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The lowest severity that is logged.
    pub level: Level,
    /// The format of a log line.
    pub form: Format,
}

/// A log severity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures that need immediate attention.
    Error,
    /// Also unusual events.
    Warn,
    /// Also state changes.
    #[default]
    Info,
    /// Also single decisions.
    Debug,
    /// Everything.
    Trace,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// An error in the settings. Each message starts with the file name and, if known, the position.
#[derive(Debug, Display, Error)]
pub enum Invalid {
    /// The file could not be read.
    #[display("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[display("{file}: the file is larger than {MAX_FILE_BYTES} bytes")]
    Large {
        /// The file.
        file: String,
    },
    /// The file is not UTF-8.
    #[display("{file}:{line}:{column}: the file is not UTF-8")]
    Encoding {
        /// The file.
        file: String,
        /// The line of the first invalid byte, starting at 1.
        line: usize,
        /// The column of the first invalid byte, starting at 1.
        column: usize,
    },
    /// The YAML is malformed or a field is invalid.
    #[display("{file}:{line}:{column}: {message}")]
    Field {
        /// The file.
        file: String,
        /// The line, starting at 1.
        line: u64,
        /// The column, starting at 1.
        column: u64,
        /// A description of the error.
        message: String,
    },
}

/// The fields of the settings file before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    host: serde_saphyr::Spanned<String>,
    domain: serde_saphyr::Spanned<String>,
    callers: serde_saphyr::Spanned<String>,
    peers: serde_saphyr::Spanned<String>,
    platform: serde_saphyr::Spanned<String>,
    cluster_key: serde_saphyr::Spanned<String>,
    #[serde(default)]
    seeds: Vec<serde_saphyr::Spanned<String>>,
    #[serde(default)]
    log: Log,
    #[serde(default = "default_drain")]
    drain_seconds: u32,
    #[serde(default = "default_workers")]
    workers: u32,
    #[serde(default)]
    limits: Limits,
}

/// Default of [`Settings::drain_seconds`].
pub const DEFAULT_DRAIN_SECONDS: u32 = 120;

/// Default of [`Settings::workers`].
pub const DEFAULT_WORKERS: u32 = 256;

fn default_drain() -> u32 {
    DEFAULT_DRAIN_SECONDS
}

fn default_workers() -> u32 {
    DEFAULT_WORKERS
}

/// Reads and validates a settings file.
pub fn read(path: &Path) -> Result<Settings, Invalid> {
    let file = path.display().to_string();
    let bytes = read_bounded(path, &file)?;
    parse(&file, &bytes)
}

fn read_bounded(path: &Path, file: &str) -> Result<Vec<u8>, Invalid> {
    let failed = |source| Invalid::Read {
        file: file.to_owned(),
        source,
    };
    let mut bytes = Vec::new();
    let file_handle = fs::File::open(path).map_err(failed)?;
    file_handle
        .take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(failed)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(Invalid::Large {
            file: file.to_owned(),
        });
    }
    Ok(bytes)
}

/// Validates the content of a settings file. `file` is the name used in error messages.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Settings, Invalid> {
    let text = std::str::from_utf8(bytes).map_err(|it| encoding(file, bytes, it.valid_up_to()))?;
    let raw: Raw = serde_saphyr::from_str(text).map_err(|it| syntax(file, &it))?;
    let validator = Validator { file };
    validator.settings(raw)
}

fn encoding(file: &str, bytes: &[u8], valid_len: usize) -> Invalid {
    let before = &bytes[..valid_len];
    let newlines = before.iter().filter(|it| **it == b'\n');
    let start = before.iter().rposition(|it| *it == b'\n');
    Invalid::Encoding {
        file: file.to_owned(),
        line: newlines.count() + 1,
        column: valid_len - start.map_or(0, |it| it + 1) + 1,
    }
}

fn syntax(file: &str, error: &serde_saphyr::Error) -> Invalid {
    let location = error.location();
    Invalid::Field {
        file: file.to_owned(),
        line: location.map_or(1, |it| it.line()),
        column: location.map_or(1, |it| it.column()),
        message: error.without_snippet().to_string(),
    }
}

/// Converts raw fields into validated values.
struct Validator<'a> {
    file: &'a str,
}

impl Validator<'_> {
    fn settings(&self, raw: Raw) -> Result<Settings, Invalid> {
        if raw.cluster_key.value.len() < MIN_KEY_BYTES {
            let message = format!("cluster_key has fewer than {MIN_KEY_BYTES} bytes");
            return Err(self.field(&raw.cluster_key, message));
        }
        let seeds = raw.seeds.iter().map(|it| self.parsed("seeds", it));
        Ok(Settings {
            host: self.parsed("host", &raw.host)?,
            domain: self.parsed("domain", &raw.domain)?,
            callers: self.parsed("callers", &raw.callers)?,
            peers: self.parsed("peers", &raw.peers)?,
            platform: self.parsed("platform", &raw.platform)?,
            seeds: seeds.collect::<Result<_, _>>()?,
            cluster_key: Secret(raw.cluster_key.value),
            log: raw.log,
            drain_seconds: raw.drain_seconds,
            workers: raw.workers.max(1),
            limits: raw.limits,
        })
    }

    fn parsed<T>(&self, name: &str, value: &serde_saphyr::Spanned<String>) -> Result<T, Invalid>
    where
        T: std::str::FromStr,
        T::Err: fmt::Display,
    {
        let parsed = value.value.parse::<T>();
        parsed.map_err(|reason| self.field(value, format!("{name}: {:?}: {reason}", value.value)))
    }

    fn field(&self, value: &serde_saphyr::Spanned<String>, message: String) -> Invalid {
        Invalid::Field {
            file: self.file.to_owned(),
            line: value.defined.line(),
            column: value.defined.column(),
            message,
        }
    }
}
