//! A fleet of hosts that run in this process and communicate over loopback sockets.

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
    report::Window,
    tracker::{Observer, TIMED_KEY, Tracker, Update},
    usage::{self, to_f64},
};

/// Maximum time to wait for an update to reach the hosts.
const WAIT_LIMIT: Duration = Duration::from_secs(90);

/// The cluster key.
const KEY: &[u8] = b"the key of the measurement";

/// The size of a fleet and of its data.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub hosts: usize,
    pub domains: usize,
    pub entries_per_host: usize,
    pub entry_bytes: usize,
    /// Maximum fleet size at which all hosts track each other fully.
    pub max_full_detail_hosts: usize,
}

impl Shape {
    /// Returns the set of hosts that a host tracks fully.
    pub fn detail(self) -> Detail {
        if self.hosts <= self.max_full_detail_hosts {
            Detail::Fleet
        } else {
            Detail::Domain
        }
    }
}

/// A running host.
struct Node {
    service: Service,
    holder: Holder,
    domain: usize,
}

/// The hosts of a fleet and the data that they have published.
pub struct Fleet {
    shape: Shape,
    tracker: Arc<Tracker>,
    nodes: Vec<Node>,
    /// The hosts that were stopped.
    stopped: HashSet<Holder>,
    random: Generator,
    /// Number of hosts started, including those stopped since.
    started: usize,
    /// Number of entry values published.
    published: u64,
    /// The highest revision announced.
    revision: u64,
}

impl Fleet {
    /// Starts all hosts, distributed evenly over the domains.
    pub fn start(shape: Shape) -> Self {
        let mut fleet = Self {
            shape,
            tracker: Arc::default(),
            nodes: Vec::new(),
            stopped: HashSet::new(),
            random: Generator::new(1),
            started: 0,
            published: 0,
            revision: 0,
        };
        for index in 0..shape.hosts {
            fleet.join(index % shape.domains);
        }
        fleet
    }

    /// Starts a host and publishes its entries.
    fn join(&mut self, domain: usize) {
        let name: Host = format!("entry-{:03}", self.started)
            .parse()
            .expect("a valid name");
        self.started += 1;
        let holder = Holder {
            host: name.clone(),
            incarnation: 1_764_800_000_000 + self.started as u64,
        };
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let identity = Identity {
            holder: holder.clone(),
            domain: domain_name(domain),
            address: listen,
        };
        // The seeds are a host of the same domain, if there is one, and the first host of the fleet.
        let same_domain = self.nodes.iter().find(|it| it.domain == domain);
        let seeds = same_domain.into_iter().chain(self.nodes.first());
        let seeds = seeds.map(|it| it.service.address()).collect();
        let mut settings = Settings::new(identity, listen, KEY.to_vec(), seeds);
        settings.seed = self.random.draw();
        settings.gossip.detail = self.shape.detail();
        let observer = Observer {
            host: name,
            tracker: Arc::clone(&self.tracker),
        };
        let service = Service::start(settings, Arc::new(observer), Arc::new(clock::System));
        let node = Node {
            service: service.expect("the sockets open"),
            holder,
            domain,
        };
        self.nodes.push(node);
        for entry in 0..self.shape.entries_per_host {
            self.publish(self.nodes.len() - 1, &format!("engine/{entry}"));
        }
    }

    /// Publishes an entry with a new, unique value and returns the value.
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

    /// Returns the hosts that fully track the hosts of a domain.
    fn tracking_hosts(&self, domain: usize) -> HashSet<Host> {
        let all = self.shape.detail() == Detail::Fleet;
        let tracking = self.nodes.iter().filter(|it| all || it.domain == domain);
        tracking.map(|it| it.holder.host.clone()).collect()
    }

