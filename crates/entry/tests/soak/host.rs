//! A gateway host process that ends together with the test process.

use std::{
    ffi::OsString,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdin, Command, Stdio},
    time::{Duration, Instant},
};

use crate::world::{
    client::Request,
    free_addr,
    host::{HostSettings, settings_text},
};

/// Starts the program and kills it when the pipe to the test closes, so that it never outlives the
/// test. Exits with the program's status.
const SUPERVISOR_SCRIPT: &str = "exec 3<&0; \"$0\" --settings \"$1\" </dev/null >>\"$2\" 2>&1 & p=$!; echo $p; \
     { read -r _ <&3; kill -9 $p 2>/dev/null; } & w=$!; wait $p; s=$?; kill $w 2>/dev/null; exit $s";

/// The exit status that a shell reports for a program killed by SIGTERM: 128 plus the signal
/// number.
const SIGTERM_STATUS: i32 = 143;

/// The same for SIGHUP.
const SIGHUP_STATUS: i32 = 129;

/// Time limit for the exit of a process; only prevents a hang.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the path of the program: that of this build, unless `SOAK_PROGRAM` names another.
fn program() -> OsString {
    std::env::var_os("SOAK_PROGRAM")
        .unwrap_or_else(|| env!("CARGO_BIN_EXE_comfreywing-entry").into())
}

/// A gateway host process.
pub struct Host {
    pub callers: SocketAddr,
    pub paused: bool,
    /// True from SIGTERM until the exit.
    pub terminating: bool,
    ready: SocketAddr,
    settings: PathBuf,
    pub log: PathBuf,
    running: Option<Running>,
    /// Number of starts in the log before the current one.
    earlier_starts: usize,
}

/// The result of terminating a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The process exited with this code.
    Status(Option<i32>),
    /// The signal ended the process before it opened any port, so no request was aborted.
    BeforeStart,
}

struct Running {
    supervisor: Child,
    /// Closing the pipe ends the program.
    _pipe: Option<ChildStdin>,
    id: String,
}

impl Host {
    /// Writes the settings of a host and starts it.
    pub fn start(
        seed: u64,
        number: usize,
        peers: SocketAddr,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        // While the host is down, another test process must not take its ports.
        let next_addr = || SocketAddr::new(peers.ip(), free_addr().port());
        let callers = next_addr();
        let ready = next_addr();
        let host_settings = HostSettings {
            place: (number, "z-1"),
            callers,
            ready,
            peers,
            metrics: next_addr(),
            store,
            seeds,
            first_start: true,
            slack: crate::check::RETRY_ALLOWANCE,
            order_turn: Duration::from_millis(300),
            quarantine_seconds: None,
        };
        let folder =
            std::env::temp_dir().join(format!("comfreywing-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let settings = folder.join(format!("h-{number}.yaml"));
        fs::write(&settings, settings_text(&host_settings))
            .expect("the settings file can be written");
        let mut host = Self {
            callers,
            paused: false,
            terminating: false,
            ready,
            log: settings.with_extension("log"),
            settings,
            running: None,
            earlier_starts: 0,
        };
        host.spawn();
        host
    }

    /// Counts the process starts in the log.
    fn count_logged_starts(&self) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.matches("\"event\":\"start\"").count()
    }

    fn spawn(&mut self) {
        self.earlier_starts = self.count_logged_starts();
        let mut supervisor = Command::new("/bin/sh")
            .args(["-c", SUPERVISOR_SCRIPT])
            .arg(program())
            .args([&self.settings, &self.log])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a shell starts");
        let mut id = String::new();
        let output = supervisor.stdout.take().expect("the output is piped");
        BufReader::new(output)
            .read_line(&mut id)
            .expect("the shell prints the process id");
        self.running = Some(Running {
            _pipe: supervisor.stdin.take(),
            supervisor,
            id: id.trim().to_owned(),
        });
        self.paused = false;
        self.terminating = false;
    }

    /// Starts the host again. That is not the first start of the fleet.
    fn spawn_again(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings file exists");
        let text = text.replace("first_start: true", "first_start: false");
        fs::write(&self.settings, text).expect("the settings file can be written");
        self.spawn();
    }

    /// Returns the process id.
    pub fn id(&self) -> &str {
        self.running.as_ref().map_or("", |it| &it.id)
    }

    pub fn is_ready(&self) -> bool {
        !self.paused
            && std::net::TcpStream::connect(self.ready).is_ok()
            && Request::get("/-/readyz").send(self.ready).status == 200
    }

    fn signal(&self, flag: &str) {
        if let Some(it) = &self.running {
            let _ = Command::new("/bin/kill").args([flag, &it.id]).status();
        }
    }

    pub fn pause(&mut self) {
        self.signal("-STOP");
        self.paused = true;
    }

    pub fn resume(&mut self) {
        self.signal("-CONT");
        self.paused = false;
    }

    /// Kills the process and starts a new one.
    pub fn kill(&mut self) {
        self.signal("-KILL");
        self.wait_for_exit();
        self.spawn_again();
    }

    /// Terminates the process and returns how it ended.
    pub fn terminate(&mut self) -> Exit {
        if self.paused {
            self.resume();
        }
        self.begin_termination();
        let code = self.wait_for_exit();
        self.classify_exit(code)
    }

    /// Sends SIGTERM, also to a process that has received it before.
    pub fn begin_termination(&mut self) {
        self.signal("-TERM");
        self.terminating = true;
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Returns how the process ended, if it has.
    pub fn poll_exit(&mut self) -> Option<Exit> {
        let status = self.running.as_mut()?.supervisor.try_wait().ok()??;
        self.running = None;
        Some(self.classify_exit(status.code()))
    }

    fn classify_exit(&self, code: Option<i32>) -> Exit {
        let is_signal = matches!(code, Some(SIGHUP_STATUS | SIGTERM_STATUS));
        if is_signal && self.count_logged_starts() == self.earlier_starts {
            Exit::BeforeStart
        } else {
            Exit::Status(code)
        }
    }

    /// Starts a new process.
    pub fn restart(&mut self) {
        self.spawn_again();
    }

    fn wait_for_exit(&mut self) -> Option<i32> {
        let mut running = self.running.take()?;
        let end = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = running.supervisor.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.signal("-KILL");
        self.wait_for_exit();
    }
}
