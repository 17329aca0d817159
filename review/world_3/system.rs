//! Processes of the system under test, with settings like those of a small deployment, and the record of a case.

use std::{
    env,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/comfreywing-entry";

/// Record of what was sent, answered and run, with times since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|it| it.to_string())?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}

/// Place of one host.
pub struct Place {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
}

/// Host that runs as a process. It is killed when this is dropped.
pub struct Host {
    pub place: Place,
    child: Option<Child>,
}

fn free_port(ip: &str) -> Result<u16, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|it| it.to_string())?;
    Ok(listener.local_addr().map_err(|it| it.to_string())?.port())
}

/// Port that is free on all these addresses for TCP and UDP.
fn common_port(ips: &[String]) -> Result<u16, String> {
    for _ in 0..100 {
        let port = free_port(&ips[0])?;
        let is_free = |ip: &String| {
            TcpListener::bind((ip.as_str(), port)).is_ok()
                && UdpSocket::bind((ip.as_str(), port)).is_ok()
        };
        if ips.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err("no port is free".into())
}

/// Prepares hosts, one for each failure domain. The settings are those of `deploy/settings.yaml` with the bounds of the
/// site.
pub fn places(folder: &Path, store: SocketAddr, zones: &[&str]) -> Result<Vec<Place>, String> {
    let ips: Vec<String> = (1..=zones.len())
        .map(|it| format!("127.0.9.{it}"))
        .collect();
    let peer_port = common_port(&ips)?;
    let mut places = Vec::new();
    for (zone, ip) in zones.iter().zip(&ips) {
        let (callers, ready) = (free_port(ip)?, free_port(ip)?);
        let metrics = free_port(ip)?;
        let name = format!("edge-{zone}-1");
        let text = format!(
            "mode: gateway\ndialect: objects\nhost: \"{name}\"\ndomain: \"{zone}\"\ncallers: \"{ip}:{callers}\"\n\
             ready: \"{ip}:{ready}\"\npeers: \"{ip}:{peer_port}\"\nmetrics: \"{ip}:{metrics}\"\nstore: \"{store}\"\n\
             store_blind_milliseconds: 3000\ndrain_milliseconds: 2000\nseeds: []\nfirst_start: true\n\
             retries:\n  ratio: 0.2\n  window_seconds: 10\n  slack: 54\nquotas:\n  window_seconds:\n  ratio:\n  slack:\n\
             orders:\n  turn_milliseconds: 3000\n  window_seconds: 5\ngrace_seconds: 8\nquarantine_seconds: 60\n\
             memory_megabytes: 390\nlog: info\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).map_err(|it| it.to_string())?;
        let parse = |port: u16| format!("{ip}:{port}").parse().expect("a valid address");
        places.push(Place {
            name,
            zone: (*zone).to_owned(),
            callers: parse(callers),
            ready: parse(ready),
            settings,
        });
    }
    Ok(places)
}

impl Host {
    /// Starts the process of a host.
    pub fn start(place: Place) -> Result<Self, String> {
        let mut host = Self { place, child: None };
        host.spawn()?;
        Ok(host)
    }

    fn spawn(&mut self) -> Result<(), String> {
        let log = self.place.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|it| it.to_string())?;
        let copy = log.try_clone().map_err(|it| it.to_string())?;
        let child = Command::new(PROGRAM)
            .env("COMFREYWING_CONFIG", &self.place.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .map_err(|it| format!("{PROGRAM}: {it}"))?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again, not for the first time.
    pub fn restart(&mut self) -> Result<(), String> {
        let text = fs::read_to_string(&self.place.settings).map_err(|it| it.to_string())?;
        let text = text.replace("first_start: true", "first_start: false");
        fs::write(&self.place.settings, text).map_err(|it| it.to_string())?;
        self.spawn()
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n";
            let response = http::call(self.place.ready, head, "", Duration::from_secs(1));
            if response.is_ok_and(|it| it.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("host {} does not become ready", self.place.name))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder of a case, removed when this is dropped. It stays if `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let name = format!("review-3-{}", std::process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|it| it.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept {}", self.0.display());
        }
    }
}
