//! One TCP connection: counted, limited, and carried by `capnp-rpc`.

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

/// Buffer for each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 4096;

/// Deepest nesting of a message.
const MAX_NESTING: i32 = 16;

const WORD_BYTES: usize = 8;

/// How many bytes the other end may still send.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Rc<Cell<Option<u64>>>);

impl Allowance {
    pub fn unlimited() -> Self {
        Self(Rc::new(Cell::new(None)))
    }

    pub fn bytes(most: u64) -> Self {
        Self(Rc::new(Cell::new(Some(most))))
    }

    /// Lifts the limit.
    pub fn lift(&self) {
        self.0.set(None);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        let Some(left) = left.checked_sub(bytes as u64) else {
            return Err(io::Error::other("a stranger sent too much"));
        };
        self.0.set(Some(left));
        Ok(())
    }
}

/// The incoming half.
pub(crate) struct Incoming {
    inner: Compat<OwnedReadHalf>,
    shared: Arc<Shared>,
    allowance: Allowance,
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
            self.allowance.spend(*bytes)?;
        }
        polled
    }
}

/// The outgoing half.
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

/// Makes a network of two parties out of a connection.
pub(crate) fn network(
    stream: TcpStream,
    side: Side,
    shared: &Arc<Shared>,
    allowance: Allowance,
    message_bytes: usize,
) -> io::Result<Box<VatNetwork<BufReader<Incoming>>>> {
    // Calls are small and wait for their answers.
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let incoming = Incoming {
        inner: read.compat(),
        shared: Arc::clone(shared),
        allowance,
    };
    let outgoing = Outgoing {
        inner: write.compat_write(),
        shared: Arc::clone(shared),
    };
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(message_bytes / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    Ok(Box::new(VatNetwork::new(
        BufReader::with_capacity(BUFFER_BYTES, incoming),
        BufWriter::with_capacity(BUFFER_BYTES, outgoing),
        side,
        options,
    )))
}
