//! Simulates traffic patterns on models of installations, with the decisions of `fleet` and with a
//! naive placement, and prints the measurements as a table.
//!
//!     cargo run --release -p experiment --example platform > docs/measurements/platform.md

use argh::FromArgs;
use experiment::platform::{
    Policy, installation::Installation, metrics::Metrics, pattern::Pattern, run,
};

/// Measures the placement decisions of hosts on a platform on a simulated clock.
#[derive(FromArgs)]
struct Arguments {
    /// the installation: dar, institute, dar-grown or all
    #[argh(option, default = "\"all\".to_owned()")]
    shape: String,
    /// the seed
    #[argh(option, default = "1")]
    seed: u64,
    /// omit the naive placement
    #[argh(switch)]
    alone: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    println!("{}", Metrics::table_header());
    let installations = Installation::all().into_iter();
    for installation in
        installations.filter(|it| arguments.shape == "all" || arguments.shape == it.name)
    {
        for pattern in Pattern::ALL {
            let mut policies = vec![(Policy::Fleet, "fleet")];
            if !arguments.alone {
                policies.push((Policy::Naive, "naive"));
            }
            for (policy, name) in policies {
                let metrics = run(&installation, pattern, policy, arguments.seed);
                println!(
                    "{}",
                    metrics.format_row(installation.name, pattern.name(), name)
                );
            }
        }
    }
}
