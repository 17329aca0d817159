//! The body of a response, polled by the connection.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    sync::mpsc,
    time::{Sleep, sleep},
};

use crate::{exchange::Exchange, responder::Chunk};

/// The handler dropped its stream before finishing it.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("the response was truncated")]
pub(crate) struct Truncated;

/// Delay before a truncated body fails, so that the connection first writes the data it has
/// buffered: a body error discards unwritten data.
const TRUNCATE_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
enum Source {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<Chunk>),
    Truncating(Pin<Box<Sleep>>),
    Ended,
}

/// The body of one response.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    source: Source,
    exchange: Exchange,
}

impl ResponseBody {
    pub(crate) fn full(body: Vec<u8>, exchange: Exchange) -> Self {
        let body = Some(body).filter(|it| !it.is_empty());
        Self {
            source: Source::Full(body.map(Bytes::from)),
            exchange,
        }
    }

    pub(crate) fn stream(chunks: mpsc::Receiver<Chunk>, exchange: Exchange) -> Self {
        Self {
            source: Source::Stream(chunks),
            exchange,
        }
    }
}

type FrameResult = Option<Result<Frame<Bytes>, Truncated>>;

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FrameResult> {
        let chunk = match &mut self.source {
            Source::Full(body) => return Poll::Ready(body.take().map(|it| Ok(Frame::data(it)))),
            Source::Stream(chunks) => ready!(chunks.poll_recv(cx)),
            Source::Truncating(delay) => {
                ready!(delay.as_mut().poll(cx));
                self.exchange.mark_truncated();
                return Poll::Ready(Some(Err(Truncated)));
            }
            Source::Ended => return Poll::Ready(None),
        };
        match chunk {
            Some(Chunk::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Chunk::End) => {
                self.source = Source::Ended;
                Poll::Ready(None)
            }
            None => {
                self.source = Source::Truncating(Box::pin(sleep(TRUNCATE_DELAY)));
                self.poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Full(None) | Source::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Full(Some(body)) => SizeHint::with_exact(body.len() as u64),
            Source::Full(None) => SizeHint::with_exact(0),
            Source::Stream(_) | Source::Truncating(_) | Source::Ended => SizeHint::default(),
        }
    }
}
