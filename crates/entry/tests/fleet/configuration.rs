//! An accepted configuration becomes active on all hosts and never reverts.

use std::{fs, path::PathBuf, thread};

use standin::{
    control::{Outage, Toggle},
    link::Mode,
    object,
};

use crate::fixture::{Fixture, fetch_status, shape, wait_ready, wait_until};

/// A file with the example configuration plus one more adapter.
struct ConfigFile(PathBuf);

impl ConfigFile {
    fn new(adapter: &str) -> Self {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
        let text = fs::read_to_string(example).unwrap();
        let anchor = "      bay-summary: [6, 7]\n";
        assert!(text.contains(anchor));
        let text = text.replace(anchor, &format!("{anchor}      {adapter}: [1]\n"));
        let name = format!("comfreywing-{}-{adapter}.yaml", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn revision(it: &Fixture, entry: usize) -> u64 {
    let status = fetch_status(it.entry(entry));
    status
        .and_then(|it| it["revision"].as_u64())
        .unwrap_or_default()
}

fn wait_revision(it: &Fixture, entries: &[usize], expected: u64) {
    wait_until(&format!("{entries:?} have revision {expected}"), || {
        entries.iter().all(|entry| revision(it, *entry) >= expected)
    });
}

/// Covers: the platform fails right after an edit was accepted, while one domain can reach only its
/// peers and one host is replaced.
#[test]
fn accepted_edit_reaches_every_domain_and_stays() {
    let mut shape = shape();
    shape.links = Toggle::On;
    let mut it = Fixture::start(&shape);
    let isolated = 1;
    it.entry(isolated).link().unwrap().set(Mode::Frozen);
    let file = ConfigFile::new("after-cut");
    it.apply(&file.0);
    wait_revision(&it, &[0, 1, 2, 3], 2);
    it.fleet
        .set_objects(&object::Switch::Outage(Outage::Refuse))
        .unwrap();
    it.fleet.restart(2).unwrap();
    wait_ready(it.entry(2));
    assert!((0..4).all(|entry| revision(&it, entry) == 2));
    it.fleet
        .set_objects(&object::Switch::Outage(Outage::None))
        .unwrap();
    it.entry(isolated).link().unwrap().set(Mode::Open);
    assert!((0..4).all(|entry| revision(&it, entry) == 2));
}

/// Covers: concurrent edits with lost responses. Each edit is accepted once or rejected with a
/// conflict, and all hosts end with the same configuration.
#[test]
fn concurrent_edits_are_accepted_once_or_conflict() {
    let it = Fixture::start(&shape());
    it.fleet
        .set_objects(&object::Switch::LoseAnswers(1))
        .unwrap();
    let files: Vec<ConfigFile> = (0..3)
        .map(|it| ConfigFile::new(&format!("race-{it}")))
        .collect();
    let outcomes: Vec<(Option<i32>, String)> = thread::scope(|scope| {
        let operators: Vec<_> = files
            .iter()
            .map(|file| scope.spawn(|| it.try_apply(&file.0)))
            .collect();
        operators.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let accepted = outcomes.iter().filter(|it| it.0 == Some(0)).count();
    assert!(accepted >= 1, "{outcomes:?}");
    assert!(
        outcomes.iter().all(|it| matches!(it.0, Some(0 | 3))),
        "{outcomes:?}"
    );
    let expected = 1 + u64::try_from(accepted).unwrap();
    wait_revision(&it, &[0, 1, 2, 3], expected);
    assert!((0..4).all(|entry| revision(&it, entry) == expected));
}
