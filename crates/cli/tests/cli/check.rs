//! `check`, and arguments that are wrong.

use insta::assert_snapshot;

use crate::run::Place;

/// Covers: a right file, in both forms.
#[test]
fn right_file() {
    let place = Place::new("right_file");
    place.write(
        "fleet.yaml",
        include_str!("../../../../examples/fleet.yaml"),
    );
    assert_snapshot!(place.run("check fleet.yaml"));
    assert_snapshot!(place.run("check fleet.yaml --output json"));
}

/// Covers: every problem of a file at its place, in both forms.
#[test]
fn wrong_file() {
    let place = Place::new("wrong_file");
    let text = "\
services:
  signs:
    kind: model
    model: base
    deadline: 5
    depends_on: [gate]
    adapters:
      bay: [0]
      bay: [1]
  gate: {kind: plain, depends_on: [signs], port: 80}
";
    place.write("fleet.yaml", text);
    assert_snapshot!(place.run("check fleet.yaml"));
    assert_snapshot!(place.run("check fleet.yaml --output json"));
}

/// Covers: files that can't be read as text at all.
#[test]
fn unreadable_files() {
    let place = Place::new("unreadable_files");
    place.write("latin.yaml", b"services: {caf\xe9: {}}");
    place.write("cut.yaml", "services:\n  signs: {kind: model, model: ba");
    place.write("empty.yaml", "");
    let huge =
        std::fs::File::create(place.path("huge.yaml")).expect("the directory can be written");
    huge.set_len(100 << 20).expect("a sparse file can be made");
    let files = [
        "latin.yaml",
        "cut.yaml",
        "empty.yaml",
        "huge.yaml",
        "gone.yaml",
        ".",
    ];
    let shown = files.map(|it| place.run(&format!("check {it}")).to_string());
    assert_snapshot!(shown.join("\n"));
}

/// Covers: arguments that are wrong or missing.
#[test]
fn wrong_arguments() {
    let place = Place::new("wrong_arguments");
    place.write("fleet.yaml", "services: {}");
    let cases = [
        "",
        "chekc fleet.yaml",
        "check",
        "check fleet.yaml --output xml",
        "--platform nowhere show",
        "--platform 10.0.0.1 show",
        "show",
        "status",
        "explain",
        "explain x\u{e9}",
        "apply fleet.yaml --base x",
    ];
    let shown = cases.map(|it| format!("$ comfreywing {it}\n{}", place.run(it)));
    assert_snapshot!(shown.join("\n"));
}

/// Covers: the help names commands, options and exit codes.
#[test]
fn help() {
    let place = Place::new("help");
    assert_snapshot!(place.run("--help"));
    assert_snapshot!(place.run("apply --help"));
}
