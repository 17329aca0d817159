//! Quarantine of prompt parts that crash engines.

use std::time::Duration;

use fleet::{
    Time,
    prefix::Part,
    quarantine::{Adoption, Incarnation, Notice, PartId, Quarantine, Suspect, Verdict, suspects},
};

use crate::fixture::{at, ms};

const TERM: Duration = Duration::from_mins(1);

/// Parts that all prompts, and some prompts, share.
pub const COMMON: u64 = 1;
pub const CRASHING: u64 = 2;
pub const SOUND: u64 = 3;

/// Returns the parts of a prompt with these ids.
pub fn prompt(ids: &[u64]) -> Vec<Suspect> {
    let parts: Vec<_> = ids
        .iter()
        .map(|it| Part {
            id: *it,
            tokens: 10,
        })
        .collect();
    suspects("chat", &parts)
}

pub fn part(id: u64) -> PartId {
    PartId::new("chat", &Part { id, tokens: 10 })
}

/// Records and judges the crash of an engine with requests of these prompts. Returns the newly quarantined parts.
fn crash(quarantine: &mut Quarantine, engine: u32, time: Time, prompts: &[&[u64]]) -> Vec<PartId> {
    let suspects: Vec<_> = prompts.iter().flat_map(|it| prompt(it)).collect();
    crash_of(quarantine, engine, time, &suspects)
}

/// Crashes three engines, one second after the other, with a request with the part `CRASHING` and sound ones.
fn quarantine_crashing() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let own = 100 + u64::from(number);
        let time = at(u64::from(number) * 1000);
        quarantine.record_success(&prompt(&[COMMON, SOUND, 50]), time);
        let prompts: [&[u64]; 2] = [&[COMMON, CRASHING, own], &[COMMON, SOUND, own + 10]];
        let quarantined = crash(&mut quarantine, number, time + ms(500), &prompts);
        let expected = if number == 2 {
            vec![part(CRASHING)]
        } else {
            vec![]
        };
        assert_eq!(quarantined, expected);
    }
    quarantine
}

fn check(quarantine: &mut Quarantine, ids: &[u64], may_try: bool, time: Time) -> Verdict {
    quarantine.check(&prompt(ids), |_| may_try, time)
}

#[test]
fn the_part_of_three_crashes_that_never_succeeded_is_quarantined() {
    let mut quarantine = quarantine_crashing();
    let time = at(3500);
    let left = TERM.saturating_sub(ms(1000));
    let refused = Verdict::Refuse(part(CRASHING), left);
    assert_eq!(
        check(&mut quarantine, &[COMMON, CRASHING, 9], true, time),
        refused
    );
    assert_eq!(
        check(&mut quarantine, &[COMMON, SOUND, 9], true, time),
        Verdict::Pass
    );
    // The same part of another service has other engines.
    let other = suspects(
        "other",
        &[
            Part {
                id: CRASHING,
                tokens: 10,
            },
            Part { id: 9, tokens: 10 },
        ],
    );
    assert_eq!(quarantine.check(&other, |_| true, time), Verdict::Pass);
}

#[test]
fn several_reports_of_one_crash_count_once() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let own = 100 + number;
        let quarantined = crash(
            &mut quarantine,
            7,
            at(number * 300),
            &[&[COMMON, CRASHING, own]],
        );
        assert_eq!(quarantined, []);
    }
}

#[test]
fn a_request_that_crashes_engines_by_itself_is_quarantined_by_its_last_part() {
    let mut quarantine = Quarantine::default();
    let repeated: &[u64] = &[COMMON, SOUND, 9];
    let mut quarantined = Vec::new();
    for number in 0..3 {
        let time = at(u64::from(number) * 1000);
        quarantine.record_success(&prompt(&[COMMON, SOUND, 50]), time);
        quarantined = crash(&mut quarantine, number, time + ms(500), &[repeated]);
    }
    assert_eq!(quarantined, [part(9)]);
    assert_eq!(
        check(&mut quarantine, &[COMMON, SOUND, 8], true, at(3000)),
        Verdict::Pass
    );
}

#[test]
fn a_part_that_has_succeeded_is_not_blamed_for_engines_that_end_at_the_same_moment() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&prompt(&[COMMON, SOUND, 50]), at(0));
    for number in 0..20 {
        let time = at(100 + u64::from(number) * 5);
        let own = 100 + u64::from(number);
        assert_eq!(
            crash(&mut quarantine, number, time, &[&[COMMON, SOUND, own]]),
            []
        );
    }
    quarantine.record_success(&prompt(&[COMMON, SOUND, 51]), at(1000));
    for number in 0..20 {
        let time = at(5000 + u64::from(number) * 5);
        let own = 200 + u64::from(number);
        assert_eq!(
            crash(&mut quarantine, 50 + number, time, &[&[COMMON, SOUND, own]]),
            []
        );
    }
}

