//! Hosts that don't have the cluster key, and floods.

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

use crate::fixture::{HANG, KEY, Node, ask, host, pair, permit, poll, settings};

/// A host with another key is not taken in by gossip.
#[test]
fn a_wrong_key_is_no_member() {
    let (a, b) = pair();
    let stranger = Node::start(settings("c", b"another key", vec![a.service.address()]));
    let counters = || a.service.handle().counters();
    poll(|| counters().datagrams_forged > 0);
    let members = a.service.handle().members();
    assert!(members.iter().all(|it| it.holder.host != host("c")));
    assert_eq!(stranger.service.handle().members().len(), 1);
    b.service.stop();
}

/// Opens a connection and gives the door and its nonce.
async fn knock(address: SocketAddr) -> (door::Client, Vec<u8>) {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (read, write) = tokio_util::compat::TokioAsyncReadCompatExt::compat(stream).split();
    let options = capnp::message::ReaderOptions::new();
    let network = VatNetwork::new(read, write, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let door: door::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    let answer = door.challenge_request().send().promise.await.unwrap();
    let nonce = answer.get().unwrap().get_nonce().unwrap().to_vec();
    (door, nonce)
}

/// Tries to get past the door with a proof over the given nonce; gives the error.
async fn enter(door: &door::Client, key: &[u8], nonce: &[u8]) -> Option<String> {
    let own = [7; 32];
    let mut code = Hmac::<Sha256>::new_from_slice(key).unwrap();
    code.update(&[2]);
    code.update(nonce);
    code.update(&own);
    code.update(&1_u64.to_be_bytes());
    code.update(b"b");
    let mut request = door.enter_request();
    let mut params = request.get();
    params.set_protocol(wire::PROTOCOL);
    params.reborrow().init_member().set_host("b");
    params.reborrow().get_member().unwrap().set_incarnation(1);
    params.set_nonce(&own);
    params.set_proof(&code.finalize().into_bytes());
    let answer = request.send().promise.await;
    answer.err().map(|it| it.to_string())
}

/// On a connection, only a proof with the key over the nonce of this very connection opens the
/// door.
#[test]
fn only_a_fresh_proof_opens_the_door() {
    let a = Node::start(settings("a", KEY, Vec::new()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (door, nonce) = knock(a.service.address()).await;
        let refused = |it: Option<String>| it.is_some_and(|it| it.contains("not a member"));
        assert!(refused(enter(&door, b"another key", &nonce).await));
        let (later, _) = knock(a.service.address()).await;
        assert!(refused(enter(&later, KEY, &nonce).await));
        assert_eq!(enter(&door, KEY, &nonce).await, None);
    });
}

/// Neither garbage on both ports nor connections held open keep members from each other.
#[test]
fn a_flood_stops_no_member() {
    let (a, b) = pair();
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
    let verdict = b.service.handle().place(&host("a"), ask("granted"), HANG);
    assert_eq!(verdict.unwrap(), Verdict::Granted(permit()));
    let counters = || a.service.handle().counters();
    poll(|| counters().datagrams_malformed > 0);
    poll(|| counters().datagrams_forged > 0);
    poll(|| counters().strangers > 0);
    let up = |it: &member::Member| it.state == Condition::Up;
    poll(|| b.service.handle().members().iter().all(up));
    poll(|| a.service.handle().members().iter().all(up));
    for node in [a, b] {
        let died = |it: &Change| matches!(it, Change::Down(_));
        let deaths = node
            .recorder
            .wait(|it| Some(it.changes.iter().filter(|it| died(it)).count()));
        assert_eq!(deaths, 0);
    }
}

/// A connection that says nothing, or too much, is closed.
#[test]
fn a_silent_connection_is_closed() {
    let a = Node::start(settings("a", KEY, Vec::new()));
    let check = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(a.service.address()).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        // The other end may close the connection before it has read everything.
        let _ = stream.write_all(bytes);
        let mut rest = Vec::new();
        match stream.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
        }
    };
    check(&[]);
    check(&[0; 16]);
    check(&vec![0; 100_000]);
    // A message that claims to have many large segments.
    check(&[0xff; 512]);
}
