//! Bodies: read to the end, or sent whole or in pieces.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// The connection is to be closed, or has been by the other side.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the connection was broken off")]
pub struct Broken;

/// The body of an answer.
#[derive(Debug)]
pub enum Outgoing {
    /// Known from the start; taken when it is sent.
    Whole(Option<Bytes>),
    /// Sent as it comes; an error closes the connection.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Outgoing {
    /// A body that is known from the start.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|it| !it.is_empty()))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|it| it.map(Frame::data))),
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
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Reads a body to its end.
pub async fn collect(mut body: Incoming) -> Result<Bytes, Broken> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = next(&mut body).await {
        let frame = frame.map_err(|_| Broken)?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

async fn next(body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    std::future::poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await
}