#[test]
fn a_prompt_that_many_send_is_not_blamed_for_engines_that_end_at_the_same_moment() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&prompt(&[COMMON, 9]), at(0));
    for number in 0..20 {
        let time = at(100 + u64::from(number) * 5);
        assert_eq!(crash(&mut quarantine, number, time, &[&[COMMON, 9]]), []);
    }
}

/// All engines crashed again and again, so that no request succeeded, and a part that all share was refused for a minute.
#[test]
fn a_part_that_has_succeeded_is_soon_tried_again() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&prompt(&[COMMON, 50]), at(0));
    let mut time = at(0);
    for number in 0..6 {
        time = at(1000 + u64::from(number) * 1000);
        let own = 100 + u64::from(number);
        let quarantined = crash(&mut quarantine, number, time, &[&[COMMON, own]]);
        let is_last = number == 5;
        assert_eq!(quarantined.contains(&part(COMMON)), is_last, "{number}");
    }
    let time = time + ms(3000);
    let trial = Verdict::Trial(part(COMMON));
    assert_eq!(check(&mut quarantine, &[COMMON, 9], true, time), trial);
    quarantine.record_success(&prompt(&[COMMON, 9]), time);
    assert_eq!(
        check(&mut quarantine, &[COMMON, 8], false, time),
        Verdict::Pass
    );
}

/// Quarantines `CRASHING`, which had succeeded before. Returns the end of its first term.
fn quarantine_doubtful(quarantine: &mut Quarantine) -> Time {
    quarantine.record_success(&prompt(&[COMMON, CRASHING, 50]), at(0));
    let mut time = at(0);
    for number in 0..6 {
        time = at(1000 + u64::from(number) * 1000);
        quarantine.record_success(&prompt(&[COMMON, SOUND, 51]), time.saturating_sub(ms(1)));
        let own = 100 + u64::from(number);
        let quarantined = crash(quarantine, number, time, &[&[COMMON, CRASHING, own]]);
        assert_eq!(quarantined.contains(&part(CRASHING)), number == 5);
    }
    time + ms(3000)
}

/// Lets the first trial of `CRASHING` crash an engine. Returns the next term.
fn fail_trial(quarantine: &mut Quarantine, time: Time) -> Duration {
    let ids = [COMMON, CRASHING, 9];
    crash(quarantine, 30, time, &[&ids]);
    match check(quarantine, &ids, true, time) {
        Verdict::Refuse(refused, term) if refused == part(CRASHING) => term,
        verdict => panic!("{verdict:?}"),
    }
}

#[test]
fn a_part_whose_trial_fails_while_others_succeed_gets_the_full_term() {
    let mut quarantine = Quarantine::default();
    let end = quarantine_doubtful(&mut quarantine);
    // A host that has only heard of the quarantine decides the same.
    let mut other = Quarantine::default();
    let heard_at = end.saturating_sub(ms(1000));
    for it in quarantine.notices(heard_at) {
        other.adopt(it, heard_at);
    }
    for it in [&mut quarantine, &mut other] {
        it.record_success(&prompt(&[COMMON, SOUND, 52]), end.saturating_sub(ms(500)));
        assert_eq!(fail_trial(it, end + ms(100)), TERM);
    }
}

/// Prompts need not share a part to show that the engines are sound.
#[test]
fn a_first_part_whose_trial_fails_while_others_succeed_gets_the_full_term() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&prompt(&[CRASHING, 50]), at(0));
    let mut time = at(0);
    for number in 0..6 {
        time = at(1000 + u64::from(number) * 1000);
        quarantine.record_success(&prompt(&[COMMON, 51]), time.saturating_sub(ms(1)));
        let own = 100 + u64::from(number);
        let prompts: [&[u64]; 2] = [&[CRASHING, own], &[COMMON, own + 10]];
        crash(&mut quarantine, number, time, &prompts);
    }
    let end = time + ms(3000);
    quarantine.record_success(&prompt(&[COMMON, 52]), end);
    crash(&mut quarantine, 30, end + ms(100), &[&[CRASHING, 9]]);
    let refused = Verdict::Refuse(part(CRASHING), TERM);
    assert_eq!(
        check(&mut quarantine, &[CRASHING, 9], true, end + ms(100)),
        refused
    );
}

