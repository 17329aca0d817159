//! Runs the scenarios of placement on a simulated clock and prints what they measure.

use argh::FromArgs;
use experiment::{
    deployment::Deployment, figures::Figures, fleet, naive, oracle, report, scenario::Scenario,
};
use steward::Settings;

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
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let chosen = |name: &str, word: &str| word == "all" || word == name;
    let deployments = [Deployment::maegesho(), Deployment::institute()];
    let skews = arguments.skew.map_or(vec![0.8, 1.0, 1.2], |it| vec![it]);
    for deployment in deployments {
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

fn compare(deployment: &Deployment, scenario: Scenario, skew: f64, arguments: &Arguments) {
    let mut own = Figures::default();
    let mut reference = Figures::default();
    let mut bound = Figures::default();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let trace = scenario.trace(deployment, skew, seed);
        own.merge(fleet::run(
            deployment,
            &Settings::default(),
            scenario,
            &trace,
        ));
        reference.merge(naive::run(deployment, scenario, &trace));
        bound.merge(oracle::run(deployment, scenario, &trace));
    }
    println!(
        "\n{} {} skew {skew}, {:.1} requests/s\n",
        deployment.name,
        scenario.name(),
        deployment.capacity(skew) * scenario.load(),
    );
    print!("{}", report::HEADING);
    print!("{}", report::row("comfreywing", &own));
    print!("{}", report::row("naive", &reference));
    print!("{}", report::row("hindsight", &bound));
    println!("refusals: {}", report::refusals(&own));
}
