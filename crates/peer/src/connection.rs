//! TCP connections for `capnp-rpc`, with byte counters and limits on incoming data.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use capnp::message::ReaderOptions;
use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{
    AsyncRead, AsyncWrite,
    io::{BufReader, BufWriter},
};
use tokio::net::{
    TcpStream,
    tcp::{OwnedReadHalf, OwnedWriteHalf},
};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::shared::Shared;

/// Size of the read buffer and of the write buffer of a connection.
const BUFFER_BYTES: usize = 4096;

/// Maximum nesting depth of pointers in a message.
const MAX_NESTING_DEPTH: i32 = 16;

/// Size of a Cap'n Proto word in bytes.
const WORD_BYTES: usize = 8;

/// The number of bytes that the other end may still send, or `None` for no limit. Clones share the
/// number.
#[derive(Clone, Debug)]
pub(crate) struct Quota(Rc<Cell<Option<u64>>>);

impl Quota {
    pub fn unlimited() -> Self {
        Self(Rc::new(Cell::new(None)))
    }

    pub fn limited(bytes: u64) -> Self {
        Self(Rc::new(Cell::new(Some(bytes))))
    }

    /// Removes the limit.
    pub fn remove_limit(&self) {
        self.0.set(None);
    }

    fn consume(&self, bytes: usize) -> io::Result<()> {
        let Some(remaining) = self.0.get() else {
            return Ok(());
        };
        let Some(remaining) = remaining.checked_sub(bytes as u64) else {
            // The peer reads this text too: `capnp-rpc` puts it into its abort message.
            return Err(io::Error::other("a stranger sent too much"));
        };
        self.0.set(Some(remaining));
        Ok(())
    }
}

/// The read half of a connection, which counts the bytes and applies the quota.
pub(crate) struct Incoming {
    inner: Compat<OwnedReadHalf>,
    shared: Arc<Shared>,
    quota: Quota,
}

impl AsyncRead for Incoming {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.shared.counters.stream_bytes_in.add(*bytes);
            self.quota.consume(*bytes)?;
        }
        polled
    }
}

/// The write half of a connection, which counts the bytes.
pub(crate) struct Outgoing {
    inner: Compat<OwnedWriteHalf>,
    shared: Arc<Shared>,
}

impl AsyncWrite for Outgoing {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.shared.counters.stream_bytes_out.add(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

/// Wraps a TCP stream for use by `capnp-rpc`. `max_message_bytes` bounds the data that is read from
/// one message.
pub(crate) fn build_network(
    stream: TcpStream,
    side: Side,
    shared: &Arc<Shared>,
    quota: Quota,
    max_message_bytes: usize,
) -> io::Result<Box<VatNetwork<BufReader<Incoming>>>> {
    // Calls are small and latency-sensitive, so Nagle's algorithm would only delay them.
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let incoming = Incoming {
        inner: read.compat(),
        shared: Arc::clone(shared),
        quota,
    };
    let outgoing = Outgoing {
        inner: write.compat_write(),
        shared: Arc::clone(shared),
    };
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(max_message_bytes / WORD_BYTES));
    options.nesting_limit(MAX_NESTING_DEPTH);
    Ok(Box::new(VatNetwork::new(
        BufReader::with_capacity(BUFFER_BYTES, incoming),
        BufWriter::with_capacity(BUFFER_BYTES, outgoing),
        side,
        options,
    )))
}
