//! Socket whose peer may only send a limited number of bytes until the allowance is renewed. The HTTP
//! client has no limit for informational responses and for the framing of chunks, and reads them in one
//! step as long as they arrive.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::TCP_USER_TIMEOUT;

/// Number of bytes that a peer can receive while it reads nothing. `TCP_USER_TIMEOUT` does not tell a peer that has
/// received all it can from one that receives nothing, so it only holds for requests up to this size.
const MIN_RECEIVE_BUFFER: usize = 32 << 10;

/// Number of bytes that the peer of a connection may still send.
#[derive(Clone)]
pub struct Allowance {
    max_bytes: usize,
    /// `None` once the peer has sent more than allowed.
    left: Rc<Cell<Option<usize>>>,
}

impl Allowance {
    /// Allows `max_bytes` from one renewal to the next.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            left: Rc::new(Cell::new(Some(max_bytes))),
        }
    }

    /// Allows the peer the whole number of bytes again, unless it has exceeded it.
    pub fn renew(&self) {
        if !self.is_exceeded() {
            self.left.set(Some(self.max_bytes));
        }
    }

    /// Returns whether the peer has sent more bytes than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.left.get().is_none()
    }

    /// Counts received bytes. Returns an error if they are more than allowed.
    fn spend(&self, count: usize) -> io::Result<()> {
        let left = self.left.get().and_then(|it| it.checked_sub(count));
        self.left.set(left);
        match left {
            Some(_) => Ok(()),
            None => Err(io::Error::other("the peer sent too many bytes")),
        }
    }
}

/// Socket that counts the bytes it receives and sends.
pub struct Metered {
    stream: TcpStream,
    allowance: Allowance,
    /// Number of bytes sent since the last bytes were received.
    sent: usize,
    has_user_timeout: bool,
}

impl Metered {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self {
            stream,
            allowance,
            sent: 0,
            has_user_timeout: true,
        }
    }

    /// Counts sent bytes, and sets the user timeout if the peer can receive all of them without reading.
    fn count_sent(&mut self, count: usize) {
        self.sent += count;
        let has_user_timeout = self.sent <= MIN_RECEIVE_BUFFER;
        if has_user_timeout != self.has_user_timeout {
            self.has_user_timeout = has_user_timeout;
            let timeout = has_user_timeout.then_some(TCP_USER_TIMEOUT);
            if let Err(error) = SockRef::from(&self.stream).set_tcp_user_timeout(timeout) {
                log::debug!("cannot set the user timeout of a connection: {error}");
            }
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.sent = 0;
        }
        Poll::Ready(self.allowance.spend(count))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.count_sent(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.count_sent(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
