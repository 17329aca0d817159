//! A whole deployment of stand-ins and real entry hosts, each in its own process.
//!
//! All processes are killed and reaped when the fleet is dropped and when its start fails.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::{Display, Error};

use crate::{client, command, control::Toggle, engine, hosts, link, object, plain, port, weights};

pub mod guard;
mod launcher;
pub mod node;
pub mod process;
pub mod programs;
pub mod settings;
pub mod shape;

use guard::Guard;
use launcher::Launcher;
pub use node::{Entry, Upstream};
use process::{Pending, Process, Spec};
pub use shape::Shape;

/// Timeout of the start of a process.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two polls for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Prefix of the output line that an entry host prints once it accepts callers.
const ENTRY_READY_PREFIX: &str = "callers";

/// Error of starting or controlling a fleet.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The programs could not be built.
    #[display("the programs cannot be built: {_0}")]
    Build(#[error(not(source))] String),
    /// A process could not be started.
    #[display("{name} cannot be started: {source}")]
    Start {
        /// The name of the process.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process exited before it was ready.
    #[display("{name} exited before it was ready ({status}): {log}")]
    Ended {
        /// The name of the process.
        name: String,
        /// The exit status.
        status: String,
        /// The end of its log.
        log: String,
    },
    /// A process was not ready within [`START_TIMEOUT`].
    #[display("{name} was not ready after {START_TIMEOUT:?}: {log}")]
    Timeout {
        /// The name of the process.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// A process printed something other than its address.
    #[display("{name} printed {line:?} instead of its address")]
    Output {
        /// The name of the process.
        name: String,
        /// The line that it printed.
        line: String,
    },
    /// A call to the control interface of a stand-in failed.
    #[display("{_0}")]
    Control(client::Failure),
}

/// A directory that is removed when this is dropped.
#[derive(Debug)]
struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The processes of a deployment. Fields are dropped in the order of their declaration, so entry
/// hosts are stopped first.
#[derive(Debug)]
pub struct Fleet {
    entries: Vec<Entry>,
    engines: Vec<Upstream>,
    plains: Vec<Upstream>,
    weights: Process,
    platform: Process,
    guard: Option<Guard>,
    directory: Directory,
}

impl Fleet {
    /// Builds the programs if needed and starts all processes.
    pub fn start(shape: &Shape) -> Result<Self, Failure> {
        let mut fleet = Self::start_standins(shape)?;
        fleet.start_entries(shape)?;
        Ok(fleet)
    }

    /// Builds the stand-in program if needed and starts all processes except the entry hosts.
    pub fn start_standins(shape: &Shape) -> Result<Self, Failure> {
        let program = programs::build_standin()?;
        let directory = create_directory()?;
        let launcher = Launcher {
            program: &program,
            directory: &directory.0,
        };
        let platform = launcher.spawn("platform", "platform", &())?.ready()?;
        let weights = launcher.spawn("weights", "weights", &shape.weights)?;
        let weights = weights.ready()?;
        let engine = engine::Settings {
            weights: Some(weights.address()),
            ..shape.engine.clone()
        };
        let engines = launcher.start_all("engine", shape.engine_specs(), |_| engine.clone())?;
        let plains = launcher.start_all("plain", shape.plain_specs(), |host| plain::Settings {
            name: host.name.clone(),
            service: host.serves.clone(),
        })?;
        let fleet = Self {
            entries: Vec::new(),
            engines,
            plains,
            weights,
            platform,
            guard: None,
            directory,
        };
        fleet.register_upstreams(shape)?;
        Ok(fleet)
    }

    fn register_upstreams(&self, shape: &Shape) -> Result<(), Failure> {
        let engines = self.engines.iter().zip(shape.engine_specs());
        let plains = self.plains.iter().zip(shape.plain_specs());
        for (upstream, host) in engines.chain(plains) {
            let host = host.to_listed(upstream.address());
            self.set_hosts(&hosts::Switch::Put(host))
                .map_err(Failure::Control)?;
        }
        Ok(())
    }

    /// Starts entry hosts that have each other as seeds, in addition to those already running.
    pub fn start_entries(&mut self, shape: &Shape) -> Result<(), Failure> {
        let programs = programs::build_shipped()?;
        if self.guard.is_none() {
            self.guard = Some(self.start_guard(&programs.entry)?);
        }
        let specs = shape.entry_specs();
        let addresses: Vec<SocketAddr> = specs
            .iter()
            .map(|host| free_addr(&host.name))
            .collect::<Result<_, _>>()?;
        let mut pending = Vec::new();
        for (host, address) in specs.into_iter().zip(&addresses) {
            self.set_hosts(&hosts::Switch::Put(host.to_listed(*address)))
                .map_err(Failure::Control)?;
            let link = self
                .start_link(shape.links)
                .map_err(|it| start_failure("a link", it))?;
            let platform = link.as_ref().map_or(self.platform(), link::Server::address);
            let settings = settings::Entry {
                callers: free_addr(&host.name)?,
                host: &host.name,
                domain: &host.domain,
                peers: *address,
                platform,
                seeds: addresses
                    .iter()
                    .filter(|it| *it != address)
                    .copied()
                    .collect(),
            };
            let file = self.directory.0.join(format!("{}.yaml", host.name));
            fs::write(&file, settings.to_string()).map_err(|it| start_failure(&host.name, it))?;
            let process = self.spawn_entry(&host.name, &file)?;
            pending.push((host, *address, file, link, process));
        }
        for (host, peers, settings, link, process) in pending {
            self.entries.push(Entry {
                name: host.name,
                domain: host.domain,
                peers,
                settings,
                process: process.ready()?,
                link,
            });
        }
        Ok(())
    }

    fn start_link(&self, links: Toggle) -> io::Result<Option<link::Server>> {
        match links {
            Toggle::On => link::Server::start(self.platform()).map(Some),
            Toggle::Off => Ok(None),
        }
    }

    fn start_guard(&self, program: &Path) -> Result<Guard, Failure> {
        let spec = Spec {
            name: guard::KIND,
            program: &programs::build_standin()?,
            arguments: &[guard::KIND.to_owned(), program.display().to_string()],
            ready_prefix: command::READY_PREFIX,
            log: self.directory.0.join("guard.log"),
        };
        Ok(Guard::new(Pending::spawn(&spec)?.ready()?))
    }

    fn spawn_entry(&self, name: &str, settings: &Path) -> Result<Pending, Failure> {
        let spec = Spec {
            name,
            program: &programs::build_shipped()?.entry,
            arguments: &["--settings".to_owned(), settings.display().to_string()],
            ready_prefix: ENTRY_READY_PREFIX,
            log: self.directory.0.join(format!("{name}.log")),
        };
        let pending = Pending::spawn(&spec)?;
        if let Some(guard) = &self.guard {
            guard.add(pending.id())?;
        }
        Ok(pending)
    }

    /// Kills an entry host and starts it again with the same settings.
    pub fn restart(&mut self, index: usize) -> Result<(), Failure> {
        let entry = &self.entries[index];
        entry.process.kill();
        let process = self.spawn_entry(&entry.name, &entry.settings)?.ready()?;
        self.entries[index].process = process;
        Ok(())
    }

    /// Returns the entry hosts.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns an entry host.
    pub fn entry(&self, index: usize) -> &Entry {
        &self.entries[index]
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[Upstream] {
        &self.engines
    }

    /// Returns the instances of plain services.
    pub fn plains(&self) -> &[Upstream] {
        &self.plains
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the process of the platform.
    pub fn platform_process(&self) -> &Process {
        &self.platform
    }

    /// Sets a switch of the object API.
    pub fn set_objects(&self, switch: &object::Switch) -> Result<(), client::Failure> {
        client::set_switch(self.platform(), "/control", switch)
    }

    /// Sets a switch of the host list.
    pub fn set_hosts(&self, switch: &hosts::Switch) -> Result<(), client::Failure> {
        client::set_switch(self.platform(), "/hosts/control", switch)
    }

    /// Sets a switch of the weight store.
    pub fn set_weights(&self, switch: &weights::Switch) -> Result<(), client::Failure> {
        client::set_switch(self.weights.address(), "/control", switch)
    }

    /// Reads the counters of the object API.
    pub fn object_counts(&self) -> Result<object::Counts, client::Failure> {
        client::read_counts(self.platform(), "/control")
    }

    /// Reads the counters of the weight store.
    pub fn weight_counts(&self) -> Result<weights::Counts, client::Failure> {
        client::read_counts(self.weights.address(), "/control")
    }

    /// Runs the `comfreywing` command line tool.
    pub fn run_cli(&self, arguments: &[&str]) -> Result<Output, Failure> {
        let program = programs::build_shipped()?.cli;
        let output = Command::new(program).args(arguments).output();
        output.map_err(|it| start_failure("comfreywing", it))
    }

    /// Asks all entry hosts to shut down and waits for each up to the timeout. Those still running
    /// after it are killed.
    pub fn shut_down(&self, timeout: Duration) -> Vec<(String, process::WaitOutcome)> {
        for entry in &self.entries {
            entry.process.terminate();
        }
        let ended = self.entries.iter().map(|entry| {
            let ended = entry.process.wait(timeout);
            entry.process.kill();
            (entry.name.clone(), ended)
        });
        ended.collect()
    }
}

fn free_addr(host: &str) -> Result<SocketAddr, Failure> {
    port::free_addr().map_err(|it| start_failure(host, it))
}

fn start_failure(name: &str, source: io::Error) -> Failure {
    Failure::Start {
        name: name.to_owned(),
        source,
    }
}

fn create_directory() -> Result<Directory, Failure> {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("comfreywing-fleet-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::create_dir_all(&path).map_err(|it| start_failure("the fleet's directory", it))?;
    Ok(Directory(path))
}
