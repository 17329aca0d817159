//! Tests for the ports that test processes share.

use std::{
    collections::HashSet,
    fs::{self, File},
    net::TcpListener,
    ops::Range,
    path::PathBuf,
};

use standin::port::{BLOCK_SIZE, MAX_BLOCKS, Pool};

/// The ports lie outside of the range that other test processes use.
const FIRST_PORT: u16 = 8_500;

/// A directory of lock files that is removed when this is dropped.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let name = format!("comfreywing-port-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn pool(&self, blocks: u16) -> Pool {
        let end = FIRST_PORT + blocks * BLOCK_SIZE;
        Pool::new(self.0.clone(), FIRST_PORT..end)
    }

    fn lock(&self, block: u16) -> File {
        let lock = File::create(self.0.join(ports(block).start.to_string())).unwrap();
        lock.try_lock().unwrap();
        lock
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn ports(block: u16) -> Range<u16> {
    let start = FIRST_PORT + block * BLOCK_SIZE;
    start..start + BLOCK_SIZE
}

fn take(pool: &mut Pool, count: u16) -> Vec<u16> {
    (0..count).map(|_| pool.take().unwrap().port()).collect()
}

/// A block that is locked elsewhere is not handed out, even when the pool has used up its own. It can
/// be claimed once the lock is released.
#[test]
fn locked_blocks_are_not_handed_out() {
    let directory = Directory::new("locked");
    let locks = [directory.lock(0), directory.lock(2)];
    let mut pool = directory.pool(3);
    let taken = take(&mut pool, 2 * BLOCK_SIZE);
    assert!(taken.iter().all(|it| ports(1).contains(it)), "{taken:?}");
    drop(locks);
    let taken = take(&mut pool, 3 * BLOCK_SIZE);
    assert!(taken.iter().any(|it| ports(0).contains(it)), "{taken:?}");
    assert!(taken.iter().any(|it| ports(2).contains(it)), "{taken:?}");
}

#[test]
fn a_pool_without_a_block_names_the_directory() {
    let directory = Directory::new("none");
    let _lock = directory.lock(0);
    let error = directory.pool(1).take().unwrap_err().to_string();
    let path = directory.0.display().to_string();
    assert!(error.contains(&path), "{error}");
}

/// Two pools take turns, each for more than a block.
#[test]
fn pools_share_no_port() {
    let directory = Directory::new("pools");
    let mut pools = [directory.pool(4), directory.pool(4)];
    let mut taken = HashSet::new();
    for _ in 0..BLOCK_SIZE + 20 {
        for pool in &mut pools {
            let port = pool.take().unwrap().port();
            assert!(taken.insert(port), "{port} was handed out twice");
        }
    }
}

/// A pool that has taken its maximum of blocks hands out their ports again.
#[test]
fn a_pool_leaves_blocks_to_others() {
    let directory = Directory::new("maximum");
    let blocks = u16::try_from(MAX_BLOCKS + 1).unwrap();
    let mut pool = directory.pool(blocks);
    let taken: HashSet<u16> = take(&mut pool, 2 * blocks * BLOCK_SIZE)
        .into_iter()
        .collect();
    let other = directory.pool(blocks).take().unwrap().port();
    assert!(!taken.contains(&other), "{other} was handed out twice");
}

/// A port that is in use at one loopback address is not handed out.
#[test]
fn ports_in_use_at_another_loopback_address_are_skipped() {
    let directory = Directory::new("addresses");
    let listen = |port| TcpListener::bind(("127.0.0.2", port)).ok();
    let listener = ports(0).find_map(listen).unwrap();
    let used = listener.local_addr().unwrap().port();
    let taken = take(&mut directory.pool(1), 2 * BLOCK_SIZE);
    assert!(!taken.contains(&used), "{used} is in use");
}
