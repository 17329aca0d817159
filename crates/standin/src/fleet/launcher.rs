//! Starts stand-ins as processes.

use std::path::Path;

use serde::Serialize;

use super::{
    Failure, Upstream,
    process::{Pending, Spec},
    shape::HostSpec,
};
use crate::command;

/// Starts stand-ins as processes.
pub struct Launcher<'a> {
    /// The program that contains all stand-ins.
    pub program: &'a Path,
    /// The directory of the log files.
    pub directory: &'a Path,
}

impl Launcher<'_> {
    /// Starts a stand-in without waiting until it is ready.
    pub fn spawn(
        &self,
        kind: &str,
        name: &str,
        settings: &impl Serialize,
    ) -> Result<Pending, Failure> {
        let settings = serde_json::to_string(settings).expect("settings can be written as JSON");
        let spec = Spec {
            name,
            program: self.program,
            arguments: &[kind.to_owned(), settings],
            ready_prefix: command::READY_PREFIX,
            log: self.directory.join(format!("{name}.log")),
        };
        Pending::spawn(&spec)
    }

    /// Starts a stand-in for each host and waits until all are ready.
    pub fn start_all<S: Serialize>(
        &self,
        kind: &str,
        hosts: Vec<HostSpec>,
        settings: impl Fn(&HostSpec) -> S,
    ) -> Result<Vec<Upstream>, Failure> {
        let mut pending = Vec::new();
        for host in hosts {
            let process = self.spawn(kind, &host.name, &settings(&host))?;
            pending.push((host, process));
        }
        let ready = pending.into_iter().map(|(host, process)| {
            Ok(Upstream {
                name: host.name,
                domain: host.domain,
                process: process.ready()?,
            })
        });
        ready.collect()
    }
}
