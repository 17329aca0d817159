//! Connections of callers, and of hosts that pass requests on.
//!
//! While the event loop is busy, the close of a connection waits in the kernel. A request must not be sent to an engine
//! for a caller that has left, so its connection is asked at that moment.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Connection that is served. Its requests refer to it by a [`Caller`].
pub struct Connection(Arc<TcpStream>);

/// Connection on which a request came.
#[derive(Clone, Default)]
pub struct Caller(Weak<TcpStream>);

impl Connection {
    /// Begins to serve a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Reference for the requests of this connection.
    pub fn caller(&self) -> Caller {
        Caller(Arc::downgrade(&self.0))
    }

    /// Makes the connection end with a reset.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.0.set_zero_linger()
    }
}

impl Caller {
    /// Returns whether the caller has closed its connection, also if nothing has been read from it since. A close behind
    /// bytes that have not been read is not seen.
    pub fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*stream).peek(&mut byte) {
            Ok(length) => length == 0,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Connection {
    /// Writes once the connection is ready for it.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                it => return Poll::Ready(it),
            }
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |it| it.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |it| it.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
