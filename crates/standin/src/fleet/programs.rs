//! Finds the programs of the workspace, and builds them once a process.
//!
//! `cargo run --example` and the tests of other packages don't build them.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
    process::Command,
    sync::Mutex,
};

use super::Failure;

/// The two programs that ship.
#[derive(Clone, Debug)]
pub struct Shipped {
    /// `comfreywing-entry`.
    pub entry: PathBuf,
    /// `comfreywing`.
    pub cli: PathBuf,
}

/// Where the running program was built to.
struct Built {
    target: PathBuf,
    profile: String,
}

impl Built {
    fn program(&self, path: &str) -> PathBuf {
        let program = self.target.join(&self.profile).join(path);
        program.with_extension(std::env::consts::EXE_EXTENSION)
    }
}

/// Builds the stand-ins in the profile of the running program.
pub fn standin() -> Result<PathBuf, Failure> {
    static BUILT: Mutex<Option<PathBuf>> = Mutex::new(None);
    once(&BUILT, || {
        let built = build(&["-p", "standin", "--example", "standin"])?;
        Ok(built.program("examples/standin"))
    })
}

/// Builds the shipped programs in the profile of the running program.
pub fn shipped() -> Result<Shipped, Failure> {
    static BUILT: Mutex<Option<Shipped>> = Mutex::new(None);
    once(&BUILT, || {
        let built = build(&["-p", "entry", "-p", "cli", "--bins"])?;
        Ok(Shipped {
            entry: built.program("comfreywing-entry"),
            cli: built.program("comfreywing"),
        })
    })
}

fn once<T: Clone>(
    done: &Mutex<Option<T>>,
    build: impl FnOnce() -> Result<T, Failure>,
) -> Result<T, Failure> {
    let mut done = done.lock().expect("the lock of the build is poisoned");
    if let Some(done) = &*done {
        return Ok(done.clone());
    }
    Ok(done.insert(build()?).clone())
}

fn build(what: &[&str]) -> Result<Built, Failure> {
    let built = locate()?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| OsString::from("cargo"));
    let output = Command::new(cargo)
        .args(["build", "--quiet", "--locked"])
        .args(what)
        .args(["--profile", cargo_profile(&built.profile)])
        .arg("--target-dir")
        .arg(&built.target)
        .arg("--manifest-path")
        .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml"))
        .output()
        .map_err(|it| Failure::Build(it.to_string()))?;
    if !output.status.success() {
        let message = String::from_utf8_lossy(&output.stderr);
        return Err(Failure::Build(message.trim().to_owned()));
    }
    Ok(built)
}

/// The profile that builds into a directory.
fn cargo_profile(directory: &str) -> &str {
    match directory {
        "debug" => "dev",
        other => other,
    }
}

/// Tests are built to `TARGET/PROFILE/deps`, examples to `TARGET/PROFILE/examples`.
fn locate() -> Result<Built, Failure> {
    let program = std::env::current_exe().map_err(|it| Failure::Build(it.to_string()))?;
    let unknown = || {
        Failure::Build(format!(
            "{} is not in a target directory",
            program.display()
        ))
    };
    let mut directory = program.parent().ok_or_else(unknown)?;
    if directory.ends_with("deps") || directory.ends_with("examples") {
        directory = directory.parent().ok_or_else(unknown)?;
    }
    let profile = directory.file_name().ok_or_else(unknown)?;
    let target = directory.parent().ok_or_else(unknown)?;
    Ok(Built {
        target: target.to_owned(),
        profile: profile.to_string_lossy().into_owned(),
    })
}
