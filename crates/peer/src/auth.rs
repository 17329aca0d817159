//! How a host proves that it belongs to the cluster.

use hmac::{Hmac, KeyInit, Mac};
use kernel::permit::Holder;
use sha2::Sha256;

/// Length of a code in bytes.
pub(crate) const CODE_BYTES: usize = 32;

/// Length of a nonce in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// What a code is for; codes of one use are worthless for another.
#[derive(Clone, Copy, Debug)]
enum Use {
    Datagram = 1,
    Enter = 2,
    Welcome = 3,
}

/// The cluster key.
#[derive(Clone)]
pub(crate) struct Key(Hmac<Sha256>);

impl Key {
    pub fn new(bytes: &[u8]) -> Self {
        Self(Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length"))
    }

    fn start(&self, purpose: Use) -> Hmac<Sha256> {
        let mut code = self.0.clone();
        code.update(&[purpose as u8]);
        code
    }

    /// The code followed by the payload.
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        let mut code = self.start(Use::Datagram);
        code.update(payload);
        let mut datagram = code.finalize().into_bytes().to_vec();
        datagram.extend_from_slice(payload);
        datagram
    }

    /// The payload, if its code is right.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (given, payload) = datagram.split_at_checked(CODE_BYTES)?;
        let mut code = self.start(Use::Datagram);
        code.update(payload);
        code.verify_slice(given).ok()?;
        Some(payload)
    }

    fn enter(&self, nonces: &Nonces, member: &Holder) -> Hmac<Sha256> {
        let mut code = self.start(Use::Enter);
        code.update(&nonces.server);
        code.update(&nonces.client);
        code.update(&member.incarnation.to_be_bytes());
        code.update(member.host.as_str().as_bytes());
        code
    }

    fn welcome(&self, nonces: &Nonces) -> Hmac<Sha256> {
        let mut code = self.start(Use::Welcome);
        code.update(&nonces.server);
        code.update(&nonces.client);
        code
    }

    /// The proof that a connecting host gives.
    pub fn prove_enter(&self, nonces: &Nonces, member: &Holder) -> Vec<u8> {
        self.enter(nonces, member).finalize().into_bytes().to_vec()
    }

    /// Checks the proof of a connecting host.
    pub fn check_enter(&self, nonces: &Nonces, member: &Holder, proof: &[u8]) -> Check {
        Check::of(self.enter(nonces, member), proof)
    }

    /// The proof that the host that was connected to gives.
    pub fn prove_welcome(&self, nonces: &Nonces) -> Vec<u8> {
        self.welcome(nonces).finalize().into_bytes().to_vec()
    }

    /// Checks the proof of the host that was connected to.
    pub fn check_welcome(&self, nonces: &Nonces, proof: &[u8]) -> Check {
        Check::of(self.welcome(nonces), proof)
    }
}

/// Whether a proof is right.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Check {
    Right,
    Wrong,
}

impl Check {
    fn of(code: Hmac<Sha256>, proof: &[u8]) -> Self {
        match code.verify_slice(proof) {
            Ok(()) => Self::Right,
            Err(_) => Self::Wrong,
        }
    }
}

/// The random numbers of both ends of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nonces {
    pub server: [u8; NONCE_BYTES],
    pub client: [u8; NONCE_BYTES],
}

#[cfg(test)]
mod tests;
