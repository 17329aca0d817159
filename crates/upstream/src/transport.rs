//! The socket below `ureq`: knows whether a byte of the request was sent, sends none too late,
//! and stops waiting once the caller has gone.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use ureq::{
    Error, Timeout,
    config::Config,
    http::{Uri, uri::Authority},
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::{
            Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
            time::Duration as Span,
        },
    },
};

use crate::cancellation::Cancellation;

/// How often a waiting call looks whether its caller has gone.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// What the socket of one call has to know.
#[derive(Debug)]
pub(crate) struct Gate {
    /// No first byte is sent from this instant on.
    start_by: Instant,
    cancellation: Cancellation,
    sent: AtomicBool,
}

impl Gate {
    pub(crate) fn new(start_by: Instant, cancellation: Cancellation) -> Arc<Self> {
        Arc::new(Self {
            start_by,
            cancellation,
            sent: AtomicBool::new(false),
        })
    }

    /// Whether a byte of the request may have been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    fn pass(&self) -> Result<(), Error> {
        if self.is_sent() {
            return Ok(());
        }
        if Instant::now() >= self.start_by {
            return Err(Error::Timeout(Timeout::Connect));
        }
        self.check_caller()?;
        self.sent.store(true, Ordering::Release);
        Ok(())
    }

    fn check_caller(&self) -> Result<(), Error> {
        if self.cancellation.is_gone() {
            let reason = "the caller has gone";
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason).into());
        }
        Ok(())
    }
}

/// Opens gated TCP connections.
pub(crate) fn connector(gate: Arc<Gate>) -> impl Connector {
    TcpConnector::default().chain(Gating(gate))
}

#[derive(Debug)]
struct Gating(Arc<Gate>);

impl<T: Transport> Connector<T> for Gating {
    type Out = Gated<T>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<T>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| Gated {
            inner,
            gate: self.0.clone(),
        }))
    }
}

#[derive(Debug)]
struct Gated<T> {
    inner: T,
    gate: Arc<Gate>,
}

impl<T: Transport> Transport for Gated<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.gate.pass()?;
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        if self.gate.cancellation.is_none() {
            return self.inner.await_input(timeout);
        }
        let start = Instant::now();
        loop {
            self.gate.check_caller()?;
            let left = timeout.after.saturating_sub(start.elapsed());
            let slice = NextTimeout {
                after: Span::Exact(left.min(WATCH_INTERVAL)),
                ..timeout
            };
            match self.inner.await_input(slice) {
                Err(Error::Timeout(_)) if left > WATCH_INTERVAL => {}
                result => return result,
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

/// Takes the address of a URI as it stands; upstreams are named by IP numbers.
#[derive(Debug)]
pub(crate) struct Numeric;

impl Resolver for Numeric {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(Authority::as_str).unwrap_or_default();
        let address: SocketAddr = authority.parse().map_err(|_| Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
