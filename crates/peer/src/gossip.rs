//! The datagrams of gossip.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::clock::Clock;
use member::{Change, Condition, Input, Member, Message, Output, State};
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use crate::{auth::CODE_BYTES, service::Context};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);

/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = wire::gossip::MAX_BYTES + CODE_BYTES;

/// Most datagrams that are read before other tasks get their turn.
const BURST: usize = 64;

/// The socket with the state machine behind it.
pub(crate) struct Gossip {
    context: Rc<Context>,
    clock: Arc<dyn Clock>,
    socket: UdpSocket,
    state: State,
    forgeries: Budget,
}

/// How many forged datagrams are still checked in the present second.
struct Budget {
    left: u32,
    refill_at: Instant,
}

impl Gossip {
    pub fn new(
        context: Rc<Context>,
        clock: Arc<dyn Clock>,
        socket: UdpSocket,
        state: State,
    ) -> Self {
        let forgeries = Budget {
            left: context.limits.forgeries,
            refill_at: clock.now(),
        };
        let gossip = Self {
            context,
            clock,
            socket,
            state,
            forgeries,
        };
        gossip.snapshot();
        gossip
    }

    /// Gossips for as long as it is polled.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let context = Rc::clone(&self.context);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.handle(Input::Tick),
                () = context.shared.changed.notified() => self.take_changes(),
                readable = self.socket.readable() => match readable {
                    Ok(()) => self.read(&mut buffer),
                    Err(error) => log::warn!(target: "peer", "The datagram socket failed: {error}."),
                },
            }
            tokio::task::yield_now().await;
        }
    }

    fn take_changes(&mut self) {
        for input in self.context.shared.take() {
            let listed = matches!(input, Input::Listed(_));
            self.handle(input);
            if listed {
                self.snapshot();
            }
        }
    }

    fn read(&mut self, buffer: &mut [u8]) {
        for _ in 0..BURST {
            // Every error means that nothing can be read now; the socket itself stays usable.
            let Ok((bytes, from)) = self.socket.try_recv_from(buffer) else {
                return;
            };
            if let Some(message) = self.open(&buffer[..bytes], from) {
                self.handle(Input::Datagram { from, message });
            }
        }
    }

    fn open(&mut self, datagram: &[u8], from: SocketAddr) -> Option<Message> {
        let context = Rc::clone(&self.context);
        let counters = &context.shared.counters;
        if datagram.len() > MAX_DATAGRAM_BYTES {
            counters.datagrams_malformed.add(1);
            return None;
        }
        if !self.may_check(from) {
            counters.datagrams_forged.add(1);
            return None;
        }
        let Some(payload) = context.key.open(datagram) else {
            self.forgeries.left = self.forgeries.left.saturating_sub(1);
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

    /// Whether a code is worth the time to check: in a flood only those from members' addresses.
    fn may_check(&mut self, from: SocketAddr) -> bool {
        let now = self.clock.now();
        if now >= self.forgeries.refill_at {
            self.forgeries.left = self.context.limits.forgeries;
            self.forgeries.refill_at = now + Duration::from_secs(1);
        }
        if self.forgeries.left > 0 {
            return true;
        }
        let members = self.context.shared.members();
        members.iter().any(|it| it.address == from)
    }

    fn handle(&mut self, input: Input) {
        let outputs = self.state.handle(input, self.clock.now());
        let changed = outputs.iter().any(|it| matches!(it, Output::Changed(_)));
        if changed {
            self.snapshot();
        }
        for output in outputs {
            self.perform(output);
        }
    }

    /// Publishes the members to all threads.
    fn snapshot(&self) {
        let members: Vec<Member> = self.state.members().collect();
        self.context.shared.set_members(members.into());
    }

    fn perform(&self, output: Output) {
        let handler = &self.context.handler;
        match output {
            Output::Send { to, message } => self.send(to, &message),
            Output::Changed(change) => self.change(change),
            Output::Entry { owner, key, value } => {
                handler.on_entry_change(owner, &key, value.as_deref())
            }
            Output::Superseded(by) => {
                log::error!(target: "peer", "Host {} runs as incarnation {} elsewhere; this one is not heard.", by.host, by.incarnation);
                handler.on_superseded(by);
            }
            Output::Revision { revision, holder } => {
                self.context.revision.set(revision);
                handler.on_revision(revision, holder);
            }
        }
    }

    fn change(&self, change: Change) {
        let member = change.member();
        let host = &member.holder.host;
        log::debug!(target: "peer", "Host {host} of domain {} is {}.", member.domain, word(&change));
        if member.state == Condition::Down {
            self.context.links.close(host);
            self.context.book.borrow_mut().close(host);
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
        let datagram = self.context.key.seal(&payload);
        match self.socket.try_send_to(&datagram, to) {
            Ok(bytes) => {
                counters.datagrams_out.add(1);
                counters.datagram_bytes_out.add(bytes);
            }
            // Gossip repeats itself, so that a lost datagram does no harm.
            Err(_) => counters.datagrams_unsent.add(1),
        }
    }
}

fn word(change: &Change) -> &'static str {
    match change {
        Change::Up(_) => "up",
        Change::Suspect(_) => "suspected to be dead",
        Change::Leaving(_) => "leaving",
        Change::Down(_) => "down",
        Change::Forgotten(_) => "no longer a contact",
    }
}
