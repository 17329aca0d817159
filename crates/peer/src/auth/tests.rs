//! Tests of tags and proofs.

use kernel::permit::Holder;

use super::{Key, Nonces, Validity};

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

/// A datagram that was altered, truncated or signed with another key is rejected.
#[test]
fn only_unaltered_datagrams_are_accepted() {
    let key = Key::new(b"key");
    let signed = key.sign(b"hello");
    assert_eq!(key.verify(&signed), Some(&b"hello"[..]));
    assert_eq!(Key::new(b"other").verify(&signed), None);
    for index in 0..signed.len() {
        let mut altered = signed.clone();
        altered[index] ^= 1;
        assert_eq!(key.verify(&altered), None);
        assert_eq!(key.verify(&signed[..index]), None);
    }
}

/// A proof is valid for one host, one incarnation, one pair of nonces and one direction only.
#[test]
fn proofs_are_checked() {
    let key = Key::new(b"key");
    let proof = key.prove_client(&NONCES, &holder(1));
    assert_eq!(
        key.check_client(&NONCES, &holder(1), &proof),
        Validity::Valid
    );
    assert_eq!(
        key.check_client(&NONCES, &holder(2), &proof),
        Validity::Invalid
    );
    let others = Nonces {
        server: [3; 32],
        ..NONCES
    };
    assert_eq!(
        key.check_client(&others, &holder(1), &proof),
        Validity::Invalid
    );
    assert_eq!(key.check_server(&NONCES, &proof), Validity::Invalid);
    let server_proof = key.prove_server(&NONCES);
    assert_eq!(key.check_server(&NONCES, &server_proof), Validity::Valid);
    let other = Key::new(b"other").prove_server(&NONCES);
    assert_eq!(key.check_server(&NONCES, &other), Validity::Invalid);
    assert_eq!(key.check_server(&NONCES, &[]), Validity::Invalid);
}
