//! Runs one connection from its first byte to its close.

use std::{
    cell::Cell,
    future::poll_fn,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::{Arc, atomic::AtomicUsize, mpsc::SyncSender},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::{server::conn::http1, service::service_fn};
use kernel::fault::{Fault, Kind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{Sleep, sleep_until, timeout},
};

use crate::{
    limits::Limits,
    response::{build_error_response, encode_closing},
    service::respond,
    socket::{Closing, Phase, Progress, Socket},
    worker::Job,
};

/// Time for which an idle connection may still send a request after a drain has begun.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Longest time spent on discarding the rest of a rejected request.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of a rejected request that are read and discarded.
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// Size of the buffer that receives discarded data.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// The stage of the server in its life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Serving,
    Draining,
}

/// State shared by all connections.
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    pub(crate) jobs: SyncSender<Job>,
    /// Requests that are being read, handled, or answered.
    pub(crate) in_flight: Arc<AtomicUsize>,
    /// Total size of the bodies of all in-flight requests.
    pub(crate) total_body_bytes: Rc<Cell<usize>>,
}

/// Why a connection stopped serving requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Termination {
    /// The protocol or the caller closed the connection.
    Closed,
    /// The caller exceeded a time limit in this phase.
    TimedOut(Phase),
}

/// Runs a connection to its end.
pub(crate) async fn run(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Rc<Shared>,
    mut stage: watch::Receiver<Stage>,
) {
    let progress = Rc::new(Progress::new(shared.in_flight.clone()));
    let socket = Socket::new(stream, progress.clone());
    let mut timer = Timer::new(shared.limits, progress.clone());
    let handle = {
        let (shared, progress) = (shared.clone(), progress.clone());
        move |request| respond(request, peer, shared.clone(), progress.clone())
    };
    let service = service_fn(move |request| Box::pin(handle(request)));
    let mut connection = configure_http(&shared.limits).serve_connection(socket, service);
    let termination = loop {
        let draining = timer.is_draining();
        let advance = poll_fn(|cx| {
            if connection.poll_without_shutdown(cx).is_ready() {
                return Poll::Ready(Termination::Closed);
            }
            timer.poll(cx).map(Termination::TimedOut)
        });
        tokio::select! {
            biased;
            termination = advance => break termination,
            _ = stage.wait_for(|it| *it == Stage::Draining), if !draining => {}
        }
        timer.start_drain();
        Pin::new(&mut connection).graceful_shutdown();
    };
    let stream = connection.into_parts().io.into_inner();
    close(stream, termination, &progress).await;
}

fn configure_http(limits: &Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes)
        .max_header_size(limits.header_bytes)
        .max_headers(limits.header_count);
    builder
}

/// Enforces the time limits on the caller of one connection.
struct Timer {
    limits: Limits,
    progress: Rc<Progress>,
    draining_since: Option<Instant>,
    sleep: Pin<Box<Sleep>>,
}

impl Timer {
    fn new(limits: Limits, progress: Rc<Progress>) -> Self {
        Self {
            limits,
            progress,
            draining_since: None,
            sleep: Box::pin(sleep_until(Instant::now().into())),
        }
    }

    fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    fn start_drain(&mut self) {
        self.draining_since = Some(Instant::now());
    }

    /// Completes with the phase in which the caller exceeded a time limit.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Phase> {
        let Some(deadline) = self.deadline() else {
            return Poll::Pending;
        };
        if self.sleep.deadline() != deadline.into() {
            self.sleep.as_mut().reset(deadline.into());
        }
        self.sleep.as_mut().poll(cx).map(|()| self.progress.phase())
    }

    fn deadline(&self) -> Option<Instant> {
        let write_deadline = self.progress.write_deadline(self.limits.write_timeout);
        let phase_deadline = match self.progress.phase() {
            Phase::Idle(since) => Some(self.idle_deadline(since)),
            Phase::Head(since) => Some(since + self.limits.header_timeout),
            Phase::Request | Phase::Flushing => None,
        };
        [write_deadline, phase_deadline].into_iter().flatten().min()
    }

    fn idle_deadline(&self, since: Instant) -> Instant {
        let idle = since + self.limits.idle_timeout;
        match self.draining_since {
            Some(draining_since) => idle.min(draining_since.max(since) + DRAIN_GRACE_PERIOD),
            None => idle,
        }
    }
}

/// Returns the fault of a request head that was malformed or late, if any.
fn find_head_fault(termination: Termination, progress: &Progress) -> Option<Fault> {
    if progress.is_head_malformed() {
        let detail = "the request's head is malformed or larger than the limit";
        return Some(Fault::new(Kind::BadRequest, detail));
    }
    match termination {
        Termination::TimedOut(Phase::Head(_)) => {
            let detail = "the request's head did not come in time";
            Some(Fault::new(Kind::SlowSender, detail))
        }
        _ => None,
    }
}

async fn close(stream: TcpStream, termination: Termination, progress: &Progress) {
    if let Some(fault) = find_head_fault(termination, progress) {
        return reject(stream, &fault).await;
    }
    match progress.closing() {
        Closing::Normal => {}
        Closing::Linger => linger(stream).await,
        Closing::Reset => reset(&stream),
    }
}

/// Sends an error response to a caller whose request has not been read, and closes the connection.
pub(crate) async fn reject(mut stream: TcpStream, fault: &Fault) {
    log::debug!(target: "serve", "A request was rejected: {fault}.");
    let bytes = encode_closing(&build_error_response(fault, None));
    let sent = timeout(LINGER_TIMEOUT, stream.write_all(&bytes)).await;
    if matches!(sent, Ok(Ok(()))) {
        linger(stream).await;
    }
}

/// Reads and discards more input for a while: closing a socket with unread bytes resets the
/// connection, and the caller can lose the response.
async fn linger(mut stream: TcpStream) {
    let discard = async {
        stream.shutdown().await?;
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut remaining = MAX_LINGER_BYTES;
        while remaining > 0 {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                break;
            }
            remaining = remaining.saturating_sub(count);
        }
        std::io::Result::Ok(())
    };
    // The connection is closed next, whether or not discarding succeeds.
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}

fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!(target: "serve", "Failed to reset a connection: {error}.");
    }
}
