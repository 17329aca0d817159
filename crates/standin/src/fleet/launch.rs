//! Starts stand-ins.

use std::path::Path;

use serde::Serialize;

use super::{
    Failure, Upstream,
    process::{Pending, Plan},
    shape::Place,
};
use crate::command;

/// How stand-ins are started.
pub struct Launch<'a> {
    /// The program of all stand-ins.
    pub program: &'a Path,
    /// Where logs go.
    pub directory: &'a Path,
}

impl Launch<'_> {
    /// Starts one.
    pub fn standin(
        &self,
        kind: &str,
        name: &str,
        settings: &impl Serialize,
    ) -> Result<Pending, Failure> {
        let settings = serde_json::to_string(settings).expect("settings can be written as JSON");
        let plan = Plan {
            name,
            program: self.program,
            arguments: &[kind.to_owned(), settings],
            word: command::READY,
            log: self.directory.join(format!("{name}.log")),
        };
        Pending::spawn(&plan)
    }

    /// Starts one at each place and waits until all are ready.
    pub fn all<S: Serialize>(
        &self,
        kind: &str,
        places: Vec<Place>,
        settings: impl Fn(&Place) -> S,
    ) -> Result<Vec<Upstream>, Failure> {
        let mut pending = Vec::new();
        for place in places {
            let process = self.standin(kind, &place.name, &settings(&place))?;
            pending.push((place, process));
        }
        let ready = pending.into_iter().map(|(place, process)| {
            Ok(Upstream {
                name: place.name,
                domain: place.domain,
                process: process.ready()?,
            })
        });
        ready.collect()
    }
}
