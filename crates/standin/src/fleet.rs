//! A whole deployment as separate processes: stand-ins and real entry hosts.
//!
//! Every process is killed and waited for when the fleet is dropped, also when a start fails.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::{Display, Error};

use crate::{client, command, control::Toggle, engine, hosts, link, object, plain, weights};

pub mod guard;
mod launch;
pub mod part;
pub mod port;
pub mod process;
pub mod programs;
pub mod settings;
pub mod shape;

use guard::Guard;
use launch::Launch;
pub use part::{Entry, Upstream};
use process::{Pending, Plan, Process};
pub use shape::Shape;

/// Time for a process to be ready.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(10);

/// The word before the address in the line that tells that an entry host serves callers.
const CALLERS: &str = "callers";

/// Why a fleet did not start.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The programs could not be built.
    #[display("the programs can't be built: {_0}")]
    Build(#[error(not(source))] String),
    /// A part could not be started.
    #[display("{name} can't be started: {source}")]
    Start {
        /// The part.
        name: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// A part ended before it was ready.
    #[display("{name} ended before it was ready ({status}): {log}")]
    Ended {
        /// The part.
        name: String,
        /// How it ended.
        status: String,
        /// The end of what it logged.
        log: String,
    },
    /// A part was not ready in time.
    #[display("{name} was not ready after {START_TIMEOUT:?}: {log}")]
    Slow {
        /// The part.
        name: String,
        /// The end of what it logged.
        log: String,
    },
    /// A part printed something else than its address.
    #[display("{name} printed {line:?} in place of its address")]
    Output {
        /// The part.
        name: String,
        /// What it printed.
        line: String,
    },
    /// A part did not take a switch.
    #[display("{_0}")]
    Control(client::Failure),
}

/// A directory that is removed with the fleet.
#[derive(Debug)]
struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The processes of a deployment. Fields are dropped in their order: entry hosts first.
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
    /// Builds the programs if needed and starts everything.
    pub fn start(shape: &Shape) -> Result<Self, Failure> {
        let mut fleet = Self::start_standins(shape)?;
        fleet.start_entries(shape)?;
        Ok(fleet)
    }

    /// Starts everything but the entry hosts.
    pub fn start_standins(shape: &Shape) -> Result<Self, Failure> {
        let program = programs::standin()?;
        let directory = directory()?;
        let launch = Launch {
            program: &program,
            directory: &directory.0,
        };
        let platform = launch.standin("platform", "platform", &())?.ready()?;
        let weights = launch.standin("weights", "weights", &shape.weights)?;
        let weights = weights.ready()?;
        let engine = engine::Settings {
            weights: Some(weights.address()),
            ..shape.engine.clone()
        };
        let engines = launch.all("engine", shape.engine_places(), |_| engine.clone())?;
        let plains = launch.all("plain", shape.plain_places(), |place| plain::Settings {
            name: place.name.clone(),
            service: place.serves.clone(),
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
        fleet.list_upstreams(shape)?;
        Ok(fleet)
    }

    fn list_upstreams(&self, shape: &Shape) -> Result<(), Failure> {
        let engines = self.engines.iter().zip(shape.engine_places());
        let plains = self.plains.iter().zip(shape.plain_places());
        for (upstream, place) in engines.chain(plains) {
            let host = place.host(upstream.address());
            self.set_hosts(&hosts::Switch::Put(host))
                .map_err(Failure::Control)?;
        }
        Ok(())
    }

    /// Starts entry hosts that know of each other, on top of those that run.
    pub fn start_entries(&mut self, shape: &Shape) -> Result<(), Failure> {
        // A long build must not come between the reservation of ports and their use.
        let programs = programs::shipped()?;
        if self.guard.is_none() {
            self.guard = Some(self.start_guard(&programs.entry)?);
        }
        let places = shape.entry_places();
        let ports: Vec<port::Reserved> = places
            .iter()
            .map(|place| port::reserve().map_err(|it| start_failure(&place.name, it)))
            .collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> = ports.iter().map(|it| it.address).collect();
        drop(ports);
        let mut pending = Vec::new();
        for (place, address) in places.into_iter().zip(&addresses) {
            self.set_hosts(&hosts::Switch::Put(place.host(*address)))
                .map_err(Failure::Control)?;
            let link = self
                .link(shape.links)
                .map_err(|it| start_failure("a link", it))?;
            let platform = link.as_ref().map_or(self.platform(), link::Server::address);
            let callers = port::reserve().map_err(|it| start_failure(&place.name, it))?;
            let settings = settings::Entry {
                callers: callers.address,
                host: &place.name,
                domain: &place.domain,
                peers: *address,
                platform,
                seeds: addresses
                    .iter()
                    .filter(|it| *it != address)
                    .copied()
                    .collect(),
            };
            let file = self.directory.0.join(format!("{}.yaml", place.name));
            fs::write(&file, settings.to_string()).map_err(|it| start_failure(&place.name, it))?;
            drop(callers);
            let process = self.spawn_entry(&place.name, &file)?;
            pending.push((place, *address, file, link, process));
        }
        for (place, peers, settings, link, process) in pending {
            self.entries.push(Entry {
                name: place.name,
                domain: place.domain,
                peers,
                settings,
                process: process.ready()?,
                link,
            });
        }
        Ok(())
    }

    fn link(&self, links: Toggle) -> io::Result<Option<link::Server>> {
        match links {
            Toggle::On => link::Server::start(self.platform()).map(Some),
            Toggle::Off => Ok(None),
        }
    }

    fn start_guard(&self, program: &Path) -> Result<Guard, Failure> {
        let plan = Plan {
            name: guard::KIND,
            program: &programs::standin()?,
            arguments: &[guard::KIND.to_owned(), program.display().to_string()],
            word: command::READY,
            log: self.directory.0.join("guard.log"),
        };
        Ok(Guard::new(Pending::spawn(&plan)?.ready()?))
    }

    fn spawn_entry(&self, name: &str, settings: &Path) -> Result<Pending, Failure> {
        let plan = Plan {
            name,
            program: &programs::shipped()?.entry,
            arguments: &["--settings".to_owned(), settings.display().to_string()],
            word: CALLERS,
            log: self.directory.0.join(format!("{name}.log")),
        };
        let pending = Pending::spawn(&plan)?;
        if let Some(guard) = &self.guard {
            guard.watch(pending.id())?;
        }
        Ok(pending)
    }

    /// Kills an entry host and starts it anew with the same settings.
    pub fn restart(&mut self, index: usize) -> Result<(), Failure> {
        let entry = &self.entries[index];
        entry.process.kill();
        let process = self.spawn_entry(&entry.name, &entry.settings)?.ready()?;
        self.entries[index].process = process;
        Ok(())
    }

    /// The entry hosts.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// An entry host.
    pub fn entry(&self, index: usize) -> &Entry {
        &self.entries[index]
    }

    /// The engines.
    pub fn engines(&self) -> &[Upstream] {
        &self.engines
    }

    /// The instances of plain services.
    pub fn plains(&self) -> &[Upstream] {
        &self.plains
    }

    /// The platform's address.
    pub fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// The platform's process.
    pub fn platform_process(&self) -> &Process {
        &self.platform
    }

    /// Sets a switch of the object API.
    pub fn set_objects(&self, switch: &object::Switch) -> Result<(), client::Failure> {
        client::set(self.platform(), "/control", switch)
    }

    /// Sets a switch of the host list.
    pub fn set_hosts(&self, switch: &hosts::Switch) -> Result<(), client::Failure> {
        client::set(self.platform(), "/hosts/control", switch)
    }

    /// Sets a switch of the weight store.
    pub fn set_weights(&self, switch: &weights::Switch) -> Result<(), client::Failure> {
        client::set(self.weights.address(), "/control", switch)
    }

    /// What was asked of the object API.
    pub fn object_counts(&self) -> Result<object::Counts, client::Failure> {
        client::counts(self.platform(), "/control")
    }

    /// What was asked of the weight store.
    pub fn weight_counts(&self) -> Result<weights::Counts, client::Failure> {
        client::counts(self.weights.address(), "/control")
    }

    /// Runs the operators' command line.
    pub fn run_cli(&self, arguments: &[&str]) -> Result<Output, Failure> {
        let program = programs::shipped()?.cli;
        let output = Command::new(program).args(arguments).output();
        output.map_err(|it| start_failure("comfreywing", it))
    }

    /// Tells every entry host to shut down and waits; those still there after `limit` are killed.
    pub fn shut_down(&self, limit: Duration) -> Vec<(String, process::WaitOutcome)> {
        for entry in &self.entries {
            entry.process.terminate();
        }
        let ended = self.entries.iter().map(|entry| {
            let ended = entry.process.wait(limit);
            entry.process.kill();
            (entry.name.clone(), ended)
        });
        ended.collect()
    }
}

fn start_failure(name: &str, source: io::Error) -> Failure {
    Failure::Start {
        name: name.to_owned(),
        source,
    }
}

fn directory() -> Result<Directory, Failure> {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("comfreywing-fleet-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::create_dir_all(&path).map_err(|it| start_failure("the fleet's directory", it))?;
    Ok(Directory(path))
}
