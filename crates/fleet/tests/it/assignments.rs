//! New streams are assigned to builds, and the build that began a stream is computed from the assignments.

use std::{collections::HashMap, time::Duration};

use fleet::{
    assignment::{
        Assignment, Candidates, Counts, History, RETENTION, StreamKey, Superseded, Witness,
        WitnessState, Witnesses,
    },
    listing::Build,
};

use crate::fixture::{at, ms};

/// Last moment at which an assignment is kept.
const ALMOST_RETENTION: Duration = RETENTION.saturating_sub(Duration::from_millis(1));

fn counts(builds: &[(&str, u32)]) -> Counts {
    let counts = builds.iter().map(|(build, it)| ((*build).into(), *it));
    counts.collect()
}

fn history(assignments: &[&[(&str, u32)]]) -> History {
    let mut history = History::default();
    for it in assignments {
        history.assign(counts(it));
    }
    history
}

fn key(request: impl std::fmt::Display) -> StreamKey {
    StreamKey::new(Some("m"), Some(&request.to_string())).expect("the request has an id")
}

fn keys() -> impl Iterator<Item = StreamKey> {
    (0..4000).map(key)
}

fn one(build: &str) -> Candidates {
    Candidates::One(build.into())
}

/// The store holds assignments for hosts of other builds of this program and on other machines.
#[test]
fn the_assignment_of_a_stream_never_changes_with_the_program() {
    let history = history(&[&[("v1", 3), ("v2", 2), ("v3", 1)]]);
    let builds: Vec<&str> = (0..12)
        .filter_map(|it| history.build(key(it)).map(|it| &**it))
        .collect();
    assert_eq!(builds.join(" "), "v1 v3 v1 v3 v3 v1 v1 v1 v1 v1 v1 v2");
}

/// A host that can't read the assignment begins streams by the one that follows from its list of engines.
#[test]
fn streams_are_presumed_to_begin_where_the_same_engines_had_them_assigned() {
    let engines = counts(&[("v1", 3), ("v2", 2)]);
    let mut stored = History::default();
    stored.assign(stored.needed_points(&engines, ms(0)).expect("the first"));
    let presumed = History::presume(&engines).expect("there are engines");
    assert!(keys().all(|it| presumed.build(it) == stored.build(it)));
    assert_eq!(History::presume(&Counts::new()), None);
}

#[test]
fn streams_are_divided_like_the_engines() {
    for engines in [[1, 3], [3, 3], [400, 800], [20_000, 60_000]] {
        let mut history = History::default();
        let engines = counts(&[("v1", engines[0]), ("v2", engines[1])]);
        history.assign(history.needed_points(&engines, ms(0)).expect("the first"));
        let mut streams: HashMap<Build, u32> = HashMap::new();
        for key in keys() {
            let build = history.build(key).expect("there is an assignment");
            *streams.entry(build.clone()).or_default() += 1;
        }
        let total: u32 = engines.values().sum();
        for (build, number) in streams {
            let share = f64::from(number) / 4000.0;
            let expected = f64::from(engines[&build]) / f64::from(total);
            assert!(
                (share - expected).abs() < 0.04,
                "{build}: {share}, {expected}"
            );
        }
    }
}

#[test]
fn streams_move_only_to_builds_that_get_more_engines() {
    let before = history(&[&[("v1", 4), ("v2", 3), ("v3", 3)]]);
    let after = history(&[&[("v1", 4), ("v2", 6), ("v3", 3)]]);
    let mut moved = 0;
    for key in keys() {
        let (from, to) = (before.build(key), after.build(key));
        if from != to {
            assert_eq!(to.map(|it| &**it), Some("v2"));
            moved += 1;
        }
    }
    assert!((600..1200).contains(&moved), "{moved}");
}

#[test]
fn all_streams_of_an_adapter_begin_at_one_build() {
    let history = history(&[&[("v1", 1), ("v2", 1)]]);
    let builds = |name: &str| {
        let keys = (0..50).map(|it| StreamKey::new(Some(name), Some(&it.to_string())));
        let mut builds: Vec<_> = keys.filter_map(|it| history.build(it?)).collect();
        builds.sort();
        builds.dedup();
        builds.len()
    };
    assert_eq!((builds("m/a1"), builds("m")), (1, 2));
    let unnamed = StreamKey::new(Some("m/a1"), None);
    assert_eq!(unnamed, StreamKey::new(Some("m/a1"), Some("r-1")));
    assert_eq!(StreamKey::new(Some("m"), Some("")), None);
}

