//! An upstream that does what a script says, connection by connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use kernel::reference::Loaded;

/// Time in which everything that should happen does.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A deadline that a test lets pass.
pub const SHORT: Duration = Duration::from_millis(200);

/// What the upstream does with one connection.
#[derive(Clone, Debug)]
pub enum Act {
    /// Closes it at once.
    Close,
    /// Reads so many bytes and resets it.
    Reset(usize),
    /// Reads the request, writes this and closes.
    Write(String),
    /// Reads the request, writes this, and holds the connection until the caller closes it.
    Hold(String),
}

/// A running upstream. It answers 404 once its script has ended.
pub struct Upstream {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Upstream {
    pub fn start(script: Vec<Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (log, end) = (requests.clone(), stopped.clone());
        let thread = thread::spawn(move || {
            let mut script = script.into_iter();
            while let Ok((stream, _)) = listener.accept() {
                let act = script.next();
                play(stream, &act.unwrap_or(Act::Write(answer(404, "{}"))), &log);
                // What has come before the end is still played, and then `accept` fails.
                if end.load(Ordering::Acquire) {
                    listener.set_nonblocking(true).unwrap();
                }
            }
        });
        Self {
            address,
            requests,
            stopped,
            thread: Some(thread),
        }
    }

    /// Every request that was read whole.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

impl Upstream {
    /// Stops, so that nothing can come any more, and gives every request.
    pub fn stop(mut self) -> Vec<String> {
        self.join();
        self.requests()
    }

    fn join(&mut self) {
        self.stopped.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.join();
    }
}

fn play(mut stream: TcpStream, act: &Act, requests: &Mutex<Vec<String>>) {
    match act {
        Act::Close => {}
        // Bytes that are left unread make the close a reset.
        Act::Reset(count) => stream.read_exact(&mut vec![0; *count]).unwrap(),
        Act::Write(text) | Act::Hold(text) => {
            let request = read_request(&mut stream);
            requests.lock().unwrap().extend(request);
            let _ = stream.write_all(text.as_bytes());
            if let Act::Hold(_) = act {
                let _ = stream.read(&mut [0]);
            }
        }
    }
}

/// Reads a request; a caller that closes before the first byte has sent none.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut space = [0; 4096];
    while !is_whole(&text) {
        let count = stream.read(&mut space).unwrap();
        if count == 0 && text.is_empty() {
            return None;
        }
        assert_ne!(count, 0, "the request is cut: {text:?}");
        text.push_str(std::str::from_utf8(&space[..count]).unwrap());
    }
    Some(text)
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.split_once("content-length: ").map_or(0, |(_, rest)| {
        rest.lines().next().unwrap().trim().parse().unwrap()
    });
    body.len() >= length
}

/// A whole answer.
pub fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// The error body of an engine.
pub fn error(status: u16, code: &str) -> String {
    answer(
        status,
        &format!(r#"{{"error":{{"code":"{code}","message":"m"}}}}"#),
    )
}

/// The head of a streamed answer that ends with its connection.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// The chunks of an answer as events; the last one has a finish reason.
pub fn events(model: &str, from: usize, count: usize) -> Vec<String> {
    let event = |index| {
        let finish = if index + 1 == count {
            r#""stop""#
        } else {
            "null"
        };
        format!(
            "id: {index}\ndata: {{\"model\":\"{model}\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"t{index}\"}},\"finish_reason\":{finish}}}]}}\n\n"
        )
    };
    let chunks = (from..count).map(event);
    chunks.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

pub fn loaded() -> Loaded {
    "signs/bay-summary@7+31".parse().unwrap()
}

pub fn soon() -> Instant {
    Instant::now() + SHORT
}

pub fn late() -> Instant {
    Instant::now() + PATIENCE
}
