//! A caller that has closed its connection has left, also if the event loop has not read the close.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use gateway::caller::{Caller, Connection};
use tokio::runtime::Builder;

/// Returns a caller's end of a connection, and this host's.
fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let caller = TcpStream::connect(addr).expect("the port is open");
    let (served, _) = listener.accept().expect("the caller connects");
    served.set_nonblocking(true).expect("the socket is open");
    (caller, served)
}

/// Runs a check on a connection without a turn of the event loop between.
fn check(act: impl FnOnce(TcpStream) -> Option<TcpStream>, has_left: bool) {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        let (stream, served) = connect();
        let served = tokio::net::TcpStream::from_std(served).expect("the socket is open");
        let connection = Connection::new(served);
        let caller: Caller = connection.caller();
        assert!(!caller.has_left());
        let _stream = act(stream);
        thread::sleep(Duration::from_millis(50));
        assert_eq!(caller.has_left(), has_left);
        drop(connection);
        assert!(caller.has_left());
    });
}

#[test]
fn a_close_that_was_not_read_counts() {
    check(
        |it| {
            drop(it);
            None
        },
        true,
    );
}

#[test]
fn a_caller_that_sends_more_has_not_left() {
    check(
        |mut it| {
            it.write_all(b"GET").expect("the connection is open");
            Some(it)
        },
        false,
    );
    check(Some, false);
}
