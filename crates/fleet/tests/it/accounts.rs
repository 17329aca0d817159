//! Client accounts: whose request it is.

use fleet::account::{Access, Account, Accounts, KeyDigest, Quota, Unauthenticated, Unit};

fn account(name: &str) -> Account {
    Account {
        name: name.into(),
        priority: None,
        quota: None,
    }
}

/// Accounts with keys.
fn accounts(all: &[(&str, &[&str])]) -> Accounts {
    let digests = |keys: &[&str]| keys.iter().map(|it| KeyDigest::of(it)).collect();
    Accounts::new(
        all.iter()
            .map(|(name, keys)| (account(name), digests(keys))),
    )
}

/// The account of a request on a route that needs a key.
fn holder(accounts: &Accounts, key: &str) -> Option<String> {
    let found = accounts.authenticate(Access::Accounts, Some(&KeyDigest::of(key)));
    found.ok().flatten().map(|it| it.name.to_string())
}

#[test]
fn a_key_identifies_the_account_that_holds_it() {
    let before = accounts(&[("north", &["k1", "k2"]), ("south", &["k3"])]);
    assert_eq!(holder(&before, "k2").as_deref(), Some("north"));
    assert_eq!(holder(&before, "k4"), None);
    // The key moves to the other account with the next revision.
    let after = accounts(&[("north", &["k1"]), ("south", &["k3", "k2"])]);
    assert_eq!(holder(&after, "k2").as_deref(), Some("south"));
}

#[test]
fn an_account_without_keys_lets_nobody_in() {
    let accounts = accounts(&[("north", &[]), ("south", &["k3"])]);
    assert_eq!(holder(&accounts, "k1"), None);
    assert_eq!(holder(&accounts, "").as_deref(), None);
}

#[test]
fn no_account_lets_anybody_in_if_the_list_of_accounts_is_empty() {
    assert_eq!(holder(&accounts(&[]), "k1"), None);
}

#[test]
fn a_key_of_two_accounts_identifies_neither() {
    let accounts = accounts(&[("north", &["k1", "k2"]), ("south", &["k1"])]);
    assert_eq!(holder(&accounts, "k1"), None);
    assert_eq!(holder(&accounts, "k2").as_deref(), Some("north"));
    let shared: Vec<_> = accounts
        .shared_keys()
        .iter()
        .map(|it| (&*it[0], &*it[1]))
        .collect();
    assert_eq!(shared, [("north", "south")]);
}

#[test]
fn a_public_route_needs_no_key_and_knows_the_caller_by_one() {
    let accounts = accounts(&[("north", &["k1"])]);
    let found = |key: Option<&str>| {
        let digest = key.map(KeyDigest::of);
        let found = accounts.authenticate(Access::Public, digest.as_ref());
        found.map(|it| it.map(|it| it.name.to_string()))
    };
    assert_eq!(found(None), Ok(None));
    assert_eq!(found(Some("k9")), Ok(None));
    assert_eq!(found(Some("k1")), Ok(Some("north".to_owned())));
}

#[test]
fn another_host_is_believed_about_an_account_unless_it_was_removed_since() {
    let accounts = accounts(&[("north", &["k1"])]);
    let vouched = |name: &str, theirs: u64| {
        let found = accounts.vouched(&name.into(), theirs, 5);
        found.map(|it| it.name.to_string())
    };
    assert_eq!(vouched("north", 5), Ok("north".to_owned()));
    assert_eq!(vouched("new", 6), Ok("new".to_owned()));
    assert_eq!(vouched("removed", 4), Err(Unauthenticated));
}

#[test]
fn a_digest_is_read_as_it_is_written_and_is_not_shown() {
    let digest = KeyDigest::of("k1");
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(KeyDigest::from_hex("00"), None);
    assert_eq!(KeyDigest::from_hex(&"zz".repeat(32)), None);
    assert_eq!(format!("{digest:?}"), "KeyDigest");
}

#[test]
fn a_request_costs_its_tokens_or_one() {
    let quota = |unit| Quota {
        unit,
        rate: 10.0,
        burst: 10.0,
    };
    let tokens = quota(Unit::Tokens { unstated: 200.0 });
    assert!((tokens.cost(Some(1540)) - 1540.0).abs() < 1e-9);
    assert!((tokens.cost(None) - 200.0).abs() < 1e-9);
    assert!((quota(Unit::Requests).cost(Some(1540)) - 1.0).abs() < 1e-9);
}

/// Accounts of three sizes compete: each weighs what its quota in tokens is to the mean of those, 1,000 a second.
#[test]
fn accounts_weigh_as_much_as_their_quotas_in_tokens() {
    let tokens = Unit::Tokens { unstated: 1.0 };
    let quotas = [
        ("large", Some((tokens, 1990.0))),
        ("closed", Some((tokens, 10.0))),
        ("by-requests", Some((Unit::Requests, 5.0))),
        ("unlimited", None),
    ];
    let accounts = Accounts::new(quotas.map(|(name, quota)| {
        let quota = quota.map(|(unit, rate)| Quota {
            unit,
            rate,
            burst: rate,
        });
        let account = Account {
            quota,
            ..account(name)
        };
        (account, Vec::new())
    }));
    let weight = |name| accounts.weight(accounts.by_name(name).expect("it is listed"));
    let weights = quotas.map(|it| format!("{:.2}", weight(it.0)));
    assert_eq!(weights, ["1.99", "0.05", "1.00", "1.00"]);
}
