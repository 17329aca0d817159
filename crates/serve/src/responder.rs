//! The handler's side of a response.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::response::Response;

/// Number of writes that are queued while the caller reads slowly.
const STREAM_QUEUE_LEN: usize = 4;

/// The caller has disconnected, or left the response unread for too long.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("the caller has disconnected")]
pub struct Disconnected;

/// Tells whether the caller of a request is still connected. Stays valid after the responder is
/// consumed.
#[derive(Clone, Debug, Default)]
pub struct Caller(Arc<AtomicBool>);

impl Caller {
    /// Returns whether the caller has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    pub(crate) fn mark_disconnected(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// An element of a streamed response.
#[derive(Debug)]
pub(crate) enum Chunk {
    Data(Bytes),
    End,
}

/// The response that a handler passes to the connection.
#[derive(Debug)]
pub(crate) enum HandlerResponse {
    Full(Response),
    Stream {
        status: u16,
        headers: Vec<(String, String)>,
        chunks: mpsc::Receiver<Chunk>,
    },
}

/// Accepts the response to one request. If it is dropped unused, the caller gets an error response.
#[derive(Debug)]
pub struct Responder {
    caller: Caller,
    response_sender: oneshot::Sender<HandlerResponse>,
}

impl Responder {
    pub(crate) fn new(caller: Caller, response_sender: oneshot::Sender<HandlerResponse>) -> Self {
        Self {
            caller,
            response_sender,
        }
    }

    /// Returns whether the caller has disconnected, so that no response is needed.
    pub fn is_caller_disconnected(&self) -> bool {
        self.caller.is_disconnected()
    }

    /// Returns a handle that tells whether the caller is still connected.
    pub fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Sends a complete response.
    pub fn send(self, response: Response) {
        // The receiver is dropped when the caller has disconnected; the response is then discarded.
        let _ = self.response_sender.send(HandlerResponse::Full(response));
    }

    /// Starts a streamed response.
    pub fn stream(self, status: u16, headers: Vec<(String, String)>) -> Stream {
        let (sender, chunks) = mpsc::channel(STREAM_QUEUE_LEN);
        let response = HandlerResponse::Stream {
            status,
            headers,
            chunks,
        };
        let _ = self.response_sender.send(response);
        Stream {
            caller: self.caller,
            chunk_sender: sender,
        }
    }
}

/// A response that is sent in chunks. Dropping it without [`Stream::finish`] breaks the connection,
/// so that the caller cannot take the truncated response for a complete one.
#[derive(Debug)]
pub struct Stream {
    caller: Caller,
    chunk_sender: mpsc::Sender<Chunk>,
}

impl Stream {
    /// Sends data without delay, as a chunk of its own. Blocks while the caller reads slowly.
    pub fn write(&mut self, data: &[u8]) -> Result<(), Disconnected> {
        if data.is_empty() {
            return self.check_connected();
        }
        self.send(Chunk::Data(Bytes::copy_from_slice(data)))
    }

    /// Marks the response as complete.
    pub fn finish(self) {
        // A caller that has disconnected needs no end marker.
        let _ = self.send(Chunk::End);
    }

    /// Returns whether the caller has disconnected.
    pub fn is_caller_disconnected(&self) -> bool {
        self.caller.is_disconnected()
    }

    fn check_connected(&self) -> Result<(), Disconnected> {
        if self.is_caller_disconnected() {
            return Err(Disconnected);
        }
        Ok(())
    }

    fn send(&self, chunk: Chunk) -> Result<(), Disconnected> {
        self.check_connected()?;
        self.chunk_sender
            .blocking_send(chunk)
            .map_err(|_| Disconnected)
    }
}
