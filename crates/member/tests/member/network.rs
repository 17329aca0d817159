//! Simulated network whose hosts exchange messages with seeded delays, losses and duplicates. Time
//! is simulated and advances in fixed steps.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use kernel::{name::Host, permit::Holder};
use member::{
    Change, Condition, Identity, Input, Member, Message, Output, Settings, State, random::Generator,
};

/// Duration of one simulation step.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u32 = 5;
const MAX_DELAY_STEPS: usize = 4;

/// Entries as reported by a host's outputs, by owner and key.
pub type Entries = BTreeMap<(Holder, String), Vec<u8>>;

/// How the network handles a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    Deliver,
    Drop,
    Duplicate,
}

/// The state of a host's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    Running,
    /// The process handles neither messages nor ticks. It may have died or be paused.
    Stopped,
}

/// One simulated host and the outputs of its state machine.
pub struct Node {
    pub state: State,
    pub identity: Identity,
    pub process: Process,
    pub changes: Vec<Change>,
    pub entries: Entries,
    pub superseded_by: Option<Holder>,
    /// The incarnation last reported for each host.
    incarnations: BTreeMap<Host, u64>,
}

/// A simulated network of hosts.
pub struct Network {
    pub nodes: Vec<Node>,
    pub random: Generator,
    /// Chooses the delivery of a message from the indices of its sender and receiver.
    pub delivery_rule: fn(&mut Generator, usize, usize) -> Delivery,
    settings: Settings,
    start: Instant,
    steps: u32,
    /// Source, destination and message, by the step of arrival and the sequence number.
    in_flight: BTreeMap<(u32, u64), (SocketAddr, SocketAddr, Message)>,
    /// Number of messages sent, duplicates included and dropped messages excluded.
    pub sent: u64,
}

pub fn deliver(_: &mut Generator, _: usize, _: usize) -> Delivery {
    Delivery::Deliver
}

/// Drops a tenth of the messages and duplicates another tenth.
pub fn drop_or_duplicate(random: &mut Generator, _: usize, _: usize) -> Delivery {
    match random.below(10) {
        0 => Delivery::Drop,
        1 => Delivery::Duplicate,
        _ => Delivery::Deliver,
    }
}

pub fn name(index: usize) -> String {
    format!("host-{index}")
}

pub fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(1000 + index).unwrap();
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub fn identity(index: usize, domains: usize, incarnation: u64) -> Identity {
    Identity {
        holder: Holder {
            host: name(index).parse().unwrap(),
            incarnation,
        },
        domain: format!("domain-{}", index % domains).parse().unwrap(),
        address: address(index),
    }
}

