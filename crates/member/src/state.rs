//! State machine of gossip membership.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use kernel::{name::Host, permit::Holder, service};

use crate::{
    Identity, Input, Listing, Message, Output,
    broadcast::Broadcasts,
    entry::{Effect, Store},
    message::Body,
    probe::{Probe, RelayedProbe},
    random::{self, Generator},
    record::{Change, Condition, Intent, Member, Record, Standing},
    settings::Settings,
    sync::RecentChanges,
    table::Table,
};

/// The membership state of one host: its view of all other hosts and the entries that they
/// publish.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) own_record: Record,
    pub(crate) settings: Settings,
    pub(crate) random: Generator,
    pub(crate) table: Table,
    pub(crate) own_entries: Store,
    /// The highest configuration revision that is known to exist.
    pub(crate) revision: u64,
    /// The highest incarnation reported so far by [`Output::Superseded`].
    pub(crate) superseding_incarnation: Option<u64>,
    pub(crate) broadcasts: Broadcasts,
    pub(crate) probes: Vec<Probe>,
    pub(crate) relayed_probes: Vec<RelayedProbe>,
    pub(crate) last_probe_number: u64,
    /// Ids of the members that remain to be probed in the current random order.
    pub(crate) probe_order: Vec<u64>,
    /// Id of the last host that was included in a regular digest.
    pub(crate) sync_cursor: u64,
    pub(crate) recent_changes: RecentChanges,
    pub(crate) seeds: Vec<SocketAddr>,
    /// The platform's host list.
    pub(crate) host_list: BTreeMap<Host, Listing>,
    pub(crate) timers: Timers,
    pub(crate) outputs: Vec<Output>,
}

/// Times of the start and the last tick, and when each periodic task is next due. All are `None`
/// before the first tick.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timers {
    pub started_at: Option<Instant>,
    pub last_tick: Option<Instant>,
    pub next_probe_round: Option<Instant>,
    pub next_contact_probe: Option<Instant>,
    pub next_sync: Option<Instant>,
    pub next_eager_sync: Option<Instant>,
    pub next_reconnect: Option<Instant>,
}

/// The result of checking a periodic task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Due {
    Now,
    Later,
}

/// Checks whether a periodic task is due. If so, schedules it one interval from now.
pub(crate) fn advance_if_due(due: &mut Option<Instant>, interval: Duration, now: Instant) -> Due {
    if due.is_some_and(|it| now < it) {
        return Due::Later;
    }
    *due = Some(now + interval);
    Due::Now
}

impl State {
    /// Creates the state of a host that knows no other host. `seed` seeds its random choices.
    pub fn new(identity: Identity, settings: Settings, seed: u64) -> Self {
        let own_record = Record {
            holder: identity.holder,
            refutation: 0,
            domain: identity.domain,
            address: identity.address,
            standing: Standing::Alive,
            intent: Intent::Staying,
        };
        Self {
            own_record,
            settings,
            random: Generator::new(seed),
            table: Table::default(),
            own_entries: Store::default(),
            revision: 0,
            superseding_incarnation: None,
            broadcasts: Broadcasts::default(),
            probes: Vec::new(),
            relayed_probes: Vec::new(),
            last_probe_number: 0,
            probe_order: Vec::new(),
            sync_cursor: 0,
            recent_changes: RecentChanges::default(),
            seeds: Vec::new(),
            host_list: BTreeMap::new(),
            timers: Timers::default(),
            outputs: Vec::new(),
        }
    }

