//! Tests of the client of the host list against the stand-in server.

use kernel::service::{self, State};
use objects::{
    hosts::{Client, Role, collect_instances},
    object::Failure,
};
use standin::{
    control::Outage,
    hosts::{self, Server, Switch},
};

fn entry(name: &str, role: hosts::Role, serves: &str) -> hosts::Host {
    hosts::Host {
        name: name.to_owned(),
        address: "127.0.0.1:7001".parse().unwrap(),
        domain: "dar-a".to_owned(),
        role,
        serves: serves.to_owned(),
        state: hosts::State::Live,
    }
}

fn check(run: impl FnOnce(&Server, &Client)) {
    let server = Server::start();
    let client = Client::new(server.address());
    run(&server, &client);
}

// Every role is decoded, and only upstreams are instances.
#[test]
fn roles_are_decoded() {
    check(|server, client| {
        server.set(Switch::Put(entry("entry-a1", hosts::Role::Entry, "")));
        server.set(Switch::Put(entry("e1", hosts::Role::Engine, "base-7b")));
        server.set(Switch::Put(entry("p1", hosts::Role::Plain, "registry")));
        server.set(Switch::State("p1".to_owned(), hosts::State::Leaving));
        let list = client.list().unwrap();
        let roles: Vec<_> = list.iter().map(|it| it.role.clone()).collect();
        let engine = Role::Engine("base-7b".parse().unwrap());
        let plain = Role::Plain("registry".parse().unwrap());
        assert_eq!(roles, [Role::Entry, engine, plain]);
        let upstreams = collect_instances(&list);
        assert_eq!(upstreams.len(), 2);
        assert_eq!(upstreams[1].state, State::Leaving);
        let plain = service::Role::Plain("registry".parse().unwrap());
        assert_eq!(upstreams[1].role, plain);
    });
}

// Invalid entries are skipped without affecting the valid ones.
#[test]
fn invalid_entries_are_skipped() {
    check(|server, client| {
        let valid = serde_json::to_string(&entry("e1", hosts::Role::Engine, "base-7b")).unwrap();
        let invalid = [
            "null",
            "{}",
            r#""e2""#,
            &valid.replace("base-7b", "BASE 7B"),
            &valid.replace("7001", "70010"),
            &valid.replace("engine", "router"),
            &valid.replace("live", "asleep"),
            &valid.replace("e1", ""),
        ]
        .join(",");
        server.set(Switch::Garble(format!(
            r#"{{"hosts":[{invalid},{valid}]}}"#
        )));
        let hosts: Vec<_> = client.list().unwrap();
        assert_eq!(hosts.len(), 1);
        assert_eq!(hosts[0].name.as_str(), "e1");
    });
}

// A malformed list is a failure, not an empty list.
#[test]
fn a_malformed_list_is_a_failure() {
    check(|server, client| {
        for text in ["<html>", "[]", "{\"hosts\":{}}", "{\"hosts\":[", "{}"] {
            server.set(Switch::Garble(text.to_owned()));
            let failed = client.list();
            assert!(matches!(failed, Err(Failure::Unavailable { .. })), "{text}");
        }
        server.set(Switch::Garble(String::new()));
        server.set(Switch::Outage(Outage::Break));
        let failed = client.list();
        assert!(
            matches!(failed, Err(Failure::Unavailable { .. })),
            "{failed:?}"
        );
    });
}

// The list shows a change only after the lag of the server, and at once without lag.
#[test]
fn changes_are_listed_after_the_lag() {
    check(|server, client| {
        server.set(Switch::LagMs(3_600_000));
        server.set(Switch::Put(entry("e1", hosts::Role::Engine, "base-7b")));
        assert_eq!(client.list().unwrap(), []);
        server.set(Switch::LagMs(0));
        assert_eq!(client.list().unwrap().len(), 1);
    });
}
