//! Builds the programs of the workspace, at most once per process, and locates them.
//!
//! This is needed because `cargo run --example` and the tests of other packages do not build them.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
    process::Command,
    sync::Mutex,
};

use super::Failure;

/// The released programs.
#[derive(Clone, Debug)]
pub struct Shipped {
    /// The path of `comfreywing-entry`.
    pub entry: PathBuf,
    /// The path of `comfreywing`.
    pub cli: PathBuf,
}

/// The build output directory that contains the running program.
struct BuildDirectory {
    target: PathBuf,
    profile: String,
}

impl BuildDirectory {
    fn program(&self, path: &str) -> PathBuf {
        let program = self.target.join(&self.profile).join(path);
        program.with_extension(std::env::consts::EXE_EXTENSION)
    }
}

/// Builds the stand-in program with the profile of the running program.
pub fn build_standin() -> Result<PathBuf, Failure> {
    static PROGRAM: Mutex<Option<PathBuf>> = Mutex::new(None);
    build_once(&PROGRAM, || {
        let directory = build(&["-p", "standin", "--example", "standin"])?;
        Ok(directory.program("examples/standin"))
    })
}

/// Builds the released programs with the profile of the running program.
pub fn build_shipped() -> Result<Shipped, Failure> {
    static PROGRAMS: Mutex<Option<Shipped>> = Mutex::new(None);
    build_once(&PROGRAMS, || {
        let directory = build(&["-p", "entry", "-p", "cli", "--bins"])?;
        Ok(Shipped {
            entry: directory.program("comfreywing-entry"),
            cli: directory.program("comfreywing"),
        })
    })
}

fn build_once<T: Clone>(
    result: &Mutex<Option<T>>,
    build: impl FnOnce() -> Result<T, Failure>,
) -> Result<T, Failure> {
    let mut result = result.lock().expect("the lock of the build is poisoned");
    if let Some(result) = &*result {
        return Ok(result.clone());
    }
    Ok(result.insert(build()?).clone())
}

fn build(selection: &[&str]) -> Result<BuildDirectory, Failure> {
    let directory = find_build_directory()?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| OsString::from("cargo"));
    let output = Command::new(cargo)
        .args(["build", "--quiet", "--locked"])
        .args(selection)
        .args(["--profile", profile_name(&directory.profile)])
        .arg("--target-dir")
        .arg(&directory.target)
        .arg("--manifest-path")
        .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml"))
        .output()
        .map_err(|it| Failure::Build(it.to_string()))?;
    if !output.status.success() {
        let message = String::from_utf8_lossy(&output.stderr);
        return Err(Failure::Build(message.trim().to_owned()));
    }
    Ok(directory)
}

/// Returns the profile whose output goes to a directory of this name.
fn profile_name(directory: &str) -> &str {
    match directory {
        "debug" => "dev",
        other => other,
    }
}

/// Finds the build directory of the running program. Tests are built to `TARGET/PROFILE/deps` and
/// examples to `TARGET/PROFILE/examples`.
fn find_build_directory() -> Result<BuildDirectory, Failure> {
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
    Ok(BuildDirectory {
        target: target.to_owned(),
        profile: profile.to_string_lossy().into_owned(),
    })
}
