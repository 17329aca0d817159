//! The state of engines as published by other hosts.

use std::collections::BTreeMap;

use entry::directory::{Announcement, SharedDirectory, View};
use kernel::{
    name::{Host, Upstream},
    permit::Holder,
    service::State,
};
use steward::route::Occupancy;

fn view(fence: u64, loaded: &[&str]) -> View {
    View {
        domain: "north".parse().unwrap(),
        model: "base".parse().unwrap(),
        fence,
        state: State::Live,
        occupancy: Occupancy(0),
        loaded: loaded.iter().map(|it| it.parse().unwrap()).collect(),
    }
}

fn publish(directory: &SharedDirectory, host: &str, view: Option<&View>) -> Announcement {
    let owner = Holder {
        host: host.parse().unwrap(),
        incarnation: 1,
    };
    let bytes = view.map(View::to_bytes);
    directory.receive(&owner, "engine/e1", bytes.as_deref())
}

fn steward(directory: &SharedDirectory) -> Option<String> {
    let engine: Upstream = "e1".parse().unwrap();
    directory.steward(&engine).map(|it| it.to_string())
}

/// Covers: the view with the highest fencing token is effective regardless of arrival order, and
/// the next highest becomes effective when its host is removed.
#[test]
fn lower_fence_is_effective_again_after_the_higher_one() {
    let directory = SharedDirectory::new("north".parse().unwrap());
    publish(&directory, "a", Some(&view(4096, &["s/x@1"])));
    assert_eq!(steward(&directory).as_deref(), Some("a"));
    publish(&directory, "b", Some(&view(4100, &[])));
    publish(&directory, "a", Some(&view(4096, &["s/y@1"])));
    assert_eq!(steward(&directory).as_deref(), Some("b"));
    directory.remove_host(&"b".parse().unwrap());
    assert_eq!(steward(&directory).as_deref(), Some("a"));
    assert_eq!(directory.views()[0].2, view(4096, &["s/y@1"]));
    let engine: Upstream = "e1".parse().unwrap();
    assert_eq!(directory.highest_fence(&engine), 4100);
    publish(&directory, "a", None);
    assert_eq!(steward(&directory), None);
}

/// Covers: random updates compared with a simple map from host to view, of which the view with the
/// highest fencing token is effective.
#[test]
fn effective_views_match_a_simple_map() {
    for seed in 0..50_u64 {
        let directory = SharedDirectory::new("north".parse().unwrap());
        let mut expected: BTreeMap<Host, View> = BTreeMap::new();
        let mut state = seed;
        for _ in 0..200 {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let host = ["a", "b", "c"][usize::try_from(state >> 62).unwrap() % 3];
            let name: Host = host.parse().unwrap();
            match (state >> 40) % 4 {
                0 => {
                    directory.remove_host(&name);
                    expected.remove(&name);
                }
                1 => {
                    publish(&directory, host, None);
                    expected.remove(&name);
                }
                number => {
                    // Fencing tokens differ between hosts, as the platform confirms each token
                    // only once.
                    let fence = (state >> 50) % 5 * 3 + u64::from(host.as_bytes()[0]);
                    let loaded: &[&str] =
                        [&["s/x@1"][..], &["s/y@1"][..]][usize::try_from(number - 2).unwrap()];
                    let view = view(fence, loaded);
                    publish(&directory, host, Some(&view));
                    expected.insert(name, view);
                }
            }
            let best = expected.iter().max_by_key(|(_, it)| it.fence);
            let effective = directory.views();
            let effective = effective.first().map(|(_, host, view)| (host, view));
            assert_eq!(effective, best, "seed {seed}");
        }
    }
}

/// Covers: a view that exceeds the size limit of an entry omits references and can still be parsed.
#[test]
fn long_views_fit_an_entry() {
    let references: Vec<String> = (0..32)
        .map(|it| format!("{}/{}@{}", "s".repeat(60), "a".repeat(60), it + 1))
        .collect();
    let references: Vec<&str> = references.iter().map(String::as_str).collect();
    let bytes = view(4096, &references).to_bytes();
    assert!(bytes.len() <= member::entry::MAX_VALUE_BYTES);
    let read = View::from_bytes(&bytes).unwrap();
    assert!(!read.loaded.is_empty());
    assert!(View::from_bytes(b"{}").is_none());
}
