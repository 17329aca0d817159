//! Hosts on loopback sockets in this process.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use kernel::{
    clock,
    name::{Domain, Host},
    permit::Holder,
};
use member::{Detail, Identity, random::Generator};
use peer::{Service, Settings, counter::Totals};

use crate::{
    board::{Board, Listener, News, TIMED_KEY},
    cost::{self, float},
    report::Window,
};

/// How long anything may take before the measurement gives it up.
const LIMIT: Duration = Duration::from_secs(90);

const KEY: &[u8] = b"the key of the measurement";

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub hosts: usize,
    pub domains: usize,
    pub entries: usize,
    pub entry_bytes: usize,
    /// Above this many hosts, only the own domain is known in full.
    pub full_detail: usize,
}

impl Shape {
    /// Which hosts know each other in full.
    pub fn detail(self) -> Detail {
        if self.hosts <= self.full_detail {
            Detail::Fleet
        } else {
            Detail::Domain
        }
    }
}

struct Node {
    service: Service,
    holder: Holder,
    domain: usize,
}

pub struct Fleet {
    shape: Shape,
    board: Arc<Board>,
    nodes: Vec<Node>,
    killed: HashSet<Holder>,
    random: Generator,
    joined: usize,
    published: u64,
    revision: u64,
}

impl Fleet {
    pub fn start(shape: Shape) -> Self {
        let mut fleet = Self {
            shape,
            board: Arc::default(),
            nodes: Vec::new(),
            killed: HashSet::new(),
            random: Generator::new(1),
            joined: 0,
            published: 0,
            revision: 0,
        };
        for index in 0..shape.hosts {
            fleet.join(index % shape.domains);
        }
        fleet
    }

    fn join(&mut self, domain: usize) {
        let name: Host = format!("entry-{:03}", self.joined).parse().expect("a name");
        self.joined += 1;
        let holder = Holder {
            host: name.clone(),
            incarnation: 1_764_800_000_000 + self.joined as u64,
        };
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let me = Identity {
            holder: holder.clone(),
            domain: domain_name(domain),
            address: listen,
        };
        // One seed in the own domain where there is one, and one in any.
        let own = self.nodes.iter().find(|it| it.domain == domain);
        let seeds = own.into_iter().chain(self.nodes.first());
        let seeds = seeds.map(|it| it.service.address()).collect();
        let mut settings = Settings::new(me, listen, KEY.to_vec(), seeds);
        settings.seed = self.random.draw();
        settings.gossip.detail = self.shape.detail();
        let listener = Listener {
            host: name,
            board: Arc::clone(&self.board),
        };
        let service = Service::start(settings, Arc::new(listener), Arc::new(clock::System));
        let node = Node {
            service: service.expect("the sockets open"),
            holder,
            domain,
        };
        self.nodes.push(node);
        for entry in 0..self.shape.entries {
            self.publish(self.nodes.len() - 1, &format!("engine/{entry}"));
        }
    }

    /// Publishes an entry whose value was not published before.
    fn publish(&mut self, index: usize, key: &str) -> Vec<u8> {
        self.published += 1;
        let mut value = self.published.to_be_bytes().to_vec();
        value.resize(self.shape.entry_bytes.max(8), 0xa5);
        let handle = self.nodes[index].service.handle();
        handle
            .publish(key, Some(value.clone()))
            .expect("the entry fits");
        value
    }

    /// The hosts that know a host of a domain in full.
    fn near(&self, domain: usize) -> HashSet<Host> {
        let all = self.shape.detail() == Detail::Fleet;
        let near = self.nodes.iter().filter(|it| all || it.domain == domain);
        near.map(|it| it.holder.host.clone()).collect()
    }

