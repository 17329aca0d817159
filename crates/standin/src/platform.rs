//! Stand-in for the whole platform: the object API and the host list on one address.
//!
//! `/control` has the switches of the object API, `/hosts/control` those of the host list.

use std::{io, net::SocketAddr, sync::Arc};

use crate::{
    hosts::{self, List},
    http::{self, Call, Handler, Reply},
    object::{self, api::Api},
};

#[derive(Debug, Default)]
struct Platform {
    api: Arc<Api>,
    list: Arc<List>,
}

impl Handler for Platform {
    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        match call.path.as_str() {
            "/hosts" | "/hosts/control" => self.list.clone().answer(call).await,
            _ => self.api.clone().answer(call).await,
        }
    }
}

/// The platform, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    platform: Arc<Platform>,
    http: http::Server,
}

impl Server {
    /// Starts on a free port of loopback.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start() -> Self {
        Self::listen(http::ANY_PORT).expect("loopback has a free port")
    }

    /// Starts on the given address.
    pub fn listen(address: SocketAddr) -> io::Result<Self> {
        let platform = Arc::new(Platform::default());
        let http = http::Server::start(address, platform.clone())?;
        Ok(Self { platform, http })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sets a switch of the object API.
    pub fn set_objects(&self, switch: object::Switch) {
        self.platform.api.set(switch);
    }

    /// Sets a switch of the host list.
    pub fn set_hosts(&self, switch: hosts::Switch) {
        self.platform.list.set(switch);
    }

    /// Returns the counters of the object API.
    pub fn object_counts(&self) -> object::Counts {
        self.platform.api.counts()
    }
}
