//! Determines whether the process of another entry host has ended.

use kernel::permit::Holder;
use member::Member;

use crate::{claim::Liveness, host::Host};

/// Determines whether a holder's process has certainly ended. A process that does not respond may only
/// be paused.
pub fn check(host: &Host, holder: &Holder, members: &[Member]) -> Liveness {
    let has_later_incarnation = members
        .iter()
        .any(|it| it.holder.host == holder.host && it.holder.incarnation > holder.incarnation);
    if has_later_incarnation || host.host_list.was_removed(&holder.host) {
        return Liveness::Terminated;
    }
    Liveness::MayBeRunning
}
