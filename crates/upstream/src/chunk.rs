//! Parses the parts of a `chat.completion.chunk` that decide whether it may be delivered.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};

/// The parsed fields of a chunk; all other fields are skipped.
#[derive(Debug, Default)]
pub(crate) struct Chunk<'a> {
    /// Name of the loaded adapter that produced the chunk.
    pub(crate) model: Option<Cow<'a, str>>,
    /// The choices to which the chunk contributes.
    pub(crate) choices: Vec<Choice>,
}

/// One choice of a chunk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Choice {
    pub(crate) index: u32,
    pub(crate) finish: Finish,
}

/// Completion state of a choice: it is finished once it has a finish reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Finish {
    #[default]
    Unfinished,
    Finished,
}

/// A string that is borrowed from the input where it contains no escapes.
struct BorrowableStr<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for BorrowableStr<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct StrVisitor;

        impl<'de> Visitor<'de> for StrVisitor {
            type Value = BorrowableStr<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_borrowed_str<E>(self, value: &'de str) -> Result<Self::Value, E> {
                Ok(BorrowableStr(Cow::Borrowed(value)))
            }

            fn visit_str<E>(self, value: &str) -> Result<Self::Value, E> {
                Ok(BorrowableStr(Cow::Owned(value.to_owned())))
            }
        }

        deserializer.deserialize_str(StrVisitor)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Chunk<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ChunkVisitor;

        impl<'de> Visitor<'de> for ChunkVisitor {
            type Value = Chunk<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a chat.completion.chunk")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut chunk = Chunk::default();
                while let Some(BorrowableStr(key)) = map.next_key()? {
                    match &*key {
                        "model" => chunk.model = Some(map.next_value::<BorrowableStr<'de>>()?.0),
                        "choices" => chunk.choices = map.next_value()?,
                        _ => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(chunk)
            }
        }

        deserializer.deserialize_map(ChunkVisitor)
    }
}

impl<'de> Deserialize<'de> for Choice {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ChoiceVisitor;

        impl<'de> Visitor<'de> for ChoiceVisitor {
            type Value = Choice;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a choice")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice, A::Error> {
                let mut choice = Choice::default();
                while let Some(BorrowableStr(key)) = map.next_key()? {
                    match &*key {
                        "index" => choice.index = map.next_value()?,
                        "finish_reason" => {
                            if map.next_value::<Option<IgnoredAny>>()?.is_some() {
                                choice.finish = Finish::Finished;
                            }
                        }
                        _ => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(choice)
            }
        }

        deserializer.deserialize_map(ChoiceVisitor)
    }
}
