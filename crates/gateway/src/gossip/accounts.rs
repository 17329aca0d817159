//! Use of client accounts, counted over all hosts (`fleet::account::ledger`).

use std::{net::SocketAddr, time::Duration};

use fleet::{
    Time,
    account::{
        Account,
        ledger::{AccountId, Charge, Decision, ReportId, Urgency, Usage},
    },
    queue::elsewhere,
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
        let mut work = Vec::new();
        let mut ledger = self.gateway.ledger.borrow_mut();
        for (account, total, age_ms) in &report.accounts {
            let usage = Usage {
                account: AccountId(*account),
                total: *total,
                age: message::from_millis(*age_ms),
            };
            let account = accounts.and_then(|it| it.by_id(usage.account));
            let quota = account.and_then(|it| it.quota);
            let quota = quota.map(|it| it.tolerant(&tolerance));
            let units = ledger.observe(&host, id, &usage, quota.as_ref(), now);
            if let Some((all, it)) = accounts.zip(account)
                && elsewhere::is_in_ledger(it)
            {
                work.push((it.name.clone(), units / all.weight(it)));
            }
        }
        drop(ledger);
        self.gateway.queues.record_elsewhere(&work, now);
    }

    /// Reports of the work for accounts that no report of a quota states.
    pub(super) fn account_work_messages(&self) -> Vec<Message> {
        let work = self.gateway.queues.take_unreported();
        let parts = work.chunks(MAX_WORKLOADS_PER_MESSAGE);
        let encode = |it: &(AccountId, f64)| (it.0.0, message::to_whole(it.1));
        parts
            .map(|it| Message::AccountWork(it.iter().map(encode).collect()))
            .collect()
    }

    /// Records the work of another host for accounts.
    pub(super) fn handle_account_work(&self, work: &[(u32, u32)], from: SocketAddr) {
        if self.gateway.peers.borrow().name_at(from).is_none() {
            return;
        }
        let catalog = self.gateway.catalog();
        let Some(accounts) = catalog.as_ref().and_then(|it| it.accounts.as_ref()) else {
            return;
        };
        let named = |(id, tokens): &(u32, u32)| {
            let account = accounts.by_id(AccountId(*id))?;
            let work = f64::from(*tokens) / accounts.weight(account);
            Some((account.name.clone(), work))
        };
        let work: Vec<_> = work.iter().filter_map(named).collect();
        self.gateway.queues.record_elsewhere(&work, clock::now());
    }
}
