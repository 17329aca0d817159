//! What a key belongs to, and how keys are spread over shards.

use std::fmt;

use kernel::{
    name::{Service, Tenant},
    request::Key,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest as _, Sha256};

/// Number of shards. Every host and every release must have the same.
pub const SHARDS: u16 = 64;

/// A key with what it is unique in.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Scope {
    /// The service that is called.
    pub service: Service,
    /// Whose call it is.
    pub tenant: Tenant,
    /// The caller's key.
    pub key: Key,
}

impl Scope {
    /// The digest that stands for the key in records.
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

/// The first half of a SHA-256 digest.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(u128);

impl Digest {
    /// The first half of a digest.
    pub fn from_sha256(digest: &[u8; 32]) -> Self {
        let (half, _) = digest.split_at(16);
        Self(u128::from_be_bytes(
            half.try_into().expect("half of 32 bytes are 16"),
        ))
    }

    /// The shard that a key with this digest belongs to.
    pub fn shard(self) -> u16 {
        u16::try_from(self.0 % u128::from(SHARDS)).expect("there are few shards")
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
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(D::Error::custom)
    }
}
