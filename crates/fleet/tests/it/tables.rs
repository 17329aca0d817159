//! What a host believes of engines.

use fleet::{
    listing::State,
    prefix::{Cache, Chain, Part},
    table::{Freshness, Removal},
};

use crate::fixture::{NOW, at, hold, listing, ms, table};

#[test]
fn a_later_life_under_the_same_id_holds_nothing_of_before() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let mut later = listing("i-1", &[]);
    later.incarnation = 2;
    later.held.clear();
    assert_eq!(table.upsert(later, at(10)), keys[0]);
    assert!(table.get(keys[0]).expect("it is there").held.is_empty());
}

#[test]
fn news_of_loads_goes_before_an_older_list() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.record_load(&"m/a2".into(), 3, at(0));
    engine.remove_held("m/a1", at(0));
    table.upsert(listing("i-1", &["a1"]), at(100));
    let held = &table.get(keys[0]).expect("it is there").held;
    assert!(held.contains_key("m/a2") && !held.contains_key("m/a1"));
    table.upsert(listing("i-1", &["a1"]), at(10_000));
    let held = &table.get(keys[0]).expect("it is there").held;
    assert!(!held.contains_key("m/a2") && held.contains_key("m/a1"));
}

#[test]
fn one_request_tries_a_load_that_should_be_done() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.record_load(&"m/a1".into(), 1, at(0));
    let belief = engine.held.get_mut("m/a1").expect("it is held");
    assert!(belief.accepts_request(at(0)));
    belief.running = 1;
    assert!(!belief.accepts_request(at(0)), "a second one waits");
    belief.running = 0;
    assert!(engine.record_miss("m/a1", at(1)), "it is still expected");
    let belief = engine.held.get_mut("m/a1").expect("it is still held");
    assert!(!belief.accepts_request(at(2)), "the next try waits");
    assert!(belief.accepts_request(at(500)));
    assert!(belief.confirm());
    belief.running = 5;
    assert!(belief.accepts_request(at(501)));
    assert!(
        !engine.record_miss("m/a1", at(502)),
        "a miss after that is a loss"
    );
    assert!(!engine.held.contains_key("m/a1"));
}

#[test]
fn an_engine_whose_entry_lapsed_is_used_until_it_should_be_back() {
    for (removal, still) in [(Removal::StoreAvailable, 0), (Removal::AfterOutage, 2000)] {
        let (mut table, keys) = table(&[("i-1", &[])]);
        table.schedule_removal("i-1", removal, at(5000), at(0));
        table.remove_expired(at(still));
        assert_eq!(table.get(keys[0]).is_some(), still > 0, "{removal:?}");
        table.remove_expired(at(2400));
        assert!(table.get(keys[0]).is_none());
    }
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.schedule_removal("i-1", Removal::AfterOutage, at(5000), at(0));
    table.upsert(listing("i-1", &[]), at(1000));
    table.remove_expired(at(9000));
    assert!(table.get(keys[0]).is_some(), "it came back");
}

/// An entry that vanished without an outage names an engine that leaves: the drain time of 2 s runs.
#[test]
fn a_lively_engine_whose_entry_vanished_is_left_within_the_drain_time() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.get_mut(keys[0]).expect("it is there").last_success_at = at(0);
    table.schedule_removal("i-1", Removal::StoreAvailable, at(5000), at(100));
    table.remove_expired(at(1100));
    assert!(table.get(keys[0]).is_none());
}

#[test]
fn another_hosts_word_on_a_life_is_not_taken_for_the_next() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.mark_leaving(9);
    assert!(engine.accepts_work());
    engine.mark_leaving(1);
    assert_eq!(engine.listing.state, State::Leaving(None));
}

#[test]
fn older_versions_serve_for_a_while_and_newest_only_after_it() {
    let (mut table, _) = table(&[]);
    assert_eq!(table.freshness("m/a1", 1, NOW), Freshness::Newest);
    assert!(table.announce("m/a1".into(), 3, at(0)));
    assert!(
        !table.announce("m/a1".into(), 2, at(1)),
        "an older one is passed over"
    );
    assert_eq!(table.freshness("m/a1", 1, at(100)), Freshness::Older);
    assert_eq!(table.freshness("m/a1", 3, at(100)), Freshness::Newest);
    // The platform's bound is 5 s; up to 1 s passes before the announcement is read.
    assert_eq!(table.freshness("m/a1", 1, at(4000)), Freshness::Stale);
    // A second announcement doesn't prolong what the first has ended.
    assert!(table.announce("m/a1".into(), 4, at(4500)));
    assert_eq!(table.freshness("m/a1", 3, at(4600)), Freshness::Older);
}

#[test]
fn kept_parts_count_up_to_the_first_that_is_missing() {
    let part = |id, tokens| Part { id, tokens };
    let read = Chain::new("m/a", &[part(1, 100), part(2, 50), part(3, 10)]);
    let mut kept = Cache::default();
    kept.insert(&read);
    assert_eq!(kept.cached_tokens(&read), 160);
    assert_eq!(
        kept.cached_tokens(&Chain::new(
            "m/a",
            &[part(1, 100), part(9, 50), part(3, 10)]
        )),
        100
    );
    assert_eq!(
        kept.cached_tokens(&Chain::new("m/b", &[part(1, 100)])),
        0,
        "another adapter"
    );
    assert_eq!(
        kept.cached_tokens(&Chain::new("m/a", &[part(2, 50)])),
        0,
        "not at the beginning"
    );
}

#[test]
fn prompts_that_are_read_no_longer_count() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("it is there");
    engine.record_prompt(2200, at(0));
    engine.record_prompt(2200, at(1));
    assert!(engine.pending_prefill_tokens(at(1)) > 4000.0);
    assert!(engine.pending_prefill_tokens(at(500)) < 1.0, "time passes");
    engine.record_prompt(2200, at(1000));
    engine.record_prompt(1100, at(1001));
    engine.record_first_event(at(1000), ms(100), at(1050));
    let left = engine.pending_prefill_tokens(at(1050));
    assert!((1000.0..1200.0).contains(&left), "{left}");
}

#[test]
fn an_older_announcement_of_a_hold_in_the_list_is_kept_as_it_is() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let mut entry = listing("i-1", &[]);
    entry.held.push(hold("m/a1", 7));
    table.upsert(entry, at(0));
    assert_eq!(
        table.get(keys[0]).expect("it is there").held["m/a1"].version,
        7
    );
}

/// The time that is left may be shorter than the time in which an entry that only lapsed comes back.
#[test]
fn an_engine_whose_entry_vanished_is_not_used_beyond_the_time_that_is_left() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.get_mut(keys[0]).expect("it is there").last_success_at = at(0);
    table.schedule_removal("i-1", Removal::StoreAvailable, at(150), at(100));
    assert!(table.remove_expired(at(149)).is_empty());
    assert_eq!(table.remove_expired(at(150)).len(), 1);
}
