//! The body of an answer, as the connection takes it.

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

use crate::{exchange::Exchange, responder::Piece};

/// The handler dropped its stream before the end.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("the answer was cut")]
pub(crate) struct Cut;

/// How long a cut answer stays open, so that the connection writes out what came before the cut: an
/// error discards what it has not written yet.
const CUT_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Piece>),
    Cutting(Pin<Box<Sleep>>),
    Ended,
}

/// The body of one answer.
#[derive(Debug)]
pub(crate) struct Content {
    source: Source,
    exchange: Exchange,
}

impl Content {
    pub(crate) fn whole(body: Vec<u8>, exchange: Exchange) -> Self {
        let body = Some(body).filter(|it| !it.is_empty());
        Self {
            source: Source::Whole(body.map(Bytes::from)),
            exchange,
        }
    }

    pub(crate) fn stream(pieces: mpsc::Receiver<Piece>, exchange: Exchange) -> Self {
        Self {
            source: Source::Stream(pieces),
            exchange,
        }
    }
}

type Next = Option<Result<Frame<Bytes>, Cut>>;

impl Body for Content {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Next> {
        let piece = match &mut self.source {
            Source::Whole(body) => return Poll::Ready(body.take().map(|it| Ok(Frame::data(it)))),
            Source::Stream(pieces) => ready!(pieces.poll_recv(cx)),
            Source::Cutting(delay) => {
                ready!(delay.as_mut().poll(cx));
                self.exchange.cut();
                return Poll::Ready(Some(Err(Cut)));
            }
            Source::Ended => return Poll::Ready(None),
        };
        match piece {
            Some(Piece::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Piece::End) => {
                self.source = Source::Ended;
                Poll::Ready(None)
            }
            None => {
                self.source = Source::Cutting(Box::pin(sleep(CUT_DELAY)));
                self.poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None) | Source::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(Some(body)) => SizeHint::with_exact(body.len() as u64),
            Source::Whole(None) => SizeHint::with_exact(0),
            Source::Stream(_) | Source::Cutting(_) | Source::Ended => SizeHint::default(),
        }
    }
}
