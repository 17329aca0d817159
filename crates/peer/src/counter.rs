//! Counters of traffic and calls.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// Counter values since the start of the service.
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
    /// Datagrams received with a valid tag.
    datagrams_in;
    /// Datagrams sent.
    datagrams_out;
    /// Bytes of datagrams received with a valid tag.
    datagram_bytes_in;
    /// Bytes of datagrams sent.
    datagram_bytes_out;
    /// Bytes received on connections.
    stream_bytes_in;
    /// Bytes sent on connections.
    stream_bytes_out;
    /// Calls received from other hosts.
    calls_in;
    /// Calls made to other hosts, including every attempt to deliver a release.
    calls_out;
    /// Datagrams dropped because their tag was invalid, or without a check during a flood.
    datagrams_forged;
    /// Datagrams dropped because they were too large or malformed.
    datagrams_malformed;
    /// Datagrams not sent because sending failed or the message was too large.
    datagrams_unsent;
    /// Connections that ended or were closed before they were authenticated.
    strangers;
    /// Releases dropped because the queue was full or the host is down or unknown.
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
