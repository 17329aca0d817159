//! The process on an entry host: `comfreywing-entry --settings FILE`.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use entry::{process, settings};

/// Exit code for bad input, the same as of `comfreywing`.
const BAD_INPUT: u8 = 2;

/// Serves callers' requests from model engines and plain services.
#[derive(FromArgs)]
struct Args {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,

    /// only check the settings
    #[argh(switch)]
    check_only: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match settings::read(&args.settings) {
        Ok(it) => it,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if args.check_only {
        println!("{}: the settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreywing-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
