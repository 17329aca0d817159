//! Tests of what hosts know of the prompts that an engine is reading.

use std::sync::Arc;

use fleet::{
    capacity::{Load, Samples},
    placement::{Placement, place},
    reading::{End, Reading},
    table::{Key, Table},
};

use crate::fixture::{at, listing, ms, prompt, request, table};

/// Makes it known that the host announces the ends of its prompts.
fn announce_ends(table: &mut Table, host: &Arc<str>, key: Key) {
    table.record_remote_prompt_end(host, key, 1, End::Read, at(0));
}

fn unread_tokens(table: &Table, key: Key, now: u64) -> u32 {
    let engine = table.get(key).expect("the engine exists");
    engine.reading.unread_tokens(at(now))
}

#[test]
fn prompts_of_other_hosts_count_until_their_end_is_announced() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let (first, second) = (Arc::from("h-1"), Arc::from("h-2"));
    announce_ends(&mut table, &first, keys[0]);
    announce_ends(&mut table, &second, keys[0]);
    table.record_remote_prompt(&first, keys[0], 900, at(0));
    table.record_remote_prompt(&second, keys[0], 700, at(10));
    assert_eq!(unread_tokens(&table, keys[0], 400), 1600);
    table.record_remote_prompt_end(&second, keys[0], 700, End::Dropped, at(400));
    assert_eq!(unread_tokens(&table, keys[0], 400), 900);
    table.record_remote_prompt_end(&first, keys[0], 900, End::Read, at(410));
    assert_eq!(unread_tokens(&table, keys[0], 410), 0);
}

/// Datagrams are lost, hosts too.
#[test]
fn a_lost_end_is_made_up_for_by_a_later_one_or_by_time() {
    let mut reading = Reading::default();
    let host = Arc::from("h-1");
    reading.record_sent(Some(&host), 900, at(0));
    reading.record_sent(None, 500, at(100));
    reading.record_end(None, 500, End::Read, at(150));
    assert_eq!(reading.unread_tokens(at(150)), 0);
    assert_eq!(reading.busy(ms(300), at(200)), ms(150));
    reading.record_sent(Some(&host), 900, at(200));
    assert_eq!(reading.unread_tokens(at(1199)), 900);
    assert_eq!(reading.unread_tokens(at(1200)), 0);
}

/// A build that doesn't announce ends, and an engine that starts again.
#[test]
fn prompts_whose_end_nobody_would_announce_do_not_count() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let host = Arc::from("h-1");
    table.record_remote_prompt(&host, keys[0], 900, at(0));
    assert_eq!(unread_tokens(&table, keys[0], 0), 0);
    announce_ends(&mut table, &host, keys[0]);
    table.record_remote_prompt(&host, keys[0], 900, at(10));
    assert_eq!(unread_tokens(&table, keys[0], 10), 900);
    let mut again = listing("i-1", &["a1"]);
    again.incarnation = 2;
    table.upsert(again, at(20));
    assert_eq!(unread_tokens(&table, keys[0], 20), 0);
}

#[test]
fn prompts_that_wait_for_a_slot_do_not_count() {
    let (mut table, keys) = table(&[("i-1", &["a1"])]);
    let engine = table.get_mut(keys[0]).expect("the engine exists");
    engine.local_work.running = 8;
    engine.record_sent(None, 900, at(0));
    assert_eq!(unread_tokens(&table, keys[0], 0), 0);
}

/// Replays an engine that is three times as fast as the other and turns slow for a moment: no sample shows it yet, but two
/// prompts of other hosts are unread for longer than they should take.
#[test]
fn a_fast_engine_that_falls_silent_gets_no_more_prompts() {
    let (mut table, keys) = table(&[("i-1", &["a1"]), ("i-2", &["a1"])]);
    for number in 0..60 {
        for (key, tokens_per_ms) in [(keys[0], 30_u64), (keys[1], 10)] {
            let sample = Samples::of(900.0, ms(25 + 900 / tokens_per_ms));
            table.record_speed(key, sample, Load::Idle, at(number * 100));
        }
    }
    let host = Arc::from("h-1");
    announce_ends(&mut table, &host, keys[0]);
    for key in &keys {
        let engine = table.get_mut(*key).expect("the engine exists");
        engine.local_work.running = 5;
    }
    let chosen = |table: &Table, now: u64| {
        let (name, chain) = ("m/a1".into(), prompt(900));
        match place(table, &request(&name, &chain, 5), at(now)) {
            Placement::Send(it) => it.key,
            it => panic!("one engine is idle: {it:?}"),
        }
    };
    assert_eq!(chosen(&table, 6000), keys[0]);
    for sent in [6000, 6010] {
        table.record_remote_prompt(&host, keys[0], 900, at(sent));
    }
    assert_eq!(chosen(&table, 6250), keys[1]);
    for _ in 0..2 {
        table.record_remote_prompt_end(&host, keys[0], 900, End::Read, at(6260));
    }
    assert_eq!(chosen(&table, 7000), keys[0]);
}

/// Replays two prompts, one after the other, for the only engine that holds the adapter: it reads them in time as a rule,
/// but not while it takes four times as long.
#[test]
fn prompts_are_paced_by_the_present_speed() {
    for (read_after, is_delayed) in [(30, false), (280, true)] {
        let (mut table, keys) = table(&[("i-1", &["a1"])]);
        for number in 0..60 {
            let sample = Samples::of(900.0, ms(25 + 30));
            table.record_speed(keys[0], sample, Load::Idle, at(number * 100));
        }
        let engine = table.get_mut(keys[0]).expect("the engine exists");
        engine.record_prompt(1500, at(6000));
        engine.record_sent(None, 1500, at(6000));
        let now = at(6000 + read_after);
        engine.record_prefilled(at(6000), now);
        engine.reading.record_end(None, 1500, End::Read, now);
        let (name, chain) = ("m/a1".into(), prompt(1500));
        let placement = place(&table, &request(&name, &chain, 5), now);
        let delays = matches!(placement, Placement::Delay(_));
        assert_eq!(delays, is_delayed, "{read_after}: {placement:?}");
    }
}
