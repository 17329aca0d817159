//! One connection from its first byte to its close.

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
    reply::reply,
    response::{build_error_response, encode_last},
    socket::{Closing, Phase, Progress, Socket},
    worker::Job,
};

/// Time for which a connection without a request may still bring one after a drain has begun.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Time for which the rest of a refused request is read and discarded.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes of a refused request that are read and discarded.
const LINGER_BYTES: usize = 1024 * 1024;
/// Bytes discarded at a time.
const DISCARD_BYTES: usize = 4096;

/// Whether the server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Serving,
    Draining,
}

/// What every connection needs.
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    pub(crate) jobs: SyncSender<Job>,
    pub(crate) running: Arc<AtomicUsize>,
    /// Bytes of the bodies of all running requests.
    pub(crate) body_bytes: Rc<Cell<usize>>,
}

/// How the requests on a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// By the protocol, or by the caller.
    Closed,
    /// The caller took too long in this phase.
    Expired(Phase),
}

/// Runs a connection to its end.
pub(crate) async fn run(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Rc<Shared>,
    mut stage: watch::Receiver<Stage>,
) {
    let progress = Rc::new(Progress::new(shared.running.clone()));
    let socket = Socket::new(stream, progress.clone());
    let mut timer = Timer::new(shared.limits, progress.clone());
    let answer = {
        let (shared, progress) = (shared.clone(), progress.clone());
        move |request| reply(request, peer, shared.clone(), progress.clone())
    };
    let service = service_fn(move |request| Box::pin(answer(request)));
    let mut connection = builder(&shared.limits).serve_connection(socket, service);
    let end = loop {
        let draining = timer.is_draining();
        let advance = poll_fn(|cx| {
            if connection.poll_without_shutdown(cx).is_ready() {
                return Poll::Ready(End::Closed);
            }
            timer.poll(cx).map(End::Expired)
        });
        tokio::select! {
            biased;
            end = advance => break end,
            _ = stage.wait_for(|it| *it == Stage::Draining), if !draining => {}
        }
        timer.drain();
        Pin::new(&mut connection).graceful_shutdown();
    };
    let stream = connection.into_parts().io.into_inner();
    close(stream, end, &progress).await;
}

fn builder(limits: &Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes)
        .max_header_size(limits.header_bytes)
        .max_headers(limits.header_count);
    builder
}

/// Ends a connection on which the caller takes too long.
struct Timer {
    limits: Limits,
    progress: Rc<Progress>,
    drained: Option<Instant>,
    sleep: Pin<Box<Sleep>>,
}

impl Timer {
    fn new(limits: Limits, progress: Rc<Progress>) -> Self {
        Self {
            limits,
            progress,
            drained: None,
            sleep: Box::pin(sleep_until(Instant::now().into())),
        }
    }

    fn is_draining(&self) -> bool {
        self.drained.is_some()
    }

    fn drain(&mut self) {
        self.drained = Some(Instant::now());
    }

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
        let unread = self.progress.write_deadline(self.limits.write_timeout);
        let quiet = match self.progress.phase() {
            Phase::Idle(since) => Some(self.idle_deadline(since)),
            Phase::Head(since) => Some(since + self.limits.header_timeout),
            Phase::Request | Phase::Answered => None,
        };
        [unread, quiet].into_iter().flatten().min()
    }

    fn idle_deadline(&self, since: Instant) -> Instant {
        let idle = since + self.limits.idle_timeout;
        match self.drained {
            Some(drained) => idle.min(drained.max(since) + DRAIN_GRACE),
            None => idle,
        }
    }
}

/// Why a head was not taken, if it was not.
fn head_fault(end: End, progress: &Progress) -> Option<Fault> {
    if progress.is_malformed() {
        let detail = "the request's head is malformed or larger than the limit";
        return Some(Fault::new(Kind::BadRequest, detail));
    }
    match end {
        End::Expired(Phase::Head(_)) => {
            let detail = "the request's head did not come in time";
            Some(Fault::new(Kind::SlowSender, detail))
        }
        _ => None,
    }
}

async fn close(stream: TcpStream, end: End, progress: &Progress) {
    if let Some(fault) = head_fault(end, progress) {
        return refuse(stream, &fault).await;
    }
    match progress.closing() {
        Closing::Plain => {}
        Closing::Linger => linger(stream).await,
        Closing::Reset => reset(&stream),
    }
}

/// Answers a caller whose request has not been read, and closes the connection.
pub(crate) async fn refuse(mut stream: TcpStream, fault: &Fault) {
    log::debug!(target: "serve", "A request was refused: {fault}.");
    let bytes = encode_last(&build_error_response(fault, None));
    let sent = timeout(LINGER_TIME, stream.write_all(&bytes)).await;
    if matches!(sent, Ok(Ok(()))) {
        linger(stream).await;
    }
}

/// Reads on for a while, since a socket closed with unread bytes takes back the answer.
async fn linger(mut stream: TcpStream) {
    let discard = async {
        stream.shutdown().await?;
        let mut space = [0; DISCARD_BYTES];
        let mut left = LINGER_BYTES;
        while left > 0 {
            let count = stream.read(&mut space).await?;
            if count == 0 {
                break;
            }
            left = left.saturating_sub(count);
        }
        std::io::Result::Ok(())
    };
    // Whatever happens here, the connection is closed next.
    let _ = timeout(LINGER_TIME, discard).await;
}

fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!(target: "serve", "A connection can't be reset: {error}.");
    }
}
