//! Tests of the estimated state of engines.

use fleet::{
    engine::{Miss, Workload},
    listing::{Listing, State},
    prefix::{Cache, Chain, Part},
    table::{Freshness, Removal, Slot, Standing, Table},
};

use crate::fixture::{NOW, at, held, listing, ms, table};

#[test]
fn a_new_incarnation_with_the_same_id_holds_nothing_of_the_previous_one() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let mut later = listing("i-1", &[]);
    later.incarnation = 2;
    later.held.clear();
    assert_eq!(table.upsert(later, at(10)), keys[0]);
    assert!(
        table
            .get(keys[0])
            .expect("the engine exists")
            .held
            .is_empty()
    );
}

#[test]
fn observed_loads_and_unloads_take_precedence_over_an_older_list() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    engine.record_load(&"m/a2".into(), 3, at(0));
    engine.remove_held("m/a1", at(0));
    table.upsert(listing("i-1", &["a1"]), at(100));
    let held = &table.get(keys[0]).expect("the engine exists").held;
    assert!(held.contains_key("m/a2") && !held.contains_key("m/a1"));
    table.upsert(listing("i-1", &["a1"]), at(10_000));
    let held = &table.get(keys[0]).expect("the engine exists").held;
    assert!(!held.contains_key("m/a2") && held.contains_key("m/a1"));
}

#[test]
fn a_single_request_confirms_a_load_that_should_be_done() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    engine.record_load(&"m/a1".into(), 1, at(0));
    let estimate = engine.held.get_mut("m/a1").expect("the adapter is held");
    assert!(estimate.accepts_request(at(0)));
    estimate.running = 1;
    assert!(!estimate.accepts_request(at(0)), "a second request waits");
    estimate.running = 0;
    assert_eq!(
        engine.record_miss("m/a1", at(1), at(1)),
        Miss::Early,
        "the load is still expected"
    );
    let estimate = engine
        .held
        .get_mut("m/a1")
        .expect("the adapter is still held");
    assert!(!estimate.accepts_request(at(2)), "the next attempt waits");
    assert!(estimate.accepts_request(at(500)));
    let arrival = estimate.confirm(at(500)).expect("the load was unconfirmed");
    assert_eq!((arrival.misses, arrival.missing_after), (1, ms(1)));
    assert_eq!(arrival.found_after, Some(ms(500)));
    estimate.running = 5;
    assert!(estimate.accepts_request(at(501)));
    assert_eq!(
        engine.record_miss("m/a1", at(502), at(502)),
        Miss::Unexpected,
        "a miss after the confirmation means that the adapter was unloaded"
    );
    assert!(!engine.held.contains_key("m/a1"));
}

#[test]
fn an_engine_whose_entry_lapsed_is_used_until_its_entry_should_be_back() {
    let after_outage = Removal::AfterOutage { returned_at: at(0) };
    for (removal, used_until) in [(Removal::StoreAvailable, 0), (after_outage, 2000)] {
        let (mut table, keys) = table(&[("i-1", &[])]);
        table.schedule_removal("i-1", removal, at(5000), at(0));
        table.remove_expired(at(used_until));
        assert_eq!(table.get(keys[0]).is_some(), used_until > 0, "{removal:?}");
        table.remove_expired(at(2400));
        assert!(table.get(keys[0]).is_none());
    }
    let (mut table, keys) = table(&[("i-1", &[])]);
    table.schedule_removal("i-1", after_outage, at(5000), at(0));
    table.upsert(listing("i-1", &[]), at(1000));
    table.remove_expired(at(9000));
    assert!(table.get(keys[0]).is_some(), "the entry came back");
}

/// An entry that vanishes without an outage means that the engine is leaving, with a drain time of 2 s.
#[test]
fn a_live_engine_whose_entry_vanished_is_removed_within_the_drain_time() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    table
        .get_mut(keys[0])
        .expect("the engine exists")
        .last_success_at = at(0);
    table.schedule_removal("i-1", Removal::StoreAvailable, at(5000), at(100));
    table.remove_expired(at(1100));
    assert!(table.get(keys[0]).is_none());
}

#[test]
fn a_report_about_one_incarnation_does_not_apply_to_another() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    assert!(!engine.mark_leaving(9));
    assert!(engine.accepts_work());
    assert!(engine.mark_leaving(1));
    assert!(!engine.accepts_work());
}

