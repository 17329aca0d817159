//! Datagrams between hosts.

use gateway::message::{Message, news, read, write};

#[test]
fn a_datagram_of_another_build_or_of_a_stranger_is_no_message() {
    let message = Message::News(vec![news("i-1", &"m/a".into(), None)]);
    let datagram = write(&message);
    assert!(matches!(read(&datagram), Some(Message::News(it)) if it.len() == 1));
    let mut other = datagram.clone();
    other[0] = other[0].wrapping_add(1);
    assert!(read(&other).is_none());
    for length in 0..datagram.len() {
        assert!(read(&datagram[..length]).is_none(), "{length}");
    }
}
