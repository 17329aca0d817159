//! What one request holds from the end of its head to the end of its answer.

use std::{cell::Cell, rc::Rc};

use crate::{
    responder::Caller,
    socket::{Closing, Phase, Progress},
};

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

    /// Notes that the handler left its answer unfinished.
    pub(crate) fn cut(&self) {
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
