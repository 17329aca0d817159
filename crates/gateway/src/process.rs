//! Starts and ends one host.

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
    claims, clock, dialect,
    feed::{self, LISTS},
    gateway::Gateway,
    gossip::Gossip,
    orders, server,
    settings::{Log, Settings},
    watch::follow,
};

/// Time from the signal to stop until kept connections are closed: the balancer leaves a host after two
/// questions, one a second.
const LEAVES: Duration = Duration::from_millis(2500);

/// Time before the end of the grace in which nothing is waited for any more.
const LAST: Duration = Duration::from_millis(400);

/// Time between two looks at whether the last connection is closed.
const STEP: Duration = Duration::from_millis(20);

/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);

/// Why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The log can't be started.
    #[display("{_0}")]
    Log(telemetry::log::Failure),
    /// A port can't be opened, or another resource of the machine can't be had.
    #[display("{_0}")]
    Machine(io::Error),
    /// The dialect isn't known.
    #[display("dialect {_0} is not known")]
    #[from(ignore)]
    Dialect(#[error(not(source))] String),
}

/// Runs one host until it is told to stop.
pub fn run(settings: Settings) -> Result<(), Failure> {
    let level = match settings.log {
        Log::Warn => LevelFilter::Warn,
        Log::Info => LevelFilter::Info,
        Log::Debug => LevelFilter::Debug,
    };
    let _log = telemetry::log::start_ring(level)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let host = async {
        let mut stop = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        spawn_local(reloads(signal(SignalKind::hangup())?));
        let told = async move {
            tokio::select! {
                _ = stop.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        serve(settings, told).await
    };
    LocalSet::new().block_on(&runtime, host)
}

/// Serves until `stop` is there, and then ends in order. It must run within a [`LocalSet`].
pub async fn serve(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), Failure> {
    let dialect = dialect::find(&settings.dialect)
        .ok_or_else(|| Failure::Dialect(settings.dialect.clone()))?;
    let life = SystemTime::now().duration_since(UNIX_EPOCH);
    let life = life.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0));
    let gateway = Rc::new(Gateway::new(settings, dialect, life));
    let settings = &gateway.settings;
    let callers = server::listen(settings.callers)?;
    let ready = server::listen(settings.ready)?;
    let lists = server::listen(settings.peers)?;
    let gossip = Gossip::bind(gateway.clone()).await?;
    let (close, closing) = watch::channel(false);
    log::info!(event = "start", host = &*gateway.holder, life = gateway.life; "host starts");
    spawn_local(server::ready(ready, gateway.clone()));
    match server::listen(settings.metrics) {
        Ok(it) => {
            spawn_local(server::metrics(it, gateway.clone()));
        }
        // Callers can be served without.
        Err(error) => {
            log::warn!(event = "no-metrics"; "metrics can't be shown at {}: {error}", settings.metrics);
        }
    }
    spawn_local(server::callers(
        callers,
        gateway.clone(),
        gossip.clone(),
        closing,
    ));
    for kind in LISTS {
        spawn_local(follow(gateway.clone(), kind));
    }
    spawn_local(claims::keep(gateway.clone()));
    spawn_local(gossip.clone().hear());
    spawn_local(gossip.clone().tell());
    spawn_local(orders::give(gateway.clone(), gossip));
    spawn_local(feed::tell(lists, gateway.clone()));
    spawn_local(feed::start(gateway.clone()));
    spawn_local(sweep(gateway.clone()));
    stop.await;
    leave(&gateway, &close).await;
    Ok(())
}

/// Ends without cutting anything: the balancer leaves first, then kept connections are closed, then
/// what still runs is waited for.
async fn leave(gateway: &Rc<Gateway>, close: &watch::Sender<bool>) {
    let began = clock::now();
    let grace = Duration::from_secs_f64(gateway.settings.grace_seconds);
    let end = began + grace.saturating_sub(LAST);
    log::info!(event = "stop", callers = gateway.callers.get(); "host stops");
    gateway.stopping.set(true);
    claims::release(gateway).await;
    time::sleep((began + LEAVES).saturating_sub(clock::now())).await;
    gateway.closing.set(true);
    let _ = close.send(true);
    time::sleep(STEP).await;
    while gateway.callers.get() > 0 && clock::now() < end {
        time::sleep(STEP).await;
    }
    log::info!(event = "end", cut = gateway.callers.get(); "host ends");
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        let due = clock::now() + SWEEP;
        time::sleep(SWEEP).await;
        gateway.metrics.loop_delay(clock::now().saturating_sub(due));
        gateway.pool.sweep();
    }
}

/// Settings that can change while a process runs are none; the signal must not end it.
async fn reloads(mut signal: Signal) {
    while signal.recv().await.is_some() {
        log::info!(event = "reload"; "no setting that is in use can change");
    }
}
