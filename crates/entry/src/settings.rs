//! The settings of one entry host: a YAML file, checked as a whole before anything starts.

use std::{fmt, fs, io::Read, net::SocketAddr, path::Path};

use derive_more::{Display, Error};
use kernel::name::{Domain, Host};
use serde::Deserialize;

/// Largest settings file in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Shortest cluster key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Checked settings.
#[derive(Clone)]
pub struct Settings {
    /// The name of this host.
    pub host: Host,
    /// The failure domain that this host stands in.
    pub domain: Domain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other entry hosts connect, by UDP and TCP.
    pub peers: SocketAddr,
    /// The platform's object API and host list.
    pub platform: SocketAddr,
    /// The secret that members share.
    pub cluster_key: Secret,
    /// Peer addresses of other hosts, to find the first members.
    pub seeds: Vec<SocketAddr>,
    /// What is logged and how.
    pub log: Log,
    /// The longest time that a graceful shutdown waits for running requests, in seconds.
    pub drain_seconds: u32,
    /// Requests that this host runs at a time.
    pub workers: u32,
    /// What callers can occupy.
    pub limits: Limits,
}

/// What callers can occupy, in all and from one address. Behind a balancer every caller has the
/// balancer's address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Open connections of all callers.
    pub connections: u32,
    /// Open connections of one address.
    pub peer_connections: u32,
    /// Size of a request body in bytes.
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

/// A string that is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// The bytes of it.
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// What is logged and how.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least important level that is logged.
    pub level: Level,
    /// The form of a line.
    pub form: Form,
}

/// A level of logging.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only what needs attention at once.
    Error,
    /// Also what is out of the ordinary.
    Warn,
    /// Also each change of state.
    #[default]
    Info,
    /// Also each decision.
    Debug,
    /// Everything.
    Trace,
}

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// For reading.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Why settings were not accepted. Each message begins with the file and the place in it.
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
        /// Line of the first wrong byte, from 1.
        line: usize,
        /// Column of it, from 1.
        column: usize,
    },
    /// The YAML can't be read or a field is wrong.
    #[display("{file}:{line}:{column}: {message}")]
    Field {
        /// The file.
        file: String,
        /// Line, from 1.
        line: u64,
        /// Column, from 1.
        column: u64,
        /// What is wrong.
        message: String,
    },
}

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

/// Reads and checks a settings file.
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

/// Checks the content of a settings file; `file` is used in messages only.
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

/// Turns fields into checked values.
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
