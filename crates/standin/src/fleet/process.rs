//! A child process that never outlives its owner.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::{
        Mutex, MutexGuard,
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use super::{Failure, POLL, START_TIMEOUT, start_failure};

/// The end of a log that a failure shows, in bytes.
const LOG_TAIL_BYTES: usize = 2000;

/// How a process is started.
#[derive(Debug)]
pub struct Plan<'a> {
    /// What it is called.
    pub name: &'a str,
    /// The program.
    pub program: &'a Path,
    /// Its arguments.
    pub arguments: &'a [String],
    /// The word before the address in the line that tells that it is ready.
    pub word: &'static str,
    /// Where its standard error goes.
    pub log: PathBuf,
}

/// The result of waiting for a process to exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// The process exited with this status.
    Exited(ExitStatus),
    /// The process is still running.
    Running,
}

/// A child that is killed and waited for when this is dropped.
#[derive(Debug)]
struct Owned {
    name: String,
    child: Mutex<Child>,
    output: Option<JoinHandle<()>>,
    log: PathBuf,
}

impl Owned {
    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().expect("the child's lock is poisoned")
    }

    fn kill(&self) {
        let mut child = self.child();
        if let Err(error) = child.kill() {
            log::warn!(target: "fleet", "{} can't be killed: {error}.", self.name);
        }
        let _ = child.wait();
    }

    fn log_tail(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log[start..]).trim().to_owned()
    }
}

impl Drop for Owned {
    fn drop(&mut self) {
        self.kill();
        if let Some(output) = self.output.take() {
            let _ = output.join();
        }
    }
}

/// A process that is not known to be ready.
#[derive(Debug)]
pub struct Pending {
    owned: Owned,
    word: &'static str,
    first_line: Receiver<String>,
}

impl Pending {
    /// Starts a process.
    pub fn spawn(plan: &Plan<'_>) -> Result<Self, Failure> {
        let failed = |it| start_failure(plan.name, it);
        let log = File::create(&plan.log).map_err(failed)?;
        let mut child = Command::new(plan.program)
            .args(plan.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        let output = child.stdout.take();
        let mut owned = Owned {
            name: plan.name.to_owned(),
            child: Mutex::new(child),
            output: None,
            log: plan.log.clone(),
        };
        let (sender, first_line) = sync_channel(1);
        let thread = std::thread::Builder::new().name(plan.name.to_owned());
        let thread = thread.spawn(move || read_output(output, &sender));
        owned.output = Some(thread.map_err(failed)?);
        Ok(Self {
            owned,
            word: plan.word,
            first_line,
        })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.owned.child().id()
    }

    /// Waits until the process tells its address.
    pub fn ready(self) -> Result<Process, Failure> {
        let name = self.owned.name.clone();
        let line = match self.first_line.recv_timeout(START_TIMEOUT) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => {
                let log = self.owned.log_tail();
                return Err(Failure::Slow { name, log });
            }
            Err(RecvTimeoutError::Disconnected) => return Err(ended(&self.owned)),
        };
        let address = line.strip_prefix(self.word).map(str::trim);
        match address.and_then(|it| it.parse().ok()) {
            Some(address) => Ok(Process {
                owned: self.owned,
                address,
            }),
            None => Err(Failure::Output { name, line }),
        }
    }
}

fn ended(owned: &Owned) -> Failure {
    let status = owned.child().wait();
    Failure::Ended {
        name: owned.name.clone(),
        status: status.map_or_else(|it| it.to_string(), |it| it.to_string()),
        log: owned.log_tail(),
    }
}

/// Passes the first line on and reads the others, so that the process never blocks on its output.
fn read_output(output: Option<ChildStdout>, first_line: &SyncSender<String>) {
    let Some(output) = output else { return };
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else { return };
        let _ = first_line.try_send(line);
    }
}

/// A process that is ready.
#[derive(Debug)]
pub struct Process {
    owned: Owned,
    address: SocketAddr,
}

/// A signal that is sent by `kill`.
#[derive(Clone, Copy, Debug)]
enum Signal {
    Continue,
    Stop,
    Terminate,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Continue => "-CONT",
            Self::Stop => "-STOP",
            Self::Terminate => "-TERM",
        }
    }
}

impl Process {
    /// The address that it told.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.owned.child().id()
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        let log = fs::read(&self.owned.log).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// Writes a line to its standard input.
    pub fn tell(&self, line: &str) -> io::Result<()> {
        match &mut self.owned.child().stdin {
            Some(input) => writeln!(input, "{line}"),
            None => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Closes its standard input.
    pub fn close_input(&self) {
        self.owned.child().stdin = None;
    }

    /// Kills it at once and waits for its end.
    pub fn kill(&self) {
        self.owned.kill();
    }

    /// Stops it where it is.
    pub fn pause(&self) {
        self.signal(Signal::Stop);
    }

    /// Lets it go on after [`Process::pause`].
    pub fn resume(&self) {
        self.signal(Signal::Continue);
    }

    /// Asks it to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::Terminate);
    }

    /// Waits for its end.
    pub fn wait(&self, limit: Duration) -> WaitOutcome {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.owned.child().try_wait() {
                return WaitOutcome::Exited(status);
            }
            if Instant::now() >= deadline {
                return WaitOutcome::Running;
            }
            std::thread::sleep(POLL);
        }
    }

    /// Sends a signal while the lock keeps the process id from being reused.
    fn signal(&self, signal: Signal) {
        let mut child = self.owned.child();
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        let id = child.id().to_string();
        let sent = Command::new("/bin/kill")
            .args([signal.flag(), &id])
            .status();
        if !matches!(&sent, Ok(status) if status.success()) {
            log::warn!(target: "fleet", "No signal to {}: {sent:?}.", self.owned.name);
        }
    }
}