#[test]
fn a_part_whose_trial_fails_while_nothing_succeeds_is_soon_tried_again() {
    let mut quarantine = Quarantine::default();
    let end = quarantine_doubtful(&mut quarantine);
    assert_eq!(fail_trial(&mut quarantine, end + ms(100)), ms(6000));
}

#[test]
fn a_part_whose_trial_fails_while_other_requests_crash_engines_is_soon_tried_again() {
    let mut quarantine = Quarantine::default();
    let end = quarantine_doubtful(&mut quarantine);
    let time = end.saturating_sub(ms(1000));
    crash(&mut quarantine, 20, time, &[&[COMMON, SOUND, 60]]);
    quarantine.record_success(&prompt(&[COMMON, SOUND, 61]), end);
    assert_eq!(fail_trial(&mut quarantine, end + ms(100)), ms(6000));
}

#[test]
fn crashes_that_a_quarantined_part_explains_count_against_no_other() {
    let mut quarantine = quarantine_crashing();
    for number in 10..20 {
        let time = at(3000 + u64::from(number) * 300);
        let prompts: [&[u64]; 2] = [&[COMMON, CRASHING, 5], &[COMMON, 4, 6]];
        assert_eq!(crash(&mut quarantine, number, time, &prompts), []);
    }
    assert_eq!(
        check(&mut quarantine, &[COMMON, 4, 7], true, at(10_000)),
        Verdict::Pass
    );
}

#[test]
fn one_host_tries_a_part_again_and_a_crash_doubles_the_term() {
    let mut quarantine = quarantine_crashing();
    let ids = [COMMON, CRASHING, 9];
    let end = at(2500) + TERM;
    let is_refused = |it| matches!(it, Verdict::Refuse(..));
    assert!(is_refused(check(
        &mut quarantine,
        &ids,
        true,
        end.saturating_sub(ms(1))
    )));
    assert!(is_refused(check(&mut quarantine, &ids, false, end)));
    assert_eq!(
        check(&mut quarantine, &ids, true, end),
        Verdict::Trial(part(CRASHING))
    );
    assert!(is_refused(check(&mut quarantine, &ids, true, end + ms(1))));
    let crash_time = end + ms(500);
    let quarantined = crash(&mut quarantine, 30, crash_time, &[&ids]);
    assert_eq!(quarantined, [part(CRASHING)]);
    let refused = Verdict::Refuse(part(CRASHING), TERM * 2);
    assert_eq!(check(&mut quarantine, &ids, true, crash_time), refused);
}

/// A host learned late that a request with the part had been at an engine when it crashed.
#[test]
fn a_crash_from_before_the_end_of_a_term_does_not_renew_it() {
    let mut quarantine = quarantine_crashing();
    let time = at(2500) + TERM + ms(100);
    let ids = [COMMON, CRASHING, 9];
    let engine = Incarnation {
        engine: 0,
        started_at: 1,
    };
    quarantine.record_crash(engine, &prompt(&ids), at(500), time);
    assert_eq!(quarantine.judge(time), []);
    let trial = Verdict::Trial(part(CRASHING));
    assert_eq!(check(&mut quarantine, &ids, true, time), trial);
}

#[test]
fn a_success_ends_the_quarantine_here_and_at_other_hosts() {
    let mut quarantine = quarantine_crashing();
    let mut other = quarantine.clone();
    let ids = [COMMON, CRASHING, 9];
    let time = at(2500) + TERM;
    assert_eq!(
        quarantine.record_success(&prompt(&ids), time),
        [part(CRASHING)]
    );
    assert_eq!(check(&mut quarantine, &ids, false, time), Verdict::Pass);
    assert!(other.record_remote_success(part(CRASHING), time, time));
    assert_eq!(check(&mut other, &ids, false, time), Verdict::Pass);
}

#[test]
fn a_quarantine_ends_by_itself_if_no_request_comes_to_be_tried() {
    let mut quarantine = quarantine_crashing();
    let time = at(2500) + TERM * 2;
    assert_eq!(quarantine.len(time), 0);
    assert_eq!(
        check(&mut quarantine, &[COMMON, CRASHING, 9], false, time),
        Verdict::Pass
    );
}

