//! Membership records and the states and changes derived from them.

use std::net::SocketAddr;

use kernel::{
    name::{Domain, Host},
    permit::Holder,
};

/// Liveness of a host as determined by probes. Between records of equal incarnation and
/// refutation count, the greater standing takes precedence.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// The host answers probes.
    Alive,
    /// The host did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The host is considered dead, for example because it did not refute a suspicion in time.
    Down,
}

/// A host's own announcement of whether it keeps running.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Intent {
    /// The host keeps running.
    Staying,
    /// The host is shutting down and takes no new work.
    Leaving,
}

/// The membership record of one host, as exchanged by gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The host and its incarnation.
    pub holder: Holder,
    /// Counter that the host raises when it refutes a suspicion or changes its intent. It starts
    /// at zero in each incarnation.
    pub refutation: u32,
    /// Its failure domain.
    pub domain: Domain,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Liveness as determined by probes.
    pub standing: Standing,
    /// The host's announced intent.
    pub intent: Intent,
}

impl Record {
    /// The precedence of the record: of two records of a host, the greater one replaces the other.
    pub fn precedence(&self) -> (u64, u32, Standing) {
        (self.holder.incarnation, self.refutation, self.standing)
    }

    /// Combines standing and intent.
    pub fn condition(&self) -> Condition {
        match (self.standing, self.intent) {
            (Standing::Down, _) => Condition::Down,
            (_, Intent::Leaving) => Condition::Leaving,
            (Standing::Suspect, Intent::Staying) => Condition::Suspect,
            (Standing::Alive, Intent::Staying) => Condition::Up,
        }
    }

    pub(crate) fn to_member(&self) -> Member {
        Member {
            holder: self.holder.clone(),
            domain: self.domain.clone(),
            address: self.address,
            state: self.condition(),
        }
    }
}

/// The state of a member.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Condition {
    /// The host is alive and takes new work.
    Up,
    /// The host may be dead. It keeps its stewardships for now.
    Suspect,
    /// The host finishes its work and gets no new work.
    Leaving,
    /// The host is dead or unreachable.
    Down,
}

/// A host as reported to the rest of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The host and its incarnation.
    pub holder: Holder,
    /// Its failure domain.
    pub domain: Domain,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Its state.
    pub state: Condition,
}

/// A change of a member's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The host is alive: it is new, has recovered, or has a new incarnation.
    Up(Member),
    /// The host may be dead.
    Suspect(Member),
    /// The host is shutting down.
    Leaving(Member),
    /// The host is dead or unreachable.
    Down(Member),
    /// The host, which is in another failure domain, is no longer one of the contacts kept.
    Forgotten(Member),
}

impl Change {
    /// The change to the member's current state.
    pub fn from_member(member: Member) -> Self {
        match member.state {
            Condition::Up => Self::Up(member),
            Condition::Suspect => Self::Suspect(member),
            Condition::Leaving => Self::Leaving(member),
            Condition::Down => Self::Down(member),
        }
    }

    /// The member that changed.
    pub fn member(&self) -> &Member {
        match self {
            Self::Up(it)
            | Self::Suspect(it)
            | Self::Leaving(it)
            | Self::Down(it)
            | Self::Forgotten(it) => it,
        }
    }

    /// The host that changed.
    pub fn host(&self) -> &Host {
        &self.member().holder.host
    }
}