impl Network {
    /// Creates hosts, spread over the domains, that know only the first host's address.
    pub fn new(hosts: usize, domains: usize, settings: Settings, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            random: Generator::new(seed),
            delivery_rule: deliver,
            settings,
            start: Instant::now(),
            steps: 0,
            in_flight: BTreeMap::new(),
            sent: 0,
        };
        for index in 0..hosts {
            net.join(identity(index, domains, 1));
        }
        net
    }

    /// Creates a network whose hosts all know each other, and clears the recorded changes.
    pub fn converged(hosts: usize, domains: usize, seed: u64) -> Self {
        let mut net = Self::new(hosts, domains, Settings::default(), seed);
        net.run_until(60, Network::all_agree);
        net.clear_changes();
        net
    }

    /// Adds a host and returns its index.
    pub fn join(&mut self, identity: Identity) -> usize {
        let seed = self.random.draw();
        let mut state = State::new(identity.clone(), self.settings.clone(), seed);
        state.handle(Input::Seeds(vec![address(0)]), self.now());
        self.nodes.push(Node {
            state,
            identity,
            process: Process::Running,
            changes: Vec::new(),
            entries: BTreeMap::new(),
            superseded_by: None,
            incarnations: BTreeMap::new(),
        });
        self.nodes.len() - 1
    }

    /// Replaces a host's process with a new one.
    pub fn restart(&mut self, index: usize, identity: Identity) {
        let last = self.join(identity);
        self.nodes.swap_remove(index);
        assert!(index < last);
    }

    pub fn now(&self) -> Instant {
        self.start + STEP * self.steps
    }

    /// Passes an input to a host and performs the outputs.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now();
        let outputs = self.nodes[index].state.handle(input, now);
        for output in outputs {
            self.perform(index, output);
        }
        self.check_incarnations(index);
    }

    fn perform(&mut self, index: usize, output: Output) {
        let node = &mut self.nodes[index];
        match output {
            Output::Send { to, message } => self.send(index, to, &message),
            Output::Changed(change) => node.changes.push(change),
            Output::Entry { owner, key, value } => {
                match value {
                    Some(value) => node.entries.insert((owner, key), value),
                    None => node.entries.remove(&(owner, key)),
                };
            }
            Output::Superseded(by) => node.superseded_by = Some(by),
            Output::Revision { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let target = self.nodes.iter().position(|it| it.identity.address == to);
        let Some(target) = target else {
            return;
        };
        let copies = match (self.delivery_rule)(&mut self.random, from, target) {
            Delivery::Drop => 0,
            Delivery::Deliver => 1,
            Delivery::Duplicate => 2,
        };
        let source = self.nodes[from].identity.address;
        for _ in 0..copies {
            let delay = 1 + self.random.below(MAX_DELAY_STEPS);
            let at = self.steps + u32::try_from(delay).unwrap();
            self.sent += 1;
            self.in_flight
                .insert((at, self.sent), (source, to, message.clone()));
        }
    }

    /// Checks that the incarnation that a host reports for another host never decreases.
    fn check_incarnations(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for member in node.state.members() {
            let Holder { host, incarnation } = member.holder;
            let before = node.incarnations.insert(host, incarnation);
            let is_lower = before.is_some_and(|it| it > incarnation);
            assert!(!is_lower, "an incarnation went back");
        }
    }

    /// Advances time by one step: delivers the messages that arrive and sends due ticks.
    fn step(&mut self) {
        self.steps += 1;
        let later = self.in_flight.split_off(&(self.steps + 1, 0));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (from, to, message) in due.into_values() {
            let running = |it: &Node| it.identity.address == to && it.process == Process::Running;
            if let Some(index) = self.nodes.iter().position(running) {
                self.input(index, Input::Datagram { from, message });
            }
        }
        for index in 0..self.nodes.len() {
            let is_due =
                (self.steps + u32::try_from(index).unwrap()).is_multiple_of(STEPS_PER_TICK);
            if is_due && self.nodes[index].process == Process::Running {
                self.input(index, Input::Tick);
            }
        }
    }

    /// Advances time by a number of probe periods.
    pub fn run(&mut self, periods: u32) {
        let steps = self.steps_in(periods);
        for _ in 0..steps {
            self.step();
        }
    }

    fn steps_in(&self, periods: u32) -> u128 {
        (self.settings.probe_period * periods).as_millis() / STEP.as_millis()
    }

    /// Advances time until the condition holds, and returns the time that it took. Panics if the
    /// condition does not hold within the given number of probe periods.
    pub fn run_until(&mut self, periods: u32, condition: impl Fn(&Network) -> bool) -> Duration {
        let started = self.steps;
        let steps = self.steps_in(periods);
        for _ in 0..steps {
            if condition(self) {
                return STEP * (self.steps - started);
            }
            self.step();
        }
        panic!("the condition did not hold within {periods} periods");
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes
            .iter()
            .filter(|it| it.process == Process::Running)
    }

    /// Returns whether every running host reports exactly the running hosts as up.
    pub fn all_agree(&self) -> bool {
        let expected: BTreeSet<Holder> = self
            .running()
            .map(|it| it.identity.holder.clone())
            .collect();
        self.running().all(|it| it.up() == expected)
    }

    /// Returns whether all other running hosts report the given state for a host.
    pub fn all_report(&self, host: usize, state: Condition) -> bool {
        let holder = self.nodes[host].identity.holder.clone();
        self.others(host)
            .all(|it| it.state_of(&holder) == Some(state))
    }

    /// The running hosts other than the given one.
    pub fn others(&self, host: usize) -> impl Iterator<Item = &Node> {
        let address = self.nodes[host].identity.address;
        self.running()
            .filter(move |it| it.identity.address != address)
    }

    pub fn clear_changes(&mut self) {
        for node in &mut self.nodes {
            node.changes.clear();
        }
    }

    /// Number of times that any host reported another one as down.
    pub fn down_changes(&self) -> usize {
        let changes = self.nodes.iter().flat_map(|it| &it.changes);
        changes.filter(|it| matches!(it, Change::Down(_))).count()
    }
}

impl Node {
    pub fn member(&self, holder: &Holder) -> Option<Member> {
        self.state.members().find(|it| it.holder == *holder)
    }

    /// The state that this node reports for a holder.
    pub fn state_of(&self, holder: &Holder) -> Option<Condition> {
        self.member(holder).map(|it| it.state)
    }

    /// All holders that this node reports as up.
    fn up(&self) -> BTreeSet<Holder> {
        let up = self.state.members().filter(|it| it.state == Condition::Up);
        up.map(|it| it.holder).collect()
    }
}
