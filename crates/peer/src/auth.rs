//! Authentication of datagrams and connections with HMAC-SHA-256 under the cluster key.

use hmac::{Hmac, KeyInit, Mac};
use kernel::permit::Holder;
use sha2::Sha256;

/// Length in bytes of an authentication tag.
pub(crate) const TAG_BYTES: usize = 32;

/// Length of a nonce in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// The purpose of a tag. It is the first byte that the tag covers, so that a tag made for one
/// purpose is invalid for every other.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Datagram = 1,
    ClientProof = 2,
    ServerProof = 3,
}

/// The cluster key.
#[derive(Clone)]
pub(crate) struct Key(Hmac<Sha256>);

impl Key {
    pub fn new(bytes: &[u8]) -> Self {
        Self(Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length"))
    }

    /// Starts a MAC. The purpose is the first byte that it covers.
    fn start_mac(&self, purpose: Purpose) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[purpose as u8]);
        mac
    }

    /// Returns a datagram that consists of the payload's tag and the payload.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let mut mac = self.start_mac(Purpose::Datagram);
        mac.update(payload);
        let mut datagram = mac.finalize().into_bytes().to_vec();
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Returns the payload of a datagram, or `None` if its tag is invalid.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, payload) = datagram.split_at_checked(TAG_BYTES)?;
        let mut mac = self.start_mac(Purpose::Datagram);
        mac.update(payload);
        mac.verify_slice(tag).ok()?;
        Some(payload)
    }

    /// Returns the MAC of the connecting host, over both nonces and the host's incarnation and
    /// name.
    fn client_mac(&self, nonces: &Nonces, member: &Holder) -> Hmac<Sha256> {
        let mut mac = self.start_mac(Purpose::ClientProof);
        mac.update(&nonces.server);
        mac.update(&nonces.client);
        mac.update(&member.incarnation.to_be_bytes());
        mac.update(member.host.as_str().as_bytes());
        mac
    }

    /// Returns the MAC of the accepting host, over both nonces.
    fn server_mac(&self, nonces: &Nonces) -> Hmac<Sha256> {
        let mut mac = self.start_mac(Purpose::ServerProof);
        mac.update(&nonces.server);
        mac.update(&nonces.client);
        mac
    }

    /// Returns the proof of the connecting host.
    pub fn prove_client(&self, nonces: &Nonces, member: &Holder) -> Vec<u8> {
        self.client_mac(nonces, member)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Checks the proof of the connecting host.
    pub fn check_client(&self, nonces: &Nonces, member: &Holder, proof: &[u8]) -> Validity {
        Validity::of(self.client_mac(nonces, member), proof)
    }

    /// Returns the proof of the accepting host.
    pub fn prove_server(&self, nonces: &Nonces) -> Vec<u8> {
        self.server_mac(nonces).finalize().into_bytes().to_vec()
    }

    /// Checks the proof of the accepting host.
    pub fn check_server(&self, nonces: &Nonces, proof: &[u8]) -> Validity {
        Validity::of(self.server_mac(nonces), proof)
    }
}

/// Result of checking a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Validity {
    Valid,
    Invalid,
}

impl Validity {
    fn of(mac: Hmac<Sha256>, proof: &[u8]) -> Self {
        match mac.verify_slice(proof) {
            Ok(()) => Self::Valid,
            Err(_) => Self::Invalid,
        }
    }
}

/// The nonces of both ends of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nonces {
    pub server: [u8; NONCE_BYTES],
    pub client: [u8; NONCE_BYTES],
}

#[cfg(test)]
mod tests;
