//! HTTP/1.1 over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or response. The headers have names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|it| it.0 == name).map(|it| &*it.1)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path with its query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn error(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a message whose body has a length or chunks. Returns `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(error("the head is not complete"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| error("no header"))?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok());
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| error("no chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            if size == 0 {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}

/// Outcome of a client's request: a response, or why there is none.
pub type Outcome = Result<Message, String>;

/// Sends one request on a new connection and reads the response.
pub fn call(addr: SocketAddr, head: &str, body: &str, timeout: Duration) -> Outcome {
    let began = Instant::now();
    let text = |it: io::Error| format!("{it} after {} ms", began.elapsed().as_millis());
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let length = body.len();
    let request = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    (&stream).write_all(request.as_bytes()).map_err(text)?;
    let response = read(&mut BufReader::new(stream)).map_err(text)?;
    response.ok_or_else(|| "the connection was closed without a response".to_owned())
}
