//! Start and shutdown of a host.

use std::{
    io,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derive_more::{Display, Error, From};
use log::LevelFilter;
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::{LocalSet, spawn_local},
    time,
};

use crate::{
    assignments, claims, clock, dialect,
    gateway::Gateway,
    gossip::Gossip,
    isolation,
    list_sync::{self, LISTS},
    orders, server,
    settings::{Log, Settings},
    watch::follow,
};

/// Time from the stop signal until idle connections are closed. The balancer sends no more callers
/// after two failed readiness checks, one second apart.
const BALANCER_LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Time before the end of the grace period at which requests in progress are answered by the host itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Maximum time to write the answers to the requests that are still in progress at the end.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);

/// Time between two checks whether all caller connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two sweeps of the connection pool.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The log could not be started.
    #[display("{_0}")]
    Log(telemetry::log::Failure),
    /// A port could not be opened, or another system resource is unavailable.
    #[display("{_0}")]
    Io(io::Error),
    /// No dialect of this name is registered.
    #[display("unknown dialect {_0}")]
    #[from(ignore)]
    UnknownDialect(#[error(not(source))] String),
}

/// Runs one host until it receives SIGTERM or SIGINT.
pub fn run(settings: Settings) -> Result<(), Failure> {
    let level = match settings.log {
        Log::Warn => LevelFilter::Warn,
        Log::Info => LevelFilter::Info,
        Log::Debug => LevelFilter::Debug,
    };
    let _log = telemetry::log::start_buffered(level)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let host = async {
        let mut stop = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        spawn_local(handle_reload_signals(signal(SignalKind::hangup())?));
        let stop_signal = async move {
            tokio::select! {
                _ = stop.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        serve(settings, stop_signal).await
    };
    LocalSet::new().block_on(&runtime, host)
}

/// Runs one host until `stop` completes, then shuts it down. It must run within a [`LocalSet`].
pub async fn serve(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), Failure> {
    let dialect = dialect::find(&settings.dialect)
        .ok_or_else(|| Failure::UnknownDialect(settings.dialect.clone()))?;
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = incarnation.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0));
    let gateway = Rc::new(Gateway::new(settings, dialect, incarnation));
    let settings = &gateway.settings;
    let caller_listener = server::listen(settings.callers)?;
    let ready_listener = server::listen(settings.ready)?;
    let peer_listener = server::listen(settings.peers)?;
    let gossip = Gossip::bind(gateway.clone()).await?;
    let (close, closing) = watch::channel(false);
    log::info!(event = "start", host = &*gateway.holder, life = gateway.incarnation; "host is starting");
    spawn_local(server::serve_readiness(ready_listener, gateway.clone()));
    match server::listen(settings.metrics) {
        Ok(it) => {
            spawn_local(server::serve_metrics(it, gateway.clone()));
        }
        // Metrics are not needed to serve callers.
        Err(error) => {
            log::warn!(event = "no-metrics"; "cannot serve metrics at {}: {error}", settings.metrics);
        }
    }
    spawn_local(server::serve_callers(
        caller_listener,
        gateway.clone(),
        gossip.clone(),
        closing.clone(),
    ));
    for kind in LISTS {
        spawn_local(follow(gateway.clone(), kind));
    }
    spawn_local(claims::maintain(gateway.clone()));
    spawn_local(assignments::maintain(gateway.clone()));
    spawn_local(gossip.clone().receive());
    spawn_local(gossip.clone().send_heartbeats());
    spawn_local(gossip.clone().serve_joined_hosts());
    spawn_local(orders::run(gateway.clone(), gossip.clone()));
    spawn_local(list_sync::serve(
        peer_listener,
        gateway.clone(),
        gossip.clone(),
        closing,
    ));
    spawn_local(isolation::watch(gateway.clone()));
    spawn_local(list_sync::bootstrap(gateway.clone()));
    spawn_local(sweep_connections(gateway.clone()));
    stop.await;
    shut_down(&gateway, &gossip, &close).await;
    Ok(())
}

/// Shuts down without cutting off requests: waits until the balancer sends no more callers, closes
/// idle connections, then waits for the requests in progress. Those that last too long are answered by this host, or cut
/// if their response has begun.
async fn shut_down(gateway: &Rc<Gateway>, gossip: &Gossip, close: &watch::Sender<bool>) {
    let started = clock::now();
    let grace = Duration::from_secs_f64(gateway.settings.grace_seconds);
    let end = started + grace.saturating_sub(GRACE_MARGIN);
    log::info!(event = "stop", callers = gateway.open_connections.get(); "host is shutting down");
    gateway.stopping.set(true);
    gateway.stop_deadline.set(Some(end));
    gateway.stop_began.notify_waiters();
    gossip.hand_over_origins();
    claims::release(gateway).await;
    time::sleep((started + BALANCER_LEAVE_TIME).saturating_sub(clock::now())).await;
    gateway.closing.set(true);
    let _ = close.send(true);
    time::sleep(CLOSE_POLL_INTERVAL).await;
    let end = end + LAST_ANSWERS_TIME;
    while gateway.open_connections.get() > 0 && clock::now() < end {
        time::sleep(CLOSE_POLL_INTERVAL).await;
    }
    log::info!(event = "end", cut = gateway.open_connections.get(); "host has shut down");
}

/// Closes expired idle connections, and measures the delay of the event loop's timers.
async fn sweep_connections(gateway: Rc<Gateway>) {
    loop {
        let due = clock::now() + SWEEP_INTERVAL;
        time::sleep(SWEEP_INTERVAL).await;
        gateway
            .metrics
            .record_loop_delay(clock::now().saturating_sub(due));
        gateway.pool.close_expired();
        gateway.store_pool.close_expired();
        gateway.host_pool.close_expired();
    }
}

/// Handles SIGHUP, which must not terminate the process. No setting can change while the process
/// runs.
async fn handle_reload_signals(mut signal: Signal) {
    while signal.recv().await.is_some() {
        log::info!(event = "reload"; "SIGHUP ignored: settings cannot change while the process runs");
    }
}
