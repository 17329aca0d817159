//! Encoding of datagrams between hosts.

use gateway::message::{Message, decode, encode, make_adapter_update};

#[test]
fn datagrams_with_another_format_version_or_truncated_are_rejected() {
    let message = Message::AdapterUpdates(vec![make_adapter_update("i-1", &"m/a".into(), None)]);
    let datagram = encode(&message);
    assert!(matches!(decode(&datagram), Some(Message::AdapterUpdates(it)) if it.len() == 1));
    let mut other = datagram.clone();
    other[0] = other[0].wrapping_add(1);
    assert!(decode(&other).is_none());
    for length in 0..datagram.len() {
        assert!(decode(&datagram[..length]).is_none(), "{length}");
    }
}