    /// Handles one input and returns the resulting outputs, in order.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Output> {
        match input {
            Input::Datagram { message, .. } => self.receive(message, now),
            Input::Tick => self.tick(now),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Listed(listed) => self.set_host_list(listed),
            Input::Publish { key, value } => self.publish(key, value),
            Input::Revision(revision) => self.revision = self.revision.max(revision),
            Input::Leave => self.leave(),
        }
        std::mem::take(&mut self.outputs)
    }

    /// All known hosts, including the own one. A host that the platform is removing is reported as
    /// leaving.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        let others = self.table.iter().map(|(_, it)| &it.record);
        let records = std::iter::once(&self.own_record).chain(others);
        records.map(|it| self.resolve_member(it))
    }

    /// The highest configuration revision that is known to exist.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Converts a record to a member, taking the platform's host list into account.
    pub(crate) fn resolve_member(&self, record: &Record) -> Member {
        let mut member = record.to_member();
        let listed = self.host_list.get(&record.holder.host);
        let is_listed_leaving = listed.is_some_and(|it| it.state == service::State::Leaving);
        if is_listed_leaving && member.state != Condition::Down {
            member.state = Condition::Leaving;
        }
        member
    }

    fn set_host_list(&mut self, listed: Vec<Listing>) {
        let before: Vec<Member> = self.members().collect();
        self.host_list = listed.into_iter().map(|it| (it.host.clone(), it)).collect();
        let after: Vec<Member> = self.members().collect();
        let pairs = before.into_iter().zip(after);
        let differing = pairs.filter(|(old, new)| old.state != new.state);
        let changes = differing.map(|(_, new)| Output::Changed(Change::from_member(new)));
        self.outputs.extend(changes);
    }

    fn publish(&mut self, key: String, value: Option<Vec<u8>>) {
        if self.own_entries.publish(key, value) == Effect::Changed {
            self.recent_changes.add(self.own_id());
        }
    }

    fn leave(&mut self) {
        self.own_record.intent = Intent::Leaving;
        self.reassert();
        self.flush_broadcasts();
    }

    /// Raises the own refutation count, so that the own record takes precedence over all records of
    /// this incarnation, and broadcasts it.
    pub(crate) fn reassert(&mut self) {
        self.own_record.refutation += 1;
        self.enqueue_broadcast(self.own_id());
    }

    pub(crate) fn own_id(&self) -> u64 {
        random::host_id(&self.own_record.holder.host)
    }

    fn receive(&mut self, message: Message, now: Instant) {
        let Message {
            sender,
            revision,
            records,
            body,
        } = message;
        if sender.holder.host == self.own_record.holder.host {
            self.merge_record(sender, now);
            return;
        }
        let id = random::host_id(&sender.holder.host);
        let known = self.table.get(id).map(|it| it.record.precedence());
        let is_older_incarnation = known.is_some_and(|it| it.0 > sender.holder.incarnation);
        if is_older_incarnation {
            // The record tells the sender that a later incarnation has superseded it.
            self.send(sender.address, Body::News, &[id]);
            return;
        }
        self.raise_revision(revision, &sender.holder);
        let needs_refutation = known.is_some_and(|it| it > sender.precedence());
        if !needs_refutation {
            self.mark_displaced_down(&sender, now);
        }
        let sender_record = sender.clone();
        self.merge_record(sender, now);
        for record in records {
            self.merge_record(record, now);
        }
        if needs_refutation {
            // The sender refutes the record that it receives here.
            self.send(sender_record.address, Body::News, &[id]);
        }
        self.handle_body(&sender_record, body, now);
    }

    fn handle_body(&mut self, sender: &Record, body: Body, now: Instant) {
        match body {
            Body::News => {}
            Body::Ping(number) => self.handle_ping(sender, number),
            Body::Ack(number) => self.handle_ack(number),
            Body::Relay { number, target } => self.handle_relay(sender, number, target, now),
            Body::Join => self.handle_join(sender),
            Body::Sync(lines) => self.handle_sync(sender, &lines),
            Body::Delta(update) => self.handle_delta(sender, update),
        }
    }

    fn raise_revision(&mut self, revision: u64, holder: &Holder) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.outputs.push(Output::Revision {
            revision,
            holder: holder.clone(),
        });
    }

    fn tick(&mut self, now: Instant) {
        self.extend_deadlines_after_pause(now);
        self.expire_suspicions(now);
        self.run_probes(now);
        self.sync(now);
        self.reconnect(now);
        self.flush_broadcasts();
        self.remove_expired_down_hosts(now);
    }
}
