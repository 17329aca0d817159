//! YAML as a tree of nodes that know their places. Nothing is checked here but the syntax.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{
    DuplicateKeyPolicy, Location, MergeKeyPolicy, Options, Spanned, budget::BudgetBreach,
};

use crate::problem::{List, Position, Sink};

/// The largest file in bytes.
pub const MAX_FILE_BYTES: usize = 16 << 20;

/// The deepest nesting of lists and maps.
pub const MAX_DEPTH: usize = 16;

/// The most scalars, lists and maps in one file.
const MAX_NODES: usize = 1 << 20;

/// The most parser events in one file; a map or a list takes two.
const MAX_EVENTS: usize = 2 * MAX_NODES;

/// What some editors put before the text.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// A piece of YAML and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Where it begins.
    pub position: Position,
    /// What it is.
    pub value: Value,
}

/// What a node is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// Nothing was written.
    Null,
    /// A scalar, as written in the file.
    Scalar(String),
    /// A list.
    List(Vec<Node>),
    /// A map; keys may repeat.
    Map(Vec<Entry>),
}

impl Value {
    /// The word for messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Scalar(_) => "a scalar",
            Self::List(_) => "a list",
            Self::Map(_) => "a map",
        }
    }
}

/// An entry of a map.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Where the key is.
    pub position: Position,
    /// The value.
    pub value: Node,
}

/// Reads a file's bytes as one YAML document.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Node, List> {
    let sink = Sink::new(file);
    if bytes.len() > MAX_FILE_BYTES {
        return Err(sink.fail(Position::START, oversize_message(bytes.len() as u64)));
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(error) => {
            let place = place_after(&bytes[..error.valid_up_to()]);
            return Err(sink.fail(place, "the file is not UTF-8"));
        }
    };
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    match serde_saphyr::from_str_with_options::<Spanned<Raw>>(text, options()) {
        Ok(raw) => Ok(convert(text, raw)),
        Err(error) => Err(sink.fail(place_of_error(&error), describe(&error))),
    }
}

/// The message about a file of `bytes` bytes, more than [`MAX_FILE_BYTES`].
pub fn oversize_message(bytes: u64) -> String {
    format!("the file has {bytes} bytes, more than {MAX_FILE_BYTES}")
}

fn options() -> Options {
    let budget = serde_saphyr::budget! {
        max_aliases: 0,
        max_anchors: 0,
        max_depth: MAX_DEPTH,
        max_documents: 1,
        max_events: MAX_EVENTS,
        max_nodes: MAX_NODES,
    };
    serde_saphyr::options! {
        budget: budget,
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
    }
}

fn describe(error: &serde_saphyr::Error) -> String {
    let error = error.without_snippet();
    if let serde_saphyr::Error::Budget { breach, .. } = error {
        return describe_breach(breach);
    }
    let text = error.to_string();
    let text = text.lines().next().unwrap_or_default();
    // The place is printed before the message.
    let text = text.split_once(" at line ").map_or(text, |(text, _)| text);
    format!("the file is not valid YAML: {text}")
}

fn describe_breach(breach: &BudgetBreach) -> String {
    match breach {
        BudgetBreach::Aliases { .. } | BudgetBreach::Anchors { .. } => {
            "anchors and aliases are not allowed".to_owned()
        }
        BudgetBreach::Documents { .. } => "the file has more than one document".to_owned(),
        BudgetBreach::Depth { .. } => format!("nesting is deeper than {MAX_DEPTH}"),
        _ => format!("the file is larger than {MAX_NODES} nodes or {MAX_FILE_BYTES} bytes"),
    }
}

fn place_of_error(error: &serde_saphyr::Error) -> Position {
    error.location().map_or(Position::START, place_of)
}

fn place_of(location: Location) -> Position {
    Position {
        line: location.line().max(1),
        column: location.column().max(1),
    }
}

fn place_after(valid: &[u8]) -> Position {
    let text = String::from_utf8_lossy(valid);
    let line = text.matches('\n').count() + 1;
    let column = text.chars().rev().take_while(|it| *it != '\n').count() + 1;
    Position {
        line: line as u64,
        column: column as u64,
    }
}

enum Raw {
    Null,
    Text(String),
    Number(String),
    List(Vec<Spanned<Raw>>),
    Map(Vec<(Spanned<String>, Spanned<Raw>)>),
}

fn convert(source: &str, raw: Spanned<Raw>) -> Node {
    let location = raw.referenced;
    let value = match raw.value {
        Raw::Null => Value::Null,
        Raw::Text(text) => Value::Scalar(text),
        Raw::Number(text) => Value::Scalar(as_written(source, location).unwrap_or(text)),
        Raw::List(items) => {
            let items = items.into_iter().map(|it| convert(source, it));
            Value::List(items.collect())
        }
        Raw::Map(entries) => {
            let entries = entries.into_iter().map(|(key, value)| Entry {
                key: key.value,
                position: place_of(key.referenced),
                value: convert(source, value),
            });
            Value::Map(entries.collect())
        }
    };
    Node {
        position: place_of(location),
        value,
    }
}

/// A number or a truth value as it stands in the file, so that `1.10` does not turn into `1.1`.
fn as_written(source: &str, location: Location) -> Option<String> {
    let span = location.span();
    let start = usize::try_from(span.byte_offset()?).ok()?;
    let len = usize::try_from(span.byte_len()?).ok()?;
    let text = source.get(start..start.checked_add(len)?)?.trim();
    (!text.is_empty()).then(|| text.to_owned())
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("YAML")
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Raw, D::Error> {
        Raw::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Number(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Raw, E> {
        Ok(Raw::Number(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Raw, E> {
        Ok(Raw::Number(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Raw, E> {
        Ok(Raw::Number(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Raw, E> {
        Ok(Raw::Number(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Number(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Text(value.to_owned()))
    }

    fn visit_bytes<E>(self, value: &[u8]) -> Result<Raw, E> {
        Ok(Raw::Text(String::from_utf8_lossy(value).into_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Raw, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Raw::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Raw, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Raw::Map(entries))
    }
}
