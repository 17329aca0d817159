//! Streams are continued only by engines of the build that began them.

use std::sync::Arc;

use fleet::{
    Time,
    listing::{Listing, Name},
    loader::Wanted,
    origin::{
        Announcement, BuildId, Catchup, Holder, MAX_LIST_GAP, Origin, Origins, SETTLE_TIME,
        STREAM_TTL, Services, StreamId, holders_to_ask, record_holders,
    },
    placement::{Placement, PlacementRequest, Purpose, place, rank_for_load},
    rendezvous::short_id,
    table::{Removal, Table},
};

use crate::fixture::{at, listing, ms, prompt};

const SERVICE: &str = "chat";

fn build(name: &str) -> BuildId {
    BuildId::new(SERVICE, &name.into())
}

fn stream(name: &str) -> StreamId {
    StreamId::new(name)
}

fn engine(id: &str, build: &str, adapters: &[&str]) -> Listing {
    Listing {
        build: build.into(),
        ..listing(id, adapters)
    }
}

/// Returns the table of a host that knows these engines, as pairs of id and build.
fn table(engines: &[(&str, &str)]) -> Table {
    let mut table = Table::default();
    for (id, build) in engines {
        table.upsert(engine(id, build, &[]), at(0));
    }
    table
}

/// Follows the list of engines from `at(0)` to `until` without a gap.
fn follow(origins: &mut Origins, until: Time) {
    let mut now = at(0);
    while now <= until {
        origins.observe_complete_list(now);
        now += ms(500);
    }
}

/// Time by which a host that starts at `at(0)` knows what builds there were.
fn later() -> Time {
    at(0) + STREAM_TTL + ms(1000)
}

#[test]
fn a_recorded_build_is_known_for_as_long_as_a_stream_lasts() {
    let table = table(&[("i-1", "v1"), ("i-2", "v2")]);
    let mut origins = Origins::default();
    let announcement = origins.record_own(
        stream("r-1"),
        (SERVICE, Services::One),
        build("v1"),
        &table,
        at(0),
    );
    assert_eq!(announcement, Announcement::Needed);
    origins.record_remote(stream("r-2"), build("v2"), at(0));
    // Whoever resumes the stream later doesn't change who began it.
    origins.record_remote(stream("r-2"), build("v1"), at(1));
    let find = |name: &str, now| origins.find(stream(name), SERVICE, &table, now);
    assert_eq!(find("r-1", at(10)), Origin::Recorded(build("v1")));
    assert_eq!(find("r-2", at(10)), Origin::Recorded(build("v2")));
    assert_eq!(find("r-3", at(10)), Origin::Several);
    assert_eq!(find("r-1", at(0) + STREAM_TTL), Origin::Several);
}

#[test]
fn a_single_build_is_certain_only_after_the_list_was_followed_without_a_gap() {
    let mut table = table(&[("i-1", "v1")]);
    let mut origins = Origins::default();
    let find =
        |origins: &Origins, table: &Table, now| origins.find(stream("r-1"), SERVICE, table, now);
    origins.observe_complete_list(at(0));
    assert_eq!(find(&origins, &table, at(1)), Origin::Unknown);
    let young = at(0) + SETTLE_TIME;
    follow(&mut origins, young);
    assert_eq!(find(&origins, &table, young), Origin::Only(build("v1")));
    // Other hosts may have seen another build, so they get a record.
    let announcement = origins.record_own(
        stream("r-2"),
        (SERVICE, Services::One),
        build("v1"),
        &table,
        young,
    );
    assert_eq!(announcement, Announcement::Needed);
    follow(&mut origins, later());
    assert_eq!(find(&origins, &table, later()), Origin::Only(build("v1")));
    let outdated = later() + MAX_LIST_GAP + ms(1);
    assert_eq!(find(&origins, &table, outdated), Origin::Unknown);
    // Another build may have come and gone in the gap.
    origins.observe_complete_list(outdated);
    assert_eq!(find(&origins, &table, outdated), Origin::Unknown);
    follow(&mut origins, later());
    table.upsert(engine("i-2", "v2", &[]), later());
    assert_eq!(find(&origins, &table, later()), Origin::Several);
}

#[test]
fn a_build_counts_until_no_stream_that_it_began_can_be_resumed() {
    let mut table = table(&[("i-1", "v1"), ("i-2", "v2")]);
    let mut origins = Origins::default();
    follow(&mut origins, later() * 2);
    let now = later() * 2;
    table.schedule_removal("i-1", Removal::StoreAvailable, now, now);
    table.remove_expired(now);
    let find = |now| origins.find(stream("r-1"), SERVICE, &table, now);
    assert_eq!(find(now), Origin::Several);
    assert_eq!(find(now + ms(4000)), Origin::Several);
    let builds = |now| table.builds_within(SERVICE, STREAM_TTL, now).count();
    assert_eq!((builds(now + ms(4000)), builds(now + STREAM_TTL)), (2, 1));
}

