//! The entry host program: `comfreywing-entry --settings FILE`.
//!
//! With `mode: gateway` in the settings, it runs a gateway host, whose fleet shares its engines
//! through a platform. Otherwise it runs an entry host that manages its own fleet.

use std::{
    env,
    fmt::Display,
    path::{Path, PathBuf},
    process::ExitCode,
};

use argh::FromArgs;
use entry::{process, settings};
// Linked for the dialect that the crate registers.
use platform as _;

/// The environment variable with the settings file, used if the command line names none.
const SETTINGS_VARIABLE: &str = "COMFREYWING_CONFIG";

/// Exit code for invalid input, the same as in the `comfreywing` CLI.
const BAD_INPUT: u8 = 2;

/// Serves callers' requests from model engines and plain services.
#[derive(FromArgs)]
struct Args {
    /// the settings file; without it, the one that the variable `COMFREYWING_CONFIG` names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// only check the settings
    #[argh(switch)]
    check_only: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let named = args
        .settings
        .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(file) = named else {
        eprintln!("comfreywing-entry: give --settings FILE or set {SETTINGS_VARIABLE}");
        return ExitCode::from(BAD_INPUT);
    };
    if gateway::settings::is_gateway_file(&file) {
        start(
            &file,
            gateway::settings::read,
            gateway::process::run,
            args.check_only,
        )
    } else {
        start(&file, settings::read, process::run, args.check_only)
    }
}

fn start<S, I: Display, F: Display>(
    file: &Path,
    read: impl FnOnce(&Path) -> Result<S, I>,
    run: impl FnOnce(S) -> Result<(), F>,
    check_only: bool,
) -> ExitCode {
    let settings = match read(file) {
        Ok(it) => it,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if check_only {
        println!("{}: the settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreywing-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
