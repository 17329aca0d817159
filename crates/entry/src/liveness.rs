//! What is known of other entry hosts' processes.

use kernel::permit::Holder;
use member::Member;

use crate::{claim::Liveness, host::Host};

/// Whether the process of a holder has surely ended. Silence is no proof: it may be paused.
pub fn check(host: &Host, holder: &Holder, members: &[Member]) -> Liveness {
    let has_later_incarnation = members
        .iter()
        .any(|it| it.holder.host == holder.host && it.holder.incarnation > holder.incarnation);
    if has_later_incarnation || host.host_list.was_removed(&holder.host) {
        return Liveness::Terminated;
    }
    Liveness::MayBeRunning
}
