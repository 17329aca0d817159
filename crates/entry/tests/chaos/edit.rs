//! Edits of operators, and what has to be in force after them.

use std::{collections::BTreeSet, fs, path::PathBuf};

/// The line of the example text after which the adapter of the edits is declared.
const ANCHOR: &str = "      bay-summary: [6, 7]\n";

/// Versions of the adapter `signs/edited`.
pub type Versions = BTreeSet<u32>;

/// A file that declares some versions of the adapter.
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

/// What an operator was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    Accepted(u64),
    Refused,
    Unknown,
}

impl ApplyResult {
    /// Reads the exit code and the text of `comfreywing apply`.
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

/// What is known to have been accepted.
#[derive(Debug, Default)]
pub struct AcceptedEdits {
    /// The highest revision.
    pub revision: u64,
    /// Versions that must be in force.
    pub versions: Versions,
    /// The last version that an edit declared.
    pub last: u32,
}

impl AcceptedEdits {
    /// The versions of the next edit: what is in force and one more.
    pub fn next_versions(&mut self) -> Versions {
        self.last += 1;
        let mut versions = self.versions.clone();
        versions.insert(self.last);
        versions
    }

    /// Takes in what the operators of one step were told.
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
        // An edit whose outcome is not known may have come last.
        let unknown = results.iter().filter(|it| it.0 == ApplyResult::Unknown);
        for (_, other) in unknown {
            versions.retain(|it| other.contains(it));
        }
        self.revision = self.revision.max(highest.0);
        self.versions = versions;
    }
}
