//! Runs the binary.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

/// A directory of one test, with the files that it writes.
pub struct Place {
    directory: PathBuf,
    platform: Option<SocketAddr>,
}

/// What the binary did.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let code = self.code.unwrap_or(-1);
        write!(f, "exit code {code}\n{}{}", self.stdout, self.stderr)
    }
}

impl Place {
    /// An empty directory.
    pub fn new(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("the target directory can be written");
        Self {
            directory,
            platform: None,
        }
    }

    /// The same directory, with a platform in the environment.
    pub fn with(mut self, platform: SocketAddr) -> Self {
        self.platform = Some(platform);
        self
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) {
        std::fs::write(self.path(name), content).expect("the directory can be written");
    }

    /// Runs the binary with words that are separated by spaces.
    pub fn run(&self, arguments: &str) -> Outcome {
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreywing"));
        command.current_dir(&self.directory).env("USER", "ann");
        command
            .env_remove("COMFREYWING_PLATFORM")
            .env_remove("COMFREYWING_ENTRIES");
        if let Some(platform) = self.platform {
            command.env("COMFREYWING_PLATFORM", platform.to_string());
        }
        let Output {
            status,
            stdout,
            stderr,
        } = command
            .args(arguments.split_whitespace())
            .output()
            .expect("the binary runs");
        Outcome {
            code: status.code(),
            stdout: String::from_utf8(stdout).expect("the output is text"),
            stderr: String::from_utf8(stderr).expect("the output is text"),
        }
    }
}
