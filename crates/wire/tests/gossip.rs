//! Tests of the encoding of gossip messages.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use kernel::permit::Holder;
use member::{
    Identity, Input, Message, Output, Settings, State, entry,
    message::{Body, Delta, Entry, Line, Update},
    random::Generator,
    record::{Intent, Record, Standing},
};
use wire::{Invalid, comfreywing_capnp::gossip, gossip::decode, gossip::encode};

fn holder(host: &str) -> Holder {
    Holder {
        host: host.parse().unwrap(),
        incarnation: 1_764_800_000_000,
    }
}

fn record(host: &str, standing: Standing, intent: Intent) -> Record {
    Record {
        holder: holder(host),
        refutation: 3,
        domain: "dar-1".parse().unwrap(),
        address: "10.1.2.3:7000".parse().unwrap(),
        standing,
        intent,
    }
}

fn line(id: u64) -> Line {
    Line {
        id,
        incarnation: 2,
        refutation: 3,
        version: 4,
    }
}

fn delta() -> Delta {
    let entry = |key: &str, version, value: Option<&[u8]>| Entry {
        key: key.to_owned(),
        version,
        value: value.map(<[u8]>::to_vec),
    };
    Delta {
        owner: holder("a"),
        after: 4,
        upto: 9,
        entries: vec![entry("engine/1", 6, Some(b"x")), entry("engine/2", 9, None)],
    }
}

fn message(body: Body) -> Message {
    Message {
        sender: record("a", Standing::Alive, Intent::Leaving),
        revision: 77,
        records: vec![
            record("b", Standing::Suspect, Intent::Staying),
            record("c", Standing::Down, Intent::Leaving),
        ],
        body,
    }
}

fn messages() -> Vec<Message> {
    let relay = Body::Relay {
        number: 5,
        target: "[::1]:7000".parse().unwrap(),
    };
    let update = Body::Delta(Update {
        deltas: vec![delta()],
        requested: vec![line(1)],
        remaining: vec![line(2)],
    });
    let bodies = [
        Body::News,
        Body::Ping(7),
        Body::Ack(8),
        relay,
        Body::Join,
        Body::Sync(vec![line(1), line(u64::MAX)]),
        update,
    ];
    bodies.into_iter().map(message).collect()
}

/// Messages of all kinds are unchanged after encoding and decoding.
#[test]
fn messages_are_preserved() {
    for message in messages() {
        let bytes = encode(&message).unwrap();
        assert_eq!(decode(&bytes).unwrap(), message);
    }
}

/// Truncated and corrupted messages are decoded as errors or other messages, without a panic.
#[test]
fn corrupted_messages_do_not_panic() {
    let mut random = Generator::new(11);
    for message in messages() {
        let encoded = encode(&message).unwrap();
        for length in 0..encoded.len() {
            let _ = decode(&encoded[..length]);
        }
        for _ in 0..5_000 {
            let mut bytes = encoded.clone();
            for _ in 0..=random.below(8) {
                let at = random.below(bytes.len());
                bytes[at] = random.draw().to_le_bytes()[0];
            }
            let _ = decode(&bytes);
        }
    }
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..random.below(300))
            .map(|_| random.draw().to_le_bytes()[0])
            .collect();
        let _ = decode(&bytes);
    }
}

/// The error for a malformed field starts with the name of the field. Unsupported protocol versions
/// and oversized messages are rejected.
#[test]
fn errors_name_the_field() {
    let check = |change: fn(gossip::Builder<'_>), expected: &str| {
        let mut builder = Builder::new_default();
        let mut root = builder.init_root::<gossip::Builder<'_>>();
        root.set_protocol(wire::PROTOCOL);
        let mut sender = root.reborrow().init_sender();
        sender.set_domain("dar-1");
        sender.set_address("127.0.0.1:1");
        sender.init_holder().set_host("a");
        change(root);
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &builder).unwrap();
        let outcome = decode(&bytes).err().map(|it| it.to_string());
        let outcome = outcome.unwrap_or_default();
        assert!(outcome.starts_with(expected), "{outcome}");
    };
    check(|_| {}, "");
    check(|mut it| it.set_protocol(0), "protocol version 0");
    check(
        |it| it.get_sender().unwrap().set_domain("A B"),
        "record.domain",
    );
    check(
        |it| it.get_sender().unwrap().set_address("here"),
        "record.address",
    );
    check(|it| it.init_relay().set_target("1.2.3.4"), "relay.target");
    check(
        |it| {
            let delta = it.init_delta().init_deltas(1).get(0);
            delta.init_owner().set_host("");
        },
        "holder.host",
    );
    let oversized = decode(&vec![0; wire::gossip::MAX_BYTES + 1]);
    assert!(matches!(oversized, Err(Invalid::TooLong("gossip"))));
}