#[test]
fn older_versions_are_usable_for_a_while_after_an_announcement() {
    let (mut table, _) = table(&[]);
    assert_eq!(table.freshness("m/a1", 1, NOW), Freshness::Newest);
    assert!(table.announce("m/a1".into(), 3, at(0)));
    assert!(
        !table.announce("m/a1".into(), 2, at(1)),
        "an older version is ignored"
    );
    assert_eq!(table.freshness("m/a1", 1, at(100)), Freshness::Older);
    assert_eq!(table.freshness("m/a1", 3, at(100)), Freshness::Newest);
    // The platform's limit is 5 s, of which up to 1 s passes before the announcement is read.
    assert_eq!(table.freshness("m/a1", 1, at(4000)), Freshness::Stale);
    // The previously newest version is usable for a while after the next announcement, too.
    assert!(table.announce("m/a1".into(), 4, at(4500)));
    assert_eq!(table.freshness("m/a1", 3, at(4600)), Freshness::Older);
    // A version that was stale before stays so, also while announcements follow each other.
    assert_eq!(table.freshness("m/a1", 1, at(4600)), Freshness::Stale);
    assert!(table.announce("m/a1".into(), 5, at(5000)));
    assert_eq!(table.freshness("m/a1", 1, at(5000)), Freshness::Stale);
    assert_eq!(table.freshness("m/a1", 3, at(5000)), Freshness::Older);
}

/// Each announcement restarted the time for which older versions may be used, so none became stale.
#[test]
fn older_versions_become_stale_though_new_ones_are_announced_in_quick_succession() {
    let (mut table, _) = table(&[]);
    for version in 1..40 {
        let now = at(1800 * version);
        assert!(table.announce("m/a1".into(), version, now));
        let freshness = |it: u64| table.freshness("m/a1", it, now);
        assert_eq!(freshness(version), Freshness::Newest);
        for (age, expected) in [
            (1, Freshness::Older),
            (2, Freshness::Older),
            (3, Freshness::Stale),
        ] {
            if version > age {
                assert_eq!(freshness(version - age), expected, "{version} - {age}");
            }
        }
    }
    for version in 40..400 {
        assert!(table.announce("m/a1".into(), version, at(80_000)));
    }
    assert_eq!(table.freshness("m/a1", 398, at(80_100)), Freshness::Older);
    assert_eq!(table.freshness("m/a1", 398, at(82_500)), Freshness::Stale);
    assert_eq!(table.freshness("m/a1", 399, at(90_000)), Freshness::Newest);
}

/// Nothing bounds how long a request waits for a slot at an engine that turns slow.
#[test]
fn a_request_that_waits_for_a_slot_needs_the_newest_version() {
    let (mut table, _) = table(&[]);
    assert!(table.announce("m/a1".into(), 3, at(0)));
    let freshness = |version, slot| {
        let wait = ms(0);
        table.freshness_after("m/a1", version, at(100), wait, || slot)
    };
    assert_eq!(freshness(1, Slot::Free), Freshness::Older);
    assert_eq!(freshness(1, Slot::Taken), Freshness::Stale);
    assert_eq!(freshness(3, Slot::Taken), Freshness::Newest);
}

#[test]
fn a_request_that_waits_on_an_older_version_is_recalled_before_it_may_not_begin() {
    let (mut table, _) = table(&[]);
    assert_eq!(table.recall_time("m/a1", 1), None);
    assert!(table.announce("m/a1".into(), 3, at(0)));
    assert_eq!(table.recall_time("m/a1", 3), None);
    // The platform's limit is 5 s, of which up to 1 s passes before the announcement is read.
    let recall_at = table.recall_time("m/a1", 1);
    assert!(recall_at.is_some_and(|it| it < at(4000)), "{recall_at:?}");
    // A further announcement doesn't postpone it.
    assert!(table.announce("m/a1".into(), 4, at(3000)));
    assert!(table.recall_time("m/a1", 1) <= recall_at);
    assert!(table.recall_time("m/a1", 3) > recall_at);
}

#[test]
fn cached_parts_count_up_to_the_first_missing_one() {
    let part = |id, tokens| Part { id, tokens };
    let prefilled = Chain::new("m/a", &[part(1, 100), part(2, 50), part(3, 10)]);
    let mut cache = Cache::default();
    cache.insert(&prefilled);
    assert_eq!(cache.cached_tokens(&prefilled), 160);
    assert_eq!(
        cache.cached_tokens(&Chain::new(
            "m/a",
            &[part(1, 100), part(9, 50), part(3, 10)]
        )),
        100
    );
    assert_eq!(
        cache.cached_tokens(&Chain::new("m/b", &[part(1, 100)])),
        0,
        "another adapter has other hashes"
    );
    assert_eq!(
        cache.cached_tokens(&Chain::new("m/a", &[part(2, 50)])),
        0,
        "a part only counts at the same position"
    );
}

#[test]
fn prefilled_prompts_no_longer_count_as_pending() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    engine.record_prompt(2200, at(0));
    engine.record_prompt(2200, at(1));
    assert!(engine.pending_prefill_tokens(at(1)) > 4000.0);
    assert!(
        engine.pending_prefill_tokens(at(500)) < 1.0,
        "the prefill is done by then"
    );
    engine.record_prompt(2200, at(1000));
    engine.record_prompt(1100, at(1001));
    engine.record_prefilled(at(1000), at(1050));
    let left = engine.pending_prefill_tokens(at(1050));
    assert!((1000.0..1200.0).contains(&left), "{left}");
}

