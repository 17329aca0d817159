//! The settings file: every error message contains the position of the error.

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

/// Covers: a valid file, and the position and field name in the message for each kind of error.
#[test]
fn errors_contain_their_position() {
    assert_snapshot!(check(VALID.as_bytes()), @"entry-a1 in dar-a");
    assert_snapshot!(check_with("dar-a", "Dar A"), @r#"entry.yaml:2:9: domain: "Dar A": 'D' is not allowed in a name: use a-z, 0-9, '-', '_' and '.'"#);
    assert_snapshot!(check_with("127.0.0.1:7001", "here"), @r#"entry.yaml:4:8: peers: "here": invalid socket address syntax"#);
    assert_snapshot!(check_with("[127.0.0.1:7002]", "[127.0.0.1:7002, nowhere]"), @r#"entry.yaml:7:25: seeds: "nowhere": invalid socket address syntax"#);
    assert_snapshot!(check_with("0123456789abcdef", "short"), @"entry.yaml:6:14: cluster_key has fewer than 16 bytes");
    assert_snapshot!(check_with("host:", "hosts:"), @"entry.yaml:1:1: unknown field `hosts`, expected one of host, domain, callers, peers, platform, cluster_key, seeds, log, drain_seconds, workers, limits at line 1, column 1");
    assert_snapshot!(check_with("debug", "loud"), @"entry.yaml:8:14: unknown variant `loud`, expected one of error, warn, info, debug, trace at line 8, column 14");
    assert_snapshot!(check_with("host: entry-a1\n", ""), @"entry.yaml:7:1: missing field `host` at line 7, column 1");
    assert_snapshot!(check(b"host: \xff"), @"entry.yaml:1:7: the file is not UTF-8");
    assert_snapshot!(check(b""), @"entry.yaml:1:1: unexpected end of input at line 1, column 1");
}

/// Covers: debug output of settings does not contain the secret.
#[test]
fn secret_is_not_printed() {
    let settings = settings::parse("entry.yaml", VALID.as_bytes()).unwrap();
    assert_eq!(format!("{:?}", settings.cluster_key), "Secret");
}
