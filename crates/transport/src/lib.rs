//! Connections of `ureq` clients, on which a reset is not the end of a response.
//!
//! `ureq` takes a reset for the end of a response that has neither a length nor chunks, so a part of the body would pass
//! for the whole.

use std::io;

use ureq::{
    Error,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector, NextTimeout, Transport as Connection,
    },
};

/// Connector that is chained after the one that opens the connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResetGuard;

impl<C: Connection> Connector<C> for ResetGuard {
    type Out = Transport<C>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<C>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(Transport))
    }
}

/// Connection whose errors don't pass for the end of a response.
#[derive(Debug)]
pub struct Transport<C>(C);

impl<C: Connection> Connection for Transport<C> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout).map_err(keep_as_error)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}

/// Replaces the kinds of errors that `ureq` takes for the end of a body.
fn keep_as_error(error: Error) -> Error {
    match error {
        Error::Io(it)
            if matches!(
                it.kind(),
                io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::UnexpectedEof
            ) =>
        {
            io::Error::other(it).into()
        }
        it => it,
    }
}
