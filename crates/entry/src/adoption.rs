//! Adopts configuration revisions. The number of the active revision never decreases.

use config::revision::{Number, Outcome, Record, State};
use kernel::name::Host as HostName;
use objects::log;

use crate::{
    host::Host,
    readiness::Stage,
    revision_log::{self, Update},
};

/// The origin of a configuration.
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

/// Ends the startup stage once a configuration is known.
pub fn mark_known(host: &Host, source: Source) {
    if host.readiness.stage() != Stage::Starting {
        return;
    }
    let number = host.configuration().0;
    ::log::info!(target: "config", "Learned revision {number} from {}.", source.as_str());
    host.readiness.advance_to(Stage::Joining);
}

/// Brings the active configuration up to date with the platform.
pub fn from_platform(host: &Host) -> Result<(), log::Error> {
    let current = host.configuration().0;
    if current == Number::default() {
        replace(host, host.config_log.load()?);
        return Ok(());
    }
    match host.config_log.fetch_after(current) {
        Ok(records) => {
            for record in records {
                if adopt(host, &record) == Adoption::Blocked {
                    break;
                }
            }
        }
        // The platform drops old records after a snapshot, so the whole configuration is loaded
        // instead.
        Err(log::Error::MissingRevision { .. }) => {
            replace(host, host.config_log.load()?);
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Applies the updates that another host sent.
pub fn from_peer(host: &Host, other: &HostName, updates: &[Vec<u8>]) {
    for bytes in updates {
        let adopted = match revision_log::parse(bytes) {
            Some(Update::Record(record)) => adopt(host, &record),
            Some(Update::State(state)) => replace(host, state),
            None => {
                ::log::warn!(target: "config", "Host {other} sent an invalid revision.");
                return;
            }
        };
        if adopted == Adoption::Blocked {
            return;
        }
    }
}

/// The result of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Adoption {
    /// The update is applied or obsolete.
    Done,
    /// Neither this update nor later ones can be applied.
    Blocked,
}

/// Adopts the next edit in the revision sequence.
fn adopt(host: &Host, record: &Record) -> Adoption {
    let mut state = host.revision.write().expect("revision lock is poisoned");
    match state.adopt(record) {
        Outcome::Adopted => {
            host.revision_log.push(record);
            drop(state);
            announce(host, record.number.0);
            Adoption::Done
        }
        Outcome::Stale => Adoption::Done,
        Outcome::Gap { current, offered } => {
            ::log::info!(target: "config", "Revision {offered} does not directly follow {current}.");
            Adoption::Blocked
        }
        Outcome::Rejected(invalid) => {
            ::log::error!(target: "config", "Revision {} does not apply to the active configuration: {invalid}.", record.number);
            Adoption::Blocked
        }
    }
}

/// Replaces the whole configuration if `new` has a higher revision.
fn replace(host: &Host, new: State) -> Adoption {
    let number = new.number();
    let mut state = host.revision.write().expect("revision lock is poisoned");
    if state.replace(new) == Outcome::Adopted {
        host.revision_log.clear();
        drop(state);
        announce(host, number.0);
    }
    Adoption::Done
}

fn announce(host: &Host, number: u64) {
    ::log::info!(target: "config", "Revision {number} is active.");
    host.metrics.set_revision(number);
    if let Some(peer) = host.peer.get() {
        peer.announce_revision(number);
    }
}
