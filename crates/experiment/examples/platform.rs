//! Plays load patterns on a model of the users' platform, by the decisions of `fleet` and by a naive placement.
//!
//!     cargo run --release -p experiment --example platform > docs/measurements/platform.md

use argh::FromArgs;
use experiment::platform::{Policy, metrics::Metrics, pattern::Pattern, run, shape::Shape};

/// Measures the decisions of hosts on a platform on a simulated clock.
#[derive(FromArgs)]
struct Arguments {
    /// the installation: dar, institute, dar-grown or all
    #[argh(option, default = "\"all\".to_owned()")]
    shape: String,
    /// the seed
    #[argh(option, default = "1")]
    seed: u64,
    /// leave out the naive placement
    #[argh(switch)]
    alone: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    println!("{}", Metrics::head());
    let shapes = Shape::all().into_iter();
    for shape in shapes.filter(|it| arguments.shape == "all" || arguments.shape == it.name) {
        for pattern in Pattern::ALL {
            let mut policies = vec![(Policy::Fleet, "fleet")];
            if !arguments.alone {
                policies.push((Policy::Naive, "naive"));
            }
            for (policy, name) in policies {
                let metrics = run(&shape, pattern, policy, arguments.seed);
                println!("{}", metrics.row(shape.name, pattern.name(), name));
            }
        }
    }
}
