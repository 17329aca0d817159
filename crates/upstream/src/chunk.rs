//! The parts of a chat.completion.chunk that decide whether it may be delivered.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};

/// What is read of a chunk; the rest passes unread.
#[derive(Debug, Default)]
pub(crate) struct Chunk<'a> {
    /// The loaded name that produced it.
    pub(crate) model: Option<Cow<'a, str>>,
    /// How far each choice has come.
    pub(crate) choices: Vec<Choice>,
}

/// One choice of a chunk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Choice {
    pub(crate) index: u32,
    pub(crate) finish: Finish,
}

/// Whether a choice is complete.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Finish {
    #[default]
    Open,
    Complete,
}

struct Text<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Reader;

        impl<'de> Visitor<'de> for Reader {
            type Value = Text<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_borrowed_str<E>(self, value: &'de str) -> Result<Self::Value, E> {
                Ok(Text(Cow::Borrowed(value)))
            }

            fn visit_str<E>(self, value: &str) -> Result<Self::Value, E> {
                Ok(Text(Cow::Owned(value.to_owned())))
            }
        }

        deserializer.deserialize_str(Reader)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Chunk<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Reader;

        impl<'de> Visitor<'de> for Reader {
            type Value = Chunk<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a chat.completion.chunk")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut chunk = Chunk::default();
                while let Some(Text(key)) = map.next_key()? {
                    match &*key {
                        "model" => chunk.model = Some(map.next_value::<Text<'de>>()?.0),
                        "choices" => chunk.choices = map.next_value()?,
                        _ => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(chunk)
            }
        }

        deserializer.deserialize_map(Reader)
    }
}

impl<'de> Deserialize<'de> for Choice {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Reader;

        impl<'de> Visitor<'de> for Reader {
            type Value = Choice;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a choice")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice, A::Error> {
                let mut choice = Choice::default();
                while let Some(Text(key)) = map.next_key()? {
                    match &*key {
                        "index" => choice.index = map.next_value()?,
                        "finish_reason" => {
                            if map.next_value::<Option<IgnoredAny>>()?.is_some() {
                                choice.finish = Finish::Complete;
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

        deserializer.deserialize_map(Reader)
    }
}
