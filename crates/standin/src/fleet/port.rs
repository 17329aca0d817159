//! Reserves ports that are free for both UDP and TCP.
//!
//! The ports lie below the ephemeral range of the operating system, so that no outgoing connection
//! or listener on port 0 takes one between its reservation and its use, or while its process
//! restarts.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port of the range.
const FIRST_PORT: u16 = 16_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 16_000;

/// Maximum number of ports that a reservation tries.
const MAX_ATTEMPTS: usize = 200;

/// Number of ports that this process has tried.
static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// A port that is bound until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// The address with the port.
    pub address: SocketAddr,
    _tcp: TcpListener,
    _udp: UdpSocket,
}

/// Reserves a port.
pub fn reserve() -> io::Result<Reservation> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..MAX_ATTEMPTS {
        match reserve_at(next_candidate()) {
            Ok(reservation) => return Ok(reservation),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Returns the next address to try. Each process starts at a different port, so that processes
/// rarely collide, and tries the whole range before it repeats a port.
fn next_candidate() -> SocketAddr {
    /// Distance between the first ports of processes with consecutive ids.
    const STRIDE: u32 = 257;
    let attempts = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(STRIDE);
    let offset = start.wrapping_add(attempts) % u32::from(PORT_COUNT);
    let offset = u16::try_from(offset).expect("the offset is below the number of ports");
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset))
}

fn reserve_at(address: SocketAddr) -> io::Result<Reservation> {
    let tcp = TcpListener::bind(address)?;
    let udp = UdpSocket::bind(address)?;
    Ok(Reservation {
        address,
        _tcp: tcp,
        _udp: udp,
    })
}