/// Streams went on at the only build that was left, after the hosts that knew the other one were lost.
#[test]
fn a_stream_has_several_candidates_while_a_build_that_left_may_have_begun_it() {
    let both: &[(&str, u32)] = &[("v1", 1), ("v2", 2)];
    let left = history(&[both, &[("v2", 2)]]);
    let unchanged = history(&[both]);
    let mut certain = 0;
    for key in keys() {
        let began_at = unchanged.build(key).expect("there is an assignment");
        let candidates = left.candidates(Some(key));
        if &**began_at == "v1" {
            assert_eq!(candidates, Candidates::Several);
        } else {
            assert_eq!(candidates, one("v2"));
            certain += 1;
        }
    }
    assert!(certain > 2000, "{certain}");
    assert_eq!(left.candidates(None), Candidates::Several);
    assert_eq!(history(&[&[("v2", 2)]]).candidates(None), one("v2"));
}

/// All streams were refused after the hosts that knew their builds were lost.
#[test]
fn each_stream_has_one_candidate_while_the_assignment_stays() {
    let history = history(&[&[("v1", 3), ("v2", 3)]]);
    for key in keys() {
        let build = history.build(key).expect("there is an assignment").clone();
        assert_eq!(history.candidates(Some(key)), Candidates::One(build));
    }
}

#[test]
fn streams_that_began_at_another_build_than_the_assigned_one_are_not_certain() {
    let mut history = history(&[&[("v1", 1), ("v2", 1)]]);
    let exception = key("r-1");
    assert!(!history.allows_exception(exception));
    history.record_exception(exception);
    assert!(history.allows_exception(exception));
    assert_eq!(history.candidates(Some(exception)), Candidates::Several);
    let certain = keys().filter(|it| history.candidates(Some(*it)) != Candidates::Several);
    assert!(certain.count() > 3600);
    // A new assignment ends the exceptions once no such stream can be resumed.
    let engines = counts(&[("v1", 1), ("v2", 1)]);
    assert_eq!(history.needed_points(&engines, ALMOST_RETENTION), None);
    assert_eq!(history.needed_points(&engines, RETENTION), Some(engines));
}

#[test]
fn streams_that_began_without_an_assignment_may_be_of_any_build() {
    let any = |it: Option<&str>| Candidates::Any(it.map(Into::into));
    assert_eq!(History::default().candidates(Some(key(1))), any(None));
    let mut history = history(&[&[("v1", 1)]]);
    history.record_unassigned();
    assert_eq!(history.candidates(Some(key(1))), any(Some("v1")));
    assert_eq!(history.build(key(1)).map(|it| &**it), Some("v1"));
    history.assign(counts(&[("v1", 1), ("v2", 1)]));
    assert_eq!(history.candidates(Some(key(1))), Candidates::Several);
}

#[test]
fn the_assignment_follows_the_engines_in_few_steps() {
    let history = history(&[&[("v1", 10)]]);
    let needs = |history: &History, engines: &[(&str, u32)], age| {
        history.needed_points(&counts(engines), ms(age)).is_some()
    };
    assert!(!needs(&history, &[("v1", 3)], 100_000));
    assert!(!needs(&history, &[], 100_000));
    // A new build has to wait for a moment, and not if the former one has left.
    assert!(!needs(&history, &[("v1", 10), ("v2", 1)], 999));
    assert!(needs(&history, &[("v1", 10), ("v2", 1)], 1000));
    assert!(needs(&history, &[("v2", 1)], 0));
    let history = self::history(&[&[("v1", 9), ("v2", 1)]]);
    assert!(!needs(&history, &[("v1", 8), ("v2", 2)], 100_000));
    assert!(!needs(&history, &[("v1", 6), ("v2", 4)], 2999));
    assert!(needs(&history, &[("v1", 6), ("v2", 4)], 3000));
    assert!(needs(&self::history(&[]), &[("v1", 1)], 0));
}

