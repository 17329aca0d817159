//! Reading the fields of a YAML map, with every problem reported at its place.

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use crate::{
    node::{Entry, Node, Value},
    problem::{Position, Sink},
};

/// The fields of one map.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    owner: String,
    shape: Shape,
    entries: BTreeMap<&'a str, &'a Entry>,
}

/// Whether a node is a map at all; if not, that is reported and not also each missing field.
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
    /// Reads a map whose fields are `known`. `owner` names the thing that it describes.
    pub fn read(sink: &mut Sink, owner: &str, node: &'a Node, known: &[&str]) -> Self {
        let mut fields = Self {
            owner: owner.to_owned(),
            shape: Shape::of(node),
            entries: BTreeMap::new(),
        };
        for entry in map(sink, owner, node) {
            if !known.contains(&entry.key.as_str()) {
                let known = known.join(", ");
                let message = format!(
                    "unknown field {:?} of {owner}: the fields are {known}",
                    entry.key
                );
                sink.report(entry.position, message);
                continue;
            }
            fields.add(sink, entry);
        }
        fields
    }

    fn add(&mut self, sink: &mut Sink, entry: &'a Entry) {
        let Some(first) = self.entries.get(entry.key.as_str()) else {
            self.entries.insert(&entry.key, entry);
            return;
        };
        let owner = &self.owner;
        let message = format!(
            "field {:?} of {owner} is given twice, first at {}",
            entry.key, first.position
        );
        sink.report(entry.position, message);
    }

    /// The thing that the map describes.
    pub fn owner(&self) -> &str {
        &self.owner
    }

    /// The entry of a field.
    pub fn entry(&self, name: &str) -> Option<&'a Entry> {
        self.entries.get(name).copied()
    }

    /// The value of a field; nothing if nothing was written.
    pub fn value(&self, name: &str) -> Option<&'a Node> {
        self.entry(name).map(|it| &it.value)
    }

    /// A scalar field, if it is there and right.
    pub fn optional<T, E: Display>(
        &self,
        sink: &mut Sink,
        name: &str,
        parse: fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        let node = self.value(name)?;
        let thing = format!("{name} of {}", self.owner);
        scalar(sink, &thing, node, parse)
    }

    /// A scalar field that must be there.
    pub fn required<T, E: Display>(
        &self,
        sink: &mut Sink,
        name: &str,
        parse: fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        if self.entry(name).is_none() {
            self.report_lack(sink, name);
            return None;
        }
        self.optional(sink, name, parse)
    }

    fn report_lack(&self, sink: &mut Sink, name: &str) {
        if let Shape::Map(place) = self.shape {
            sink.report(place, format!("{} lacks the field {name:?}", self.owner));
        }
    }
}

/// Reads a scalar; `thing` names it.
pub fn scalar<T, E: Display>(
    sink: &mut Sink,
    thing: &str,
    node: &Node,
    parse: fn(&str) -> Result<T, E>,
) -> Option<T> {
    let Value::Scalar(text) = &node.value else {
        let kind = node.value.kind();
        sink.report(
            node.position,
            format!("{thing} must be a scalar, not {kind}"),
        );
        return None;
    };
    match parse(text) {
        Ok(value) => Some(value),
        Err(error) => {
            sink.report(node.position, format!("{thing}: {error}"));
            None
        }
    }
}

/// Reads a word that an enum has.
pub fn word<T: FromStr>(text: &str) -> Result<T, T::Err> {
    text.parse()
}

/// The entries of a map; a map that was left empty has none.
pub fn map<'a>(sink: &mut Sink, thing: &str, node: &'a Node) -> &'a [Entry] {
    match &node.value {
        Value::Map(entries) => entries,
        Value::Null => &[],
        other => {
            let kind = other.kind();
            sink.report(node.position, format!("{thing} must be a map, not {kind}"));
            &[]
        }
    }
}

/// The items of a list; a list that was left empty has none.
pub fn list<'a>(sink: &mut Sink, thing: &str, node: &'a Node) -> &'a [Node] {
    match &node.value {
        Value::List(items) => items,
        Value::Null => &[],
        other => {
            let kind = other.kind();
            sink.report(node.position, format!("{thing} must be a list, not {kind}"));
            &[]
        }
    }
}

/// The entries of a map whose keys are names of things of one kind.
pub fn named<'a, N>(sink: &mut Sink, kind: &str, entries: &'a [Entry]) -> Vec<(N, &'a Entry)>
where
    N: Clone + FromStr + Ord,
    N::Err: Display,
{
    let mut first = BTreeMap::new();
    let mut found = Vec::new();
    for entry in entries {
        let name: N = match entry.key.parse() {
            Ok(name) => name,
            Err(error) => {
                sink.report(entry.position, format!("{kind} {:?}: {error}", entry.key));
                continue;
            }
        };
        if let Some(place) = first.get(&name) {
            let message = format!("{kind} {:?} is declared twice, first at {place}", entry.key);
            sink.report(entry.position, message);
            continue;
        }
        first.insert(name.clone(), entry.position);
        found.push((name, entry));
    }
    found
}