#[test]
fn an_engine_that_starts_again_with_another_build_is_of_that_build() {
    let mut table = table(&[("i-1", "v1")]);
    let restarted = Listing {
        incarnation: 2,
        ..engine("i-1", "v2", &[])
    };
    table.upsert(restarted, later());
    let builds: Vec<BuildId> = table
        .builds_within(SERVICE, ms(1), later() + ms(1))
        .collect();
    assert_eq!(builds, [build("v2")]);
    assert_eq!(table.builds_within(SERVICE, STREAM_TTL, later()).count(), 2);
}

#[test]
fn streams_of_a_single_build_are_announced_once_there_is_a_second() {
    let mut table = table(&[("i-1", "v1")]);
    let mut origins = Origins::default();
    follow(&mut origins, later());
    let now = later();
    let announcement = origins.record_own(
        stream("r-1"),
        (SERVICE, Services::One),
        build("v1"),
        &table,
        now,
    );
    assert_eq!(announcement, Announcement::NotNeeded);
    assert!(origins.take_unannounced(&table, now).is_empty());
    table.upsert(engine("i-2", "v2", &[]), now);
    let unannounced = origins.take_unannounced(&table, now);
    assert_eq!(unannounced, [(stream("r-1"), build("v1"))]);
    assert!(origins.take_unannounced(&table, now).is_empty());
}

#[test]
fn a_record_outweighs_what_the_lists_show() {
    let [one, two] = ["v1", "v2"].map(build);
    for (a, b, combined) in [
        (
            Origin::Recorded(one),
            Origin::Only(two),
            Origin::Recorded(one),
        ),
        (
            Origin::Only(two),
            Origin::Recorded(one),
            Origin::Recorded(one),
        ),
        (Origin::Unknown, Origin::Only(one), Origin::Only(one)),
        (Origin::Only(one), Origin::Only(one), Origin::Only(one)),
        (Origin::Only(one), Origin::Only(two), Origin::Several),
        (Origin::Only(one), Origin::Several, Origin::Several),
        (Origin::Several, Origin::Unknown, Origin::Several),
        (
            Origin::Several,
            Origin::Recorded(one),
            Origin::Recorded(one),
        ),
        (Origin::Unknown, Origin::Unknown, Origin::Unknown),
    ] {
        assert_eq!(a.or(b), combined, "{a:?} or {b:?}");
    }
}

/// Returns hosts in several failure domains, each of which has its position as the address.
fn hosts(domains: &[usize]) -> Vec<Holder<usize>> {
    let mut hosts = Vec::new();
    for (domain, count) in domains.iter().enumerate() {
        for _ in 0..*count {
            let addr = hosts.len();
            hosts.push(Holder {
                name: format!("h-{addr}").into(),
                domain: Arc::from(domain.to_string()),
                addr,
            });
        }
    }
    hosts
}

#[test]
fn a_holder_that_is_left_is_asked_wherever_the_stream_is_resumed() {
    for domains in [
        vec![4],
        vec![2, 1, 1],
        vec![1, 1],
        vec![10, 10, 10],
        vec![3; 8],
    ] {
        let all = hosts(&domains);
        for number in 0..12 {
            let stream = stream(&format!("r-{number}"));
            for origin in &all {
                let others: Vec<_> = all.iter().filter(|it| *it != origin).cloned().collect();
                let holders = record_holders(stream, &origin.domain, &others);
                assert_eq!(holders.len(), others.len().min(3));
                // The origin and one holder, or its whole failure domain, are lost.
                for lost in holders.iter().map(|it| Some(*it)).chain([None]) {
                    let is_left = |it: &Holder<usize>| match lost {
                        Some(lost) => it != origin && it.addr != lost,
                        None => it.domain != origin.domain,
                    };
                    let left: Vec<_> = all.iter().filter(|it| is_left(it)).cloned().collect();
                    if !left.iter().any(|it| holders.contains(&it.addr)) {
                        continue;
                    }
                    for host in &left {
                        let asked: Vec<_> = left.iter().filter(|it| *it != host).cloned().collect();
                        let asked = holders_to_ask(stream, &host.domain, &asked);
                        let knows = holders.contains(&host.addr)
                            || asked.iter().any(|it| holders.contains(it));
                        assert!(knows, "{domains:?}: {} of {}", host.name, origin.name);
                    }
                }
            }
        }
    }
}

