//! The settings file: every mistake is told with its place.

use entry::settings;
use insta::assert_snapshot;

const VALID: &str = "\
host: entry-a1
domain: dar-a
callers: 127.0.0.1:0
peers: 127.0.0.1:7001
platform: 127.0.0.1:7000
cluster_key: 0123456789abcdef
seeds: [127.0.0.1:7002]
log: {level: debug, form: json}
";

fn check(bytes: &[u8]) -> String {
    match settings::parse("entry.yaml", bytes) {
        Ok(it) => format!("{} in {}", it.host, it.domain),
        Err(error) => error.to_string(),
    }
}

fn check_with(from: &str, to: &str) -> String {
    check(VALID.replace(from, to).as_bytes())
}

/// Covers: a valid file, and the place and name in the message of each kind of mistake.
#[test]
fn mistakes_are_located() {
    assert_snapshot!(check(VALID.as_bytes()), @"entry-a1 in dar-a");
    assert_snapshot!(check_with("dar-a", "Dar A"), @"");
    assert_snapshot!(check_with("127.0.0.1:7001", "here"), @"");
    assert_snapshot!(check_with("[127.0.0.1:7002]", "[127.0.0.1:7002, nowhere]"), @"");
    assert_snapshot!(check_with("0123456789abcdef", "short"), @"");
    assert_snapshot!(check_with("host:", "hosts:"), @"");
    assert_snapshot!(check_with("debug", "loud"), @"");
    assert_snapshot!(check_with("host: entry-a1\n", ""), @"");
    assert_snapshot!(check(b"host: \xff"), @"");
    assert_snapshot!(check(b""), @"");
}

/// Covers: the secret stays out of whatever prints settings.
#[test]
fn secret_is_not_printed() {
    let settings = settings::parse("entry.yaml", VALID.as_bytes()).unwrap();
    assert_eq!(format!("{:?}", settings.cluster_key), "Secret");
}