#[test]
fn the_listed_version_of_an_adapter_is_adopted() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let mut entry = listing("i-1", &[]);
    entry.held.push(held("m/a1", 7));
    table.upsert(entry, at(0));
    assert_eq!(
        table.get(keys[0]).expect("the engine exists").held["m/a1"].version,
        7
    );
}

/// The drain time that is left may be shorter than the time in which a lapsed entry comes back.
#[test]
fn an_engine_whose_entry_vanished_is_not_used_beyond_its_drain_time() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    table
        .get_mut(keys[0])
        .expect("the engine exists")
        .last_success_at = at(0);
    table.schedule_removal("i-1", Removal::StoreAvailable, at(150), at(100));
    assert!(table.remove_expired(at(149)).is_empty());
    assert_eq!(table.remove_expired(at(150)).len(), 1);
}

/// Time after which a scheduled removal is certain to be due.
const LATER: u64 = 10_000;

#[test]
fn an_engine_that_drains_stays_unusable_until_a_new_incarnation() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let leaving = Listing {
        state: State::Leaving(None),
        ..listing("i-1", &[])
    };
    let is_used = |table: &fleet::table::Table| {
        table
            .get(keys[0])
            .is_some_and(fleet::engine::Engine::accepts_work)
    };
    table.upsert(leaving, at(1));
    // The store came back from a copy that still says ready.
    table.upsert(listing("i-1", &[]), at(2));
    assert!(!is_used(&table));
    let later = |incarnation| Listing {
        incarnation,
        ..listing("i-1", &[])
    };
    table.upsert(later(2), at(3));
    assert!(is_used(&table));
    // An entry of an earlier incarnation comes from an older copy.
    table.upsert(listing("i-1", &["a"]), at(4));
    let engine = table.get(keys[0]).expect("the engine exists");
    assert_eq!(engine.listing, later(2));
}

#[test]
fn a_removed_engine_that_drained_does_not_come_back() {
    let (mut table, keys) = table(&[("i-1", &[]), ("i-2", &[])]);
    let drained = table.get_mut(keys[0]).expect("the engine exists");
    drained.mark_leaving(1);
    for id in ["i-1", "i-2"] {
        table.schedule_removal(id, Removal::StoreAvailable, at(0), at(0));
    }
    assert_eq!(table.standing(&listing("i-1", &[])), Standing::Current);
    assert_eq!(table.remove_expired(at(LATER)).len(), 2);
    let next = Listing {
        incarnation: 2,
        ..listing("i-1", &[])
    };
    assert_eq!(table.standing(&listing("i-1", &[])), Standing::Outdated);
    assert_eq!(table.standing(&listing("i-2", &[])), Standing::Outdated);
    assert_eq!(table.standing(&next), Standing::Uncertain);
    // Only a lapsed entry may come back: the engine that drained has ended.
    let keys = ["i-1", "i-2"].map(|it| table.upsert(listing(it, &[]), at(LATER)));
    let used = keys.map(|it| {
        table
            .get(it)
            .is_some_and(fleet::engine::Engine::accepts_work)
    });
    assert_eq!(used, [false, true]);
    let key = table.upsert(next, at(LATER));
    assert!(
        table
            .get(key)
            .is_some_and(fleet::engine::Engine::accepts_work)
    );
}

/// Work of one request without a prompt.
fn one_request() -> Workload {
    Workload {
        running: 1,
        prefill_tokens: 0,
    }
}

/// Many hosts have a request now and then at each engine. A request that has ended must not count until its report
/// expires, since the reports of all hosts would add up, and one that has just begun counts at once.
#[test]
fn each_report_of_a_host_replaces_the_one_before() {
    let (mut table, keys) = table(&[("i-1", &["a"]), ("i-2", &["a"])]);
    let running = |table: &fleet::table::Table, index: usize, now| {
        table.get(keys[index]).map(|it| it.total_work(now).running)
    };
    for host in 0..40 {
        let host: std::sync::Arc<str> = format!("h-{host}").into();
        table.begin_work_report(&host);
        table.record_remote_work(&host, keys[0], one_request(), at(0));
    }
    assert_eq!(running(&table, 0, at(400)), Some(40));
    for host in 0..40 {
        let host: std::sync::Arc<str> = format!("h-{host}").into();
        table.begin_work_report(&host);
        table.record_remote_start(&host, keys[1], at(400));
    }
    assert_eq!(running(&table, 0, at(401)), Some(0));
    assert_eq!(running(&table, 1, at(401)), Some(40));
    // Hosts that fall silent no longer count.
    assert_eq!(running(&table, 1, at(LATER)), Some(0));
}

