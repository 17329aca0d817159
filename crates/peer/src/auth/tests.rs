//! Codes and proofs.

use kernel::permit::Holder;

use super::{Check, Key, Nonces};

const NONCES: Nonces = Nonces {
    server: [1; 32],
    client: [2; 32],
};

fn holder(incarnation: u64) -> Holder {
    Holder {
        host: "a".parse().unwrap(),
        incarnation,
    }
}

/// Only an unaltered datagram under the same key is opened.
#[test]
fn datagrams_are_opened() {
    let key = Key::new(b"key");
    let sealed = key.seal(b"hello");
    assert_eq!(key.open(&sealed), Some(&b"hello"[..]));
    assert_eq!(Key::new(b"other").open(&sealed), None);
    for at in 0..sealed.len() {
        let mut altered = sealed.clone();
        altered[at] ^= 1;
        assert_eq!(key.open(&altered), None);
        assert_eq!(key.open(&sealed[..at]), None);
    }
}

/// A proof holds for one host, one incarnation, one pair of nonces and one direction.
#[test]
fn proofs_are_checked() {
    let key = Key::new(b"key");
    let proof = key.prove_enter(&NONCES, &holder(1));
    assert_eq!(key.check_enter(&NONCES, &holder(1), &proof), Check::Right);
    assert_eq!(key.check_enter(&NONCES, &holder(2), &proof), Check::Wrong);
    let others = Nonces {
        server: [3; 32],
        ..NONCES
    };
    assert_eq!(key.check_enter(&others, &holder(1), &proof), Check::Wrong);
    assert_eq!(key.check_welcome(&NONCES, &proof), Check::Wrong);
    let welcome = key.prove_welcome(&NONCES);
    assert_eq!(key.check_welcome(&NONCES, &welcome), Check::Right);
    let other = Key::new(b"other").prove_welcome(&NONCES);
    assert_eq!(key.check_welcome(&NONCES, &other), Check::Wrong);
    assert_eq!(key.check_welcome(&NONCES, &[]), Check::Wrong);
}