#[test]
fn a_stream_is_placed_only_on_engines_of_its_build() {
    let mut table = Table::default();
    let other = table.upsert(engine("i-1", "v1", &["a"]), at(0));
    let same = table.upsert(engine("i-2", "v2", &[]), at(0));
    let name: Name = "m/a".into();
    let chain = prompt(100);
    let request = |required: Option<BuildId>| PlacementRequest {
        service: SERVICE,
        name: Some(&name),
        chain: &chain,
        max_gap: ms(250),
        domain: "z-1",
        tried: &[],
        build: required,
        turn: None,
        random: 5,
    };
    let place = |table: &Table, required| place(table, &request(required), at(0));
    assert!(matches!(place(&table, None), Placement::Send(it) if it.key == other));
    let required = Some(build("v2"));
    assert_eq!(place(&table, required), Placement::Load);
    let mut wanted = Wanted {
        name: name.clone(),
        build: required,
        lost_engine: None,
    };
    let rank = |wanted: &Wanted| rank_for_load(&table, SERVICE, wanted, Purpose::Missing, at(0));
    assert_eq!(rank(&wanted), [same]);
    wanted.lost_engine = Some(short_id("i-2"));
    assert!(rank(&wanted).is_empty());
    assert_eq!(place(&table, Some(build("v3"))), Placement::BuildGone);
    let engine = table.get_mut(same).expect("the engine exists");
    engine.record_load(&"m/a".into(), 1, at(0));
    assert!(matches!(place(&table, required), Placement::Send(it) if it.key == same));
    let engine = table.get_mut(same).expect("the engine exists");
    engine.mark_leaving(1);
    assert_eq!(place(&table, required), Placement::BuildGone);
}

/// Returns hosts in `domains` failure domains.
fn fleet(hosts: usize, domains: usize) -> Vec<Holder<usize>> {
    (0..hosts)
        .map(|it| Holder {
            name: format!("h-{it}").into(),
            domain: format!("z-{}", it % domains).into(),
            addr: it,
        })
        .collect()
}

/// Each join ranked all hosts for each record, which kept a host of a large fleet busy for longer than its heartbeats may
/// wait.
#[test]
fn a_host_that_joins_costs_little_and_gets_the_records_of_which_it_is_a_holder() {
    const RECORDS: usize = 2000;
    const MAX_WEIGHTS: usize = 400;
    let records: Vec<_> = (0..RECORDS)
        .map(|it| (stream(&format!("r-{it}")), build("v1")))
        .collect();
    for (count, domains) in [(60, 3), (300, 6), (520, 10)] {
        let hosts = fleet(count, domains);
        // One host of the own failure domain, and one of another.
        for joined in [domains, domains + 1] {
            let holder = hosts[joined].clone();
            let mut catchup = Catchup::new(vec![holder], records.clone());
            let mut selected = Vec::new();
            while !catchup.is_done() {
                let before = catchup.weights();
                selected.extend(catchup.step("z-0", &hosts, MAX_WEIGHTS));
                assert!(catchup.weights() - before < MAX_WEIGHTS + count);
            }
            let is_held =
                |it: &&(StreamId, BuildId)| record_holders(it.0, "z-0", &hosts).contains(&joined);
            let expected: Vec<_> = records
                .iter()
                .filter(is_held)
                .map(|it| (joined, *it))
                .collect();
            assert_eq!(selected, expected);
            let per_record = catchup.weights() / RECORDS;
            let bound = 2 * usize::try_from(count.ilog2() + 1).expect("it is small");
            assert!(per_record <= bound, "{count} hosts: {per_record}, {bound}");
        }
    }
}

/// After the loss of a failure domain, many hosts join at once.
#[test]
fn hosts_that_join_together_are_served_in_steps() {
    let hosts = fleet(60, 3);
    let records = vec![(stream("r-1"), build("v1")); 100];
    let mut catchup = Catchup::new(hosts.clone(), records);
    let mut steps = 0;
    while !catchup.is_done() {
        catchup.step("z-0", &hosts, 100);
        steps += 1;
    }
    assert!(steps >= catchup.weights() / 160, "{steps} steps");
    assert!(Catchup::new(hosts.clone(), Vec::new()).is_done());
    assert!(
        Catchup::new(
            Vec::<Holder<usize>>::new(),
            vec![(stream("r-1"), build("v1"))]
        )
        .is_done()
    );
}

/// Only the record tells at which service a stream of a split route began.
#[test]
fn streams_of_a_split_route_are_announced_also_if_their_service_has_one_build() {
    let table = table(&[("i-1", "v1")]);
    let mut origins = Origins::default();
    follow(&mut origins, later());
    let record = |origins: &mut Origins, services| {
        origins.record_own(
            stream("r-1"),
            (SERVICE, services),
            build("v1"),
            &table,
            later(),
        )
    };
    assert_eq!(
        record(&mut origins, Services::Several),
        Announcement::Needed
    );
    assert_eq!(record(&mut origins, Services::One), Announcement::NotNeeded);
}
