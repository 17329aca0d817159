//! Runs the placement scenarios on a simulated clock and prints their measurements as tables.

use std::time::Duration;

use argh::FromArgs;
use experiment::{
    cost::{self, Cost},
    deployment::Deployment,
    metrics::Metrics,
    naive,
    oracle::{self, Knowledge},
    recovery::Recovery,
    report,
    scenario::Scenario,
    simulation,
};
use steward::Settings;

/// Number of requests over which the cost of a decision is averaged.
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
    /// the number of seeds, whose measurements are merged
    #[argh(option, default = "3")]
    seeds: u64,
    /// omit the policies that comfreywing is compared with
    #[argh(switch)]
    alone: bool,
    /// measure the processor time of decisions instead
    #[argh(switch)]
    cost: bool,
    /// the half-life of popularity in seconds, for trials
    #[argh(option)]
    half_life: Option<u64>,
    /// the idle time assumed before the first request of an adapter, in seconds, for trials
    #[argh(option)]
    prior_idle: Option<u64>,
    /// the number of entry hosts, for trials
    #[argh(option)]
    hosts: Option<usize>,
    /// the number of failure domains, for trials
    #[argh(option)]
    domains: Option<usize>,
    /// the weight of load stalls, for trials
    #[argh(option)]
    load_stall: Option<f64>,
    /// the weight of batch efficiency, for trials
    #[argh(option)]
    batch_efficiency: Option<f64>,
}

impl Arguments {
    fn build_settings(&self) -> Settings {
        let mut settings = Settings::default();
        if let Some(seconds) = self.half_life {
            settings.popularity_half_life = Duration::from_secs(seconds);
        }
        if let Some(seconds) = self.prior_idle {
            settings.prior_idle = Duration::from_secs(seconds);
        }
        settings
    }

    fn override_deployment(&self, deployment: &mut Deployment) {
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
    let is_selected = |name: &str, selection: &str| selection == "all" || selection == name;
    let deployments = [Deployment::maegesho(), Deployment::institute()];
    let skews = arguments.skew.map_or(vec![0.8, 1.0, 1.2], |it| vec![it]);
    for mut deployment in deployments {
        arguments.override_deployment(&mut deployment);
        if !is_selected(deployment.name, &arguments.deployment) {
            continue;
        }
        for scenario in Scenario::ALL {
            if !is_selected(scenario.name(), &arguments.scenario) {
                continue;
            }
            for skew in &skews {
                print_comparison(&deployment, scenario, *skew, &arguments);
            }
        }
    }
}

fn print_costs(seed: u64) {
    let costs = cost::DOMAIN_SIZES.map(|it| cost::measure(it, COST_REQUESTS, seed));
    println!("| engines | rank ns | steward of 21 ns | steward of all ns |");
    println!("| --: | --: | --: | --: |");
    for it in &costs {
        println!(
            "| {} | {} | {} | {} |",
            it.engines, it.rank_ns, it.steward_ns, it.single_steward_ns
        );
    }
    let (first, last) = (costs[0], costs[costs.len() - 1]);
    let growth_exponent = |cost: fn(&Cost) -> u128| {
        cost::growth_exponent((first.engines, cost(&first)), (last.engines, cost(&last)))
    };
    println!(
        "growth as a power of the engines: rank {:.2}, steward of 21 {:.2}, steward of all {:.2}",
        growth_exponent(|it| it.rank_ns),
        growth_exponent(|it| it.steward_ns),
        growth_exponent(|it| it.single_steward_ns),
    );
}

fn print_comparison(deployment: &Deployment, scenario: Scenario, skew: f64, arguments: &Arguments) {
    let mut comfreywing = Metrics::default();
    let mut naive = Metrics::default();
    let mut known_future = Metrics::default();
    let mut known_popularity = Metrics::default();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let trace = scenario.generate_trace(deployment, skew, seed);
        comfreywing.merge(simulation::run(
            deployment,
            &arguments.build_settings(),
            scenario,
            &trace,
        ));
        if arguments.alone {
            continue;
        }
        naive.merge(naive::run(deployment, scenario, &trace));
        let oracle = |it| oracle::run(deployment, it, scenario, &trace);
        known_future.merge(oracle(Knowledge::Future));
        known_popularity.merge(oracle(Knowledge::Popularity));
    }
    println!(
        "\n### {}: {}, skew {skew}, {:.1} requests/s\n",
        deployment.name,
        scenario.name(),
        deployment.capacity_per_second(skew) * scenario.load_factor(),
    );
    print!("{}", report::TABLE_HEADER);
    print!("{}", report::format_row("comfreywing", &comfreywing));
    if !arguments.alone {
        print!("{}", report::format_row("naive", &naive));
        print!(
            "{}",
            report::format_row("known popularity", &known_popularity)
        );
        print!("{}", report::format_row("known future", &known_future));
    }
    println!("\nRefusals: {}.", report::format_refusals(&comfreywing));
    if matches!(scenario, Scenario::Shift | Scenario::Restart) {
        print!(
            "\ncomfreywing: {}",
            report::format_recovery(&Recovery::new(&comfreywing))
        );
        print!(
            "known popularity: {}",
            report::format_recovery(&Recovery::new(&known_popularity))
        );
    }
}
