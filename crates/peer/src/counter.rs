//! What crossed the sockets.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// Totals since the start.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct Totals {
            $($(#[$doc])* pub $name: u64,)*
        }

        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub $name: Counter,)*
        }

        impl Counters {
            pub fn totals(&self) -> Totals {
                Totals { $($name: self.$name.get(),)* }
            }
        }
    };
}

counters! {
    /// Datagrams received from members.
    datagrams_in;
    /// Datagrams sent.
    datagrams_out;
    /// Bytes of datagrams received from members.
    datagram_bytes_in;
    /// Bytes of datagrams sent.
    datagram_bytes_out;
    /// Bytes received on connections.
    stream_bytes_in;
    /// Bytes sent on connections.
    stream_bytes_out;
    /// Calls served.
    calls_in;
    /// Calls made.
    calls_out;
    /// Datagrams dropped because their code was wrong, or unchecked during a flood.
    datagrams_forged;
    /// Datagrams dropped because they were too large or malformed.
    datagrams_malformed;
    /// Datagrams not sent because the socket was full or the message too large.
    datagrams_unsent;
    /// Connections refused or closed because they did not prove the key.
    strangers;
    /// Releases dropped because too many waited or their host died.
    releases_dropped;
}

#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
