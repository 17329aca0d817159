//! The lifecycle of the process: start, serve, shut down.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, Error};
use kernel::clock;
use serve::{DrainOutcome, Limits, Server};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use telemetry::metrics::Metrics;

use crate::{
    host::{Host, Parts},
    peers::Handler,
    plugin::{Phase, Threads},
    readiness::Stage,
    route::Router,
    settings::{Format, Level, Settings},
};

/// How long a leaving host stays reachable, so that its peers learn that it leaves before its
/// sockets close.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// An error during startup or shutdown.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// Logging could not be set up.
    #[display("logging could not be set up: {_0}")]
    Log(telemetry::log::Failure),
    /// The callers' port could not be bound.
    #[display("callers' address {address} could not be bound: {source}")]
    Callers {
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP server could not be started.
    #[display("the HTTP server could not be started: {_0}")]
    Serve(serve::Failure),
    /// The peer sockets could not be opened.
    #[display("the peer sockets could not be opened: {_0}")]
    Peer(peer::Failure),
    /// A thread or a signal handler could not be started.
    #[display("a thread or signal handler could not be started: {_0}")]
    System(std::io::Error),
    /// The shutdown aborted running requests.
    #[display("the shutdown aborted {_0} running requests")]
    Aborted(#[error(not(source))] usize),
}

/// Runs an entry host until it receives a termination signal.
pub fn run(settings: Settings) -> Result<(), Failure> {
    let logs = telemetry::log::start(log_settings(&settings)).map_err(Failure::Log)?;
    let metrics = Metrics::new();
    let limits = Limits {
        workers: settings.workers as usize,
        connections: settings.limits.connections as usize,
        peer_connections: settings.limits.peer_connections as usize,
        body_bytes: settings.limits.body_bytes as usize,
        ..Limits::default()
    };
    let drain_timeout = Duration::from_secs(u64::from(settings.drain_seconds));
    let listener = TcpListener::bind(settings.callers).map_err(|source| Failure::Callers {
        address: settings.callers,
        source,
    })?;
    let host = Arc::new(Host::new(Parts {
        settings,
        clock: Arc::new(clock::System),
        metrics,
    }));
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(Failure::System)?;
    let peers = start_peer_service(&host)?;
    let router = Arc::new(Router::new(Arc::clone(&host)));
    let server = Server::start(listener, limits, router).map_err(Failure::Serve)?;
    let service_threads = Threads::start(&host, Phase::Service).map_err(Failure::System)?;
    let intake_threads = match Threads::start(&host, Phase::Intake) {
        Ok(it) => it,
        Err(error) => {
            service_threads.join();
            return Err(Failure::System(error));
        }
    };
    log::info!(target: "entry", "Host {} of {} serves callers on {}.", host.me.host, host.settings.domain, server.address());
    let result = serve_until_signal(&host, signals, server, intake_threads, drain_timeout);
    service_threads.join();
    peers.stop();
    log::info!(target: "entry", "Host {} has stopped.", host.me.host);
    drop(logs);
    result
}

fn log_settings(settings: &Settings) -> telemetry::log::Settings {
    telemetry::log::Settings {
        level: match settings.log.level {
            Level::Error => log::LevelFilter::Error,
            Level::Warn => log::LevelFilter::Warn,
            Level::Info => log::LevelFilter::Info,
            Level::Debug => log::LevelFilter::Debug,
            Level::Trace => log::LevelFilter::Trace,
        },
        format: match settings.log.form {
            Format::Text => telemetry::log::Format::Text,
            Format::Json => telemetry::log::Format::Json,
        },
    }
}

fn start_peer_service(host: &Arc<Host>) -> Result<peer::Service, Failure> {
    let me = member::Identity {
        holder: host.me.clone(),
        domain: host.settings.domain.clone(),
        address: host.settings.peers,
    };
    let settings = peer::Settings::new(
        me,
        host.settings.peers,
        host.settings.cluster_key.bytes().to_vec(),
        host.settings.seeds.clone(),
    );
    let handler = Arc::new(Handler(Arc::clone(host)));
    let service = peer::Service::start(settings, handler, Arc::clone(&host.clock));
    let service = service.map_err(Failure::Peer)?;
    host.peer
        .set(service.handle())
        .unwrap_or_else(|_| unreachable!("the peer handle is set once"));
    Ok(service)
}

/// Waits for the first signal, then shuts down. A second signal aborts the requests that still run.
fn serve_until_signal(
    host: &Arc<Host>,
    mut signals: Signals,
    server: Server,
    intake_threads: Threads,
    drain_timeout: Duration,
) -> Result<(), Failure> {
    println!("callers {}", server.address());
    signals.forever().next();
    log::info!(target: "entry", "Shutting down with {} running requests.", server.in_flight());
    host.readiness.advance_to(Stage::Leaving);
    intake_threads.join();
    if let Some(peer) = host.peer.get() {
        peer.leave();
    }
    std::thread::sleep(LEAVE_PROPAGATION_TIME);
    let drained = drain_until(&server, &mut signals, drain_timeout);
    server.stop();
    match drained {
        DrainOutcome::Complete => Ok(()),
        DrainOutcome::Aborted(count) => {
            log::warn!(target: "entry", "The shutdown aborted {count} running requests.");
            Err(Failure::Aborted(count))
        }
    }
}

/// Drains the server. Another signal ends the drain immediately.
fn drain_until(server: &Server, signals: &mut Signals, limit: Duration) -> DrainOutcome {
    let handle = signals.handle();
    let aborted = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            if signals.forever().next().is_some() {
                log::warn!(target: "entry", "A second signal ended the drain.");
                if let DrainOutcome::Aborted(count) = server.drain(Duration::ZERO) {
                    aborted.store(count, Ordering::Release);
                }
            }
        });
        let drained = server.drain(limit);
        handle.close();
        if watcher.join().is_err() {
            log::error!(target: "entry", "The signal thread panicked.");
        }
        match aborted.load(Ordering::Acquire) {
            0 => drained,
            count => DrainOutcome::Aborted(count),
        }
    })
}
