//! Handles to the processes of a fleet that tests control.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Serialize, de::DeserializeOwned};

use super::process::Process;
use crate::{client, link};

/// An entry host of the fleet.
#[derive(Debug)]
pub struct Entry {
    /// The name of the host.
    pub name: String,
    /// The failure domain of the host.
    pub domain: String,
    /// The peer address, which stays the same across restarts.
    pub peers: SocketAddr,
    pub(super) settings: PathBuf,
    pub(super) process: Process,
    pub(super) link: Option<link::Server>,
}

impl Entry {
    /// Returns the link to the platform, or `None` if the fleet was started without links.
    pub fn link(&self) -> Option<&link::Server> {
        self.link.as_ref()
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Returns the process.
    pub fn process(&self) -> &Process {
        &self.process
    }
}

/// An upstream of the fleet: an engine or an instance of a plain service.
#[derive(Debug)]
pub struct Upstream {
    /// The name of the host.
    pub name: String,
    /// The failure domain of the host.
    pub domain: String,
    pub(super) process: Process,
}

impl Upstream {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Returns the process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Sets a switch. Its type must be the one of this kind of stand-in.
    pub fn set(&self, switch: &impl Serialize) -> Result<(), client::Failure> {
        client::set_switch(self.address(), "/control", switch)
    }

    /// Reads the counters. Their type must be the one of this kind of stand-in.
    pub fn counts<T: DeserializeOwned>(&self) -> Result<T, client::Failure> {
        client::read_counts(self.address(), "/control")
    }
}
