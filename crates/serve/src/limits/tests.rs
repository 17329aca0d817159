//! Tests the cap on connections that follows from the limit on open files.

use super::{compute_max_connections, parse_open_files};

/// Covers the format of `/proc/self/limits`, an unlimited value, and a missing line.
#[test]
fn open_files_limit_is_parsed() {
    let text = "Limit                     Soft Limit           Hard Limit           Units\n\
                Max processes             100                  200                  processes\n\
                Max open files            1024                 524288               files\n";
    assert_eq!(parse_open_files(text), Some(1024));
    assert_eq!(parse_open_files(&text.replace("1024", "unlimited")), None);
    assert_eq!(parse_open_files(""), None);
}

/// Half of the unreserved files is left for upstreams, and at least one connection is allowed.
#[test]
fn half_of_the_files_is_for_caller_connections() {
    let check = |files, connections| assert_eq!(compute_max_connections(files), connections);
    check(1024, 480);
    check(65, 1);
    check(10, 1);
}
