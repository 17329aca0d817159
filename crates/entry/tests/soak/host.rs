//! A host as a process of its own, which ends with the soak whatever becomes of that.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdin, Command, Stdio},
    time::{Duration, Instant},
};

use crate::world::{
    client::Ask,
    free_addr,
    host::{Place, settings_text},
};

/// Starts the program and kills it when the pipe to the soak closes, so that it never outlives the soak.
/// Ends with the program's status.
const SUPERVISOR_SCRIPT: &str = "exec 3<&0; \"$0\" --settings \"$1\" </dev/null >>\"$2\" 2>&1 & p=$!; echo $p; \
     { read -r _ <&3; kill -9 $p 2>/dev/null; } & w=$!; wait $p; s=$?; kill $w 2>/dev/null; exit $s";

/// What a shell tells of a program that SIGTERM has ended: 128 and the signal's number.
const SIGTERM_STATUS: i32 = 143;

/// Longest wait for the end of a process that was told to end; it only ends a hang.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A host.
pub struct Host {
    pub callers: SocketAddr,
    pub frozen: bool,
    ready: SocketAddr,
    settings: PathBuf,
    pub log: PathBuf,
    running: Option<Running>,
    /// Starts that the log told before this one.
    earlier_starts: usize,
}

/// How a host ended that was told to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// With this exit code.
    Status(Option<i32>),
    /// Before it had begun: no port was open, so nothing can have been cut.
    BeforeStart,
}

struct Running {
    supervisor: Child,
    /// Closing it ends the program.
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
        let callers = free_addr();
        let ready = free_addr();
        let place = Place {
            number,
            callers,
            ready,
            peers,
            store,
            seeds,
            slack: crate::check::RETRY_ALLOWANCE,
        };
        let folder =
            std::env::temp_dir().join(format!("comfreywing-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let settings = folder.join(format!("h-{number}.yaml"));
        fs::write(&settings, settings_text(&place)).expect("it can be written");
        let mut host = Self {
            callers,
            frozen: false,
            ready,
            log: settings.with_extension("log"),
            settings,
            running: None,
            earlier_starts: 0,
        };
        host.spawn();
        host
    }

    /// Starts that the log tells.
    fn count_logged_starts(&self) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.matches("\"event\":\"start\"").count()
    }

    fn spawn(&mut self) {
        self.earlier_starts = self.count_logged_starts();
        let mut supervisor = Command::new("/bin/sh")
            .args(["-c", SUPERVISOR_SCRIPT])
            .arg(env!("CARGO_BIN_EXE_comfreywing-entry"))
            .args([&self.settings, &self.log])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a shell starts");
        let mut id = String::new();
        let output = supervisor.stdout.take().expect("it is piped");
        BufReader::new(output)
            .read_line(&mut id)
            .expect("the shell tells the id");
        self.running = Some(Running {
            _pipe: supervisor.stdin.take(),
            supervisor,
            id: id.trim().to_owned(),
        });
        self.frozen = false;
    }

    /// The id of its process.
    pub fn id(&self) -> &str {
        self.running.as_ref().map_or("", |it| &it.id)
    }

    pub fn is_ready(&self) -> bool {
        !self.frozen
            && std::net::TcpStream::connect(self.ready).is_ok()
            && Ask::get("/-/readyz").send(self.ready).status == 200
    }

    fn signal(&self, flag: &str) {
        if let Some(it) = &self.running {
            let _ = Command::new("/bin/kill").args([flag, &it.id]).status();
        }
    }

    pub fn freeze(&mut self) {
        self.signal("-STOP");
        self.frozen = true;
    }

    pub fn thaw(&mut self) {
        self.signal("-CONT");
        self.frozen = false;
    }

    /// Kills it and starts it again.
    pub fn kill(&mut self) {
        self.signal("-KILL");
        self.wait_for_exit();
        self.spawn();
    }

    /// Tells it to end, and returns how it ended once it has.
    pub fn terminate(&mut self) -> Exit {
        if self.frozen {
            self.thaw();
        }
        self.signal("-TERM");
        let code = self.wait_for_exit();
        if code == Some(SIGTERM_STATUS) && self.count_logged_starts() == self.earlier_starts {
            Exit::BeforeStart
        } else {
            Exit::Status(code)
        }
    }

    /// Starts it again.
    pub fn restart(&mut self) {
        self.spawn();
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