#[test]
fn an_assignment_is_kept_while_its_streams_may_be_resumed() {
    let mut history = history(&[&[("v1", 1)], &[("v2", 1)]]);
    let mut superseded = Superseded::default();
    superseded.observe(&history, at(10));
    history.assign(counts(&[("v3", 1)]));
    superseded.observe(&history, at(40));
    let expire = |superseded: &Superseded, now| {
        let mut history = history.clone();
        superseded.expire(&mut history, now);
        history.assignments().len()
    };
    assert_eq!(expire(&superseded, at(10) + ALMOST_RETENTION), 3);
    assert_eq!(expire(&superseded, at(10) + RETENTION), 2);
    assert_eq!(expire(&superseded, at(40) + RETENTION), 1);
    // A host that has just started doesn't know how long ago they were superseded.
    let mut restarted = Superseded::default();
    restarted.observe(&history, at(100));
    assert_eq!(expire(&restarted, at(100) + ALMOST_RETENTION), 3);
    // One that has read a history in which they have expired counts the rest on.
    superseded.expire(&mut history, at(10) + RETENTION);
    superseded.observe(&history, at(10) + RETENTION);
    assert_eq!(history.number(), 3);
    let mut rest = history.clone();
    assert!(!superseded.expire(&mut rest, at(40) + ALMOST_RETENTION));
    assert!(superseded.expire(&mut rest, at(40) + RETENTION));
}

#[test]
fn assignments_that_the_store_has_lost_are_merged_again() {
    let mut known = history(&[&[("v1", 2)], &[("v1", 2), ("v2", 1)]]);
    known.record_exception(key("r-1"));
    let mut restored = history(&[&[("v1", 2)]]);
    restored.merge(&known);
    assert!(restored.number() > known.number());
    assert_eq!(restored.candidates(Some(key("r-1"))), Candidates::Several);
    let lost = Assignment {
        points: counts(&[("v1", 2), ("v2", 1)]),
        exceptions: known.assignments()[1].exceptions,
        ..Assignment::default()
    };
    assert_eq!(restored.assignments().len(), 2);
    assert!(restored.assignments().contains(&lost));
    assert_eq!(restored.build(key(1)).map(|it| &**it), Some("v1"));
}

fn witness(engine: &str) -> Witness {
    Witness {
        engine: engine.into(),
        incarnation: 1,
    }
}

fn witnesses(builds: &[(&str, &[&str])]) -> Witnesses {
    let of_build = |it: &&[&str]| it.iter().map(|it| witness(it)).collect();
    let builds = builds
        .iter()
        .map(|(build, it)| ((*build).into(), of_build(it)));
    builds.collect()
}

/// While the store was away, streams began at another build, since all engines of the assigned one had crashed.
#[test]
fn an_assignment_names_engines_that_tell_whether_its_builds_were_reached() {
    let mut history = history(&[&[("v1", 2), ("v2", 1)]]);
    let engines = counts(&[("v1", 2), ("v2", 1)]);
    let all = |_: &Build, _: &Witness| true;
    assert_eq!(history.witness_state(&engines, all), WitnessState::Unnamed);
    assert!(history.witnesses(&"v2".into()).is_empty());

    history.name_witnesses(witnesses(&[
        ("v1", &["a", "b"]),
        ("v2", &["c"]),
        ("v3", &["d"]),
    ]));
    assert_eq!(history.witness_state(&engines, all), WitnessState::Serving);
    assert_eq!(
        history.witnesses(&"v1".into()),
        [[witness("a"), witness("b")]]
    );
    assert!(
        history.witnesses(&"v3".into()).is_empty(),
        "it has no points"
    );
    let only = |engine: &'static str| move |_: &Build, it: &Witness| &*it.engine != engine;
    assert_eq!(
        history.witness_state(&engines, only("a")),
        WitnessState::Serving
    );
    assert_eq!(
        history.witness_state(&engines, only("c")),
        WitnessState::Gone
    );
    assert_eq!(
        history.witness_state(&counts(&[("v1", 2)]), only("c")),
        WitnessState::Serving,
        "no other engine of the build can be named"
    );

    history.repeat();
    history.name_witnesses(witnesses(&[("v1", &["a"]), ("v2", &["e"])]));
    assert_eq!(history.number(), 2);
    let of_v2 = history.witnesses(&"v2".into());
    assert_eq!(
        of_v2,
        [[witness("c")], [witness("e")]],
        "streams of both may be resumed"
    );
    assert!(history.names_other_than(&"v1".into()));
}

#[test]
fn an_assignment_names_few_of_many_engines() {
    let mut history = history(&[&[("v1", 900)]]);
    let ids: Vec<String> = (0..900).map(|it| format!("e{it}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    history.name_witnesses(witnesses(&[("v1", &ids)]));
    assert_eq!(history.witnesses(&"v1".into())[0].len(), 8);
    assert!(!history.names_other_than(&"v1".into()));
}
