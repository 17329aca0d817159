//! A `ureq` transport that records whether a byte of the request was sent, refuses to send the
//! first byte after a given instant, and stops waiting when the call is cancelled.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use transport::ResetGuard;
use ureq::{
    Error, Timeout,
    config::Config,
    http::{Uri, uri::Authority},
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::{
            Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
            time::Duration as UreqDuration,
        },
    },
};

use crate::cancellation::Cancellation;

/// Interval at which a waiting call checks for its cancellation.
const CANCELLATION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Decides whether a call may be sent, may go on waiting and may receive more, and records that it was sent.
#[derive(Debug)]
pub(crate) struct SendGuard {
    /// The first byte has to be sent before this instant.
    start_by: Instant,
    cancellation: Cancellation,
    sent: AtomicBool,
    /// Number of bytes that the upstream may still send.
    allowed_input: AtomicU64,
}

impl SendGuard {
    pub(crate) fn new(
        start_by: Instant,
        cancellation: Cancellation,
        allowed_input: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            start_by,
            cancellation,
            sent: AtomicBool::new(false),
            allowed_input: AtomicU64::new(allowed_input),
        })
    }

    /// Returns whether a byte of the request may have been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Permits sending, or fails if the first byte is late or the call is cancelled.
    fn permit_send(&self) -> Result<(), Error> {
        if self.is_sent() {
            return Ok(());
        }
        if Instant::now() >= self.start_by {
            return Err(Error::Timeout(Timeout::Connect));
        }
        self.check_cancelled()?;
        self.sent.store(true, Ordering::Release);
        Ok(())
    }

    /// Sets the number of bytes that the upstream may send from now on.
    pub(crate) fn allow_input(&self, bytes: u64) {
        self.allowed_input.store(bytes, Ordering::Relaxed);
    }

    /// Counts received bytes, or fails if they are more than allowed.
    fn count_input(&self, bytes: usize) -> Result<(), Error> {
        let allowed = self.allowed_input.load(Ordering::Relaxed);
        let Some(rest) = allowed.checked_sub(bytes as u64) else {
            return Err(io::Error::other("the upstream sent too many bytes").into());
        };
        self.allow_input(rest);
        Ok(())
    }

    fn check_cancelled(&self) -> Result<(), Error> {
        if self.cancellation.is_cancelled() {
            let reason = "the caller has gone";
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason).into());
        }
        Ok(())
    }
}

/// Builds a connector of TCP connections that are subject to a [`SendGuard`].
pub(crate) fn build_connector(guard: Arc<SendGuard>) -> impl Connector {
    TcpConnector::default()
        .chain(GuardedConnector(guard))
        .chain(ResetGuard)
}

#[derive(Debug)]
struct GuardedConnector(Arc<SendGuard>);

impl<T: Transport> Connector<T> for GuardedConnector {
    type Out = GuardedTransport<T>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<T>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| GuardedTransport {
            inner,
            guard: self.0.clone(),
        }))
    }
}

#[derive(Debug)]
struct GuardedTransport<T> {
    inner: T,
    guard: Arc<SendGuard>,
}

impl<T: Transport> Transport for GuardedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.guard.permit_send()?;
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.inner.buffers().input().len();
        let has_input = self.await_more_input(timeout)?;
        let after = self.inner.buffers().input().len();
        self.guard.count_input(after.saturating_sub(before))?;
        Ok(has_input)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

impl<T: Transport> GuardedTransport<T> {
    fn await_more_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        if self.guard.cancellation.is_never() {
            return self.inner.await_input(timeout);
        }
        let start = Instant::now();
        loop {
            self.guard.check_cancelled()?;
            let remaining = timeout.after.saturating_sub(start.elapsed());
            let interval = NextTimeout {
                after: UreqDuration::Exact(remaining.min(CANCELLATION_CHECK_INTERVAL)),
                ..timeout
            };
            match self.inner.await_input(interval) {
                Err(Error::Timeout(_)) if remaining > CANCELLATION_CHECK_INTERVAL => {}
                result => return result,
            }
        }
    }
}

/// Resolves URIs whose host is an IP address, as in all calls to upstreams, without DNS.
#[derive(Debug)]
pub(crate) struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(Authority::as_str).unwrap_or_default();
        let address: SocketAddr = authority.parse().map_err(|_| Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
