//! What one host believes of another.

use std::net::SocketAddr;

use kernel::{
    name::{Domain, Host},
    permit::Holder,
};

/// Whether a host answers probes; the order decides between beliefs of equal age.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer and may still refute.
    Suspect,
    /// It did not refute in time.
    Down,
}

/// What a host says of its own future.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Intent {
    /// It stays.
    Staying,
    /// It is shutting down and takes nothing new.
    Leaving,
}

/// A belief on one host, as it travels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The host and its incarnation.
    pub holder: Holder,
    /// How often the host refuted a suspicion or changed its intent in this incarnation.
    pub refutation: u32,
    /// Its failure domain.
    pub domain: Domain,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Whether it answers probes.
    pub standing: Standing,
    /// What it says of its own future.
    pub intent: Intent,
}

impl Record {
    /// The age of the belief: the greater one replaces the other.
    pub fn rank(&self) -> (u64, u32, Standing) {
        (self.holder.incarnation, self.refutation, self.standing)
    }

    /// Standing and intent in one word.
    pub fn condition(&self) -> Condition {
        match (self.standing, self.intent) {
            (Standing::Down, _) => Condition::Down,
            (_, Intent::Leaving) => Condition::Leaving,
            (Standing::Suspect, Intent::Staying) => Condition::Suspect,
            (Standing::Alive, Intent::Staying) => Condition::Up,
        }
    }

    pub(crate) fn member(&self) -> Member {
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
    /// It is alive and takes new work.
    Up,
    /// It may be dead; its stewardships are not taken yet.
    Suspect,
    /// It ends what it has and gets nothing new.
    Leaving,
    /// It is dead or can't be reached.
    Down,
}

/// A host as the rest of the system sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The host and its incarnation.
    pub holder: Holder,
    /// Its failure domain.
    pub domain: Domain,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its state.
    pub state: Condition,
}

/// A change of a member's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The host is alive: new, back, or under a new incarnation.
    Up(Member),
    /// The host may be dead.
    Suspect(Member),
    /// The host is shutting down.
    Leaving(Member),
    /// The host is dead or can't be reached.
    Down(Member),
    /// The host stands in another failure domain and is no longer one of the contacts kept.
    Forgotten(Member),
}

impl Change {
    /// The change into a member's present state.
    pub fn into_state(member: Member) -> Self {
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
