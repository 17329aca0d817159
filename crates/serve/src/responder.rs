//! How a handler answers.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::response::Response;

/// Writes that may wait for a caller who reads slowly.
const STREAM_QUEUE: usize = 4;

/// The caller has disconnected, or left the answer unread for too long.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("the caller has gone")]
pub struct Disconnected;

/// Tells whether the caller of a request is still there; may be kept beside the answer.
#[derive(Clone, Debug, Default)]
pub struct Caller(Arc<AtomicBool>);

impl Caller {
    /// Whether the caller has gone.
    pub fn is_disconnected(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    pub(crate) fn leave(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Piece {
    Data(Bytes),
    End,
}

/// The answer of a handler on its way to the connection.
#[derive(Debug)]
pub(crate) enum Answer {
    Whole(Response),
    Stream {
        status: u16,
        headers: Vec<(String, String)>,
        pieces: mpsc::Receiver<Piece>,
    },
}

/// Takes the answer to one request. Dropped unused, it answers with a fault of its own.
#[derive(Debug)]
pub struct Responder {
    caller: Caller,
    answer: oneshot::Sender<Answer>,
}

impl Responder {
    pub(crate) fn new(caller: Caller, answer: oneshot::Sender<Answer>) -> Self {
        Self { caller, answer }
    }

    /// Whether the caller has gone, so that no answer is needed.
    pub fn is_caller_disconnected(&self) -> bool {
        self.caller.is_disconnected()
    }

    /// The caller, to be asked later whether it has gone.
    pub fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Answers at once and whole.
    pub fn send(self, response: Response) {
        // A caller that has gone has dropped the receiver; there is nobody to tell.
        let _ = self.answer.send(Answer::Whole(response));
    }

    /// Begins an answer whose parts follow.
    pub fn stream(self, status: u16, headers: Vec<(String, String)>) -> Stream {
        let (sender, pieces) = mpsc::channel(STREAM_QUEUE);
        let answer = Answer::Stream {
            status,
            headers,
            pieces,
        };
        let _ = self.answer.send(answer);
        Stream {
            caller: self.caller,
            pieces: sender,
        }
    }
}

/// An answer that is sent part by part. Dropped without [`Stream::finish`], it breaks the
/// connection, so that the caller can't take the cut answer for a whole one.
#[derive(Debug)]
pub struct Stream {
    caller: Caller,
    pieces: mpsc::Sender<Piece>,
}

impl Stream {
    /// Sends a part at once, as a chunk of its own. Blocks while the caller reads slowly.
    pub fn write(&mut self, data: &[u8]) -> Result<(), Disconnected> {
        if data.is_empty() {
            return self.check();
        }
        self.push(Piece::Data(Bytes::copy_from_slice(data)))
    }

    /// Ends the answer properly.
    pub fn finish(self) {
        // A caller that has gone needs no end.
        let _ = self.push(Piece::End);
    }

    /// Whether the caller has gone.
    pub fn is_caller_disconnected(&self) -> bool {
        self.caller.is_disconnected()
    }

    fn check(&self) -> Result<(), Disconnected> {
        if self.is_caller_disconnected() {
            return Err(Disconnected);
        }
        Ok(())
    }

    fn push(&self, piece: Piece) -> Result<(), Disconnected> {
        self.check()?;
        self.pieces.blocking_send(piece).map_err(|_| Disconnected)
    }
}
