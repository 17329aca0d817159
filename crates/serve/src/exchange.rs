//! Resources of one request, from the end of its head to the end of its response.

use std::{cell::Cell, rc::Rc};

use crate::{
    responder::Caller,
    socket::{Closing, Phase, Progress},
};

/// How the end of a streamed response is marked, which depends on the HTTP version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// Chunked transfer coding; a missing last chunk reveals a truncated response.
    Chunked,
    /// The close of the connection; only a reset reveals a truncated response.
    CloseDelimited,
}

/// One request, from the end of its head to the end of its response. Dropping it marks the caller
/// as disconnected, which a handler that still runs can see.
#[derive(Debug)]
pub(crate) struct Exchange {
    progress: Rc<Progress>,
    caller: Caller,
    framing: Framing,
    body_bytes: usize,
    total_body_bytes: Rc<Cell<usize>>,
}

impl Exchange {
    pub(crate) fn new(
        progress: Rc<Progress>,
        framing: Framing,
        total_body_bytes: Rc<Cell<usize>>,
    ) -> Self {
        progress.enter(Phase::Request);
        Self {
            progress,
            caller: Caller::default(),
            framing,
            body_bytes: 0,
            total_body_bytes,
        }
    }

    /// Counts received bytes of the request's body until the exchange is dropped, and returns the
    /// total over all in-flight requests.
    pub(crate) fn add_body_bytes(&mut self, bytes: usize) -> usize {
        self.body_bytes += bytes;
        self.total_body_bytes.update(|it| it + bytes);
        self.total_body_bytes.get()
    }

    pub(crate) fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Records that the rest of the request stays unread.
    pub(crate) fn mark_unread(&self) {
        self.progress.set_closing(Closing::Linger);
    }

    /// Records that the handler left its response unfinished.
    pub(crate) fn mark_truncated(&self) {
        if self.framing == Framing::CloseDelimited {
            self.progress.set_closing(Closing::Reset);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.caller.mark_disconnected();
        self.total_body_bytes.update(|it| it - self.body_bytes);
        self.progress.enter(Phase::Flushing);
    }
}
