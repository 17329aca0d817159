//! Path from one host to an engine, which can be cut: channels are reset, and new ones are refused.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, atomic::{AtomicBool, Ordering}},
    time::Duration,
};

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Makes the end of a channel reset it.
pub fn reset_at_end(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let value = [1, 0];
    // SAFETY: the socket is open, and the value has the size that is named.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &raw const value, 8) };
}

#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Starts a path to an engine and returns its address.
pub fn start(engine: SocketAddr, cut: &Cut) -> SocketAddr {
    let mut listener = Some(TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    let addr = listener.as_ref().and_then(|it| it.local_addr().ok()).expect("the socket is bound");
    let cut = cut.clone();
    std::thread::spawn(move || {
        loop {
            if cut.is_set() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(addr).ok();
            }
            let Some(open) = &listener else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let cut = cut.clone();
                    std::thread::spawn(move || forward(&stream, engine, &cut));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    addr
}

fn forward(stream: &TcpStream, engine: SocketAddr, cut: &Cut) {
    let Ok(upstream) = TcpStream::connect(engine) else { return };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    std::thread::scope(|scope| {
        scope.spawn(|| copy(stream, &upstream, cut));
        copy(&upstream, stream, cut);
    });
    if cut.is_set() {
        reset_at_end(stream);
        reset_at_end(&upstream);
    }
}

/// Copies bytes until the end or the cut.
fn copy(mut from: &TcpStream, mut to: &TcpStream, cut: &Cut) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut bytes = [0; 16 << 10];
    while !cut.is_set() {
        match from.read(&mut bytes) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(it) => {
                if to.write_all(&bytes[..it]).is_err() {
                    return;
                }
            }
            Err(it) if matches!(it.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
