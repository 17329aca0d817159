//! HTTP/1.1 on blocking sockets, for the stand-ins.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a request or a response, with the bytes that followed it in the same read.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| &*it.1)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Buffered connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end of the connection, and if nothing came in time.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(it) => {
                self.buffer.extend_from_slice(&bytes[..it]);
                true
            }
        }
    }

    pub fn read_head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|it| it.split_once(':'));
                let headers = headers.map(|it| (it.0.trim().to_owned(), it.1.trim().to_owned()));
                return Some(Head { first_line, headers: headers.collect() });
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body of a request, which has a length or none at all.
    pub fn read_request_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        let length = head.get("content-length").and_then(|it| it.parse().ok());
        self.read_exactly(length.unwrap_or(0))
    }

    /// Reads the body of a response. Returns what came, and whether it is complete.
    pub fn read_response_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        if let Some(length) = head.get("content-length").and_then(|it| it.parse().ok()) {
            return match self.read_exactly(length) {
                Some(it) => (it, true),
                None => (std::mem::take(&mut self.buffer), false),
            };
        }
        let is_chunked = (head.get("transfer-encoding")).is_some_and(|it| it.contains("chunked"));
        let mut body = Vec::new();
        if !is_chunked {
            while self.fill() {}
            return (std::mem::take(&mut self.buffer), true);
        }
        loop {
            let Some(line) = self.read_line() else { return (body, false) };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            let Some(chunk) = self.read_exactly(length) else { return (body, false) };
            body.extend(chunk);
            if self.read_line().is_none() {
                return (body, false);
            }
            if length == 0 {
                return (body, true);
            }
        }
    }

    /// Returns whether the peer has closed the connection. Waits for `wait`.
    pub fn is_closed_within(&mut self, wait: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
        let mut byte = [0];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => {
                std::thread::sleep(wait);
                false
            }
            Err(it) => !matches!(it.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut | std::io::ErrorKind::Interrupted),
        };
        let _ = self.stream.set_read_timeout(None);
        closed
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn respond(&mut self, status: u16, headers: &[(&str, String)], body: &str) -> bool {
        let mut text = format!("HTTP/1.1 {status} S\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.send(text.as_bytes())
    }
}

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub timeout: Duration,
}

/// What a client saw. Status 0 stands for a channel that ended without the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub is_sealed: bool,
    pub is_complete: bool,
    pub body: String,
    pub took: Duration,
}

impl Request {
    /// Sends the request on a new channel, and waits for the answer for as long as the client waits.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let began = Instant::now();
        let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            return Answer { took: began.elapsed(), ..Answer::default() };
        };
        let _ = stream.set_read_timeout(Some(self.timeout));
        let mut connection = Connection::new(stream);
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {}\r\nTimeout-Ms: {}\r\nContent-Length: {}\r\n",
            self.method, self.path, self.id, self.timeout.as_millis(), self.body.len(),
        );
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("\r\n{}", self.body);
        connection.send(text.as_bytes());
        let Some(head) = connection.read_head() else {
            return Answer { took: began.elapsed(), ..Answer::default() };
        };
        let (body, is_complete) = connection.read_response_body(&head);
        Answer {
            status: head.status(),
            is_sealed: head.get("response-seal").is_some(),
            is_complete,
            body: String::from_utf8_lossy(&body).into_owned(),
            took: began.elapsed(),
        }
    }
}
