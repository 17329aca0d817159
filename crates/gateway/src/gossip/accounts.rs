//! Use of client accounts, counted over all hosts (`fleet::account::ledger`).

use std::{net::SocketAddr, time::Duration};

use fleet::{
    Time,
    account::{
        Account,
        ledger::{AccountId, Charge, Decision, ReportId, Urgency, Usage},
    },
};

use super::Gossip;
use crate::{
    clock,
    message::{self, AccountUsage, MAX_WORKLOADS_PER_MESSAGE, Message},
};

impl Gossip {
    /// Charges a request to its account. Returns what was charged, if the account has a quota. The error is the time after
    /// which the caller should come back, since the quota is used up.
    pub(crate) fn charge(
        &self,
        account: &Account,
        stated_tokens: Option<u64>,
    ) -> Result<Option<Charge>, Duration> {
        let Some(quota) = &account.quota else {
            return Ok(None);
        };
        let now = clock::now();
        let quota = quota.tolerant(&self.gateway.settings.quota_tolerance());
        let cost = quota.cost(stated_tokens);
        let id = AccountId::of(&account.name);
        let mut ledger = self.gateway.ledger.borrow_mut();
        let (decision, urgency) = ledger.admit(id, &quota, cost, now);
        let usage = ledger.usage(id, now);
        drop(ledger);
        match decision {
            Decision::Admit(charge) => {
                let metrics = &self.gateway.metrics.accounts;
                metrics.count_units(&account.name, "admitted", cost);
                if let (Urgency::Immediate, Some(it)) = (urgency, usage) {
                    let report = self.report_usage(&[it]);
                    self.try_send_all(&report, &self.prompt_recipients(&account.name));
                }
                Ok(Some(charge))
            }
            Decision::Refuse(wait) => {
                let metrics = &self.gateway.metrics.accounts;
                metrics.count_units(&account.name, "refused", cost);
                Err(wait)
            }
        }
    }

    /// Builds a report, whose number is higher than those before.
    fn report_usage(&self, usages: &[Usage]) -> Message {
        let number = self.gateway.usage_reports.get() + 1;
        self.gateway.usage_reports.set(number);
        let accounts = usages.iter();
        Message::AccountUsage(AccountUsage {
            incarnation: self.gateway.incarnation,
            number,
            accounts: accounts
                .map(|it| (it.account.0, it.total, message::to_millis(it.age)))
                .collect(),
        })
    }

    /// Reports of the accounts that were used of late, for a heartbeat.
    pub(super) fn account_messages(&self, now: Time) -> Vec<Message> {
        let peers = self.gateway.peers.borrow();
        let share = peers.heard_share(&self.gateway.holder, now);
        let validity = peers.hearing_timeout();
        drop(peers);
        let mut ledger = self.gateway.ledger.borrow_mut();
        ledger.set_share(share, validity, now);
        let changes = ledger.take_changes(now);
        let parts = changes.chunks(MAX_WORKLOADS_PER_MESSAGE);
        parts.map(|it| self.report_usage(it)).collect()
    }

    /// Records what another host has admitted.
    pub(super) fn handle_account_usage(&self, report: &AccountUsage, from: SocketAddr) {
        let Some(host) = self.gateway.peers.borrow().name_at(from) else {
            return;
        };
        let now = clock::now();
        let id = ReportId {
            incarnation: report.incarnation,
            number: report.number,
        };
        let catalog = self.gateway.catalog();
        let accounts = catalog.as_ref().and_then(|it| it.accounts.as_ref());
        let tolerance = self.gateway.settings.quota_tolerance();
        let mut ledger = self.gateway.ledger.borrow_mut();
        for (account, total, age_ms) in &report.accounts {
            let usage = Usage {
                account: AccountId(*account),
                total: *total,
                age: message::from_millis(*age_ms),
            };
            let quota = accounts.and_then(|it| it.by_id(usage.account)?.quota);
            let quota = quota.map(|it| it.tolerant(&tolerance));
            ledger.observe(&host, id, &usage, quota.as_ref(), now);
        }
    }
}
