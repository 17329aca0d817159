//! What a host believes of engines.

use fleet::{
    listing::State,
    prefix::{Chain, Kept, Part},
    table::{Age, Removal},
};

use crate::fixture::{NOW, at, hold, listing, ms, table};

#[test]
fn a_later_life_under_the_same_id_holds_nothing_of_before() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let mut later = listing("i-1", &[]);
    later.born = 2;
    later.holds.clear();
    assert_eq!(table.adopt(later, at(10)), keys[0]);
    assert!(table.get(keys[0]).expect("it is there").held.is_empty());
}

#[test]
fn news_of_loads_goes_before_an_older_list() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.load(&"m/a2".into(), 3, at(0));
    engine.drop_hold("m/a1", at(0));
    table.adopt(listing("i-1", &["a1"]), at(100));
    let held = &table.get(keys[0]).expect("it is there").held;
    assert!(held.contains_key("m/a2") && !held.contains_key("m/a1"));
    table.adopt(listing("i-1", &["a1"]), at(10_000));
    let held = &table.get(keys[0]).expect("it is there").held;
    assert!(!held.contains_key("m/a2") && held.contains_key("m/a1"));
}

#[test]
fn one_request_tries_a_load_that_should_be_done() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.load(&"m/a1".into(), 1, at(0));
    let belief = engine.held.get_mut("m/a1").expect("it is held");
    assert!(belief.is_open(at(0)));
    belief.running = 1;
    assert!(!belief.is_open(at(0)), "a second one waits");
    belief.running = 0;
    assert!(engine.misses("m/a1", at(1)), "it is still expected");
    let belief = engine.held.get_mut("m/a1").expect("it is still held");
    assert!(!belief.is_open(at(2)), "the next try waits");
    assert!(belief.is_open(at(500)));
    assert!(belief.confirm());
    belief.running = 5;
    assert!(belief.is_open(at(501)));
    assert!(
        !engine.misses("m/a1", at(502)),
        "a miss after that is a loss"
    );
    assert!(!engine.held.contains_key("m/a1"));
}

#[test]
fn an_engine_whose_entry_lapsed_is_used_until_it_should_be_back() {
    for (removal, still) in [(Removal::Known, 0), (Removal::AfterOutage, 2000)] {
        let (mut table, keys) = table(&[("i-1", &[])]);
        table.remove("i-1", removal, at(5000), at(0));
        table.expire(at(still));
        assert_eq!(table.get(keys[0]).is_some(), still > 0, "{removal:?}");
        table.expire(at(2400));
        assert!(table.get(keys[0]).is_none());
    }
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.remove("i-1", Removal::AfterOutage, at(5000), at(0));
    table.adopt(listing("i-1", &[]), at(1000));
    table.expire(at(9000));
    assert!(table.get(keys[0]).is_some(), "it came back");
}

/// An entry that vanished without an outage names an engine that leaves: the drain time of 2 s runs.
#[test]
fn a_lively_engine_whose_entry_vanished_is_left_within_the_drain_time() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.get_mut(keys[0]).expect("it is there").answered = at(0);
    table.remove("i-1", Removal::Known, at(5000), at(100));
    table.expire(at(1100));
    assert!(table.get(keys[0]).is_none());
}

#[test]
fn another_hosts_word_on_a_life_is_not_taken_for_the_next() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.leaves(9);
    assert!(engine.takes_work());
    engine.leaves(1);
    assert_eq!(engine.listing.state, State::Leaving(None));
}

#[test]
fn older_versions_serve_for_a_while_and_newest_only_after_it() {
    let (mut table, _) = table(&[]);
    assert_eq!(table.age("m/a1", 1, NOW), Age::Newest);
    assert!(table.announce("m/a1".into(), 3, at(0)));
    assert!(
        !table.announce("m/a1".into(), 2, at(1)),
        "an older one is passed over"
    );
    assert_eq!(table.age("m/a1", 1, at(100)), Age::Older);
    assert_eq!(table.age("m/a1", 3, at(100)), Age::Newest);
    // The platform's bound is 5 s; up to 1 s passes before the announcement is read.
    assert_eq!(table.age("m/a1", 1, at(4000)), Age::Stale);
    // A second announcement doesn't prolong what the first has ended.
    assert!(table.announce("m/a1".into(), 4, at(4500)));
    assert_eq!(table.age("m/a1", 3, at(4600)), Age::Older);
}

#[test]
fn kept_parts_count_up_to_the_first_that_is_missing() {
    let part = |id, tokens| Part { id, tokens };
    let read = Chain::new("m/a", &[part(1, 100), part(2, 50), part(3, 10)]);
    let mut kept = Kept::default();
    kept.read(&read);
    assert_eq!(kept.tokens(&read), 160);
    assert_eq!(
        kept.tokens(&Chain::new(
            "m/a",
            &[part(1, 100), part(9, 50), part(3, 10)]
        )),
        100
    );
    assert_eq!(
        kept.tokens(&Chain::new("m/b", &[part(1, 100)])),
        0,
        "another adapter"
    );
    assert_eq!(
        kept.tokens(&Chain::new("m/a", &[part(2, 50)])),
        0,
        "not at the beginning"
    );
}

#[test]
fn prompts_that_are_read_no_longer_count() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.reads(2200, at(0));
    engine.reads(2200, at(1));
    assert!(engine.unread(at(1)) > 4000.0);
    assert!(engine.unread(at(500)) < 1.0, "time passes");
    engine.reads(2200, at(1000));
    engine.reads(1100, at(1001));
    engine.first_event(at(1000), ms(100), at(1050));
    let left = engine.unread(at(1050));
    assert!((1000.0..1200.0).contains(&left), "{left}");
}

#[test]
fn an_older_announcement_of_a_hold_in_the_list_is_kept_as_it_is() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let mut entry = listing("i-1", &[]);
    entry.holds.push(hold("m/a1", 7));
    table.adopt(entry, at(0));
    assert_eq!(
        table.get(keys[0]).expect("it is there").held["m/a1"].version,
        7
    );
}

/// The time that is left may be shorter than the time in which an entry that only lapsed comes back.
#[test]
fn an_engine_whose_entry_vanished_is_not_used_beyond_the_time_that_is_left() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.get_mut(keys[0]).expect("it is there").answered = at(0);
    table.remove("i-1", Removal::Known, at(150), at(100));
    assert!(table.expire(at(149)).is_empty());
    assert_eq!(table.expire(at(150)).len(), 1);
}
