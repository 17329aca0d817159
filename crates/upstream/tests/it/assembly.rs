//! The state of a streamed answer, without I/O.

use std::time::Instant;

use kernel::fault::Kind;
use proptest::{collection::vec, prelude::ProptestConfig, proptest, test_runner::RngSeed};
use upstream::{
    assembly::{Assembly, MAX_BUFFERED_BYTES, MAX_RESUMES, Step},
    sse::{Event, Parser},
};

use crate::support::{PATIENCE, events, loaded};

const COUNT: usize = 4;

/// Splits numbers into what one connection brings each; `d` is the end of the stream.
fn connections(script: &str) -> Vec<Vec<Event>> {
    let all = events(&loaded().to_string(), 0, COUNT);
    let pick = |word: &str| match word {
        "d" => all[COUNT].clone(),
        _ => all[word.parse::<usize>().unwrap()].clone(),
    };
    script
        .split('|')
        .map(|it| parse(&it.split_whitespace().map(pick).collect::<String>()))
        .collect()
}

fn parse(text: &str) -> Vec<Event> {
    let mut events = Vec::new();
    Parser::default()
        .push(text.as_bytes(), &mut events)
        .unwrap();
    events
}

/// Runs the connections one after the other and writes down the steps.
fn run(connections: Vec<Vec<Event>>) -> String {
    let now = Instant::now();
    let mut assembly = Assembly::new(&loaded(), now + PATIENCE);
    let mut seen = Vec::new();
    for connection in connections {
        let mut events = connection.into_iter();
        loop {
            let step = match assembly.step() {
                Step::ReadMore => match events.next() {
                    Some(event) => {
                        assembly.push(event);
                        continue;
                    }
                    None => assembly.handle_disconnect(now, "closed"),
                },
                step => step,
            };
            match step {
                Step::Chunk { index, json } => {
                    assert!(json.contains(&format!("\"t{index}\"")));
                    seen.push(index.to_string());
                }
                Step::Resume { from } => {
                    seen.push(format!("from={from}"));
                    break;
                }
                Step::End => {
                    seen.push("end".to_owned());
                    return seen.join(" ");
                }
                Step::Failed(fault) => {
                    seen.push(fault.kind.to_string());
                    return seen.join(" ");
                }
                Step::ReadMore => unreachable!("a broken connection brings nothing more"),
            }
        }
    }
    seen.join(" ")
}

fn check(script: &str, expected: &str) {
    assert_eq!(run(connections(script)), expected, "{script}");
}

/// Covers order, repetition and lateness, in one connection and across a resume.
#[test]
fn chunks_come_once_and_in_order() {
    check("0 1 2 3 d", "0 1 2 3 end");
    check("3 1 0 2 d", "0 1 2 3 end");
    check("0 0 1 0 1 2 3 3 d", "0 1 2 3 end");
    check("0 1|1 0 2 2 3 d", "0 1 from=2 2 3 end");
    check("d 1 3 2 0", "0 1 2 3 end");
    check("0 2|1 2 3 d", "0 from=1 1 2 3 end");
}

/// Covers a break after every chunk: the stream is asked for from there and becomes whole.
#[test]
fn a_break_at_every_boundary_is_resumed() {
    check("|0 1 2 3 d", "from=0 0 1 2 3 end");
    check("0|1 2 3 d", "0 from=1 1 2 3 end");
    check("0 1|2 3 d", "0 1 from=2 2 3 end");
    check("0 1 2|3 d", "0 1 2 from=3 3 end");
    check("0 1 2 3|d", "0 1 2 3 from=4 end");
    check("0|1|2|3|d", "0 from=1 1 from=2 2 from=3 3 from=4 end");
}

/// Covers answers that look like an end and are none.
#[test]
fn a_cut_answer_is_never_whole() {
    check("0 1 d", "0 1 from=2");
    check("0 1 3 d", "0 1 from=2");
    check("d", "from=0");
    check("0 1 2 3", "0 1 2 3 from=4");
    // The end of a broken connection does not count for the next one.
    check("0 1 d|2 3", "0 1 from=2 2 3 from=4");
}

/// Covers the bound on resumes; a chunk in between lets the count start again.
#[test]
fn resumes_are_bounded() {
    let breaks = "|".repeat(MAX_RESUMES as usize);
    let resumes = "from=0 ".repeat(MAX_RESUMES as usize);
    check(&breaks, &format!("{resumes}upstream-lost"));
    check(
        &format!("0{breaks}1"),
        &format!("0 {}1 from=2", resumes.replace('0', "1")),
    );
}

