//! Request bodies, which are read whole, and response bodies, which are sent whole or in chunks.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// Error that closes a connection or reports that the peer has closed it.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the connection was closed")]
pub struct Disconnected;

/// Body of a response.
#[derive(Debug)]
pub enum Outgoing {
    /// A body that is known up front. Becomes `None` once it is sent.
    Whole(Option<Bytes>),
    /// A body that is sent as its chunks arrive. An error closes the connection.
    Chunks(mpsc::Receiver<Result<Bytes, Disconnected>>),
}

impl Outgoing {
    /// Creates a body that is known up front.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|it| !it.is_empty()))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Disconnected;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Disconnected>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Chunks(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Reads a whole body.
pub async fn collect(mut body: Incoming) -> Result<Bytes, Disconnected> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = next_frame(&mut body).await {
        let frame = frame.map_err(|_| Disconnected)?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

async fn next_frame(body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    std::future::poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await
}
