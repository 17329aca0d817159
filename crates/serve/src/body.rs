//! The body of an answer, as the connection takes it.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::{
    responder::{Caller, Piece},
    socket::{Closing, Phase, Progress},
};

/// The handler dropped its stream before the end.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("the answer was cut")]
pub(crate) struct Cut;

/// What an HTTP version can tell of the end of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// Chunks: a missing last chunk shows a cut.
    Chunked,
    /// The end of the connection, so that only a reset shows a cut.
    Closed,
}

/// One request from the end of its head to the end of its answer. Dropped early, it tells the
/// handler that the caller has gone.
#[derive(Debug)]
pub(crate) struct Exchange {
    progress: Rc<Progress>,
    caller: Caller,
    framing: Framing,
    held: usize,
    all_held: Rc<Cell<usize>>,
}

impl Exchange {
    pub(crate) fn new(progress: Rc<Progress>, framing: Framing, all_held: Rc<Cell<usize>>) -> Self {
        progress.enter(Phase::Request);
        Self {
            progress,
            caller: Caller::default(),
            framing,
            held: 0,
            all_held,
        }
    }

    /// Counts bytes of the request's body, which stay until the answer is made, and gives the
    /// sum over all running requests.
    pub(crate) fn hold(&mut self, bytes: usize) -> usize {
        self.held += bytes;
        self.all_held.update(|it| it + bytes);
        self.all_held.get()
    }

    pub(crate) fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Notes that the rest of the request stays unread.
    pub(crate) fn leave_unread(&self) {
        self.progress.set_closing(Closing::Linger);
    }

    fn cut(&self) {
        if self.framing == Framing::Closed {
            self.progress.set_closing(Closing::Reset);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.caller.leave();
        self.all_held.update(|it| it - self.held);
        self.progress.enter(Phase::Answered);
    }
}

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Piece>),
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
            Source::Ended => return Poll::Ready(None),
        };
        match piece {
            Some(Piece::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Piece::End) => {
                self.source = Source::Ended;
                Poll::Ready(None)
            }
            None => {
                self.exchange.cut();
                Poll::Ready(Some(Err(Cut)))
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
            Source::Stream(_) | Source::Ended => SizeHint::default(),
        }
    }
}