    /// Waits until every host knows all hosts that it tracks fully and all their entries. Returns the
    /// time taken.
    pub fn wait_until_synced(&mut self) -> Duration {
        let start = Instant::now();
        let pairs: usize = (0..self.shape.domains)
            .map(|domain| {
                let hosts = self.nodes.iter().filter(|it| it.domain == domain).count();
                hosts * (self.tracking_hosts(domain).len() - 1)
            })
            .sum();
        let expected = pairs * self.shape.entries_per_host;
        while self.tracker.entry_count() < expected || !self.all_members_known() {
            if start.elapsed() > WAIT_LIMIT {
                eprintln!(
                    "the fleet did not synchronize in time: {} of {expected} entries received",
                    self.tracker.entry_count()
                );
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        start.elapsed()
    }

    fn all_members_known(&self) -> bool {
        self.nodes.iter().all(|node| {
            let members = node.service.handle().members();
            let known: HashSet<&Host> = members.iter().map(|it| &it.holder.host).collect();
            self.tracking_hosts(node.domain)
                .iter()
                .all(|it| known.contains(it))
        })
    }

    fn totals(&self) -> Vec<Totals> {
        let totals = self.nodes.iter().map(|it| it.service.handle().counters());
        totals.collect()
    }

    /// Measures traffic and CPU time during a window. Each host changes entries at the given rate per
    /// second, and if that isn't zero, a revision is announced every two seconds.
    pub fn measure_window(&mut self, window: Duration, changes_per_second: f64) -> Window {
        /// Interval at which changes are published.
        const STEP: Duration = Duration::from_millis(100);
        let before = self.totals();
        let cpu_time = usage::cpu_time();
        let start = Instant::now();
        let mut due_changes = 0.0;
        let mut change_count = 0_u32;
        let mut steps = 0_u32;
        while start.elapsed() < window {
            thread::sleep(STEP);
            steps += 1;
            due_changes += changes_per_second * to_f64(self.nodes.len()) * STEP.as_secs_f64();
            while due_changes >= 1.0 {
                due_changes -= 1.0;
                change_count += 1;
                self.change_entry();
            }
            if changes_per_second > 0.0 && steps.is_multiple_of(20) {
                self.announce_revision();
            }
        }
        let elapsed = start.elapsed();
        let cpu_time = usage::cpu_time().saturating_sub(cpu_time);
        Window::new(elapsed, cpu_time, &before, &self.totals(), change_count)
    }

    /// Changes a random entry of a random host.
    fn change_entry(&mut self) {
        let index = self.random.below(self.nodes.len());
        let key = format!("engine/{}", self.random.below(self.shape.entries_per_host));
        self.publish(index, &key);
    }

    /// Announces a new revision from a random host and returns the index of the host.
    fn announce_revision(&mut self) -> usize {
        self.revision += 1;
        let index = self.random.below(self.nodes.len());
        self.nodes[index]
            .service
            .handle()
            .announce_revision(self.revision);
        index
    }

    /// Measures the time until all hosts that track a random host have received its new entry.
    pub fn time_entry(&mut self) -> Option<Duration> {
        let index = self.random.below(self.nodes.len());
        let value = self.publish(index, TIMED_KEY);
        let node = &self.nodes[index];
        let update = Update::Entry(node.holder.clone(), value);
        let mut hosts = self.tracking_hosts(node.domain);
        hosts.remove(&node.holder.host);
        self.tracker.wait_for_update(&update, &hosts, WAIT_LIMIT)
    }

    /// Measures the time until all hosts of all domains have received a new revision.
    pub fn time_revision(&mut self) -> Option<Duration> {
        let index = self.announce_revision();
        let announcer = &self.nodes[index].holder.host;
        let hosts = self.nodes.iter().map(|it| it.holder.host.clone());
        let hosts = hosts.filter(|it| it != announcer).collect();
        self.tracker
            .wait_for_update(&Update::Revision(self.revision), &hosts, WAIT_LIMIT)
    }

    /// Stops a random host without an announcement. Measures the time until all hosts that track it
    /// report it as down. The first host is never stopped, because the others use it as a seed.
    pub fn time_failure(&mut self) -> Option<Duration> {
        let index = 1 + self.random.below(self.nodes.len() - 1);
        let node = self.nodes.swap_remove(index);
        self.stopped.insert(node.holder.clone());
        let domain = node.domain;
        let holder = node.holder;
        node.service.stop();
        self.tracker.wait_for_update(
            &Update::Down(holder),
            &self.tracking_hosts(domain),
            WAIT_LIMIT,
        )
    }

    /// Starts a host in a random domain. Measures the time until all hosts that track it report it as
    /// up.
    pub fn time_join(&mut self) -> Option<Duration> {
        let domain = self.random.below(self.shape.domains);
        let hosts = self.tracking_hosts(domain);
        self.join(domain);
        let holder = self.nodes.last()?.holder.clone();
        self.tracker
            .wait_for_update(&Update::Up(holder), &hosts, WAIT_LIMIT)
    }

    /// Measures the time until the host that joined last has received the entries of all hosts that
    /// it tracks.
    pub fn time_initial_sync(&self) -> Option<Duration> {
        let node = self.nodes.last()?;
        let others = self.tracking_hosts(node.domain).len() - 1;
        let entries = others * self.shape.entries_per_host;
        self.tracker
            .wait_for_entries(&node.holder.host, entries, WAIT_LIMIT)
    }

    /// Returns the number of reports of running hosts as down.
    pub fn false_down_reports(&self) -> usize {
        let reports = self.tracker.down_reports();
        reports
            .iter()
            .filter(|it| !self.stopped.contains(it))
            .count()
    }

    pub fn stop(self) {
        for node in self.nodes {
            node.service.stop();
        }
    }
}

fn domain_name(index: usize) -> Domain {
    format!("domain-{index}").parse().expect("a valid name")
}
