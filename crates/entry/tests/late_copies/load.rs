//! A run: hosts and instances under load.

use std::{fs, net::SocketAddr, thread, time::Duration};

use tokio::runtime::{Builder, Runtime};

use crate::{
    caller::{Call, Callers},
    host::{Exit, Host},
    instance::{Connections, Instance},
    world::{
        config, free_addr,
        store::{Era, Store},
        wait_until,
    },
};

const HOSTS: usize = 4;
const INSTANCES: usize = 3;

/// Time after the load in which a request that was answered as not run must not run either.
const OBSERVATION_TIME: Duration = Duration::from_secs(1);

/// A finished run.
pub struct Load {
    pub seed: u64,
    pub calls: Vec<Call>,
    pub instances: Vec<Instance>,
    hosts: Vec<Host>,
    _runtime: Runtime,
}

impl Load {
    pub fn run(seed: u64, time: Duration, connections: Connections) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let store = Store::start(&runtime);
        store.set_era(Era::Number(1));
        store.put("config", "main", &config(1));
        let instances: Vec<Instance> = (0..INSTANCES)
            .map(|it| Instance::start(&runtime, &format!("i-{it:04x}"), seed, connections))
            .collect();
        for it in &instances {
            store.put("servers", &it.id, &it.entry());
        }
        let mut hosts = start_hosts(seed, store.addr);
        wait_until("all hosts are ready", || hosts.iter().all(Host::is_ready));
        let addrs: Vec<SocketAddr> = hosts.iter().map(|it| it.callers).collect();
        let calls = Callers::start(seed, time, &addrs).join();
        thread::sleep(OBSERVATION_TIME);
        thread::scope(|scope| {
            for it in &mut hosts {
                scope.spawn(|| assert_eq!(it.terminate(), Exit::Status(Some(0))));
            }
        });
        Self {
            seed,
            calls,
            instances,
            hosts,
            _runtime: runtime,
        }
    }

    /// Returns the lines that the hosts have logged.
    pub fn log_lines(&self) -> Vec<String> {
        let read = |it: &Host| fs::read_to_string(&it.log).expect("the log can be read");
        let texts = self.hosts.iter().map(read);
        texts
            .flat_map(|it| it.lines().map(str::to_owned).collect::<Vec<_>>())
            .collect()
    }

    /// Returns the names of the hosts' logs.
    pub fn log_names(&self) -> String {
        let names = self.hosts.iter().map(|it| it.log.display().to_string());
        names.collect::<Vec<_>>().join(" ")
    }

    pub fn remove_logs(&self) {
        for it in &self.hosts {
            let _ = fs::remove_file(&it.log);
        }
    }
}

/// Starts hosts that know each other. All have the same port for other hosts, each at a loopback address of its own.
fn start_hosts(seed: u64, store: SocketAddr) -> Vec<Host> {
    let port = free_addr().port();
    let run = u8::try_from(seed % 200).expect("the value fits into a byte") + 2;
    let peers: Vec<SocketAddr> = (1..=HOSTS)
        .map(|it| {
            let last = u8::try_from(it).expect("the host number fits into a byte");
            SocketAddr::from(([127, 0, run, last], port))
        })
        .collect();
    let start = |it: usize| Host::start(seed, it, peers[it], store, &peers);
    (0..HOSTS).map(start).collect()
}
