//! Measures what the quotas of client accounts cost a host, for several numbers of hosts and accounts:
//! `cargo run --release -p gateway --example account_slopes`.
//!
//! Callers of all accounts come to all hosts, and no account is near its limit. A host's own reports stand for those of
//! each other host. Sockets are left out; datagrams are counted.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use fleet::{
    Time,
    account::{
        Quota, Unit,
        ledger::{AccountId, Ledger, ReportId, Usage},
    },
};
use gateway::message::{
    self, AccountUsage, MAX_WORKLOADS_PER_MESSAGE, Message, decode, encode_within_limit,
};

/// Numbers of hosts and accounts.
const SIZES: [(usize, usize); 5] = [(40, 2000), (130, 2000), (520, 20), (520, 200), (520, 2000)];

/// Requests of all callers a second, of the target size.
const REQUEST_RATE: usize = 32_000;

/// Hosts of the target size.
const TARGET_HOSTS: usize = 520;

/// Heartbeat interval of up to 40 hosts, beyond which it grows with their number.
const HEARTBEAT: Duration = Duration::from_millis(200);
const FULL_RATE_HOSTS: f64 = 40.0;

/// Simulated time before and while the cost is measured.
const WARM_UP: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_mins(1);

/// Interval of the metrics.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Tokens of a request.
const TOKENS: u64 = 1500;

/// Size of a memory page.
const PAGE_BYTES: usize = 4096;

/// Cost of the reports.
#[derive(Default)]
struct Cost {
    /// Bytes and datagrams of one host to one other.
    bytes: usize,
    datagrams: usize,
    sending: Duration,
    receiving: Duration,
    states: Duration,
}

/// A host, whose reports are also those of the others.
struct Host {
    ledger: Ledger,
    others: Vec<Arc<str>>,
    accounts: Vec<AccountId>,
    quota: Quota,
    random: u64,
    reports: u64,
    cost: Cost,
}

fn main() {
    println!(
        "hosts  accounts  KB/s_sent  KB/s_received  datagrams/s_received  \
         %core_sending  %core_receiving  %core_states  MB"
    );
    for (hosts, accounts) in SIZES {
        print_row(hosts, accounts);
    }
}

fn print_row(hosts: usize, accounts: usize) {
    let before = resident_bytes();
    let mut host = Host::new(hosts, accounts);
    let interval = HEARTBEAT.mul_f64((to_f64(hosts) / FULL_RATE_HOSTS).max(1.0));
    let requests = to_f64(REQUEST_RATE) / to_f64(TARGET_HOSTS) * interval.as_secs_f64();
    let start = Time::ZERO + Duration::from_hours(1);
    let mut now = start;
    let mut due = 0.0;
    let mut state_at = start;
    let mut is_warm = false;
    while now < start + WARM_UP + WINDOW {
        if !is_warm && now >= start + WARM_UP {
            is_warm = true;
            host.cost = Cost::default();
        }
        due += requests;
        while due >= 1.0 {
            due -= 1.0;
            host.admit(now);
        }
        host.report(now);
        while state_at <= now {
            state_at += STATE_INTERVAL;
            host.read_states(now);
        }
        now += interval;
    }
    let memory = resident_bytes().saturating_sub(before);
    let seconds = WINDOW.as_secs_f64();
    let Cost {
        bytes,
        datagrams,
        sending,
        receiving,
        states,
    } = host.cost;
    let others = to_f64(hosts - 1);
    let rate = to_f64(bytes) * others / seconds / 1000.0;
    let percent = |it: Duration| it.as_secs_f64() / seconds * 100.0;
    println!(
        "{hosts:5}  {accounts:8}  {rate:9.1}  {rate:13.1}  {:20.1}  {:13.3}  {:15.3}  {:12.3}  {:.1}",
        to_f64(datagrams) * others / seconds,
        percent(sending),
        percent(receiving),
        percent(states),
        to_f64(memory) / 1e6,
    );
}

impl Host {
    fn new(hosts: usize, accounts: usize) -> Self {
        Self {
            ledger: Ledger::new(Time::ZERO),
            others: (1..hosts).map(|it| format!("host-{it}").into()).collect(),
            accounts: (0..accounts)
                .map(|it| AccountId::of(&format!("account-{it}")))
                .collect(),
            quota: Quota {
                unit: Unit::Tokens { unstated: 500.0 },
                rate: 1e9,
                burst: 1e9,
            },
            random: 1,
            reports: 0,
            cost: Cost::default(),
        }
    }

    /// Charges a request of any account.
    fn admit(&mut self, now: Time) {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        let index = usize::try_from(self.random >> 33).expect("it fits") % self.accounts.len();
        let cost = self.quota.cost(Some(TOKENS));
        let began = Instant::now();
        let account = self.accounts[index];
        black_box(self.ledger.admit(account, &self.quota, cost, now));
        self.cost.sending += began.elapsed();
    }

    /// Sends the reports of a heartbeat, and receives those of all other hosts.
    fn report(&mut self, now: Time) {
        let began = Instant::now();
        self.ledger.set_share(1.0, HEARTBEAT * 50, now);
        let changes = self.ledger.take_changes(now);
        let mut datagrams = Vec::new();
        for part in changes.chunks(MAX_WORKLOADS_PER_MESSAGE) {
            self.reports += 1;
            let entry = |it: &Usage| (it.account.0, it.total, message::to_millis(it.age));
            let report = Message::AccountUsage(AccountUsage {
                incarnation: 1,
                number: self.reports,
                accounts: part.iter().map(entry).collect(),
            });
            datagrams.extend(encode_within_limit(&report));
        }
        self.cost.sending += began.elapsed();
        self.cost.datagrams += datagrams.len();
        self.cost.bytes += datagrams.iter().map(Vec::len).sum::<usize>();
        let began = Instant::now();
        for host in &self.others {
            for datagram in &datagrams {
                receive(&mut self.ledger, host, datagram, &self.quota, now);
            }
        }
        self.cost.receiving += began.elapsed();
    }

    /// Reads the state of all accounts, for metrics.
    fn read_states(&mut self, now: Time) {
        let began = Instant::now();
        for account in &self.accounts {
            black_box(self.ledger.state(*account, now));
        }
        self.cost.states += began.elapsed();
    }
}

fn receive(ledger: &mut Ledger, host: &Arc<str>, datagram: &[u8], quota: &Quota, now: Time) {
    let Some(Message::AccountUsage(report)) = decode(datagram) else {
        return;
    };
    let id = ReportId {
        incarnation: report.incarnation,
        number: report.number,
    };
    for (account, total, age_ms) in report.accounts {
        let usage = Usage {
            account: AccountId(account),
            total,
            age: message::from_millis(age_ms),
        };
        ledger.observe(host, id, &usage, Some(quota), now);
    }
}

fn to_f64(it: usize) -> f64 {
    u32::try_from(it).map_or(f64::NAN, f64::from)
}

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("it is Linux");
    let pages = statm.split(' ').nth(1).expect("it has two numbers");
    pages.parse::<usize>().expect("it is a number") * PAGE_BYTES
}
