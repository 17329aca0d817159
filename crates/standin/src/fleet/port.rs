//! Chooses ports that are free for UDP and TCP.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use crate::http::ANY_PORT;

/// How often another port is tried.
const TRIES: usize = 20;

/// A port that is kept from others until this is dropped.
#[derive(Debug)]
pub struct Reserved {
    /// The address with the port.
    pub address: SocketAddr,
    _tcp: TcpListener,
    _udp: UdpSocket,
}

/// Reserves a port.
pub fn reserve() -> io::Result<Reserved> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..TRIES {
        let tcp = TcpListener::bind(ANY_PORT)?;
        let address = tcp.local_addr()?;
        match UdpSocket::bind(address) {
            Ok(udp) => {
                return Ok(Reserved {
                    address,
                    _tcp: tcp,
                    _udp: udp,
                });
            }
            Err(error) => last = error,
        }
    }
    Err(last)
}
