//! Parses YAML into a tree of nodes with their positions. Only the syntax and the size limits are
//! checked here.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{
    DuplicateKeyPolicy, Location, MergeKeyPolicy, Options, Spanned, budget::BudgetBreach,
};

use crate::problem::{List, Position, Sink};

/// The maximum size of a file.
pub const MAX_FILE_BYTES: usize = 16 << 20;

/// The maximum nesting depth of lists and maps.
pub const MAX_DEPTH: usize = 16;

/// The maximum number of scalars, lists and maps in a file.
const MAX_NODES: usize = 1 << 20;

/// The maximum number of parser events for a file. A map or a list takes two events.
const MAX_EVENTS: usize = 2 * MAX_NODES;

/// The character that some editors write at the start of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// A YAML value and its position in the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// The position where the value begins.
    pub position: Position,
    /// The value.
    pub value: Value,
}

/// A YAML value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// An empty value or an explicit null.
    Null,
    /// A scalar; a number or a Boolean is kept as written in the file.
    Scalar(String),
    /// A list.
    List(Vec<Node>),
    /// A map. A key may occur more than once.
    Map(Vec<Entry>),
}

impl Value {
    /// Returns the noun phrase that messages use for this kind of value.
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
    /// The position of the key.
    pub position: Position,
    /// The value.
    pub value: Node,
}

/// Parses a file as a single YAML document. `file` is the file name in problems.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Node, List> {
    let sink = Sink::new(file);
    if bytes.len() > MAX_FILE_BYTES {
        return Err(sink.fail(Position::START, oversize_message(bytes.len() as u64)));
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(error) => {
            let position = position_after(&bytes[..error.valid_up_to()]);
            return Err(sink.fail(position, "the file is not UTF-8"));
        }
    };
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    match serde_saphyr::from_str_with_options::<Spanned<RawValue>>(text, parser_options()) {
        Ok(raw) => Ok(to_node(text, raw)),
        Err(error) => Err(sink.fail(error_position(&error), describe_error(&error))),
    }
}

/// Returns the message about a file of `bytes` bytes, which is more than [`MAX_FILE_BYTES`].
pub fn oversize_message(bytes: u64) -> String {
    format!("the file has {bytes} bytes, more than {MAX_FILE_BYTES}")
}

fn parser_options() -> Options {
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

fn describe_error(error: &serde_saphyr::Error) -> String {
    let error = error.without_snippet();
    if let serde_saphyr::Error::Budget { breach, .. } = error {
        return describe_breach(breach);
    }
    let text = error.to_string();
    let text = text.lines().next().unwrap_or_default();
    // The position is printed before the message, so it is removed from the message.
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

fn error_position(error: &serde_saphyr::Error) -> Position {
    error.location().map_or(Position::START, to_position)
}

fn to_position(location: Location) -> Position {
    Position {
        line: location.line().max(1),
        column: location.column().max(1),
    }
}

/// Returns the position that follows the given bytes, which begin at the start of the file.
fn position_after(valid: &[u8]) -> Position {
    let text = String::from_utf8_lossy(valid);
    let line = text.matches('\n').count() + 1;
    let column = text.chars().rev().take_while(|it| *it != '\n').count() + 1;
    Position {
        line: line as u64,
        column: column as u64,
    }
}

/// A value as the YAML deserializer delivers it.
enum RawValue {
    Null,
    String(String),
    /// A number or a Boolean, formatted by the deserializer.
    NumberOrBool(String),
    List(Vec<Spanned<RawValue>>),
    Map(Vec<(Spanned<String>, Spanned<RawValue>)>),
}

fn to_node(source: &str, raw: Spanned<RawValue>) -> Node {
    let location = raw.referenced;
    let value = match raw.value {
        RawValue::Null => Value::Null,
        RawValue::String(text) => Value::Scalar(text),
        RawValue::NumberOrBool(text) => {
            Value::Scalar(source_text(source, location).unwrap_or(text))
        }
        RawValue::List(items) => {
            let items = items.into_iter().map(|it| to_node(source, it));
            Value::List(items.collect())
        }
        RawValue::Map(entries) => {
            let entries = entries.into_iter().map(|(key, value)| Entry {
                key: key.value,
                position: to_position(key.referenced),
                value: to_node(source, value),
            });
            Value::Map(entries.collect())
        }
    };
    Node {
        position: to_position(location),
        value,
    }
}

/// Returns a number or a Boolean as written in the file, so that `1.10` is not changed to `1.1`.
fn source_text(source: &str, location: Location) -> Option<String> {
    let span = location.span();
    let start = usize::try_from(span.byte_offset()?).ok()?;
    let len = usize::try_from(span.byte_len()?).ok()?;
    let text = source.get(start..start.checked_add(len)?)?.trim();
    (!text.is_empty()).then(|| text.to_owned())
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawValueVisitor)
    }
}

struct RawValueVisitor;

impl<'de> Visitor<'de> for RawValueVisitor {
    type Value = RawValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("YAML")
    }

    fn visit_unit<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_none<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<RawValue, D::Error> {
        RawValue::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawValue, E> {
        Ok(RawValue::NumberOrBool(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawValue, E> {
        Ok(RawValue::NumberOrBool(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawValue, E> {
        Ok(RawValue::NumberOrBool(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<RawValue, E> {
        Ok(RawValue::NumberOrBool(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<RawValue, E> {
        Ok(RawValue::NumberOrBool(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawValue, E> {
        Ok(RawValue::NumberOrBool(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawValue, E> {
        Ok(RawValue::String(value.to_owned()))
    }

    fn visit_bytes<E>(self, value: &[u8]) -> Result<RawValue, E> {
        Ok(RawValue::String(
            String::from_utf8_lossy(value).into_owned(),
        ))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<RawValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(RawValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(RawValue::Map(entries))
    }
}
