//! Edits by operators and the configuration expected afterwards.

use std::{collections::BTreeSet, fs, path::PathBuf};

/// The line of the example configuration after which the edited adapter is inserted.
const ANCHOR: &str = "      bay-summary: [6, 7]\n";

/// Versions of the adapter `signs/edited`.
pub type Versions = BTreeSet<u32>;

/// A configuration file that declares the given versions of the adapter.
pub struct ConfigFile {
    pub path: PathBuf,
    pub versions: Versions,
}

impl ConfigFile {
    pub fn new(seed: u64, versions: Versions) -> Self {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
        let text = fs::read_to_string(example).unwrap();
        assert!(text.contains(ANCHOR));
        let numbers: Vec<String> = versions.iter().map(u32::to_string).collect();
        let line = format!("{ANCHOR}      edited: [{}]\n", numbers.join(", "));
        let last = versions.last().unwrap();
        let name = format!(
            "comfreywing-chaos-{}-{seed}-{last}.yaml",
            std::process::id()
        );
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text.replace(ANCHOR, &line)).unwrap();
        Self { path, versions }
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// The result of `comfreywing apply`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    Accepted(u64),
    Refused,
    Unknown,
}

impl ApplyResult {
    /// Parses the exit code and output of `comfreywing apply`.
    pub fn parse(code: Option<i32>, text: &str) -> Self {
        match code {
            Some(0) => Self::Accepted(parse_revision(text)),
            Some(3) => Self::Refused,
            Some(4) => Self::Unknown,
            _ => panic!("apply ended with {code:?}: {text}"),
        }
    }
}

fn parse_revision(text: &str) -> u64 {
    let mut words = text.split_whitespace().skip_while(|it| *it != "revision");
    let number = words.nth(1).map(|it| it.trim_end_matches(':'));
    number
        .and_then(|it| it.parse().ok())
        .unwrap_or_else(|| panic!("no revision in {text}"))
}

/// The edits that are known to be accepted.
#[derive(Debug, Default)]
pub struct AcceptedEdits {
    /// The highest accepted revision.
    pub revision: u64,
    /// The versions that must be active.
    pub versions: Versions,
    /// The highest version that any edit declared.
    pub last: u32,
}

impl AcceptedEdits {
    /// Returns the versions for the next edit: the active ones and a new one.
    pub fn next_versions(&mut self) -> Versions {
        self.last += 1;
        let mut versions = self.versions.clone();
        versions.insert(self.last);
        versions
    }

    /// Records the results of the concurrent edits of one step.
    pub fn record(&mut self, results: &[(ApplyResult, Versions)]) {
        let mut highest = (0, &self.versions);
        for (result, versions) in results {
            if let ApplyResult::Accepted(revision) = result
                && *revision > highest.0
            {
                highest = (*revision, versions);
            }
        }
        let mut versions = highest.1.clone();
        // An edit with an unknown outcome may have been accepted last.
        let unknown = results.iter().filter(|it| it.0 == ApplyResult::Unknown);
        for (_, other) in unknown {
            versions.retain(|it| other.contains(it));
        }
        self.revision = self.revision.max(highest.0);
        self.versions = versions;
    }
}
