//! The bound on connections by open files.

use super::{max_connections, open_files};

/// Covers the system's text, one without a bound, and none.
#[test]
fn open_files_are_read() {
    let text = "Limit                     Soft Limit           Hard Limit           Units\n\
                Max processes             100                  200                  processes\n\
                Max open files            1024                 524288               files\n";
    assert_eq!(open_files(text), Some(1024));
    assert_eq!(open_files(&text.replace("1024", "unlimited")), None);
    assert_eq!(open_files(""), None);
}

/// Covers that half of the files is left for upstreams, and that one connection is always allowed.
#[test]
fn half_of_the_files_is_for_callers() {
    let check = |files, connections| assert_eq!(max_connections(files), connections);
    check(1024, 480);
    check(65, 1);
    check(10, 1);
}
