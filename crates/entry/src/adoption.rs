//! Adopts configuration revisions. The revision in force only goes up.

use config::revision::{Number, Outcome, Record, State};
use kernel::name::Host as HostName;
use objects::log;

use crate::{
    host::Host,
    readiness::Stage,
    recent::{self, Step},
};

/// Where the configuration came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's object API.
    Platform,
    /// Another entry host.
    Peers,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "the platform",
            Self::Peers => "other hosts",
        }
    }
}

/// Notes that the configuration is known.
pub fn known(host: &Host, source: Source) {
    if host.readiness.stage() != Stage::Starting {
        return;
    }
    let number = host.text().0;
    ::log::info!(target: "config", "Revision {number} is known from {}.", source.as_str());
    host.readiness.reach(Stage::Joining);
}

/// Brings the configuration up to what the platform has.
pub fn from_platform(host: &Host) -> Result<(), log::Error> {
    let held = host.text().0;
    if held == Number::default() {
        replace(host, host.log.load()?);
        return Ok(());
    }
    match host.log.fetch_after(held) {
        Ok(records) => {
            for record in records {
                if adopt(host, &record) == Progress::Stuck {
                    break;
                }
            }
        }
        // The records in between were dropped after a snapshot.
        Err(log::Error::MissingRevision { .. }) => {
            replace(host, host.log.load()?);
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Takes what another host sent.
pub fn from_peer(host: &Host, other: &HostName, steps: &[Vec<u8>]) {
    for bytes in steps {
        let adopted = match recent::read(bytes) {
            Some(Step::Record(record)) => adopt(host, &record),
            Some(Step::State(state)) => replace(host, state),
            None => {
                ::log::warn!(target: "config", "Host {other} sent a revision that can't be read.");
                return;
            }
        };
        if adopted == Progress::Stuck {
            return;
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Fine,
    Stuck,
}

/// Adopts one edit.
fn adopt(host: &Host, record: &Record) -> Progress {
    let mut state = host.revision.write().expect("revision lock is poisoned");
    match state.adopt(record) {
        Outcome::Adopted => {
            host.recent.push(record);
            drop(state);
            in_force(host, record.number.0);
            Progress::Fine
        }
        Outcome::Stale => Progress::Fine,
        Outcome::Gap { current, offered } => {
            ::log::info!(target: "config", "Revision {offered} can't follow {current}.");
            Progress::Stuck
        }
        Outcome::Rejected(invalid) => {
            ::log::error!(target: "config", "Revision {} does not fit the text in force: {invalid}.", record.number);
            Progress::Stuck
        }
    }
}

/// Adopts a whole text.
fn replace(host: &Host, new: State) -> Progress {
    let number = new.number();
    let mut state = host.revision.write().expect("revision lock is poisoned");
    if state.replace(new) == Outcome::Adopted {
        host.recent.clear();
        drop(state);
        in_force(host, number.0);
    }
    Progress::Fine
}

fn in_force(host: &Host, number: u64) {
    ::log::info!(target: "config", "Revision {number} is in force.");
    host.metrics.set_revision(number);
    if let Some(peer) = host.peer.get() {
        peer.announce_revision(number);
    }
}
