//! Hands out ports of loopback that are free for both UDP and TCP.
//!
//! A host binds its ports some time after they were chosen, and again after each restart. So that
//! no other test process takes them in between, each process claims whole blocks of ports and holds
//! them until it ends. The ports lie below the ephemeral range of the operating system, so that no
//! outgoing connection or listener on port 0 takes one either.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    path::{Path, PathBuf},
    sync::{LazyLock, Mutex},
    vec,
};

/// The ports of all blocks.
const PORTS: Range<u16> = 11_000..32_000;

/// Number of ports in a block.
pub const BLOCK_SIZE: u16 = 250;

/// Maximum number of blocks of a process. A soak that runs for hours leaves blocks to others.
pub const MAX_BLOCKS: usize = 8;

/// The ports of this process.
static POOL: LazyLock<Mutex<Pool>> = LazyLock::new(|| {
    let directory = std::env::temp_dir().join("comfreywing-ports");
    Mutex::new(Pool::new(directory, PORTS))
});

/// Returns an address with a port on which nothing listens at any loopback address. The port stays
/// with this process until it ends.
pub fn free_addr() -> io::Result<SocketAddr> {
    let mut pool = POOL.lock().expect("the lock of the ports is poisoned");
    pool.take()
}

/// A block of ports that no other process can claim until this is dropped.
#[derive(Debug)]
struct Block {
    ports: Range<u16>,
    _lock: File,
}

impl Block {
    /// Claims a block. The operating system releases the lock when the process ends, even if it is
    /// killed.
    fn claim(directory: &Path, ports: Range<u16>) -> io::Result<Self> {
        let path = directory.join(ports.start.to_string());
        let lock = File::create(path)?;
        lock.try_lock()?;
        Ok(Self { ports, _lock: lock })
    }
}

/// The blocks that were claimed, and their ports that are still to be handed out.
#[derive(Debug)]
pub struct Pool {
    directory: PathBuf,
    candidates: Range<u16>,
    blocks: Vec<Block>,
    untried: vec::IntoIter<u16>,
}

impl Pool {
    /// Creates a pool without blocks. The pools that share the candidates must share the directory,
    /// which has a lock file for each block, named after its first port.
    pub fn new(directory: PathBuf, candidates: Range<u16>) -> Self {
        Self {
            directory,
            candidates,
            blocks: Vec::new(),
            untried: Vec::new().into_iter(),
        }
    }

    /// Returns an address with a port on which nothing listens at any loopback address. Ports are
    /// handed out again once no further block can be claimed, the least recent first.
    pub fn take(&mut self) -> io::Result<SocketAddr> {
        loop {
            if let Some(address) = self.take_untried() {
                return Ok(address);
            }
            let Err(error) = self.claim_block() else {
                continue;
            };
            let ports = self.blocks.iter().flat_map(|it| it.ports.clone());
            self.untried = ports.collect::<Vec<_>>().into_iter();
            return self.take_untried().ok_or(error);
        }
    }

    fn take_untried(&mut self) -> Option<SocketAddr> {
        let port = self.untried.find(|it| is_free(*it))?;
        Some(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
    }

    fn claim_block(&mut self) -> io::Result<()> {
        if self.blocks.len() == MAX_BLOCKS {
            let message = format!("all ports of {MAX_BLOCKS} blocks are in use");
            return Err(io::Error::new(io::ErrorKind::AddrInUse, message));
        }
        fs::create_dir_all(&self.directory)?;
        let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
        for ports in self.block_ports() {
            match Block::claim(&self.directory, ports) {
                Ok(block) => {
                    self.untried = block.ports.clone().collect::<Vec<_>>().into_iter();
                    self.blocks.push(block);
                    return Ok(());
                }
                Err(error) => last_error = error,
            }
        }
        let directory = self.directory.display();
        let message = format!("no block of ports in {directory} can be claimed: {last_error}");
        Err(io::Error::new(last_error.kind(), message))
    }

    /// Returns the ports of each block in the order in which to claim them. The order depends on the
    /// process, because hosts of a killed process may still run for a moment after its blocks are
    /// released.
    fn block_ports(&self) -> impl Iterator<Item = Range<u16>> + use<> {
        let Range { start, end } = self.candidates;
        let count = u32::from((end - start) / BLOCK_SIZE);
        let first = std::process::id() % count;
        (first..count).chain(0..first).map(move |index| {
            let index = u16::try_from(index).expect("the number of blocks fits");
            let start = start + index * BLOCK_SIZE;
            start..start + BLOCK_SIZE
        })
    }
}

/// Returns whether nothing listens on the port. Hosts also use loopback addresses other than
/// 127.0.0.1, so this tries the port at all addresses.
fn is_free(port: u16) -> bool {
    let address = (Ipv4Addr::UNSPECIFIED, port);
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
