//! Chooses ports that are free for UDP and TCP.
//!
//! They lie below those that the system gives to connections and to listeners that name none, so
//! that no connection takes one between its reservation and its use, or while its process restarts.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// The first port that is chosen from.
const FIRST: u16 = 16_000;

/// How many ports are chosen from.
const PORTS: u16 = 16_000;

/// How often another port is tried.
const TRIES: usize = 200;

/// Ports that this process has tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

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
        match reserve_at(next()) {
            Ok(reserved) => return Ok(reserved),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// The next port to try. Processes begin far apart, and no port comes twice in one soon.
fn next() -> SocketAddr {
    const STRIDE: u32 = 257;
    let tried = TRIED.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(STRIDE);
    let place = start.wrapping_add(tried) % u32::from(PORTS);
    let place = u16::try_from(place).expect("the place is below the number of ports");
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST + place))
}

fn reserve_at(address: SocketAddr) -> io::Result<Reserved> {
    let tcp = TcpListener::bind(address)?;
    let udp = UdpSocket::bind(address)?;
    Ok(Reserved {
        address,
        _tcp: tcp,
        _udp: udp,
    })
}
