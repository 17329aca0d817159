//! Copies of lists that hosts take from each other.

use fleet::era::Position;
use gateway::{
    dialect::{Kind, Object},
    list_cache::{Delta, ListCache},
};
use serde::Deserialize;

const KIND: Kind = Kind::Engines;

fn object(name: &str, rev: u64) -> Object {
    Object {
        name: name.to_owned(),
        rev,
        spec: serde_json::Value::Null,
    }
}

/// Applies what a host has received from another one.
fn apply(delta: &Delta, list: &ListCache) {
    for (name, at) in &delta.removed {
        list.remove(KIND, name, *at);
    }
    for object in &delta.objects {
        list.put(KIND, object);
    }
    list.catch_up(KIND, delta.watermark);
}

/// A host that had started after a removal asked for the list again and again without a pause.
#[test]
fn a_copy_of_a_list_has_the_last_change_also_if_that_is_a_removal() {
    let source = ListCache::default();
    source.put(KIND, &object("i-1", 1));
    source.put(KIND, &object("i-2", 2));
    source.advance(KIND, 2);
    let earlier = source.delta_since(KIND, Position::default());
    source.remove(KIND, "i-2", 3);
    source.advance(KIND, 4);
    let whole = ListCache::default();
    apply(&source.delta_since(KIND, Position::default()), &whole);
    let updated = ListCache::default();
    apply(&earlier, &updated);
    let position = updated.watermark(KIND).as_of();
    apply(&source.delta_since(KIND, position), &updated);
    for copy in [whole, updated] {
        assert_eq!(copy.watermark(KIND), source.watermark(KIND));
        assert_eq!(copy.names(KIND), ["i-1"]);
    }
}

/// An earlier build states whether the store was away, but not when it returned, and ignores that of this build.
#[test]
fn a_list_is_understood_by_hosts_of_this_and_an_earlier_build() {
    #[derive(Deserialize)]
    struct EarlierDelta {
        outage: bool,
        gone: Vec<(String, u64)>,
    }

    let earlier = r#"{"whole":false,"gone":[["i-1",9]],"objects":[],"outage":true,
                      "reach":{"era":1,"last":9,"as_of":9}}"#;
    let delta: Delta = serde_json::from_str(earlier).expect("it is a list");
    assert!(delta.outage);
    assert_eq!(delta.returned_ms, None);
    let current = Delta {
        returned_ms: Some(700),
        ..delta
    };
    let text = serde_json::to_string(&current).expect("a list has a text");
    let read: EarlierDelta = serde_json::from_str(&text).expect("it is a list");
    assert!(read.outage);
    assert_eq!(read.gone, [("i-1".to_owned(), 9)]);
    let read: Delta = serde_json::from_str(&text).expect("it is a list");
    assert_eq!(read.returned_ms, Some(700));
}
