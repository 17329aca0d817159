//! Reads the fields of YAML maps and reports each problem with its position.

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use crate::{
    node::{Entry, Node, Value},
    problem::{Position, Sink},
};

/// The known fields of one YAML map.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    subject: String,
    shape: Shape,
    entries: BTreeMap<&'a str, &'a Entry>,
}

/// The shape of a node. If the node is not a map, this is the only problem reported; the missing
/// fields are not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shape {
    Map(Position),
    Other,
}

impl Shape {
    fn of(node: &Node) -> Self {
        match node.value {
            Value::Map(_) | Value::Null => Self::Map(node.position),
            Value::List(_) | Value::Scalar(_) => Self::Other,
        }
    }
}

impl<'a> Fields<'a> {
    /// Reads a map with the fields `known`. `subject` is the phrase for what the map describes in
    /// messages, such as `service "a"`. Other fields and duplicates are reported.
    pub fn read(sink: &mut Sink, subject: &str, node: &'a Node, known: &[&str]) -> Self {
        let mut fields = Self {
            subject: subject.to_owned(),
            shape: Shape::of(node),
            entries: BTreeMap::new(),
        };
        for entry in map_entries(sink, subject, node) {
            if !known.contains(&entry.key.as_str()) {
                let known = known.join(", ");
                let message = format!(
                    "unknown field {:?} of {subject}: the fields are {known}",
                    entry.key
                );
                sink.report(entry.position, message);
                continue;
            }
            fields.add(sink, entry);
        }
        fields
    }

    /// Adds an entry, or reports the key as a duplicate.
    fn add(&mut self, sink: &mut Sink, entry: &'a Entry) {
        let Some(first) = self.entries.get(entry.key.as_str()) else {
            self.entries.insert(&entry.key, entry);
            return;
        };
        let subject = &self.subject;
        let message = format!(
            "field {:?} of {subject} is given twice, first at {}",
            entry.key, first.position
        );
        sink.report(entry.position, message);
    }

    /// Returns the phrase for what the map describes.
    pub fn subject(&self) -> &str {
        &self.subject
    }

    /// Returns the entry of a field.
    pub fn entry(&self, name: &str) -> Option<&'a Entry> {
        self.entries.get(name).copied()
    }

    /// Returns the value of a field, or `None` if the field is missing.
    pub fn value(&self, name: &str) -> Option<&'a Node> {
        self.entry(name).map(|it| &it.value)
    }

    /// Parses a scalar field. Returns `None` if the field is missing. If the field is invalid,
    /// reports a problem and returns `None`.
    pub fn optional<T, E: Display>(
        &self,
        sink: &mut Sink,
        name: &str,
        parse: fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        let node = self.value(name)?;
        let subject = format!("{name} of {}", self.subject);
        parse_scalar(sink, &subject, node, parse)
    }

    /// Parses a scalar field that must be present. If the field is missing or invalid, reports a
    /// problem and returns `None`.
    pub fn required<T, E: Display>(
        &self,
        sink: &mut Sink,
        name: &str,
        parse: fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        if self.entry(name).is_none() {
            self.report_missing(sink, name);
            return None;
        }
        self.optional(sink, name, parse)
    }

    fn report_missing(&self, sink: &mut Sink, name: &str) {
        if let Shape::Map(position) = self.shape {
            sink.report(
                position,
                format!("{} has no field {name:?}, which is required", self.subject),
            );
        }
    }
}

/// Parses a scalar. `subject` is the phrase for the scalar in messages. If the scalar is invalid,
/// reports a problem and returns `None`.
pub fn parse_scalar<T, E: Display>(
    sink: &mut Sink,
    subject: &str,
    node: &Node,
    parse: fn(&str) -> Result<T, E>,
) -> Option<T> {
    let Value::Scalar(text) = &node.value else {
        let kind = node.value.kind();
        sink.report(
            node.position,
            format!("{subject} must be a scalar, not {kind}"),
        );
        return None;
    };
    match parse(text) {
        Ok(value) => Some(value),
        Err(error) => {
            sink.report(node.position, format!("{subject}: {error}"));
            None
        }
    }
}

/// Parses a scalar by its [`FromStr`] implementation.
pub fn from_str<T: FromStr>(text: &str) -> Result<T, T::Err> {
    text.parse()
}

/// Returns the entries of a map. An empty value counts as a map without entries. Any other value is
/// reported as a problem.
pub fn map_entries<'a>(sink: &mut Sink, subject: &str, node: &'a Node) -> &'a [Entry] {
    match &node.value {
        Value::Map(entries) => entries,
        Value::Null => &[],
        other => {
            let kind = other.kind();
            sink.report(
                node.position,
                format!("{subject} must be a map, not {kind}"),
            );
            &[]
        }
    }
}

/// Returns the items of a list. An empty value counts as a list without items. Any other value is
/// reported as a problem.
pub fn list_items<'a>(sink: &mut Sink, subject: &str, node: &'a Node) -> &'a [Node] {
    match &node.value {
        Value::List(items) => items,
        Value::Null => &[],
        other => {
            let kind = other.kind();
            sink.report(
                node.position,
                format!("{subject} must be a list, not {kind}"),
            );
            &[]
        }
    }
}

/// Parses the keys of a map as names. `kind` is the phrase for a named item in messages. Invalid
/// and duplicate names are reported and left out.
pub fn parse_names<'a, N>(sink: &mut Sink, kind: &str, entries: &'a [Entry]) -> Vec<(N, &'a Entry)>
where
    N: Clone + FromStr + Ord,
    N::Err: Display,
{
    let mut positions = BTreeMap::new();
    let mut named_entries = Vec::new();
    for entry in entries {
        let name: N = match entry.key.parse() {
            Ok(name) => name,
            Err(error) => {
                sink.report(entry.position, format!("{kind} {:?}: {error}", entry.key));
                continue;
            }
        };
        if let Some(first) = positions.get(&name) {
            let message = format!("{kind} {:?} is declared twice, first at {first}", entry.key);
            sink.report(entry.position, message);
            continue;
        }
        positions.insert(name.clone(), entry.position);
        named_entries.push((name, entry));
    }
    named_entries
}
