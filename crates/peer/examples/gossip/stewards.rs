//! Measures the time to determine the stewards of all engines of a failure domain.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use kernel::{
    name::{Domain, Upstream},
    permit::Holder,
};
use member::{
    Condition, Member,
    steward::{self, Map},
};

/// Numbers of engines and hosts per domain: the present size, an intermediate size and the target.
const SIZES: [(u16, u16); 3] = [(18, 4), (110, 5), (1100, 52)];

/// Number of repetitions over which a time is averaged.
const ROUNDS: u32 = 100;

fn members(hosts: u16, domain: &Domain) -> Vec<Member> {
    let member = |index: u16| Member {
        holder: Holder {
            host: format!("entry-{index:03}").parse().expect("a valid name"),
            incarnation: 1,
        },
        domain: domain.clone(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + index)),
        state: Condition::Up,
    };
    (0..hosts).map(member).collect()
}

/// Prints the times for each size, without and with a [`Map`].
pub fn measure() {
    let domain: Domain = "domain-0".parse().expect("a valid name");
    println!("time to determine the stewards of all engines of a domain:");
    for (engines, hosts) in SIZES {
        let members = members(hosts, &domain);
        let name = |index: u16| {
            format!("domain-0-engine-{index}")
                .parse()
                .expect("a valid name")
        };
        let engines: Vec<Upstream> = (0..engines).map(name).collect();
        let start = Instant::now();
        for _ in 0..ROUNDS {
            for engine in &engines {
                black_box(steward::of(engine, &domain, &members));
            }
        }
        let lookup_time = start.elapsed() / ROUNDS;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            let map = Map::new(&members);
            for engine in &engines {
                black_box(map.of(engine, &domain));
            }
        }
        let map_time = start.elapsed() / ROUNDS;
        println!(
            "  {} engines, {hosts} hosts: {lookup_time:?} with single lookups, {map_time:?} with a map",
            engines.len(),
        );
    }
}
