//! What is known of other entry hosts' processes.

use kernel::permit::Holder;
use member::Member;

use crate::{claim::Evidence, host::Host};

/// Whether the process of a holder has surely ended. Silence is no proof: it may be paused.
pub fn of(host: &Host, holder: &Holder, members: &[Member]) -> Evidence {
    let later = members
        .iter()
        .any(|it| it.holder.host == holder.host && it.holder.incarnation > holder.incarnation);
    if later || host.listed.has_vanished(&holder.host) {
        return Evidence::Ended;
    }
    Evidence::MayAct
}
