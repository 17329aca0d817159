//! Encoding of datagrams between hosts.

use gateway::message::{
    AdapterUsage, EngineLimit, FirstRequests, Heartbeat, LoadRequest, LoadTimes,
    MAX_DATAGRAM_BYTES, Message, ObservedTimes, PromptEnd, StatedLimit, TurnOutcome, TurnReply,
    TurnRequest, Workloads, decode, encode, encode_within_limit, make_adapter_update,
    make_incarnation,
};

#[test]
fn datagrams_with_another_format_version_or_truncated_are_rejected() {
    let message = Message::AdapterUpdates(vec![make_adapter_update("i-1", &"m/a".into(), None)]);
    let datagram = encode(&message);
    assert!(matches!(decode(&datagram), Some(Message::AdapterUpdates(it)) if it.len() == 1));
    let mut other = datagram.clone();
    other[0] = other[0].wrapping_add(1);
    assert!(decode(&other).is_none());
    for length in 0..datagram.len() {
        assert!(decode(&datagram[..length]).is_none(), "{length}");
    }
}

/// Names may be longer than usual, and a list may have any length.
#[test]
fn long_lists_are_split_into_datagrams_within_the_limit() {
    let long_name = format!("m/{}", "a".repeat(200));
    let updates = (0..40).map(|_| make_adapter_update("i-1", &long_name.as_str().into(), None));
    let incarnations: Vec<_> = (0..400_u64)
        .map(|it| make_incarnation(&format!("i-{it}"), u64::MAX - it))
        .collect();
    let usage = (0..24).map(|engine| AdapterUsage {
        engine,
        name: long_name.clone(),
        running: 1,
        started: 1,
    });
    let workloads = Workloads {
        host: "h-1".to_owned(),
        continued: false,
        workloads: (0..300)
            .map(|it| (u32::MAX - it, 1, 3000, u32::MAX))
            .collect(),
    };
    let heartbeat = Heartbeat {
        adapter_usage: usage.collect(),
        ..Heartbeat::default()
    };
    let messages = [
        (Message::AdapterUpdates(updates.collect()), 40),
        (Message::Leaving(incarnations.clone()), 400),
        (Message::Vanished(incarnations), 400),
        (Message::Workloads(workloads), 300),
        (Message::Heartbeat(heartbeat), 24),
    ];
    for (message, count) in messages {
        let datagrams = encode_within_limit(&message);
        assert!(datagrams.len() > 1);
        let mut received = 0;
        for (index, datagram) in datagrams.iter().enumerate() {
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
            received += match decode(datagram).expect("the datagram is valid") {
                Message::AdapterUpdates(it) => it.len(),
                Message::Leaving(it) | Message::Vanished(it) => it.len(),
                Message::Workloads(it) => {
                    assert_eq!(it.continued, index > 0);
                    it.workloads.len()
                }
                Message::Heartbeat(it) => {
                    assert_eq!(it.usage_continued, index > 0);
                    it.adapter_usage.len()
                }
                it => panic!("{it:?}"),
            };
        }
        assert_eq!(received, count);
    }
}

#[test]
fn a_message_that_fits_nowhere_is_not_sent() {
    let request = LoadRequest {
        service: "s".repeat(2000),
        name: String::new(),
        replica_uses: None,
        waiting: 1,
        build: None,
        lost_engine: None,
    };
    assert!(encode_within_limit(&Message::LoadRequest(request)).is_empty());
}

/// The limits of 11,000 engines of which one in a hundred is in need, and a question and its answer.
#[test]
fn limits_and_turns_take_few_bytes() {
    let limit = |it: u32| EngineLimit {
        engine: make_incarnation(&format!("i-{it:010x}"), 1_768_050_493_277),
        stated: StatedLimit {
            id: u32::MAX,
            rate: 2300,
            age_ms: 60_000,
        },
    };
    let limits = Message::Limits((0..110).map(limit).collect());
    let datagrams = encode_within_limit(&limits);
    let bytes: usize = datagrams.iter().map(Vec::len).sum();
    let question = Message::TurnRequest(TurnRequest {
        engine: limit(0).engine,
        stated: Some(limit(0).stated),
        refusal: None,
        number: u32::MAX,
        on_time_ms: 480,
        longest_wait_ms: 2200,
        is_relayed: false,
    });
    let answer = Message::TurnReply(TurnReply {
        number: u32::MAX,
        outcome: TurnOutcome::Granted {
            wait_ms: 2200,
            rate: 2300,
        },
    });
    let sizes = [question, answer].map(|it| encode_within_limit(&it)[0].len());
    println!("{bytes} bytes for 110 limits, {sizes:?} for a question and its answer");
    assert!(bytes <= 110 * 25, "{bytes} bytes");
    assert!(sizes.iter().all(|it| *it <= 36), "{sizes:?}");
}

/// Each load is reported to the steward, and each steward tells all hosts about the loads of a heartbeat interval.
#[test]
fn reports_about_loads_take_few_bytes() {
    let times = || ObservedTimes {
        expected_ms: 290,
        samples: 100_000,
        observations: vec![(Some(290), 320); 16],
    };
    let times = Message::LoadTimes(LoadTimes {
        fetches: times(),
        reloads: times(),
    });
    let report = Message::FirstRequests(FirstRequests {
        engine: u32::MAX,
        name: "model-m0/adapter-9999".to_owned(),
        misses: 2,
        missing_after_ms: 40,
        found_after_ms: Some(90),
    });
    let sizes = [report, times].map(|it| encode_within_limit(&it)[0].len());
    assert!(sizes[0] <= 40 && sizes[1] <= 200, "{sizes:?}");
}

/// While requests wait, each host states the work for its accounts without a quota in tokens.
#[test]
fn reports_of_the_work_for_accounts_take_few_bytes() {
    let work = Message::AccountWork(vec![(u32::MAX, 100_000); 80]);
    let datagrams = encode_within_limit(&work);
    let bytes: usize = datagrams.iter().map(Vec::len).sum();
    assert!(bytes <= 80 * 10, "{bytes} bytes");
    assert_eq!(datagrams.len(), 1);
}

/// Samples of idle engines go out beside those of busy ones, each in a message that is split like the other.
#[test]
fn samples_of_idle_engines_take_few_bytes() {
    let samples = || vec![(u32::MAX, 1, 4000, 400); 60];
    let bytes = [Message::IdleSpeeds(samples()), Message::Speeds(samples())]
        .map(|it| encode_within_limit(&it).iter().map(Vec::len).sum::<usize>());
    assert_eq!(bytes[0], bytes[1]);
    assert!(bytes[0] <= 60 * 12, "{bytes:?}");
}

#[test]
fn the_end_of_a_prompt_takes_few_bytes() {
    let message = Message::PromptEnded(u32::MAX, 100_000, PromptEnd::Dropped);
    let datagram = encode(&message);
    assert!(datagram.len() <= 12, "{} bytes", datagram.len());
    assert!(matches!(
        decode(&datagram),
        Some(Message::PromptEnded(u32::MAX, 100_000, PromptEnd::Dropped))
    ));
}
