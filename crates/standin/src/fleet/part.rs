//! The parts of a fleet that tests act on.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Serialize, de::DeserializeOwned};

use super::process::Process;
use crate::{client, link};

/// An entry host of the fleet.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its peer address, kept over restarts.
    pub peers: SocketAddr,
    pub(super) settings: PathBuf,
    pub(super) process: Process,
    pub(super) link: Option<link::Server>,
}

impl Entry {
    /// Its path to the platform, if the shape has links.
    pub fn link(&self) -> Option<&link::Server> {
        self.link.as_ref()
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Its process.
    pub fn process(&self) -> &Process {
        &self.process
    }
}

/// A stand-in of the fleet.
#[derive(Debug)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    pub(super) process: Process,
}

impl Upstream {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Its process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Sets a switch of its kind.
    pub fn set(&self, switch: &impl Serialize) -> Result<(), client::Failure> {
        client::set(self.address(), "/control", switch)
    }

    /// Reads the counts of its kind.
    pub fn counts<T: DeserializeOwned>(&self) -> Result<T, client::Failure> {
        client::counts(self.address(), "/control")
    }
}