    /// Waits until every host knows all hosts near it and all their entries.
    pub fn settle(&mut self) -> Duration {
        let start = Instant::now();
        let pairs: usize = (0..self.shape.domains)
            .map(|domain| {
                let hosts = self.nodes.iter().filter(|it| it.domain == domain).count();
                hosts * (self.near(domain).len() - 1)
            })
            .sum();
        let expected = pairs * self.shape.entries;
        while self.board.entries() < expected || !self.all_known() {
            if start.elapsed() > LIMIT {
                eprintln!(
                    "the fleet did not settle: {} of {expected} entries",
                    self.board.entries()
                );
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        start.elapsed()
    }

    fn all_known(&self) -> bool {
        self.nodes.iter().all(|node| {
            let members = node.service.handle().members();
            let known: HashSet<&Host> = members.iter().map(|it| &it.holder.host).collect();
            self.near(node.domain).iter().all(|it| known.contains(it))
        })
    }

    fn totals(&self) -> Vec<Totals> {
        let totals = self.nodes.iter().map(|it| it.service.handle().counters());
        totals.collect()
    }

    /// What a window of time costs, with some changed entries a second of each host and, if there
    /// are any, a revision every two seconds.
    pub fn observe(&mut self, window: Duration, changes: f64) -> Window {
        const STEP: Duration = Duration::from_millis(100);
        let before = self.totals();
        let processor = cost::processor();
        let start = Instant::now();
        let mut owed = 0.0;
        let mut made = 0_u32;
        let mut steps = 0_u32;
        while start.elapsed() < window {
            thread::sleep(STEP);
            steps += 1;
            owed += changes * float(self.nodes.len()) * STEP.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                made += 1;
                self.change_one();
            }
            if changes > 0.0 && steps.is_multiple_of(20) {
                self.revise();
            }
        }
        let span = start.elapsed();
        let processor = cost::processor().saturating_sub(processor);
        Window::new(span, processor, &before, &self.totals(), made)
    }

    fn change_one(&mut self) {
        let index = self.random.below(self.nodes.len());
        let key = format!("engine/{}", self.random.below(self.shape.entries));
        self.publish(index, &key);
    }

    fn revise(&mut self) -> usize {
        self.revision += 1;
        let index = self.random.below(self.nodes.len());
        self.nodes[index]
            .service
            .handle()
            .announce_revision(self.revision);
        index
    }

    /// The time until all near hosts have an entry.
    pub fn time_entry(&mut self) -> Option<Duration> {
        let index = self.random.below(self.nodes.len());
        let value = self.publish(index, TIMED_KEY);
        let node = &self.nodes[index];
        let news = News::Entry(node.holder.clone(), value);
        let mut hosts = self.near(node.domain);
        hosts.remove(&node.holder.host);
        self.board.wait(&news, &hosts, LIMIT)
    }

    /// The time until all hosts of all domains know of a revision.
    pub fn time_revision(&mut self) -> Option<Duration> {
        let index = self.revise();
        let own = &self.nodes[index].holder.host;
        let hosts = self.nodes.iter().map(|it| it.holder.host.clone());
        let hosts = hosts.filter(|it| it != own).collect();
        self.board
            .wait(&News::Revision(self.revision), &hosts, LIMIT)
    }

    /// The time until all near hosts know of a death.
    pub fn time_death(&mut self) -> Option<Duration> {
        let index = 1 + self.random.below(self.nodes.len() - 1);
        let node = self.nodes.swap_remove(index);
        self.killed.insert(node.holder.clone());
        let domain = node.domain;
        let holder = node.holder;
        node.service.stop();
        self.board
            .wait(&News::Down(holder), &self.near(domain), LIMIT)
    }

    /// The time until all near hosts know of a host that has joined.
    pub fn time_join(&mut self) -> Option<Duration> {
        let domain = self.random.below(self.shape.domains);
        let hosts = self.near(domain);
        self.join(domain);
        let holder = self.nodes.last()?.holder.clone();
        self.board.wait(&News::Up(holder), &hosts, LIMIT)
    }

    /// The time until the host that joined last has the entries of all hosts near it.
    pub fn time_catch_up(&self) -> Option<Duration> {
        let node = self.nodes.last()?;
        let others = self.near(node.domain).len() - 1;
        let entries = others * self.shape.entries;
        self.board
            .wait_for_entries(&node.holder.host, entries, LIMIT)
    }

    /// How often a host that was alive was held dead.
    pub fn false_deaths(&self) -> usize {
        let downs = self.board.downs();
        downs.iter().filter(|it| !self.killed.contains(it)).count()
    }

    pub fn stop(self) {
        for node in self.nodes {
            node.service.stop();
        }
    }
}

fn domain_name(index: usize) -> Domain {
    format!("domain-{index}").parse().expect("a name")
}
