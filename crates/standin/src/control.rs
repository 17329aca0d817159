//! Types that the switches of several stand-ins share.

use serde::{Deserialize, Serialize};

/// State of an on/off switch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Toggle {
    /// Enabled.
    On,
    /// Disabled.
    #[default]
    Off,
}

impl Toggle {
    /// Returns whether the switch is on.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

/// Simulated outage of a stand-in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Calls get status 503.
    Refuse,
    /// Connections are closed without a response; calls have no effect.
    Break,
    /// Calls are read but have no effect and never get a response.
    Hang,
}