#[test]
fn a_host_adopts_a_quarantine_unless_the_part_has_succeeded_since() {
    let notice = |age| Notice {
        part: part(CRASHING),
        age,
        length: TERM,
    };
    let mut young = Quarantine::default();
    assert_eq!(young.adopt(notice(ms(5000)), at(10_000)), Adoption::New);
    assert_eq!(young.adopt(notice(ms(5200)), at(10_200)), Adoption::Known);
    let refused = Verdict::Refuse(part(CRASHING), TERM.saturating_sub(ms(5200)));
    assert_eq!(
        check(&mut young, &[COMMON, CRASHING, 9], true, at(10_200)),
        refused
    );
    let mut other = Quarantine::default();
    other.record_success(&prompt(&[COMMON, CRASHING, 9]), at(7000));
    let disproved = Adoption::Disproved(ms(3000));
    assert_eq!(other.adopt(notice(ms(5000)), at(10_000)), disproved);
    assert_eq!(other.adopt(notice(ms(2000)), at(10_000)), Adoption::New);
}

#[test]
fn two_hosts_do_not_renew_a_term_that_has_ended_for_each_other() {
    let mut first = quarantine_crashing();
    let mut second = Quarantine::default();
    let mut time = at(2600);
    while time < at(2500) + TERM * 3 {
        let (from, to) = (first.notices(time), time + ms(20));
        for it in from {
            second.adopt(it, to);
        }
        let (from, to) = (second.notices(to), to + ms(20));
        for it in from {
            first.adopt(it, to);
        }
        time += ms(200);
    }
    assert_eq!((first.len(time), second.len(time)), (0, 0));
}

#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..2000_u32 {
        let time = at(u64::from(number) * 300);
        let id = 1000 + u64::from(number / 3);
        crash(&mut quarantine, number, time, &[&[id, 7]]);
        quarantine.record_success(&prompt(&[100_000 + u64::from(number), 5]), time);
    }
    assert!(quarantine.len(at(600_000)) <= 256);
    let time = at(600_000);
    assert!(quarantine.notices(time).len() <= 256);
}

/// Records and judges the crash of an engine with these suspects. Returns the newly quarantined parts.
fn crash_of(
    quarantine: &mut Quarantine,
    engine: u32,
    time: Time,
    suspects: &[Suspect],
) -> Vec<PartId> {
    let engine = Incarnation {
        engine,
        started_at: 1,
    };
    quarantine.record_crash(engine, suspects, time, time);
    quarantine.judge(time)
}

/// Suspects of a request without a prompt.
fn whole(content: u64) -> Vec<Suspect> {
    vec![Suspect::whole(PartId(content))]
}

#[test]
fn a_whole_request_is_blamed_only_if_no_part_of_its_prompt_may_be() {
    let mut quarantine = Quarantine::default();
    let repeated = [prompt(&[COMMON, 7]), whole(99)].concat();
    let mut quarantined = Vec::new();
    for number in 0..3 {
        let time = at(1000 * u64::from(number));
        quarantined.extend(crash_of(&mut quarantine, number, time, &repeated));
    }
    assert_eq!(quarantined, [part(COMMON)]);
}

/// Attempts of one request crashed several engines, and its quarantine kept the part from being found.
#[test]
fn a_quarantined_request_does_not_hide_a_part_that_had_succeeded() {
    let mut quarantine = Quarantine::default();
    let prompt = prompt(&[COMMON, 7]);
    quarantine.record_success(&prompt, at(0));
    let mut quarantined = Vec::new();
    for number in 0..6 {
        let suspects = [prompt.clone(), whole(u64::from(number / 3))].concat();
        let time = at(1000 * u64::from(number) + 100);
        quarantined.extend(crash_of(&mut quarantine, number, time, &suspects));
    }
    assert!(quarantined.contains(&part(COMMON)), "{quarantined:?}");
}

#[test]
fn a_plain_request_is_refused_after_three_crashes_and_others_are_not() {
    let mut quarantine = Quarantine::default();
    let mut quarantined = Vec::new();
    for number in 0..3 {
        let suspects = [whole(1), whole(u64::from(number) + 10)].concat();
        let time = at(1000 * u64::from(number));
        quarantined.extend(crash_of(&mut quarantine, number, time, &suspects));
    }
    assert_eq!(quarantined, [PartId(1)]);
    let mut check = |content| quarantine.check(&whole(content), |_| true, at(3000));
    assert!(matches!(check(1), Verdict::Refuse(PartId(1), _)));
    assert_eq!(check(10), Verdict::Pass);
    assert_eq!(check(2), Verdict::Pass);
}
