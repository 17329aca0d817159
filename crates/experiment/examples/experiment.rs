//! Runs the scenarios of placement on a simulated clock and prints what they measure.

use std::time::Duration;

use argh::FromArgs;
use experiment::{
    cost::{self, Cost},
    deployment::Deployment,
    figures::Figures,
    fleet, naive,
    oracle::{self, Knowledge},
    recovery::Course,
    report,
    scenario::Scenario,
};
use steward::Settings;

/// Requests for which the cost of a decision is measured.
const COST_REQUESTS: usize = 100_000;

/// Measures the placement decisions on a simulated clock.
#[derive(FromArgs)]
struct Arguments {
    /// the fleet: maegesho, institute or all
    #[argh(option, default = "\"all\".to_owned()")]
    deployment: String,
    /// the scenario, or all
    #[argh(option, default = "\"all\".to_owned()")]
    scenario: String,
    /// the Zipf skew of popularity; 0.8, 1.0 and 1.2 if not given
    #[argh(option)]
    skew: Option<f64>,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds are run and added up
    #[argh(option, default = "3")]
    seeds: u64,
    /// leave out what comfreywing is compared with
    #[argh(switch)]
    alone: bool,
    /// measure what a decision costs instead
    #[argh(switch)]
    cost: bool,
    /// the half-life of popularity in seconds, for trials
    #[argh(option)]
    half_life: Option<u64>,
    /// the idle time assumed before the first ask, in seconds, for trials
    #[argh(option)]
    prior_idle: Option<u64>,
    /// entry hosts, for trials
    #[argh(option)]
    hosts: Option<usize>,
    /// failure domains, for trials
    #[argh(option)]
    domains: Option<usize>,
    /// weight of load stalls, for trials
    #[argh(option)]
    load_stall: Option<f64>,
    /// weight of batch efficiency, for trials
    #[argh(option)]
    batch_efficiency: Option<f64>,
}

impl Arguments {
    fn settings(&self) -> Settings {
        let mut settings = Settings::default();
        if let Some(seconds) = self.half_life {
            settings.popularity_half_life = Duration::from_secs(seconds);
        }
        if let Some(seconds) = self.prior_idle {
            settings.prior_idle = Duration::from_secs(seconds);
        }
        settings
    }

    fn adjust(&self, deployment: &mut Deployment) {
        deployment.hosts = self.hosts.unwrap_or(deployment.hosts);
        deployment.domains = self.domains.unwrap_or(deployment.domains);
        let objective = &mut deployment.objective;
        objective.load_stall = self.load_stall.unwrap_or(objective.load_stall);
        objective.batch_efficiency = self.batch_efficiency.unwrap_or(objective.batch_efficiency);
    }
}

fn main() {
    let arguments: Arguments = argh::from_env();
    if arguments.cost {
        print_costs(arguments.seed);
        return;
    }
    print!("{}", report::PREAMBLE);
    let chosen = |name: &str, word: &str| word == "all" || word == name;
    let deployments = [Deployment::maegesho(), Deployment::institute()];
    let skews = arguments.skew.map_or(vec![0.8, 1.0, 1.2], |it| vec![it]);
    for mut deployment in deployments {
        arguments.adjust(&mut deployment);
        if !chosen(deployment.name, &arguments.deployment) {
            continue;
        }
        for scenario in Scenario::ALL {
            if !chosen(scenario.name(), &arguments.scenario) {
                continue;
            }
            for skew in &skews {
                compare(&deployment, scenario, *skew, &arguments);
            }
        }
    }
}

fn print_costs(seed: u64) {
    let costs = cost::SIZES.map(|it| cost::measure(it, COST_REQUESTS, seed));
    println!("| engines | rank ns | steward of 21 ns | steward of all ns |");
    println!("| --: | --: | --: | --: |");
    for it in &costs {
        println!(
            "| {} | {} | {} | {} |",
            it.engines, it.rank, it.steward, it.alone
        );
    }
    let (first, last) = (costs[0], costs[costs.len() - 1]);
    let slope = |cost: fn(&Cost) -> u128| {
        cost::slope((first.engines, cost(&first)), (last.engines, cost(&last)))
    };
    println!(
        "growth as a power of the engines: rank {:.2}, steward of 21 {:.2}, steward of all {:.2}",
        slope(|it| it.rank),
        slope(|it| it.steward),
        slope(|it| it.alone),
    );
}

fn compare(deployment: &Deployment, scenario: Scenario, skew: f64, arguments: &Arguments) {
    let mut own = Figures::default();
    let mut reference = Figures::default();
    let mut hindsight = Figures::default();
    let mut informed = Figures::default();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let trace = scenario.trace(deployment, skew, seed);
        own.merge(fleet::run(
            deployment,
            &arguments.settings(),
            scenario,
            &trace,
        ));
        if arguments.alone {
            continue;
        }
        reference.merge(naive::run(deployment, scenario, &trace));
        let oracle = |it| oracle::run(deployment, it, scenario, &trace);
        hindsight.merge(oracle(Knowledge::Future));
        informed.merge(oracle(Knowledge::Popularity));
    }
    println!(
        "\n### {}: {}, skew {skew}, {:.1} requests/s\n",
        deployment.name,
        scenario.name(),
        deployment.capacity(skew) * scenario.load(),
    );
    print!("{}", report::HEADING);
    print!("{}", report::row("comfreywing", &own));
    if !arguments.alone {
        print!("{}", report::row("naive", &reference));
        print!("{}", report::row("known popularity", &informed));
        print!("{}", report::row("known future", &hindsight));
    }
    println!("\nRefusals: {}.", report::refusals(&own));
    if matches!(scenario, Scenario::Shift | Scenario::Restart) {
        print!("\ncomfreywing: {}", report::course(&Course::new(&own)));
        print!(
            "known popularity: {}",
            report::course(&Course::new(&informed))
        );
    }
}
