//! The socket of a connection, and the progress of the request on it.

#[cfg(test)]
mod tests;

use std::{
    cell::Cell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::limits::MIN_READ_BYTES_PER_SECOND;

/// Most bytes read from a socket at a time.
const READ_BUFFER_BYTES: usize = 8192;

/// The state of a connection between and within requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// No byte of the next request has arrived, since this instant.
    Idle(Instant),
    /// The head of a request is being received, since this instant.
    Head(Instant),
    /// A request is being read, handled, or answered.
    Request,
    /// The response is complete but not yet flushed.
    Flushing,
}

impl Phase {
    fn is_in_flight(self) -> bool {
        matches!(self, Self::Request | Self::Flushing)
    }
}

/// The way to close a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Closing {
    /// Close immediately: the caller's data has been read.
    Normal,
    /// Discard input first: the caller may still be sending the rest of its request.
    Linger,
    /// Reset: the response is truncated, and nothing else reveals this to the caller.
    Reset,
}

/// A response that its caller reads more slowly than it is written.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Instant,
    /// Bytes that the socket has accepted since then.
    written_bytes: u64,
}

/// The progress of one connection, shared by its socket, its service, and its exchanges.
#[derive(Debug)]
pub(crate) struct Progress {
    phase: Cell<Phase>,
    backlog: Cell<Option<Backlog>>,
    head_malformed: Cell<bool>,
    closing: Cell<Closing>,
    in_flight: Arc<AtomicUsize>,
}

impl Progress {
    pub(crate) fn new(in_flight: Arc<AtomicUsize>) -> Self {
        Self {
            phase: Cell::new(Phase::Idle(Instant::now())),
            backlog: Cell::new(None),
            head_malformed: Cell::new(false),
            closing: Cell::new(Closing::Normal),
            in_flight,
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Enters a phase and updates the count of in-flight requests.
    pub(crate) fn enter(&self, next: Phase) {
        let previous = self.phase.replace(next);
        match (previous.is_in_flight(), next.is_in_flight()) {
            (false, true) => self.in_flight.fetch_add(1, Ordering::AcqRel),
            (true, false) => self.in_flight.fetch_sub(1, Ordering::AcqRel),
            _ => 0,
        };
    }

    /// Returns the instant until which the caller has to read its response, if any is unread.
    pub(crate) fn write_deadline(&self, write_timeout: Duration) -> Option<Instant> {
        let backlog = self.backlog.get()?;
        let extension = Duration::from_secs(backlog.written_bytes / MIN_READ_BYTES_PER_SECOND);
        Some(backlog.since + write_timeout + extension)
    }

    /// Returns whether the parser has rejected the head of a request.
    pub(crate) fn is_head_malformed(&self) -> bool {
        self.head_malformed.get()
    }

    pub(crate) fn closing(&self) -> Closing {
        self.closing.get()
    }

    pub(crate) fn set_closing(&self, closing: Closing) {
        self.closing.set(closing);
    }

    /// Records that input has arrived, which may start the head of a request.
    fn record_read(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.enter(Phase::Head(Instant::now()));
        }
    }

    /// Records the result of a write. A write that is pending starts a backlog.
    fn record_written(&self, result: &Poll<io::Result<usize>>) {
        let backlog = self.backlog.get();
        let next = match result {
            Poll::Pending => Some(backlog.unwrap_or_else(|| Backlog {
                since: Instant::now(),
                written_bytes: 0,
            })),
            Poll::Ready(Ok(count)) => backlog.map(|it| Backlog {
                written_bytes: it.written_bytes + *count as u64,
                ..it
            }),
            Poll::Ready(Err(_)) => backlog,
        };
        self.backlog.set(next);
    }

    /// Records that all written data has been flushed, which ends a backlog and a response.
    fn record_flushed(&self) {
        self.backlog.set(None);
        if self.phase.get() == Phase::Flushing {
            self.enter(Phase::Idle(Instant::now()));
        }
    }

    /// Returns whether the HTTP parser is writing its own response to a malformed head. Between two
    /// requests it writes nothing else, since the last response has been flushed. The server sends
    /// an error response with a body instead.
    fn is_parser_error(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle(_) | Phase::Head(_))
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.enter(Phase::Idle(Instant::now()));
    }
}

/// A socket that records its [`Progress`].
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, progress: Rc<Progress>) -> Self {
        Self { stream, progress }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut buffer = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
        let length = READ_BUFFER_BYTES.min(buf.remaining());
        let mut part = ReadBuf::uninit(&mut buffer[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        if !part.filled().is_empty() {
            self.progress.record_read();
        }
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.is_parser_error() {
            self.progress.head_malformed.set(true);
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.record_written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if result.is_ready() {
            self.progress.record_flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
