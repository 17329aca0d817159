//! Sending and receiving of gossip datagrams.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::clock::Clock;
use member::{Change, Condition, Input, Member, Message, Output, State};
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use crate::{auth::TAG_BYTES, service::Context};

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = wire::gossip::MAX_BYTES + TAG_BYTES;

/// Maximum number of datagrams that are read before other tasks may run.
const MAX_DATAGRAMS_PER_READ: usize = 64;

/// The gossip task: the UDP socket and the membership state machine that it drives.
pub(crate) struct Gossip {
    context: Rc<Context>,
    clock: Arc<dyn Clock>,
    socket: UdpSocket,
    state: State,
    forged_budget: Budget,
}

/// Limits the CPU time spent on verifying forged datagrams. The budget is refilled every second.
struct Budget {
    /// Number of forged datagrams that may still be verified before the next refill.
    remaining: u32,
    refill_at: Instant,
}

impl Gossip {
    pub fn new(
        context: Rc<Context>,
        clock: Arc<dyn Clock>,
        socket: UdpSocket,
        state: State,
    ) -> Self {
        let forged_budget = Budget {
            remaining: context.limits.forged_checks_per_second,
            refill_at: clock.now(),
        };
        let gossip = Self {
            context,
            clock,
            socket,
            state,
            forged_budget,
        };
        gossip.publish_members();
        gossip
    }

    /// Runs until dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // One byte more than the maximum, so that a datagram above the maximum is recognized.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let context = Rc::clone(&self.context);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.handle(Input::Tick),
                () = context.shared.changed.notified() => self.apply_changes(),
                readable = self.socket.readable() => match readable {
                    Ok(()) => self.read(&mut buffer),
                    Err(error) => log::warn!(target: "peer", "Waiting for datagrams failed: {error}."),
                },
            }
            tokio::task::yield_now().await;
        }
    }

    /// Passes the changes that other threads have requested to the state machine.
    fn apply_changes(&mut self) {
        for input in self.context.shared.take_changes() {
            let listed = matches!(input, Input::Listed(_));
            self.handle(input);
            if listed {
                self.publish_members();
            }
        }
    }

    /// Reads and handles the datagrams that have arrived.
    fn read(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            // An error means that no datagram can be read at the moment. The socket stays usable.
            let Ok((bytes, from)) = self.socket.try_recv_from(buffer) else {
                return;
            };
            if let Some(message) = self.decode(&buffer[..bytes], from) {
                self.handle(Input::Datagram { from, message });
            }
        }
    }

    /// Verifies and decodes a datagram. Returns `None` if the datagram has to be dropped, and counts
    /// the reason.
    fn decode(&mut self, datagram: &[u8], from: SocketAddr) -> Option<Message> {
        let context = Rc::clone(&self.context);
        let counters = &context.shared.counters;
        if datagram.len() > MAX_DATAGRAM_BYTES {
            counters.datagrams_malformed.add(1);
            return None;
        }
        if !self.may_verify(from) {
            counters.datagrams_forged.add(1);
            return None;
        }
        let Some(payload) = context.key.verify(datagram) else {
            self.forged_budget.remaining = self.forged_budget.remaining.saturating_sub(1);
            counters.datagrams_forged.add(1);
            return None;
        };
        counters.datagrams_in.add(1);
        counters.datagram_bytes_in.add(datagram.len());
        match wire::gossip::decode(payload) {
            Ok(message) => Some(message),
            Err(error) => {
                counters.datagrams_malformed.add(1);
                log::debug!(target: "peer", "A datagram from {from} was dropped: {error}.");
                None
            }
        }
    }

    /// Returns whether the tag of a datagram may be verified. Once the budget of this second is used
    /// up by forged datagrams, only those from members' addresses are verified.
    fn may_verify(&mut self, from: SocketAddr) -> bool {
        let now = self.clock.now();
        if now >= self.forged_budget.refill_at {
            self.forged_budget.remaining = self.context.limits.forged_checks_per_second;
            self.forged_budget.refill_at = now + Duration::from_secs(1);
        }
        if self.forged_budget.remaining > 0 {
            return true;
        }
        let members = self.context.shared.members();
        members.iter().any(|it| it.address == from)
    }

    /// Passes an input to the state machine and carries out the resulting outputs.
    fn handle(&mut self, input: Input) {
        let outputs = self.state.handle(input, self.clock.now());
        let changed = outputs.iter().any(|it| matches!(it, Output::Changed(_)));
        if changed {
            self.publish_members();
        }
        for output in outputs {
            self.perform(output);
        }
    }

    /// Makes the current members visible to all threads.
    fn publish_members(&self) {
        let members: Vec<Member> = self.state.members().collect();
        self.context.shared.set_members(members.into());
    }

    fn perform(&self, output: Output) {
        let handler = &self.context.handler;
        match output {
            Output::Send { to, message } => self.send(to, &message),
            Output::Changed(change) => self.handle_change(change),
            Output::Entry { owner, key, value } => {
                handler.on_entry_change(owner, &key, value.as_deref());
            }
            Output::Superseded(by) => {
                log::error!(target: "peer", "Host {} runs as incarnation {} elsewhere; this one is not heard.", by.host, by.incarnation);
                handler.on_superseded(by);
            }
            Output::Revision { revision, holder } => {
                self.context.highest_revision.set(revision);
                handler.on_revision(revision, holder);
            }
        }
    }

    fn handle_change(&self, change: Change) {
        let member = change.member();
        let host = &member.holder.host;
        log::debug!(target: "peer", "Host {host} of domain {} is {}.", member.domain, describe(&change));
        if member.state == Condition::Down {
            self.context.links.close(host);
            self.context.registry.borrow_mut().close_host(host);
            // Wakes the delivery task, which drops the releases of a host that is down.
            self.context.shared.releases.added.notify_one();
        }
        self.context.handler.on_member_change(change);
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let counters = &self.context.shared.counters;
        let payload = match wire::gossip::encode(message) {
            Ok(payload) => payload,
            Err(error) => {
                counters.datagrams_unsent.add(1);
                log::warn!(target: "peer", "A datagram to {to} was not sent: {error}.");
                return;
            }
        };
        let datagram = self.context.key.sign(&payload);
        match self.socket.try_send_to(&datagram, to) {
            Ok(bytes) => {
                counters.datagrams_out.add(1);
                counters.datagram_bytes_out.add(bytes);
            }
            // The gossip protocol tolerates lost datagrams, so there is no retry.
            Err(_) => counters.datagrams_unsent.add(1),
        }
    }
}

/// Describes the new state of a member for a log line.
fn describe(change: &Change) -> &'static str {
    match change {
        Change::Up(_) => "up",
        Change::Suspect(_) => "suspected to be dead",
        Change::Leaving(_) => "leaving",
        Change::Down(_) => "down",
        Change::Forgotten(_) => "no longer a tracked contact",
    }
}
