//! Connections outlast a peer that reads nothing for a while.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use gateway::{
    connection::{self, Pool, Reuse},
    memory::{Budget, Kind},
};
use hyper::Request;
use tokio::{io::AsyncWriteExt, net::TcpStream, runtime::Builder, task::LocalSet};

/// Time for which the peer reads nothing. A sound process may pause for a second or so.
const PAUSE: Duration = Duration::from_millis(2500);

/// More than the peer's receive buffer holds.
const BODY_BYTES: usize = 4 << 20;

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, future)
}

/// Reads `bytes` after the pause, then writes `response`.
fn start_pausing_peer(
    bytes: usize,
    response: &'static str,
) -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        thread::sleep(PAUSE);
        let mut received = 0;
        let mut buffer = vec![0; 1 << 16];
        while received < bytes {
            let count = stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the connection ended after {received} bytes");
            received += count;
        }
        stream.write_all(response.as_bytes()).unwrap();
    });
    (addr, peer)
}

/// An engine that paused while it was sent a long body got its connection closed, although it went on to read
/// the body and to answer.
#[test]
fn a_request_outlasts_an_engine_that_pauses_within_its_body() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (addr, engine) = start_pausing_peer(BODY_BYTES, response);
    let status = block_on(async {
        let pool = Pool::new(Budget::new(Kind::Responses, BODY_BYTES));
        let mut connection = pool.acquire(addr, Reuse::Never).await.unwrap();
        let mut request = Request::new(Bytes::from(vec![b'x'; BODY_BYTES]));
        *request.method_mut() = hyper::Method::POST;
        let host = addr.to_string().parse().unwrap();
        request.headers_mut().insert(hyper::header::HOST, host);
        connection.send(request).await.map(|it| it.status())
    });
    assert!(matches!(&status, Ok(it) if it.is_success()), "{status:?}");
    engine.join().unwrap();
}

/// A caller that paused while it read a long response lost the rest of it.
#[test]
fn a_response_outlasts_a_caller_that_pauses_within_its_body() {
    let (addr, caller) = start_pausing_peer(BODY_BYTES, "");
    let written = block_on(async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        connection::set_socket_options(&stream).unwrap();
        stream.write_all(&vec![b'x'; BODY_BYTES]).await
    });
    written.unwrap();
    caller.join().unwrap();
}
