//! Stands for the whole platform: the object API and the host list on one address.
//!
//! The switches of the object API are at `/control`, those of the host list at `/hosts/control`.

use std::{io, net::SocketAddr, sync::Arc};

use crate::{
    hosts::{self, List},
    http::{self, Call, Handler, Reply},
    object::{self, api::Api},
};

#[derive(Debug, Default)]
struct Both {
    api: Arc<Api>,
    list: Arc<List>,
}

impl Handler for Both {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        match call.path.as_str() {
            "/hosts" | "/hosts/control" => self.list.clone().answer(call).await,
            _ => self.api.clone().answer(call).await,
        }
    }
}

/// The platform in this process, on a thread of its own.
#[derive(Debug)]
pub struct Server {
    both: Arc<Both>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start() -> Self {
        Self::listen(http::ANY_PORT).expect("loopback has a free port")
    }

    /// Starts on an address.
    pub fn listen(address: SocketAddr) -> io::Result<Self> {
        let both = Arc::new(Both::default());
        let http = http::Server::start(address, both.clone())?;
        Ok(Self { both, http })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch of the object API.
    pub fn set_objects(&self, switch: object::Switch) {
        self.both.api.set(switch);
    }

    /// Sets a switch of the host list.
    pub fn set_hosts(&self, switch: hosts::Switch) {
        self.both.list.set(switch);
    }

    /// What was asked of the object API so far.
    pub fn object_counts(&self) -> object::Counts {
        self.both.api.counts()
    }
}
