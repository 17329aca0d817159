//! The scope of idempotency keys and their distribution over shards.

use std::fmt;

use kernel::{
    name::{Service, Tenant},
    request::Key,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest as _, Sha256};

/// The number of shards. It has to be equal on all hosts and in all releases.
pub const SHARDS: u16 = 64;

/// An idempotency key and the scope within which it is unique.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Scope {
    /// The called service.
    pub service: Service,
    /// The client account that makes the call.
    pub tenant: Tenant,
    /// The caller's key.
    pub key: Key,
}

impl Scope {
    /// Returns the digest that identifies the key in records.
    pub fn digest(&self) -> Digest {
        let mut hash = Sha256::new();
        for part in [
            self.service.as_str(),
            self.tenant.as_str(),
            self.key.as_str(),
        ] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Digest::from_sha256(&hash.finalize().into())
    }
}

/// A SHA-256 digest truncated to its first 128 bits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(u128);

impl Digest {
    /// Truncates a SHA-256 digest.
    pub fn from_sha256(digest: &[u8; 32]) -> Self {
        let (half, _) = digest.split_at(16);
        Self(u128::from_be_bytes(
            half.try_into().expect("half of 32 bytes are 16"),
        ))
    }

    /// Returns the number of the shard to which a key with this digest belongs.
    pub fn shard(self) -> u16 {
        u16::try_from(self.0 % u128::from(SHARDS)).expect("the remainder is less than SHARDS")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(D::Error::custom)
    }
}
