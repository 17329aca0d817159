//! Child processes that are killed when their owner drops them.

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

use super::{Failure, POLL_INTERVAL, START_TIMEOUT, start_failure};

/// Size of the end of a log that a failure includes.
const LOG_TAIL_BYTES: usize = 2000;

/// Specification of a process to start.
#[derive(Debug)]
pub struct Spec<'a> {
    /// The name of the process in errors.
    pub name: &'a str,
    /// The program.
    pub program: &'a Path,
    /// The arguments.
    pub arguments: &'a [String],
    /// Prefix of the output line `PREFIX ADDRESS`, which the process prints once it is ready.
    pub ready_prefix: &'static str,
    /// The file that receives standard error.
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

/// A child process that is killed and reaped when this is dropped.
#[derive(Debug)]
struct OwnedChild {
    name: String,
    child: Mutex<Child>,
    output: Option<JoinHandle<()>>,
    log: PathBuf,
}

impl OwnedChild {
    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().expect("the child's lock is poisoned")
    }

    fn kill(&self) {
        let mut child = self.child();
        if let Err(error) = child.kill() {
            log::warn!(target: "fleet", "Cannot kill {}: {error}.", self.name);
        }
        let _ = child.wait();
    }

    fn log_tail(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log[start..]).trim().to_owned()
    }
}

impl Drop for OwnedChild {
    fn drop(&mut self) {
        self.kill();
        if let Some(output) = self.output.take() {
            let _ = output.join();
        }
    }
}

/// A process that has started but has not reported that it is ready.
#[derive(Debug)]
pub struct Pending {
    child_process: OwnedChild,
    ready_prefix: &'static str,
    first_line: Receiver<String>,
}

impl Pending {
    /// Starts a process.
    pub fn spawn(spec: &Spec<'_>) -> Result<Self, Failure> {
        let failed = |it| start_failure(spec.name, it);
        let log = File::create(&spec.log).map_err(failed)?;
        let mut child = Command::new(spec.program)
            .args(spec.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        let output = child.stdout.take();
        let mut child_process = OwnedChild {
            name: spec.name.to_owned(),
            child: Mutex::new(child),
            output: None,
            log: spec.log.clone(),
        };
        let (sender, first_line) = sync_channel(1);
        let thread = std::thread::Builder::new().name(spec.name.to_owned());
        let thread = thread.spawn(move || read_output(output, &sender));
        child_process.output = Some(thread.map_err(failed)?);
        Ok(Self {
            child_process,
            ready_prefix: spec.ready_prefix,
            first_line,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child_process.child().id()
    }

    /// Waits until the process prints its address.
    pub fn ready(self) -> Result<Process, Failure> {
        let name = self.child_process.name.clone();
        let line = match self.first_line.recv_timeout(START_TIMEOUT) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => {
                let log = self.child_process.log_tail();
                return Err(Failure::Timeout { name, log });
            }
            Err(RecvTimeoutError::Disconnected) => return Err(exit_failure(&self.child_process)),
        };
        let address = line.strip_prefix(self.ready_prefix).map(str::trim);
        match address.and_then(|it| it.parse().ok()) {
            Some(address) => Ok(Process {
                child_process: self.child_process,
                address,
            }),
            None => Err(Failure::Output { name, line }),
        }
    }
}

fn exit_failure(child_process: &OwnedChild) -> Failure {
    let status = child_process.child().wait();
    Failure::Ended {
        name: child_process.name.clone(),
        status: status.map_or_else(|it| it.to_string(), |it| it.to_string()),
        log: child_process.log_tail(),
    }
}

/// Sends the first line to the receiver and discards the others, so that the process never blocks
/// on its output.
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
    child_process: OwnedChild,
    address: SocketAddr,
}

/// A signal that `/bin/kill` sends.
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
    /// Returns the address that the process printed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child_process.child().id()
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        let log = fs::read(&self.child_process.log).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// Writes a line to the standard input of the process.
    pub fn write_line(&self, line: &str) -> io::Result<()> {
        match &mut self.child_process.child().stdin {
            Some(input) => writeln!(input, "{line}"),
            None => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Closes the standard input of the process.
    pub fn close_input(&self) {
        self.child_process.child().stdin = None;
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&self) {
        self.child_process.kill();
    }

    /// Stops the process with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(Signal::Stop);
    }

    /// Continues the process after [`Process::pause`].
    pub fn resume(&self) {
        self.signal(Signal::Continue);
    }

    /// Asks the process to shut down with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::Terminate);
    }

    /// Waits for the exit of the process up to the timeout.
    pub fn wait(&self, timeout: Duration) -> WaitOutcome {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child_process.child().try_wait() {
                return WaitOutcome::Exited(status);
            }
            if Instant::now() >= deadline {
                return WaitOutcome::Running;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal unless the process has exited. The lock keeps the child from being reaped, so
    /// that the process id cannot be reused meanwhile.
    fn signal(&self, signal: Signal) {
        let mut child = self.child_process.child();
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        let id = child.id().to_string();
        let sent = Command::new("/bin/kill")
            .args([signal.flag(), &id])
            .status();
        if !matches!(&sent, Ok(status) if status.success()) {
            log::warn!(target: "fleet", "Cannot signal {}: {sent:?}.", self.child_process.name);
        }
    }
}