#[test]
fn each_usage_report_of_a_host_replaces_the_one_before() {
    let (mut table, keys) = table(&[("i-1", &["a", "b"])]);
    let host: std::sync::Arc<str> = "h-1".into();
    let running = |table: &fleet::table::Table, name: &str| {
        let estimate = table.get(keys[0]).and_then(|it| it.held.get(name));
        estimate.map(|it| it.total_running(at(1)))
    };
    table.begin_usage_report(&host);
    table.record_remote_usage(&host, keys[0], &"m/a".into(), 2, 2, at(0));
    assert_eq!(running(&table, "m/a"), Some(2));
    table.begin_usage_report(&host);
    table.record_remote_usage(&host, keys[0], &"m/b".into(), 1, 1, at(1));
    assert_eq!(running(&table, "m/a"), Some(0));
    assert_eq!(running(&table, "m/b"), Some(1));
}

#[test]
fn adapters_in_use_on_a_draining_engine_are_loaded_elsewhere() {
    let (mut table, keys) = table(&[
        ("i-1", &["a", "b", "c", "d"]),
        ("i-2", &["b"]),
        ("i-3", &["c"]),
    ]);
    for (name, uses) in [("m/a", 9), ("m/b", 9), ("m/c", 20), ("m/d", 1), ("m", 50)] {
        let engine = table.get_mut(keys[0]).expect("the engine exists");
        let estimate = engine.held.get_mut(name).expect("the adapter is held");
        estimate.record_uses(at(0), uses);
    }
    // One of the other holders drains, too.
    table
        .get_mut(keys[2])
        .expect("the engine exists")
        .mark_leaving(1);
    let wanted: Vec<_> = table.adapters_to_copy(keys[0], at(0));
    let wanted: Vec<&str> = wanted.iter().map(|it| &**it).collect();
    assert_eq!(wanted, ["m/c", "m/a"]);
}

/// An engine's clock may be set back before it starts again.
#[test]
fn incarnations_follow_each_other_as_their_entries_do_whatever_their_clocks_say() {
    let (mut table, keys) = table(&[("i-1", &[])]);
    let entry = |incarnation, build: &str| Listing {
        incarnation,
        build: build.into(),
        ..listing("i-1", &[])
    };
    let build = |table: &Table| table.get(keys[0]).map(|it| it.listing.build.clone());
    for (time, incarnation, name) in [(1, 1000, "v1"), (2, 700, "v2"), (3, 900, "v3")] {
        assert_eq!(
            table.standing(&entry(incarnation, name)),
            Standing::Uncertain
        );
        table.upsert(entry(incarnation, name), at(time));
        assert_eq!(build(&table).as_deref(), Some(name));
        assert_eq!(table.standing(&entry(incarnation, name)), Standing::Current);
    }
    for (incarnation, name) in [(1, "v1"), (1000, "v1"), (700, "v2")] {
        let copy = entry(incarnation, name);
        assert_eq!(table.standing(&copy), Standing::Outdated);
        table.upsert(copy, at(4));
        assert_eq!(build(&table).as_deref(), Some("v3"));
    }
    table.schedule_removal("i-1", Removal::StoreAvailable, at(5), at(5));
    assert_eq!(table.remove_expired(at(LATER)).len(), 1);
    for incarnation in [1, 1000, 700, 900] {
        assert_eq!(
            table.standing(&entry(incarnation, "v1")),
            Standing::Outdated
        );
    }
    let key = table.upsert(entry(800, "v4"), at(LATER));
    let engine = table.get(key).expect("the engine exists");
    assert_eq!(&*engine.listing.build, "v4");
    assert!(engine.is_superseded(900) && engine.is_superseded(1000));
}

/// The entry of another writer counted as one of an incarnation without a start, so those of the engine itself were ignored.
#[test]
fn an_entry_without_the_start_that_earlier_ones_stated_is_another_writers() {
    let (mut table, _) = table(&[]);
    let with_start = |start: u64| Listing {
        incarnation: start,
        ..listing("i-1", &[])
    };
    table.upsert(with_start(0), at(0));
    assert!(!table.lacks_start(&with_start(0)), "the engine states none");
    table.upsert(with_start(7), at(0));
    assert!(table.lacks_start(&with_start(0)));
    assert!(!table.lacks_start(&with_start(9)));
    table.schedule_removal("i-1", Removal::StoreAvailable, at(1), at(1));
    assert_eq!(table.remove_expired(at(2)).len(), 1);
    assert!(table.lacks_start(&with_start(0)), "also once it is removed");
    let key = table.upsert(with_start(7), at(3));
    let engine = table.get(key).expect("the engine is back");
    assert!(engine.accepts_work() && !engine.is_superseded(7));
}
