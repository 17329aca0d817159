//! What the switches of several stand-ins share.

use serde::{Deserialize, Serialize};

/// Whether something is switched on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Toggle {
    /// It is on.
    On,
    /// It is off.
    #[default]
    Off,
}

impl Toggle {
    /// Whether it is on.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

/// How a stand-in is out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It is not out.
    #[default]
    None,
    /// It answers 503.
    Refuse,
    /// It closes connections without an answer and does nothing.
    Break,
    /// It takes calls, does nothing and never answers.
    Hang,
}