/// Additions of a later release do not prevent this release from decoding the rest of a message. The
/// test covers a higher protocol version, an unknown body and an unknown standing.
#[test]
fn messages_of_later_releases_are_decoded() {
    let message = message(Body::Join);
    let packed = encode(&message).unwrap();
    let reader = serialize_packed::read_message(&packed[..], ReaderOptions::new()).unwrap();
    let mut builder = Builder::new_default();
    builder
        .set_root(reader.get_root::<gossip::Reader<'_>>().unwrap())
        .unwrap();
    let mut root: gossip::Builder<'_> = builder.get_root().unwrap();
    root.set_protocol(wire::PROTOCOL + 1);
    let mut unpacked = Vec::new();
    capnp::serialize::write_message(&mut unpacked, &builder).unwrap();
    assert_eq!(decode_unpacked(&unpacked).unwrap(), message);
    // One byte at a time is set to a number larger than any enum or union discriminant.
    let altered: Vec<Message> = (0..unpacked.len())
        .filter_map(|at| {
            let mut unpacked = unpacked.clone();
            unpacked[at] = 200;
            decode_unpacked(&unpacked)
        })
        .collect();
    let has_unknown_body = |it: &&Message| it.body == Body::News && it.records == message.records;
    assert_eq!(
        altered.iter().filter(has_unknown_body).count(),
        2,
        "the two bytes of the body's discriminant"
    );
    let lacks_a_record = |it: &&Message| it.body == message.body && it.records.len() == 1;
    assert_eq!(
        altered.iter().filter(lacks_a_record).count(),
        8,
        "the four bytes of the enums in each record"
    );
}

/// Decodes a message that is not packed.
fn decode_unpacked(bytes: &[u8]) -> Option<Message> {
    let reader = capnp::serialize::read_message(bytes, ReaderOptions::new()).ok()?;
    let mut builder = Builder::new_default();
    builder
        .set_root(reader.get_root::<gossip::Reader<'_>>().ok()?)
        .ok()?;
    let mut packed = Vec::new();
    serialize_packed::write_message(&mut packed, &builder).ok()?;
    decode(&packed).ok()
}

/// All messages of the membership protocol fit into a datagram, even with names and entries of the
/// maximum size.
#[test]
fn messages_fit_into_a_datagram() {
    let now = Instant::now();
    let address = |index: usize| {
        SocketAddr::from(([255, 255, 255, 250], 60_000 + u16::try_from(index).unwrap()))
    };
    let mut random = Generator::new(5);
    let mut states: Vec<State> = (0..24)
        .map(|index| {
            let me = Identity {
                holder: holder(&format!("{index:0>63}")),
                domain: "d".repeat(63).parse().unwrap(),
                address: address(index),
            };
            let mut state = State::new(me, Settings::default(), index as u64);
            state.handle(Input::Seeds(vec![address(0)]), now);
            state
        })
        .collect();
    let mut largest = 0;
    for round in 0..400_u32 {
        let now = now + Duration::from_millis(50) * round;
        for index in 0..states.len() {
            let key = format!("{:0>96}", random.below(20));
            let size = random.below(entry::MAX_VALUE_BYTES + 1);
            let value = Some(vec![0xa5; size]);
            let mut queue = states[index].handle(Input::Publish { key, value }, now);
            queue.extend(states[index].handle(Input::Tick, now));
            // A third of the messages is lost, so that suspicions and failures of hosts are sent too.
            while let Some(output) = queue.pop() {
                let Output::Send { to, message } = output else {
                    continue;
                };
                largest = largest.max(encode(&message).expect("the message fits").len());
                let target = usize::from(to.port()) - 60_000;
                if random.below(3) > 0 {
                    let from = message.sender.address;
                    queue.extend(states[target].handle(Input::Datagram { from, message }, now));
                }
            }
        }
    }
    assert!(
        largest > 800,
        "no large message was sent: {largest} bytes at most"
    );
}