/// Covers a deadline that has passed when the connection breaks.
#[test]
fn nothing_is_resumed_past_the_deadline() {
    let now = Instant::now();
    let Step::Failed(fault) = Assembly::new(&loaded(), now).handle_disconnect(now, "closed") else {
        panic!("it goes on");
    };
    assert_eq!(fault.kind, Kind::DeadlineAfterStart);
}

/// Covers chunks that can't be shown to be from the loaded adapter, each after one that was.
#[test]
fn chunks_for_another_name_are_withheld() {
    let good = events(&loaded().to_string(), 0, COUNT)[0].clone();
    let names = [
        "signs/bay-summary@7+30",
        "signs/bay-summary@8+31",
        "signs/bay-summary@7",
        "",
    ];
    for name in names {
        let other = &events(name, 0, COUNT)[1];
        assert_eq!(run(vec![parse(&(good.clone() + other))]), "0 wrong-adapter");
    }
    let nameless = "id: 1\ndata: {\"choices\":[]}\n\n";
    assert_eq!(run(vec![parse(&(good + nameless))]), "0 wrong-adapter");
}

/// Covers events that are no numbered chunks.
#[test]
fn bad_events_fail_the_answer() {
    for event in [
        "data: {}\n\n",
        "id: x\ndata: {}\n\n",
        "id: 0\ndata: {\n\n",
        "id: 0\ndata: 1\n\n",
    ] {
        assert_eq!(run(vec![parse(event)]), "bad-answer", "{event}");
    }
    assert_eq!(
        run(vec![parse("event: error\ndata: {}\n\n")]),
        "upstream-lost"
    );
}

/// Covers choices: the answer is whole only when each that began has a finish reason.
#[test]
fn every_choice_has_to_finish() {
    let name = loaded();
    let chunk = |id: u32, index: u32, finish: &str| {
        format!(
            "id: {id}\ndata: {{\"model\":\"{name}\",\"t\":\"t{id}\",\
             \"choices\":[{{\"index\":{index},\"finish_reason\":{finish}}}]}}\n\n"
        )
    };
    let end = "data: [DONE]\n\n";
    let open = chunk(0, 0, "null") + &chunk(1, 1, "null") + &chunk(2, 1, "\"stop\"");
    assert_eq!(run(vec![parse(&(open.clone() + end))]), "0 1 2 from=3");
    let whole = open + &chunk(3, 0, "\"length\"") + end;
    assert_eq!(run(vec![parse(&whole)]), "0 1 2 3 end");
}

/// Covers the bound on chunks that wait for a missing one.
#[test]
fn early_chunks_are_bounded() {
    let name = loaded();
    let padding = "x".repeat(MAX_BUFFERED_BYTES / 8);
    let event = |id: u32| {
        let data = format!(r#"{{"model":"{name}","x":"{padding}","choices":[]}}"#);
        parse(&format!("id: {id}\ndata: {data}\n\n"))
    };
    let piled: Vec<Event> = (1..=8).flat_map(event).collect();
    assert_eq!(run(vec![piled]), "upstream-lost");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Covers random orders, repetitions, losses and breaks, ends of the stream at wrong places
    /// included: what is delivered is always a start of the answer, each chunk once, and the end
    /// comes only after all of it. A last connection that brings everything makes it whole.
    #[test]
    fn any_arrival_gives_a_start_of_the_answer(
        script in vec(vec(0..=COUNT, 0..=8), 0..=3),
    ) {
        let all = events(&loaded().to_string(), 0, COUNT);
        let mut connections: Vec<Vec<Event>> = script
            .iter()
            .map(|it| parse(&it.iter().map(|&index| all[index].clone()).collect::<String>()))
            .collect();
        let seen = run(connections.clone());
        let delivered: Vec<&str> = seen.split(' ').filter(|it| it.parse::<u64>().is_ok()).collect();
        let whole = ["0", "1", "2", "3"];
        assert_eq!(delivered, whole[..delivered.len()], "{seen}");
        assert!(!seen.contains("end") || delivered.len() == COUNT, "{seen}");

        connections.push(parse(&all.concat()));
        let seen = run(connections);
        let delivered = seen.split(' ').filter(|it| it.parse::<u64>().is_ok());
        assert!(delivered.eq(whole) && seen.ends_with("end"), "{seen}");
    }
}
