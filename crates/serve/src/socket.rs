//! A caller's socket, and how far the exchange on it has come.

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

/// Bytes taken from a socket at a time.
const READ_BYTES: usize = 8192;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Nothing of the next request has come.
    Idle(Instant),
    /// The head of a request is coming.
    Head(Instant),
    /// A request is being read, handled or answered.
    Request,
    /// The answer is made but not yet flushed.
    Answered,
}

impl Phase {
    fn is_running(self) -> bool {
        matches!(self, Self::Request | Self::Answered)
    }
}

/// How a connection has to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Closing {
    /// Everything sent has been read.
    Plain,
    /// The caller may still be sending what nobody reads.
    Linger,
    /// The answer is cut, and only a reset can show it.
    Reset,
}

/// An answer that its caller does not read as fast as it is written.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Instant,
    read: u64,
}

/// The progress of one connection, shared by its socket, its service and its answers.
#[derive(Debug)]
pub(crate) struct Progress {
    phase: Cell<Phase>,
    backlog: Cell<Option<Backlog>>,
    malformed: Cell<bool>,
    closing: Cell<Closing>,
    running: Arc<AtomicUsize>,
}

impl Progress {
    pub(crate) fn new(running: Arc<AtomicUsize>) -> Self {
        Self {
            phase: Cell::new(Phase::Idle(Instant::now())),
            backlog: Cell::new(None),
            malformed: Cell::new(false),
            closing: Cell::new(Closing::Plain),
            running,
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Moves to a phase and keeps the count of running requests.
    pub(crate) fn enter(&self, next: Phase) {
        let last = self.phase.replace(next);
        match (last.is_running(), next.is_running()) {
            (false, true) => self.running.fetch_add(1, Ordering::AcqRel),
            (true, false) => self.running.fetch_sub(1, Ordering::AcqRel),
            _ => 0,
        };
    }

    /// When a caller that leaves its answer unread has used up its time, if it does.
    pub(crate) fn write_deadline(&self, write_timeout: Duration) -> Option<Instant> {
        let backlog = self.backlog.get()?;
        let gained = Duration::from_secs(backlog.read / MIN_READ_BYTES_PER_SECOND);
        Some(backlog.since + write_timeout + gained)
    }

    /// Whether the parser has given up on the head of a request.
    pub(crate) fn is_malformed(&self) -> bool {
        self.malformed.get()
    }

    pub(crate) fn closing(&self) -> Closing {
        self.closing.get()
    }

    pub(crate) fn set_closing(&self, closing: Closing) {
        self.closing.set(closing);
    }

    fn note_read(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.enter(Phase::Head(Instant::now()));
        }
    }

    fn note_written(&self, result: &Poll<io::Result<usize>>) {
        let backlog = self.backlog.get();
        let next = match result {
            Poll::Pending => Some(backlog.unwrap_or_else(|| Backlog {
                since: Instant::now(),
                read: 0,
            })),
            Poll::Ready(Ok(count)) => backlog.map(|it| Backlog {
                read: it.read + *count as u64,
                ..it
            }),
            Poll::Ready(Err(_)) => backlog,
        };
        self.backlog.set(next);
    }

    fn note_flushed(&self) {
        self.backlog.set(None);
        if self.phase.get() == Phase::Answered {
            self.enter(Phase::Idle(Instant::now()));
        }
    }

    /// Between two requests the parser writes only its own refusal of a malformed head, since the
    /// last answer has been flushed. The server replaces it by one with a body.
    fn is_parser_refusal(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle(_) | Phase::Head(_))
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.enter(Phase::Idle(Instant::now()));
    }
}

/// A socket that keeps its [`Progress`].
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
        let mut space = [MaybeUninit::uninit(); READ_BYTES];
        let length = READ_BYTES.min(buf.remaining());
        let mut part = ReadBuf::uninit(&mut space[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        if !part.filled().is_empty() {
            self.progress.note_read();
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
        if self.progress.is_parser_refusal() {
            self.progress.malformed.set(true);
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.note_written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if result.is_ready() {
            self.progress.note_flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
