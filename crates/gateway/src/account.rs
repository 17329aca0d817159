//! Client accounts of callers' requests (`fleet::account`): who the caller is, and what its requests are charged.

use std::{sync::Arc, time::Duration};

use fleet::{
    account::{
        Account, Unauthenticated,
        ledger::{AccountId, Charge},
    },
    catalog::{Catalog, Route},
};
use hyper::{HeaderMap, header::HeaderName};

use crate::{
    clock, dialect::RequestHead, gateway::Gateway, gossip::Gossip, handover::Handover, trace,
};

/// Returns the client account of a request, by its key or by the host that passes it on.
pub(crate) fn authenticate(
    catalog: &Catalog,
    route: &Route,
    request_head: &RequestHead,
    handover: Option<&Handover>,
) -> Result<Option<Arc<Account>>, Unauthenticated> {
    let Some(accounts) = &catalog.accounts else {
        return Ok(None);
    };
    let vouched = handover.and_then(|it| Some((it.account.as_deref()?, it.revision)));
    match vouched {
        Some((name, revision)) => {
            let account = accounts.vouched(&name.into(), revision, catalog.revision);
            account.map(Some)
        }
        None => accounts.authenticate(route.access, request_head.key.as_ref()),
    }
}

/// Replaces what a caller says of itself by its client account.
pub(crate) fn replace_credentials(
    gateway: &Gateway,
    headers: &mut HeaderMap,
    account: Option<&Account>,
) {
    let is_credential = |it: &&HeaderName| gateway.dialect.is_credential(it);
    let credentials: Vec<_> = headers.keys().filter(is_credential).cloned().collect();
    for name in credentials {
        headers.remove(name);
    }
    if let Some(account) = account {
        gateway.dialect.write_account(headers, &account.name);
    }
}

/// Charges a request to its client account. The error is the time after which the caller should come back, since the quota
/// is used up.
pub(crate) fn charge(
    gateway: &Gateway,
    gossip: &Gossip,
    account: &Account,
    request_head: &RequestHead,
) -> Result<Option<Charge>, Duration> {
    let tokens = request_head.total_tokens;
    let charged = gossip.charge(account, tokens);
    if let Err(wait) = charged
        && trace::is_sampled(&request_head.id)
    {
        log_over_quota(gateway, account, request_head, wait);
    }
    charged
}

/// Logs that a request was refused because the quota of its account is used up.
fn log_over_quota(
    gateway: &Gateway,
    account: &Account,
    request_head: &RequestHead,
    wait: Duration,
) {
    let ledger = gateway.ledger.borrow();
    let state = ledger.state(AccountId::of(&account.name), clock::now());
    let id = &*request_head.id;
    let name = &*account.name;
    log::info!(
        event = "over-quota", request = id, account = name, tokens = request_head.total_tokens,
        level = state.map(|it| it.level), share = ledger.share(),
        report_age_ms = state.and_then(|it| it.report_age).map(trace::as_millis),
        retry_after_ms = trace::as_millis(wait);
        "request {id} refused: account {name} has used up its quota"
    );
}
