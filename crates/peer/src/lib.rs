//! The sockets between entry hosts: gossip datagrams and remote calls.
