//! `apply`, `show` and `diff` against a stand-in of the object API.

use insta::assert_snapshot;
use standin::{
    control::Outage,
    object::{Server, Switch},
};

use crate::run::Place;

fn text(services: &str) -> String {
    format!("services: {{{services}}}\n")
}

/// Covers: the first edit, an edit of what is shown, and a file that changes nothing.
#[test]
fn edits() {
    let server = Server::start();
    let place = Place::new("edits").with(server.address());
    assert_snapshot!(place.run("show"));
    place.write("one.yaml", text("gate: {kind: plain}, door: {kind: plain}"));
    assert_snapshot!(place.run("diff one.yaml"));
    assert_snapshot!(place.run("apply one.yaml"));
    let shown = place.run("show");
    assert_snapshot!(shown);
    assert_snapshot!(place.run("diff one.yaml"));
    assert_snapshot!(place.run("apply one.yaml"));
    place.write(
        "two.yaml",
        shown.stdout.replace("deadline: 30s", "deadline: 2s"),
    );
    assert_snapshot!(place.run("apply two.yaml --author bob"));
    assert_snapshot!(place.run("diff one.yaml --output json"));
}

/// Covers: an edit of an older text is refused and shows both sides; what both agree on is fine.
#[test]
fn conflict() {
    let server = Server::start();
    let place = Place::new("conflict").with(server.address());
    place.write("one.yaml", text("gate: {kind: plain}"));
    place.run("apply one.yaml");
    let shown = place.run("show").stdout;
    place.write("ours.yaml", shown.replace("30s", "2s"));
    place.write(
        "theirs.yaml",
        shown.replace("class: standard", "class: interactive"),
    );
    assert_eq!(place.run("apply theirs.yaml --author bob").code, Some(0));
    let before = place.run("show");
    assert_snapshot!(place.run("apply ours.yaml"));
    assert_snapshot!(
        place
            .run("apply ours.yaml --output json")
            .code
            .unwrap_or(-1)
    );
    assert_snapshot!(place.run("apply ours.yaml --base 9"));
    assert_eq!(place.run("show"), before);
    assert_eq!(place.run("apply theirs.yaml").code, Some(0));
    assert_eq!(place.run("apply ours.yaml --base 2").code, Some(0));
}

/// Covers: a wrong file changes nothing, and the platform isn't even asked.
#[test]
fn wrong_file_changes_nothing() {
    let server = Server::start();
    let place = Place::new("wrong_file_changes_nothing").with(server.address());
    place.write(
        "fleet.yaml",
        text("gate: {kind: plain, depends_on: [door]}"),
    );
    assert_snapshot!(place.run("apply fleet.yaml"));
    assert_eq!(server.counts(), standin::object::Counts::default());
}

/// Covers: a lost answer is settled, and the edit is in force once.
#[test]
fn lost_answer() {
    let server = Server::start();
    let place = Place::new("lost_answer").with(server.address());
    place.write("fleet.yaml", text("gate: {kind: plain}"));
    server.set(Switch::LoseAnswers(1));
    assert_snapshot!(place.run("apply fleet.yaml"));
    assert_eq!(server.counts().lost, 1);
    assert!(place.run("show").stdout.starts_with("revision: 1\n"));
}

/// Covers: a platform that refuses or breaks off every call, and running the command again later.
#[test]
fn outage() {
    let server = Server::start();
    let place = Place::new("outage").with(server.address());
    place.write("fleet.yaml", text("gate: {kind: plain}"));
    for outage in [Outage::Refuse, Outage::Break] {
        server.set(Switch::Outage(outage));
        assert_eq!(place.run("apply fleet.yaml").code, Some(4));
    }
    server.set(Switch::Outage(Outage::None));
    assert_eq!(place.run("apply fleet.yaml").code, Some(0));
    assert_snapshot!(place.run("apply fleet.yaml"));
}

/// Covers: nobody listens at the platform's address.
#[test]
fn platform_gone() {
    let server = Server::start();
    let place = Place::new("platform_gone").with(server.address());
    drop(server);
    place.write("fleet.yaml", text("gate: {kind: plain}"));
    for command in ["show", "diff fleet.yaml", "apply fleet.yaml"] {
        let outcome = place.run(command);
        assert_eq!(outcome.code, Some(4), "{outcome}");
        assert!(outcome.stderr.starts_with("the platform"), "{outcome}");
    }
}

/// Covers: a text of 23,000 adapters is applied, and a change of one adapter costs a few calls.
#[test]
fn many_adapters() {
    let server = Server::start();
    let place = Place::new("many_adapters").with(server.address());
    let adapters: Vec<String> = (0..23_000)
        .map(|it| format!("      a{it}: [1]\n"))
        .collect();
    let head = "models: {m: {}}\nservices:\n  s:\n    kind: model\n    model: m\n    adapters:\n";
    let text = format!("{head}{}", adapters.concat());
    place.write("one.yaml", &text);
    let outcome = place.run("apply one.yaml");
    assert_eq!(outcome.code, Some(0), "{outcome}");
    let before = server.counts();
    place.write("two.yaml", text.replace("a9: [1]", "a9: [1, 2]"));
    assert_snapshot!(place.run("apply two.yaml"));
    let after = server.counts();
    let calls = [
        after.reads - before.reads,
        after.lists - before.lists,
        after.writes - before.writes,
    ];
    insta::assert_debug_snapshot!(calls);
}

/// Covers: operators apply different files at once, as processes; each accepted edit is a revision
/// of its own, and the others are told of the conflict.
#[test]
fn racing_operators() {
    const OPERATORS: usize = 6;
    let server = Server::start();
    let place = Place::new("racing_operators").with(server.address());
    for operator in 0..OPERATORS {
        let name = format!("{operator}.yaml");
        place.write(&name, text(&format!("s{operator}: {{kind: plain}}")));
    }
    let place = &place;
    let codes: Vec<Option<i32>> = std::thread::scope(|scope| {
        let runs =
            (0..OPERATORS).map(|it| scope.spawn(move || place.run(&format!("apply {it}.yaml"))));
        let runs: Vec<_> = runs.collect();
        let outcomes = runs
            .into_iter()
            .map(|it| it.join().expect("the binary runs"));
        outcomes.map(|it| it.code).collect()
    });
    let count = |code| codes.iter().filter(|it| **it == Some(code)).count();
    assert_eq!(count(0) + count(3), OPERATORS, "{codes:?}");
    let shown = place.run("show").stdout;
    assert!(
        shown.starts_with(&format!("revision: {}\n", count(0))),
        "{codes:?}\n{shown}"
    );
}
