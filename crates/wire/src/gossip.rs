//! Encoding and decoding of gossip datagrams.

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use member::{
    Message, entry,
    message::{Body, Delta, Entry, Line, Update},
    record::{Intent, Record, Standing},
};

use crate::{
    Invalid, PROTOCOL,
    call::{read_holder, write_holder},
    check_protocol, comfreywing_capnp as schema,
    text::{read_address, read_field, read_name, read_text},
};

/// The maximum size of an encoded message. With the authentication tag and the headers, a datagram
/// fits into an Ethernet frame of 1500 bytes without fragmentation.
pub const MAX_BYTES: usize = 1400;

/// The maximum number of 8-byte words that may be read while a message is decoded.
const MAX_WORDS: usize = 4096;

/// The maximum nesting depth of a message.
const MAX_NESTING_DEPTH: i32 = 8;

/// Encodes a message.
pub fn encode(message: &Message) -> Result<Vec<u8>, Invalid> {
    let mut builder = Builder::new_default();
    write(message, builder.init_root());
    let mut bytes = Vec::with_capacity(MAX_BYTES);
    serialize_packed::write_message(&mut bytes, &builder)?;
    if bytes.len() > MAX_BYTES {
        return Err(Invalid::TooLong("gossip"));
    }
    Ok(bytes)
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<Message, Invalid> {
    if bytes.len() > MAX_BYTES {
        return Err(Invalid::TooLong("gossip"));
    }
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    options.nesting_limit(MAX_NESTING_DEPTH);
    let reader = serialize_packed::read_message(bytes, options)?;
    read(reader.get_root::<schema::gossip::Reader<'_>>()?)
}

fn list_length(length: usize) -> u32 {
    u32::try_from(length).expect("a list of a message has at most 2^32 elements")
}

fn write(message: &Message, mut gossip: schema::gossip::Builder<'_>) {
    gossip.set_protocol(PROTOCOL);
    gossip.set_revision(message.revision);
    write_record(&message.sender, gossip.reborrow().init_sender());
    let mut records = gossip
        .reborrow()
        .init_records(list_length(message.records.len()));
    for (index, record) in (0..).zip(&message.records) {
        write_record(record, records.reborrow().get(index));
    }
    match &message.body {
        Body::News => gossip.set_news(()),
        Body::Ping(number) => gossip.set_ping(*number),
        Body::Ack(number) => gossip.set_ack(*number),
        Body::Relay { number, target } => {
            let mut relay = gossip.init_relay();
            relay.set_number(*number);
            relay.set_target(target.to_string());
        }
        Body::Join => gossip.set_join(()),
        Body::Sync(lines) => write_lines(lines, gossip.init_sync(list_length(lines.len()))),
        Body::Delta(update) => write_update(update, gossip.init_delta()),
    }
}

fn write_record(record: &Record, mut to: schema::record::Builder<'_>) {
    write_holder(&record.holder, to.reborrow().init_holder());
    to.set_refutation(record.refutation);
    to.set_domain(record.domain.as_str());
    to.set_address(record.address.to_string());
    to.set_standing(match record.standing {
        Standing::Alive => schema::record::Standing::Alive,
        Standing::Suspect => schema::record::Standing::Suspect,
        Standing::Down => schema::record::Standing::Down,
    });
    to.set_intent(match record.intent {
        Intent::Staying => schema::record::Intent::Staying,
        Intent::Leaving => schema::record::Intent::Leaving,
    });
}

fn write_lines(lines: &[Line], mut to: capnp::struct_list::Builder<'_, schema::line::Owned>) {
    for (index, line) in (0..).zip(lines) {
        let mut to = to.reborrow().get(index);
        to.set_id(line.id);
        to.set_incarnation(line.incarnation);
        to.set_refutation(line.refutation);
        to.set_version(line.version);
    }
}

fn write_update(update: &Update, mut to: schema::gossip::update::Builder<'_>) {
    let Update {
        deltas,
        requested,
        remaining,
    } = update;
    write_lines(
        requested,
        to.reborrow().init_wanted(list_length(requested.len())),
    );
    let lines = to.reborrow().init_remaining(list_length(remaining.len()));
    write_lines(remaining, lines);
    let mut list = to.init_deltas(list_length(deltas.len()));
    for (index, delta) in (0..).zip(deltas) {
        write_delta(delta, list.reborrow().get(index));
    }
}

fn write_delta(delta: &Delta, mut to: schema::delta::Builder<'_>) {
    write_holder(&delta.owner, to.reborrow().init_owner());
    to.set_after(delta.after);
    to.set_upto(delta.upto);
    let mut entries = to.init_entries(list_length(delta.entries.len()));
    for (index, entry) in (0..).zip(&delta.entries) {
        let mut to = entries.reborrow().get(index);
        to.set_key(entry.key.as_str());
        to.set_version(entry.version);
        match &entry.value {
            Some(value) => to.set_value(value),
            None => to.set_removed(()),
        }
    }
}

fn read(gossip: schema::gossip::Reader<'_>) -> Result<Message, Invalid> {
    check_protocol(gossip.get_protocol())?;
    let records = read_field("records", gossip.get_records())?;
    Ok(Message {
        sender: read_record(read_field("sender", gossip.get_sender())?)?,
        revision: gossip.get_revision(),
        records: records
            .iter()
            .filter_map(read_supported_record)
            .collect::<Result<_, _>>()?,
        body: read_body(gossip)?,
    })
}

fn read_body(gossip: schema::gossip::Reader<'_>) -> Result<Body, Invalid> {
    use schema::gossip::Which;
    let Ok(which) = gossip.which() else {
        // A later release may send a body that this release does not know. The records in the
        // message are still valid.
        return Ok(Body::News);
    };
    Ok(match which {
        Which::News(()) => Body::News,
        Which::Ping(number) => Body::Ping(number),
        Which::Ack(number) => Body::Ack(number),
        Which::Relay(relay) => {
            let relay = read_field("relay", relay)?;
            Body::Relay {
                number: relay.get_number(),
                target: read_address("relay.target", relay.get_target())?,
            }
        }
        Which::Join(()) => Body::Join,
        Which::Sync(lines) => Body::Sync(read_lines(read_field("sync", lines)?)),
        Which::Delta(update) => read_update(read_field("delta", update)?)?,
    })
}

fn read_record(record: schema::record::Reader<'_>) -> Result<Record, Invalid> {
    let standing = record.get_standing();
    let intent = record.get_intent();
    Ok(Record {
        holder: read_holder(read_field("record.holder", record.get_holder())?)?,
        refutation: record.get_refutation(),
        domain: read_name("record.domain", record.get_domain())?,
        address: read_address("record.address", record.get_address())?,
        standing: match standing.map_err(|_| Invalid::Unknown("record.standing"))? {
            schema::record::Standing::Alive => Standing::Alive,
            schema::record::Standing::Suspect => Standing::Suspect,
            schema::record::Standing::Down => Standing::Down,
        },
        intent: match intent.map_err(|_| Invalid::Unknown("record.intent"))? {
            schema::record::Intent::Staying => Intent::Staying,
            schema::record::Intent::Leaving => Intent::Leaving,
        },
    })
}

/// Decodes a record. Returns `None` if a later release uses an enum value that this release does not
/// know.
fn read_supported_record(record: schema::record::Reader<'_>) -> Option<Result<Record, Invalid>> {
    match read_record(record) {
        Err(Invalid::Unknown(_)) => None,
        result => Some(result),
    }
}

fn read_lines(lines: capnp::struct_list::Reader<'_, schema::line::Owned>) -> Vec<Line> {
    let read = |line: schema::line::Reader<'_>| Line {
        id: line.get_id(),
        incarnation: line.get_incarnation(),
        refutation: line.get_refutation(),
        version: line.get_version(),
    };
    lines.iter().map(read).collect()
}

fn read_update(update: schema::gossip::update::Reader<'_>) -> Result<Body, Invalid> {
    let deltas = read_field("delta.deltas", update.get_deltas())?;
    Ok(Body::Delta(Update {
        deltas: deltas.iter().map(read_delta).collect::<Result<_, _>>()?,
        requested: read_lines(read_field("delta.wanted", update.get_wanted())?),
        remaining: read_lines(read_field("delta.remaining", update.get_remaining())?),
    }))
}

fn read_delta(delta: schema::delta::Reader<'_>) -> Result<Delta, Invalid> {
    let entries = read_field("delta.entries", delta.get_entries())?;
    Ok(Delta {
        owner: read_holder(read_field("delta.owner", delta.get_owner())?)?,
        after: delta.get_after(),
        upto: delta.get_upto(),
        entries: entries.iter().map(read_entry).collect::<Result<_, _>>()?,
    })
}

fn read_entry(entry: schema::entry::Reader<'_>) -> Result<Entry, Invalid> {
    use schema::entry::Which;
    let key = read_text("entry.key", entry.get_key())?;
    if key.len() > entry::MAX_KEY_BYTES {
        return Err(Invalid::TooLong("entry.key"));
    }
    let which = entry.which().map_err(|_| Invalid::Unknown("entry"))?;
    let value = match which {
        Which::Removed(()) => None,
        Which::Value(value) => Some(read_field("entry.value", value)?.to_vec()),
    };
    if value
        .as_ref()
        .is_some_and(|it| it.len() > entry::MAX_VALUE_BYTES)
    {
        return Err(Invalid::TooLong("entry.value"));
    }
    Ok(Entry {
        key: key.to_owned(),
        version: entry.get_version(),
        value,
    })
}
