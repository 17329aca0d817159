//! A fake upstream that follows a script, connection by connection.

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

/// Time limit of every wait that has to succeed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit whose expiry a test waits for.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// The behavior of the upstream on one connection.
#[derive(Clone, Debug)]
pub enum Action {
    /// Closes the connection immediately.
    Close,
    /// Reads this number of bytes and resets the connection.
    Reset(usize),
    /// Reads the request, writes this text, and closes the connection.
    Write(String),
    /// Receives the request, writes this text, and resets the connection.
    WriteAndReset(String),
    /// Reads the request, writes this text, and waits for the caller to close the connection.
    Hold(String),
}

/// A running upstream. It responds with 404 once its script has ended.
pub struct Upstream {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Upstream {
    pub fn start(script: Vec<Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (request_log, stop_flag) = (requests.clone(), stopped.clone());
        let thread = thread::spawn(move || {
            let mut script = script.into_iter();
            while let Ok((stream, _)) = listener.accept() {
                let action = script.next();
                handle(
                    stream,
                    &action.unwrap_or(Action::Write(format_response(404, "{}"))),
                    &request_log,
                );
                // Connections that are already pending are still handled, and then `accept` fails.
                if stop_flag.load(Ordering::Acquire) {
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

    /// Returns every request that was read completely.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

impl Upstream {
    /// Stops the upstream and returns every request that it has read.
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

fn handle(mut stream: TcpStream, action: &Action, requests: &Mutex<Vec<String>>) {
    match action {
        Action::Close => {}
        // Closing a socket with unread bytes resets the connection.
        Action::Reset(count) => stream.read_exact(&mut vec![0; *count]).unwrap(),
        Action::WriteAndReset(text) => {
            requests.lock().unwrap().push(peek_request(&stream));
            let _ = stream.write_all(text.as_bytes());
        }
        Action::Write(text) | Action::Hold(text) => {
            let request = read_request(&mut stream);
            requests.lock().unwrap().extend(request);
            let _ = stream.write_all(text.as_bytes());
            if let Action::Hold(_) = action {
                let _ = stream.read(&mut [0]);
            }
        }
    }
}

/// Waits for a request, which stays unread.
fn peek_request(stream: &TcpStream) -> String {
    let mut buffer = [0; 4096];
    loop {
        let count = stream.peek(&mut buffer).unwrap();
        let text = std::str::from_utf8(&buffer[..count]).unwrap();
        if count == 0 || is_complete(text) {
            return text.to_owned();
        }
        thread::yield_now();
    }
}

/// Reads a request. Returns `None` if the caller closes the connection before the first byte.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !is_complete(&text) {
        let count = stream.read(&mut buffer).unwrap();
        if count == 0 && text.is_empty() {
            return None;
        }
        assert_ne!(count, 0, "the request is truncated: {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    Some(text)
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.split_once("content-length: ").map_or(0, |(_, rest)| {
        rest.lines().next().unwrap().trim().parse().unwrap()
    });
    body.len() >= length
}

/// Formats a complete response.
pub fn format_response(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Formats an error response of an engine.
pub fn format_error(status: u16, code: &str) -> String {
    format_response(
        status,
        &format!(r#"{{"error":{{"code":"{code}","message":"m"}}}}"#),
    )
}

/// The head of a streamed response that ends with its connection.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Formats the chunks of a response as events, with a finish reason in the last one, and the end
/// marker.
pub fn format_events(model: &str, from: usize, count: usize) -> Vec<String> {
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

/// The loaded adapter under test.
pub fn loaded() -> Loaded {
    "signs/bay-summary@7+31".parse().unwrap()
}

/// A deadline that passes during the test.
pub fn near_deadline() -> Instant {
    Instant::now() + SHORT_TIMEOUT
}

/// A deadline that does not pass during the test.
pub fn distant_deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}
