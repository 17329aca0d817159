//! Tests of peers that don't have the cluster key, and of floods.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket},
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use hmac::{Hmac, KeyInit, Mac};
use kernel::permit::Verdict;
use member::{Change, Condition};
use sha2::Sha256;
use wire::comfreywing_capnp::door;

use crate::fixture::{
    KEY, Node, TEST_TIMEOUT, host, permit, permit_request, poll, settings, start_pair,
};

/// A host with another cluster key does not become a member.
#[test]
fn a_host_with_a_wrong_key_is_no_member() {
    let (a, b) = start_pair();
    let other = Node::start(settings("c", b"another key", vec![a.service.address()]));
    let counters = || a.service.handle().counters();
    poll(|| counters().datagrams_forged > 0);
    let members = a.service.handle().members();
    assert!(members.iter().all(|it| it.holder.host != host("c")));
    assert_eq!(other.service.handle().members().len(), 1);
    b.service.stop();
}

/// Opens a connection. Returns its `Door` interface, through which it authenticates, and the nonce
/// of the challenge.
async fn open_connection(address: SocketAddr) -> (door::Client, Vec<u8>) {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (read, write) = tokio_util::compat::TokioAsyncReadCompatExt::compat(stream).split();
    let options = capnp::message::ReaderOptions::new();
    let network = VatNetwork::new(read, write, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let door: door::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    let response = door.challenge_request().send().promise.await.unwrap();
    let nonce = response.get().unwrap().get_nonce().unwrap().to_vec();
    (door, nonce)
}

/// Tries to authenticate as host `b` with a proof over the given nonce. Returns the error, if any.
async fn authenticate(door: &door::Client, key: &[u8], nonce: &[u8]) -> Option<String> {
    let client_nonce = [7; 32];
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap();
    // The purpose of the tag: the proof of a connecting host.
    mac.update(&[2]);
    mac.update(nonce);
    mac.update(&client_nonce);
    mac.update(&1_u64.to_be_bytes());
    mac.update(b"b");
    let mut request = door.enter_request();
    let mut params = request.get();
    params.set_protocol(wire::PROTOCOL);
    params.reborrow().init_member().set_host("b");
    params.reborrow().get_member().unwrap().set_incarnation(1);
    params.set_nonce(&client_nonce);
    params.set_proof(&mac.finalize().into_bytes());
    let response = request.send().promise.await;
    response.err().map(|it| it.to_string())
}

/// A proof is accepted only if it is made with the cluster key over the nonce of the same
/// connection. Otherwise a recorded proof could be replayed.
#[test]
fn a_proof_is_valid_for_one_connection_only() {
    let a = Node::start(settings("a", KEY, Vec::new()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (door, nonce) = open_connection(a.service.address()).await;
        let refused = |it: Option<String>| it.is_some_and(|it| it.contains("not a member"));
        assert!(refused(authenticate(&door, b"another key", &nonce).await));
        let (other_door, _) = open_connection(a.service.address()).await;
        assert!(refused(authenticate(&other_door, KEY, &nonce).await));
        assert_eq!(authenticate(&door, KEY, &nonce).await, None);
    });
}

/// Members still reach each other, and none is reported as down, while one of them receives garbage
/// on both ports and its unauthenticated connections are held open.
#[test]
fn a_flood_does_not_disturb_members() {
    let (a, b) = start_pair();
    let address = a.service.address();
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    for size in (0..20_000).map(|it| it % 2000) {
        socket.send_to(&vec![0xa5; size], address).unwrap();
    }
    let mut held: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    for stream in &mut held {
        // The other end may have closed the connection already.
        let _ = stream.write_all(&[0xff; 64]);
    }
    let verdict = b
        .service
        .handle()
        .place(&host("a"), permit_request("granted"), TEST_TIMEOUT);
    assert_eq!(verdict.unwrap(), Verdict::Granted(permit()));
    let counters = || a.service.handle().counters();
    poll(|| counters().datagrams_malformed > 0);
    poll(|| counters().datagrams_forged > 0);
    poll(|| counters().strangers > 0);
    let is_up = |it: &member::Member| it.state == Condition::Up;
    poll(|| b.service.handle().members().iter().all(is_up));
    poll(|| a.service.handle().members().iter().all(is_up));
    for node in [a, b] {
        let is_down = |it: &Change| matches!(it, Change::Down(_));
        let down_count = node
            .recorder
            .wait(|it| Some(it.changes.iter().filter(|it| is_down(it)).count()));
        assert_eq!(down_count, 0);
    }
}

/// A connection that does not authenticate in time, or sends invalid data or too much of it, is
/// closed.
#[test]
fn an_unauthenticated_connection_is_closed() {
    let a = Node::start(settings("a", KEY, Vec::new()));
    let check = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(a.service.address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        // The other end may close the connection before it has read everything.
        let _ = stream.write_all(bytes);
        let mut received = Vec::new();
        match stream.read_to_end(&mut received) {
            Ok(_) => {}
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
        }
    };
    check(&[]);
    check(&[0; 16]);
    check(&vec![0; 100_000]);
    // A message header that announces many large segments.
    check(&[0xff; 512]);
}
