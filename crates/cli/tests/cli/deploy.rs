//! `deploy`: the deploy file and its templates, offline.

use std::path::Path;

use insta::assert_snapshot;

use crate::run::Place;

/// Covers: the deploy file of this repository is right.
#[test]
fn own_file() {
    let place = Place::new("own_deploy_file");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    std::fs::create_dir_all(place.path("deploy")).expect("the directory can be written");
    for name in ["system.toml", "settings.yaml"] {
        let text = std::fs::read(root.join(name)).expect("the file is there");
        place.write(&format!("deploy/{name}"), text);
    }
    assert_snapshot!(place.run("deploy --show"));
}

/// Covers: every problem of a deploy file and its templates, with place and reason.
#[test]
fn wrong_files() {
    let place = Place::new("wrong_deploy_files");
    let role = |more: &str| {
        format!(
            "build = \"make\"\n\n[roles.a]\nrun = \"target/a\"\non = \"edge\"\nshare = 1.0\n{more}"
        )
    };
    place.write("unknown.toml", role("shares = 2\n"));
    place.write("syntax.toml", role("serves = [\"edge\"\n"));
    place.write(
        "values.toml",
        "build = \"\"\n[roles.a]\nrun = \"\"\non = \"edge\"\nshare = 1.5\nserves = [\"front\"]\n\
         metrics = \"9464\"\n[roles.b]\nrun = \"b\"\non = \"edge\"\n[roles.b.env]\nPATH = \"/\"\n",
    );
    place.write("template.toml", role("template = \"t.yaml\"\n"));
    place.write("t.yaml", "mode: gateway\nhost: {{nodes}}\n{{#seeds}}x\n");
    place.write("names.toml", role("template = \"n.yaml\"\n"));
    place.write(
        "n.yaml",
        "host: {{nodes}}\nport: {{listen.front|yaml}}\n{{#seed}}x{{/seed}}\n",
    );
    place.write("setting.toml", role("template = \"s.yaml\"\n"));
    place.write("s.yaml", "mode: gateway\nhost: {{node}}\nport: 7\n");
    place.write("absent.toml", role("template = \"absent.yaml\"\n"));
    let files = [
        "unknown", "syntax", "values", "template", "names", "setting", "absent",
    ];
    let shown = files.map(|it| place.run(&format!("deploy {it}.toml")).to_string());
    assert_snapshot!(shown.join("\n"));
}
