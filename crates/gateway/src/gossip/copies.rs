//! Further copies of adapters in demand (`fleet::loader::copies`). The steward of the busy engine decides, since only it
//! knows the uses by all hosts.

use fleet::{
    listing::{Name, is_adapter},
    loader::{Wanted, copies},
    rendezvous::short_id,
    table::Key,
};

use super::Gossip;
use crate::{
    clock,
    message::{CopyWanted, Message},
};

impl Gossip {
    /// Tells the steward of the engine `busy` that a request for an adapter would wait less at another engine.
    pub(crate) async fn want_copy(&self, name: &Name, busy: Key) {
        let now = clock::now();
        if !is_adapter(name) {
            return;
        }
        let Some(nth) = self.gateway.next_wanted_copy(name, now) else {
            return;
        };
        if self.gateway.orderable_engines().contains(&busy) {
            self.request_copy(name, busy, nth).await;
            return;
        }
        let question = {
            let table = self.gateway.table.borrow();
            let peers = self.gateway.peers.borrow();
            table.get(busy).and_then(|engine| {
                let id = &engine.listing.id;
                let addr = peers.addr(peers.steward(id, now)?)?;
                let wanted = CopyWanted {
                    engine: short_id(id),
                    name: name.to_string(),
                    earlier: u32::try_from(nth).unwrap_or(u32::MAX),
                };
                Some((addr, wanted))
            })
        };
        if let Some((addr, wanted)) = question {
            self.send(&Message::CopyWanted(wanted), addr).await;
        }
    }

    /// Handles another host's wish for a copy of an adapter that an engine of this host holds.
    pub(super) async fn handle_copy_wanted(&self, wanted: &CopyWanted) {
        let key = self.gateway.table.borrow().find_by_short_id(wanted.engine);
        let Some(key) = key.filter(|it| self.gateway.orderable_engines().contains(it)) else {
            return;
        };
        let nth = usize::try_from(wanted.earlier).unwrap_or(usize::MAX);
        let name = wanted.name.as_str().into();
        self.request_copy(&name, key, nth).await;
    }

    /// Requests a copy of an adapter that takes over uses of an engine of this host. Successive requests go to successive
    /// stewards.
    async fn request_copy(&self, name: &Name, busy: Key, nth: usize) {
        let now = clock::now();
        let found = {
            let table = self.gateway.table.borrow();
            let engine = table.get(busy);
            engine.and_then(|it| Some((it.listing.service.clone(), it.held.get(name)?.uses(now))))
        };
        let Some((service, uses)) = found else { return };
        let uses = copies::uses_taken_over(uses);
        let wanted = Wanted::anywhere(name.clone());
        self.request_load(&service, &wanted, Some(uses), 0, nth)
            .await;
    }
}
